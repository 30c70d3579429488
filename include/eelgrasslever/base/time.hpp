/// @file
/// Time types shared by every module. Decisions never read a clock: the caller
/// passes an `instant`, so that the same code runs under a hand-driven clock.
#pragma once

#include <chrono>
#include <ctime>

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

/// @return time since boot, which unlike `monotonic_now` also counts time that
/// the VM spent suspended. For leases that others rely upon.
[[nodiscard]] inline instant uptime_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::duration_cast<milliseconds>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
}

/// @return the time of day, which may be stepped.
[[nodiscard]] inline std::chrono::sys_time<milliseconds> wall_now() {
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace eelgrasslever::base
