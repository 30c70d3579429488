// Policy of services: tasks that run until they are cancelled.
#include "eelgrasslever/admission/policy.hpp"

namespace eelgrasslever::policies {
namespace {

using admission::policy;
using admission::reclaim_level;

class service_policy : public policy {
  public:
    int paying_rank() const override { return 1; }
    reclaim_level paying_reclaim_level() const override {
        return reclaim_level::trial_service;
    }
    reclaim_level reclaimed_as(bundle::tier team_tier) const override {
        return team_tier == bundle::tier::trial ? reclaim_level::trial_service
                                                : reclaim_level::none;
    }
    bool is_durable() const override { return true; }
    bool is_long_running() const override { return true; }
};

const service_policy plugin;
const kernel::registration<policy> registered("service", plugin);

} // namespace
} // namespace eelgrasslever::policies
