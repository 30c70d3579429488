// Joins the log lines of one job from the logs of several VMs.
#include "commands.hpp"

#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <regex>

namespace eelctl {

namespace {

/// One line that speaks of the job.
struct event_line {
    std::string time; ///< as logged, date first, so that it sorts
    std::string file;
    std::string text; ///< from "event=" on
};

/// Matches the prefix that the logging library puts before each line.
const std::regex& line_pattern() {
    static const std::regex pattern(
        R"([IWEF](\d{8} \d{2}:\d{2}:\d{2}\.\d+).*?\] (event=.*))");
    return pattern;
}

void read_file(const std::string& path, const std::string& id,
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

int why(const arguments& words) {
    if (words.size() < 2) {
        return complain("say why ID LOGFILE...", exit_usage);
    }
    std::vector<event_line> lines;
    for (std::size_t i = 1; i < words.size(); ++i) {
        if (!std::ifstream(words[i])) {
            return complain(words[i] + ": cannot be read", exit_usage);
        }
        read_file(words[i], words[0], lines);
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const event_line& a, const event_line& b) {
                         return a.time < b.time;
                     });
    for (const event_line& line : lines) {
        std::cout << line.time << " " << line.file << " " << line.text << "\n";
    }
    if (lines.empty()) {
        return complain("no line speaks of " + words[0], exit_not_completed);
    }
    return exit_good;
}

} // namespace eelctl
