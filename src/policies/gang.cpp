// Policy of gang jobs: all tasks must start together.
#include "eelgrasslever/admission/policy.hpp"

namespace eelgrasslever::policies {
namespace {

using admission::policy;
using admission::reclaim_level;

class gang_policy : public policy {
  public:
    int paying_rank() const override { return 2; }
    reclaim_level paying_reclaim_level() const override {
        return reclaim_level::trial;
    }
    // A paying gang is never preempted: stopping one task would waste the work
    // of all the others.
    reclaim_level reclaimed_as(bundle::tier team_tier) const override {
        return team_tier == bundle::tier::trial ? reclaim_level::trial
                                                : reclaim_level::none;
    }
    bool is_durable() const override { return true; }
    bool is_gang_scheduled() const override { return true; }
};

const gang_policy plugin;
const kernel::registration<policy> registered("gang", plugin);

} // namespace
} // namespace eelgrasslever::policies
