/// @file
/// What the dispatch layer tells the node about tasks and endpoints.
#pragma once

#include "eelgrasslever/endpoint/protocol.hpp"

#include <string>

namespace eelgrasslever::dispatch {

enum class event_kind {
    started,     ///< the endpoint confirmed the start
    ended,       ///< completed, failed or stopped; the report says which
    not_started, ///< proved: the endpoint never started it
    lost,        ///< no longer running there, and it may have run
    adopted,     ///< found running under a new claim, started by another VM
    moved,       ///< the endpoint's claim is no longer ours; the task may run
    gained,      ///< the claim of the endpoint was taken
    dropped,     ///< the claim of the endpoint was lost or released
};

[[nodiscard]] const char* to_string(event_kind kind);

struct event {
    event_kind kind{event_kind::started};
    std::string endpoint;
    std::string task;
    endpoint::task_report report;
    std::string holder; ///< for `moved`: who holds the claim now, if known
    /// For `moved`: when the task's lease has run out unless the new holder
    /// renewed it.
    base::instant lease_expires_at{};
};

/// A call that the fleet wants sent to an endpoint.
struct outgoing_call {
    std::string endpoint;
    endpoint::call call;
};

} // namespace eelgrasslever::dispatch
