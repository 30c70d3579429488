/// @file
/// Tells of turns of the event loop that delay everything else in the process.
#pragma once

#include "eelgrasslever/kernel/loop.hpp"
#include "eelgrasslever/observe/metrics.hpp"

namespace eelgrasslever::daemon {

/// Logs each stall of @p event_loop with what took the time, and counts it.
/// @param metrics must live as long as the loop runs.
void report_stalls(kernel::loop& event_loop, observe::metrics& metrics);

} // namespace eelgrasslever::daemon
