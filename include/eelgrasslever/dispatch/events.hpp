/// @file
/// Events that the dispatch layer reports to the node, and the endpoint calls
/// that it asks the node to send.
#pragma once

#include "eelgrasslever/endpoint/protocol.hpp"

#include <string>

namespace eelgrasslever::dispatch {

/// What happened to a task, or to the claim on an endpoint.
enum class event_kind {
    started,     ///< the endpoint confirmed the start
    ended,       ///< completed, failed or stopped; see the state in the report
    not_started, ///< the endpoint is known never to have started the task
    lost,        ///< no longer running at the endpoint, but may have run
    adopted, ///< found running when the claim was acquired; not started here
    moved,   ///< the claim is no longer ours; the task may still be running
    gained,  ///< the claim on the endpoint was acquired
    dropped, ///< the claim on the endpoint was lost or released
};

[[nodiscard]] const char* to_string(event_kind kind);

/// One event of an endpoint or of a task there.
struct event {
    event_kind kind{event_kind::started};
    std::string endpoint;
    std::string task;             ///< id; empty for `gained` and `dropped`
    endpoint::task_report report; ///< unset for `gained` and `dropped`
    std::string holder; ///< `moved`, `dropped`: the new claim holder, if known
    /// `moved`: time at which the task's lease has expired at the latest,
    /// unless the new claim holder renews it.
    base::instant lease_expires_at{};
};

/// A call to send to an endpoint.
struct outgoing_call {
    std::string endpoint;
    endpoint::call call;
};

} // namespace eelgrasslever::dispatch
