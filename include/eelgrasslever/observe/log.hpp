/// @file
/// Structured logging through glog: one line of key=value pairs per event.
#pragma once

#include "eelgrasslever/observe/log_rate_limiter.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace eelgrasslever::observe {

using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Initializes glog and sends log lines to standard output. Call it once.
void start_logging(const std::string& program);

/// @return "event=NAME key=value ..."; empty values and values with spaces or
/// special characters are quoted.
[[nodiscard]] std::string format_event(const std::string& event,
                                       const log_fields& fields);

/// Sets the limits on log lines per second and resets all counts.
void set_log_limits(log_rate_limits limits);

/// Turns log output on or off; it is on by default. A listener still receives
/// events while output is off.
void set_logging_enabled(bool enabled);

/// Receives every event, including those that the rate limiter drops.
using log_listener =
    std::function<void(const std::string& event, const log_fields& fields)>;
void set_log_listener(log_listener listener);

void log_event(const std::string& event, const log_fields& fields = {});
void log_error(const std::string& event, const log_fields& fields = {});

} // namespace eelgrasslever::observe
