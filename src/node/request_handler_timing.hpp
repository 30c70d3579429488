/// @file
/// Periods, limits and retry times that the request handler's sources share.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <algorithm>

namespace eelgrasslever::node {

/// Time between query rounds while a member that may know the request is
/// unreachable.
inline constexpr base::milliseconds relocate_period{300};
inline constexpr base::milliseconds lookup_timeout{30 * 1000};
/// Time between queries to the owner of a request that another member runs.
inline constexpr base::milliseconds owner_check_period{1000};
/// Delay before preempted work is queued again. It doubles with each
/// preemption.
inline constexpr base::milliseconds min_backoff{100};
inline constexpr int max_backoff_doublings = 6;

/// Retry times that refused and uncertain answers carry.
inline constexpr base::milliseconds min_retry_after{200};
inline constexpr base::milliseconds retry_after_no_bundle{1000};
inline constexpr base::milliseconds retry_after_uncertain{2000};
inline constexpr base::milliseconds retry_after_draining{500};

[[nodiscard]] inline base::milliseconds
clamp_retry_after(base::milliseconds delay) {
    return std::max(delay, min_retry_after);
}

} // namespace eelgrasslever::node
