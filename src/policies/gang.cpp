// Jobs whose tasks must all start together.
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
    // Stopping one task would waste all of its siblings' work.
    reclaim_level reclaimed_as(bundle::tier owner) const override {
        return owner == bundle::tier::trial ? reclaim_level::trial
                                            : reclaim_level::none;
    }
    bool is_durable() const override { return true; }
    bool is_gang_scheduled() const override { return true; }
};

const gang_policy plugin;
const kernel::registration<policy> registered("gang", plugin);

} // namespace
} // namespace eelgrasslever::policies
