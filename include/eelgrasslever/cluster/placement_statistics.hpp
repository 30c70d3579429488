/// @file
/// What the scheduler did with the steps, the tickets and the room, over an
/// interval and at its end.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <bit>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace eelgrasslever::cluster {

/// Why the scheduler asked for advice about a step.
enum class advice_reason {
    first,           ///< the step had not been asked about
    tickets_expired, ///< endpoints are known to admit the step; tickets lapsed
    more_endpoints,  ///< the endpoints with a ticket don't suffice
    count,
};

/// Counts of one queue since they were taken last.
struct queue_statistics {
    std::size_t advice_calls[static_cast<std::size_t>(advice_reason::count)]{};
    std::size_t tickets_issued{0};
    /// Tickets with which at least one task was placed.
    std::size_t tickets_used{0};
    std::size_t tasks_placed{0};
};

/// Steps of one queue and of similar width: from a power of two up to the next.
struct width_statistics {
    // Since they were taken last.
    std::size_t started{0};        ///< steps of which no task waits any more
    base::milliseconds waited{0};  ///< by these steps together
    std::size_t became_overdue{0}; ///< before they started
    // At the end of the interval.
    std::size_t waiting{0};
    base::milliseconds longest_wait{0}; ///< of those that wait
};

/// @return the smallest number of tasks of the steps that are counted together
/// with a step of @p tasks tasks.
[[nodiscard]] constexpr int width_band(int tasks) {
    return tasks < 1
               ? 0
               : static_cast<int>(std::bit_floor(static_cast<unsigned>(tasks)));
}

struct placement_statistics {
    std::size_t passes{0};
    std::size_t steps_examined{0}; ///< by all passes together
    /// Endpoints that were weighed for a step, by all passes together.
    std::size_t endpoints_weighed{0};
    /// Searches of the whole fleet for endpoints to ask about, and how many of
    /// them ended without a call.
    std::size_t searches{0};
    std::size_t searches_without_call{0};
    std::map<std::string, queue_statistics> queues;
    /// By queue and `width_band`.
    std::map<std::pair<std::string, int>, width_statistics> widths;

    // At the end of the interval.
    std::size_t steps_ready{0};
    /// Longest time that a ready step has gone without being examined.
    base::milliseconds oldest_unexamined{0};
    std::int64_t cpu_capacity{0}; ///< of the usable endpoints, in millicores
    std::int64_t cpu_running{0};  ///< allocated to runs
    /// Neither allocated nor usable by all waiting work, as gangs reserve it.
    std::int64_t cpu_reserved{0};
};

} // namespace eelgrasslever::cluster
