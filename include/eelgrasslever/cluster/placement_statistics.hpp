/// @file
/// What the scheduler did with the steps, the tickets and the room, over an
/// interval and at its end.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

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

struct placement_statistics {
    std::size_t passes{0};
    std::size_t steps_examined{0}; ///< by all passes together
    std::map<std::string, queue_statistics> queues;

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
