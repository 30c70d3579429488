/// @file
/// W3C trace context (`traceparent` header) and the spans of this process.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace eelgrasslever::observe {

struct trace_context {
    std::string trace_id; ///< 32 hexadecimal digits
    std::string span_id;  ///< 16 hexadecimal digits
};

/// @return the context in @p traceparent, or nothing if it is malformed.
[[nodiscard]] std::optional<trace_context>
parse_traceparent(const std::string& traceparent);
[[nodiscard]] std::string to_traceparent(const trace_context& value);

struct span {
    trace_context context;
    std::string parent_span_id;
    std::string name;
    std::string process; ///< VM or endpoint that recorded the span
    std::string request_id;
    std::int64_t start_unix_ms{0};
    base::milliseconds duration{0};
};

/// Generates trace and span ids and keeps the most recent spans of this
/// process.
class tracer {
  public:
    tracer(std::string process, std::uint64_t seed);

    /// @return a context for a child span of @p parent, or for the root span of
    /// a new trace if there is no parent.
    [[nodiscard]] trace_context
    child_of(const std::optional<trace_context>& parent);
    void record(span finished);
    /// @return the spans of the trace that are still kept, oldest first.
    [[nodiscard]] std::vector<span> find(const std::string& trace_id) const;
    [[nodiscard]] const std::string& process() const { return m_process; }

  private:
    static constexpr std::size_t max_spans = 4096;
    [[nodiscard]] std::string random_hex(std::size_t digits);
    std::string m_process;
    std::mt19937_64 m_random;
    std::deque<span> m_spans;
};

} // namespace eelgrasslever::observe
