/// @file
/// Times that the parts of the intake share.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <algorithm>

namespace eelgrasslever::node {

inline constexpr base::milliseconds relocate_period{300};
inline constexpr base::milliseconds lookup_limit{30 * 1000};
inline constexpr base::milliseconds home_check_period{1000};
inline constexpr base::milliseconds shortest_hold{100};
inline constexpr int most_hold_doublings = 6;
inline constexpr base::milliseconds shortest_retry_after{200};
inline constexpr base::milliseconds retry_after_no_bundle{1000};
inline constexpr base::milliseconds retry_after_doubt{2000};
inline constexpr base::milliseconds retry_after_draining{500};

[[nodiscard]] inline base::milliseconds
at_least_shortest(base::milliseconds value) {
    return std::max(value, shortest_retry_after);
}

} // namespace eelgrasslever::node
