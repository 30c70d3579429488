#include "eelgrasslever/observe/trace.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::observe {

namespace {

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;
constexpr std::size_t traceparent_length = 55;

bool is_nonzero_hex(const std::string& text) {
    return text.find_first_not_of("0123456789abcdef") == std::string::npos &&
           text.find_first_not_of('0') != std::string::npos;
}

} // namespace

std::optional<trace_context> parse_traceparent(const std::string& traceparent) {
    if (traceparent.size() != traceparent_length ||
        traceparent.substr(0, 3) != "00-" || traceparent[35] != '-' ||
        traceparent[52] != '-') {
        return std::nullopt;
    }
    trace_context out{traceparent.substr(3, trace_id_digits),
                      traceparent.substr(36, span_id_digits)};
    if (!is_nonzero_hex(out.trace_id) || !is_nonzero_hex(out.span_id)) {
        return std::nullopt;
    }
    return out;
}

std::string to_traceparent(const trace_context& value) {
    return "00-" + value.trace_id + "-" + value.span_id + "-01";
}

tracer::tracer(std::string process, std::uint64_t seed)
    : m_process(std::move(process)), m_random(seed) {}

std::string tracer::random_hex(std::size_t digits) {
    static constexpr const char* alphabet = "0123456789abcdef";
    std::string out;
    while (out.size() < digits) {
        out += alphabet[m_random() % 16];
    }
    return out;
}

trace_context tracer::child_of(const std::optional<trace_context>& parent) {
    trace_context out;
    out.trace_id = parent ? parent->trace_id : random_hex(trace_id_digits);
    out.span_id = random_hex(span_id_digits);
    return out;
}

void tracer::record(span finished) {
    m_spans.push_back(std::move(finished));
    if (m_spans.size() > max_spans) {
        m_spans.pop_front();
    }
}

std::vector<span> tracer::find(const std::string& trace_id) const {
    std::vector<span> out;
    std::copy_if(m_spans.begin(), m_spans.end(), std::back_inserter(out),
                 [&](const span& candidate) {
                     return candidate.context.trace_id == trace_id;
                 });
    return out;
}

} // namespace eelgrasslever::observe
