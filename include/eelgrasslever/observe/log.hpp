/// @file
/// Logs: one line of key=value pairs for each event, through glog.
#pragma once

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

void log_event(const std::string& event, const log_fields& fields = {});
void log_error(const std::string& event, const log_fields& fields = {});

} // namespace eelgrasslever::observe
