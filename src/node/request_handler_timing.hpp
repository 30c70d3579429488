/// @file
/// Times that the parts of the intake share.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <algorithm>

namespace eelgrasslever::node {

inline constexpr base::milliseconds relocate_period{300};
inline constexpr base::milliseconds lookup_timeout{30 * 1000};
inline constexpr base::milliseconds owner_check_period{1000};
inline constexpr base::milliseconds min_backoff{100};
inline constexpr int max_backoff_doublings = 6;
inline constexpr base::milliseconds min_retry_after{200};
inline constexpr base::milliseconds retry_after_no_bundle{1000};
inline constexpr base::milliseconds retry_after_uncertain{2000};
inline constexpr base::milliseconds retry_after_draining{500};

[[nodiscard]] inline base::milliseconds
clamp_retry_after(base::milliseconds delay) {
    return std::max(delay, min_retry_after);
}

} // namespace eelgrasslever::node
