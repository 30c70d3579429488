#include "eelgrasslever/observe/log.hpp"

#include "eelgrasslever/observe/nonblocking_log_sink.hpp"

#include <algorithm>
#include <array>
#include <glog/logging.h>
#include <memory>
#include <unistd.h>
#include <utility>

namespace eelgrasslever::observe {

namespace {

bool needs_no_quotes(const std::string& value) {
    return !value.empty() &&
           value.find_first_of(" \"=\n\t\\") == std::string::npos;
}

std::string quote(const std::string& value) {
    std::string out = "\"";
    for (char c : value) {
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c == '\n' ? ' ' : c;
    }
    return out + "\"";
}

/// Fields that distinguish routine outcomes of an event from rare ones, such as
/// accepted from refused jobs. Each takes only a few values, which bounds the
/// number of keys in the rate limiter.
constexpr std::array outcome_fields{"outcome", "how", "state"};

/// @return the key under which the rate limiter counts the line.
std::string rate_limit_key(const std::string& event, const log_fields& fields) {
    auto outcome =
        std::find_if(fields.begin(), fields.end(), [](const auto& field) {
            return std::find(outcome_fields.begin(), outcome_fields.end(),
                             field.first) != outcome_fields.end();
        });
    return outcome == fields.end() ? event : event + ":" + outcome->second;
}

struct log_state {
    /// Set by `start_logging`. While it is null, glog's default output is used;
    /// command-line tools rely on this to keep standard output for results.
    std::unique_ptr<nonblocking_log_sink> output;
    log_rate_limiter rate_limiter;
    log_listener listener;
    bool enabled{true};
};

log_state& shared_state() {
    static log_state state;
    return state;
}

void emit(const log_state& state, google::LogSeverity severity,
          const std::string& line) {
    if (!state.output) {
        google::LogMessage(__FILE__, __LINE__, severity).stream() << line;
        return;
    }
    constexpr bool to_log_file = false;
    google::LogMessage(__FILE__, __LINE__, severity, state.output.get(),
                       to_log_file)
            .stream()
        << line;
}

/// Logs how many lines were dropped since the previous report.
void report_dropped_lines(log_state& state, base::instant now) {
    auto dropped = state.rate_limiter.take_dropped_counts(now);
    std::uint64_t lost = state.output ? state.output->take_lost_count() : 0;
    if (lost > 0) {
        dropped.emplace_back("output", static_cast<int>(lost));
    }
    for (const auto& [name, count] : dropped) {
        emit(state, google::GLOG_INFO,
             format_event("log_lines_left_out",
                          {{"of", name}, {"count", std::to_string(count)}}));
    }
}

void write(google::LogSeverity severity, const std::string& event,
           const log_fields& fields) {
    log_state& state = shared_state();
    if (state.listener) {
        state.listener(event, fields);
    }
    if (!state.enabled) {
        return;
    }
    auto now = base::monotonic_now();
    bool admitted =
        state.rate_limiter.admit(rate_limit_key(event, fields), now);
    report_dropped_lines(state, now);
    if (admitted) {
        emit(state, severity, format_event(event, fields));
    }
}

} // namespace

void start_logging(const std::string& program) {
    static std::string name;
    name = program;
    google::InitGoogleLogging(name.c_str());
    shared_state().output =
        std::make_unique<nonblocking_log_sink>(STDOUT_FILENO);
}

void set_log_limits(log_rate_limits limits) {
    shared_state().rate_limiter = log_rate_limiter(limits);
}

void set_logging_enabled(bool enabled) {
    shared_state().enabled = enabled;
}

void set_log_listener(log_listener listener) {
    shared_state().listener = std::move(listener);
}

std::string format_event(const std::string& event, const log_fields& fields) {
    std::string out = "event=" + event;
    for (const auto& [key, value] : fields) {
        out +=
            " " + key + "=" + (needs_no_quotes(value) ? value : quote(value));
    }
    return out;
}

void log_event(const std::string& event, const log_fields& fields) {
    write(google::GLOG_INFO, event, fields);
}

void log_error(const std::string& event, const log_fields& fields) {
    write(google::GLOG_ERROR, event, fields);
}

} // namespace eelgrasslever::observe
