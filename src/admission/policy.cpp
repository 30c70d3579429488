#include "eelgrasslever/admission/policy.hpp"

namespace eelgrasslever::admission {

const policy* find_policy(const std::string& kind) {
    return kernel::registry<policy>::instance().find(kind);
}

int queue_rank(const policy& kind_policy, bundle::tier team_tier) {
    int rank = kind_policy.paying_rank();
    return team_tier == bundle::tier::paying ? rank : rank + trial_rank_offset;
}

reclaim_level allowed_reclaim_level(const policy& kind_policy,
                                    bundle::tier team_tier) {
    return team_tier == bundle::tier::paying
               ? kind_policy.paying_reclaim_level()
               : reclaim_level::none;
}

} // namespace eelgrasslever::admission
