#include "eelgrasslever/observe/log.hpp"

#include <glog/logging.h>

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

} // namespace

void start_logging(const std::string& program) {
    static std::string name;
    name = program;
    FLAGS_logtostdout = true;
    google::InitGoogleLogging(name.c_str());
}

std::string format_event(const std::string& event, const log_fields& fields) {
    std::string out = "event=" + event;
    for (const auto& [key, value] : fields) {
        out += " " + key + "=" + (plain(value) ? value : quoted(value));
    }
    return out;
}

void log_event(const std::string& event, const log_fields& fields) {
    LOG(INFO) << format_event(event, fields);
}

void log_error(const std::string& event, const log_fields& fields) {
    LOG(ERROR) << format_event(event, fields);
}

} // namespace eelgrasslever::observe
