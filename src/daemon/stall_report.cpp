#include "eelgrasslever/daemon/stall_report.hpp"

#include "eelgrasslever/base/time.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <boost/core/demangle.hpp>
#include <string>

namespace eelgrasslever::daemon {

namespace {

/// Half of the 250 ms that urgent work may wait.
constexpr base::milliseconds stall_threshold{125};

std::string whole_milliseconds(std::chrono::microseconds value) {
    return std::to_string(
        std::chrono::duration_cast<base::milliseconds>(value).count());
}

} // namespace

void report_stalls(kernel::loop& event_loop, observe::metrics& metrics) {
    event_loop.report_long_turns(
        stall_threshold, [&metrics](const kernel::loop_turn& turn) {
            bool was_handling = turn.handled > stall_threshold;
            const char* phase = was_handling ? "callbacks" : "wait";
            metrics.observe_latency(
                "event_loop_stall_seconds",
                std::string("phase=\"") + phase + "\"",
                std::chrono::duration_cast<base::milliseconds>(
                    was_handling ? turn.handled : turn.overslept));
            observe::log_event(
                "event_loop_stalled",
                {{"state", phase},
                 {"waited_ms", whole_milliseconds(turn.waited)},
                 {"overslept_ms", whole_milliseconds(turn.overslept)},
                 {"handled_ms", whole_milliseconds(turn.handled)},
                 {"callbacks", std::to_string(turn.callbacks)},
                 {"longest_ms", whole_milliseconds(turn.longest)},
                 {"longest", boost::core::demangle(turn.longest_callback)},
                 {"cpu_ms", whole_milliseconds(turn.cpu)},
                 {"cpu_period_ms", whole_milliseconds(turn.cpu_period)}});
        });
}

} // namespace eelgrasslever::daemon
