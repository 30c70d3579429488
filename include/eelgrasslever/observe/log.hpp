/// @file
/// Logs: one line of key=value pairs for each event, through glog.
#pragma once

#include "eelgrasslever/observe/log_rate_limiter.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace eelgrasslever::observe {

using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Starts glog for this process; lines go to standard output.
void start_logging(const std::string& program);

/// @return "event=NAME key=value ..." with values quoted where needed.
[[nodiscard]] std::string format_event(const std::string& event,
                                       const log_fields& fields);

/// Replaces the limits on lines a second.
void set_log_limits(log_rate_limits limits);

/// Switches the lines of this process off and on; they are on at first.
void set_logging_enabled(bool enabled);

/// Is told of each event before the budget decides on its line.
using log_listener =
    std::function<void(const std::string& event, const log_fields& fields)>;
void set_log_listener(log_listener listener);

void log_event(const std::string& event, const log_fields& fields = {});
void log_error(const std::string& event, const log_fields& fields = {});

} // namespace eelgrasslever::observe
