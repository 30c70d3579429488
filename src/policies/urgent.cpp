// Policy of urgent requests: short ones that a person waits for, such as a pass
// check.
#include "eelgrasslever/admission/policy.hpp"

namespace eelgrasslever::policies {
namespace {

using admission::policy;
using admission::reclaim_level;

class urgent_policy : public policy {
  public:
    int paying_rank() const override { return 0; }
    reclaim_level paying_reclaim_level() const override {
        return reclaim_level::paying_batch;
    }
    // Paying urgent tasks are never preempted: stopping a short task frees its
    // slot no sooner than letting it finish.
    reclaim_level reclaimed_as(bundle::tier team_tier) const override {
        return team_tier == bundle::tier::trial ? reclaim_level::trial
                                                : reclaim_level::none;
    }
};

const urgent_policy plugin;
const kernel::registration<policy> registered("urgent", plugin);

} // namespace
} // namespace eelgrasslever::policies
