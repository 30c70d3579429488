#include "eelgrasslever/admission/policy.hpp"

namespace eelgrasslever::admission {

const policy* find_policy(const std::string& kind) {
    return kernel::registry<policy>::instance().find(kind);
}

int rank_of(const policy& kind, bundle::tier owner) {
    int rank = kind.paying_rank();
    return owner == bundle::tier::paying ? rank : rank + trial_rank_offset;
}

reclaim_level reclaim_of(const policy& kind, bundle::tier owner) {
    return owner == bundle::tier::paying ? kind.may_reclaim()
                                         : reclaim_level::none;
}

} // namespace eelgrasslever::admission
