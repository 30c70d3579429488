#include "eelgrasslever/observe/log.hpp"

#include "eelgrasslever/observe/log_budget.hpp"

#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

namespace eelgrasslever::observe {

namespace {

bool plain(const std::string& value) {
    return !value.empty() &&
           value.find_first_of(" \"=\n\t\\") == std::string::npos;
}

std::string quoted(const std::string& value) {
    std::string out = "\"";
    for (char c : value) {
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c == '\n' ? ' ' : c;
    }
    return out + "\"";
}

/// @return whether a line of @p event is within the budget; reports what was
/// left out before.
bool admit(const std::string& event) {
    static log_budget budget;
    auto now = base::monotonic_now();
    bool admitted = budget.admit(event, now);
    for (const auto& [name, count] : budget.take_dropped(now)) {
        LOG(INFO) << "event=log_lines_left_out of=" << name
                  << " count=" << count;
    }
    return admitted;
}

} // namespace

void start_logging(const std::string& program) {
    static std::string name;
    name = program;
    FLAGS_logtostdout = true;
    google::InitGoogleLogging(name.c_str());
    // Output that nobody reads loses lines; it must not hold up the loop.
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

std::string format_event(const std::string& event, const log_fields& fields) {
    std::string out = "event=" + event;
    for (const auto& [key, value] : fields) {
        out += " " + key + "=" + (plain(value) ? value : quoted(value));
    }
    return out;
}

void log_event(const std::string& event, const log_fields& fields) {
    if (admit(event)) {
        LOG(INFO) << format_event(event, fields);
    }
}

void log_error(const std::string& event, const log_fields& fields) {
    if (admit(event)) {
        LOG(ERROR) << format_event(event, fields);
    }
}

} // namespace eelgrasslever::observe
