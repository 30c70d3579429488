/// @file
/// Time types shared by all modules. Scheduling code never reads a clock: the
/// caller passes an `instant`, so that tests and simulations control the time.
#pragma once

#include <chrono>
#include <ctime>

namespace eelgrasslever::base {

using std::chrono::milliseconds;

/// A point in time on a local monotonic clock, in milliseconds.
using instant =
    std::chrono::time_point<std::chrono::steady_clock, milliseconds>;

/// @return the current time of the monotonic clock.
[[nodiscard]] inline instant monotonic_now() {
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::steady_clock::now());
}

/// @return the time since boot, including time the VM was suspended, which
/// `monotonic_now` omits. Use it for leases whose expiry other VMs rely on.
[[nodiscard]] inline instant uptime_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::duration_cast<milliseconds>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
}

/// @return the wall-clock time, which can jump when the clock is adjusted.
[[nodiscard]] inline std::chrono::sys_time<milliseconds> wall_now() {
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace eelgrasslever::base
