/// @file
/// Time types shared by every module. Decisions never read a clock: the caller
/// passes an `instant`, so that the same code runs under a hand-driven clock.
#pragma once

#include <chrono>

namespace eelgrasslever::base {

using std::chrono::milliseconds;

/// A point on this process's monotonic clock, in whole milliseconds.
using instant =
    std::chrono::time_point<std::chrono::steady_clock, milliseconds>;

/// @return the monotonic clock's present reading.
[[nodiscard]] inline instant monotonic_now() {
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::steady_clock::now());
}

} // namespace eelgrasslever::base
