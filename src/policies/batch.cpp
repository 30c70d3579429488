// Policy of batch jobs: many independent tasks, often with a deadline hours
// away.
#include "eelgrasslever/admission/policy.hpp"

namespace eelgrasslever::policies {
namespace {

using admission::policy;
using admission::reclaim_level;

class batch_policy : public policy {
  public:
    int paying_rank() const override { return 3; }
    reclaim_level paying_reclaim_level() const override {
        return reclaim_level::trial;
    }
    reclaim_level reclaimed_as(bundle::tier team_tier) const override {
        return team_tier == bundle::tier::trial ? reclaim_level::trial
                                                : reclaim_level::paying_batch;
    }
    bool is_durable() const override { return true; }
};

const batch_policy plugin;
const kernel::registration<policy> registered("batch", plugin);

} // namespace
} // namespace eelgrasslever::policies
