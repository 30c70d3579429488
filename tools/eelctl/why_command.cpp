// Command why: merges the log lines of a job from the logs of several VMs.
#include "commands.hpp"

#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <regex>

namespace eelctl {

namespace {

/// A log line that contains the id of the job.
struct event_line {
    std::string time; ///< as logged, date first; text order is time order
    std::string file;
    std::string text; ///< the rest of the line from "event="
};

/// Matches a line of the logging library: severity, date and time, source and
/// the event. Captures the time and the event.
const std::regex& line_pattern() {
    static const std::regex pattern(
        R"([IWEF](\d{8} \d{2}:\d{2}:\d{2}\.\d+).*?\] (event=.*))");
    return pattern;
}

void read_log_lines(const std::string& path, const std::string& id,
                    std::vector<event_line>& out) {
    std::ifstream in(path);
    std::string line;
    while (std::getline(in, line)) {
        std::smatch parts;
        if (line.find(id) != std::string::npos &&
            std::regex_search(line, parts, line_pattern())) {
            out.push_back({parts[1], path, parts[2]});
        }
    }
}

} // namespace

int why(const arguments& args) {
    if (args.size() < 2) {
        return print_error("usage: why ID LOGFILE...", exit_usage);
    }
    std::vector<event_line> lines;
    for (std::size_t i = 1; i < args.size(); ++i) {
        if (!std::ifstream(args[i])) {
            return print_error(args[i] + ": cannot be read", exit_usage);
        }
        read_log_lines(args[i], args[0], lines);
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const event_line& a, const event_line& b) {
                         return a.time < b.time;
                     });
    for (const event_line& line : lines) {
        std::cout << line.time << " " << line.file << " " << line.text << "\n";
    }
    if (lines.empty()) {
        return print_error("no log line contains " + args[0],
                           exit_not_completed);
    }
    return exit_success;
}

} // namespace eelctl
