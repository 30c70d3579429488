#include "eelgrasslever/cluster/orders.hpp"

#include <array>

namespace eelgrasslever::cluster {

namespace {

constexpr std::array<const char*, 12> status_names{"done",
                                                   "fenced",
                                                   "outdated_run",
                                                   "too_late",
                                                   "no_room",
                                                   "ticket_refused",
                                                   "overloaded",
                                                   "malformed",
                                                   "other_incarnation",
                                                   "refused_connection",
                                                   "not_sent",
                                                   "unreachable"};
constexpr std::array<const char*, 6> outcome_names{
    "done", "failed", "stopped", "lapsed", "gang_broken", "gang_alone"};

} // namespace

const char* to_string(order_status value) {
    return status_names.at(static_cast<std::size_t>(value));
}

const char* to_string(task_outcome value) {
    return outcome_names.at(static_cast<std::size_t>(value));
}

} // namespace eelgrasslever::cluster
