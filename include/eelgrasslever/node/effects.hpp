/// @file
/// Interface through which a node performs all of its I/O.
#pragma once

#include "eelgrasslever/base/answer.hpp"
#include "eelgrasslever/endpoint/protocol.hpp"
#include "eelgrasslever/store/protocol.hpp"
#include "eelgrasslever/wire/message.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace eelgrasslever::node {

/// Identifies one waiting caller within this process.
using caller_token = std::uint64_t;

/// One log line: an event name with key-value fields.
struct log_line {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// One span of a request's trace.
struct span_record {
    std::string traceparent; ///< of the parent span
    std::string name;
    std::string request_id;
    base::instant start{};
    base::instant end{};
};

/// Output side of a node. No member blocks; replies come back through the
/// node's `on_...` members.
class effects {
  public:
    virtual ~effects() = default;
    virtual void call_endpoint(const std::string& endpoint,
                               const endpoint::call& call) = 0;
    virtual void call_store(const store::call& call) = 0;
    virtual void send_to_peer(const std::string& member,
                              const wire::message& message) = 0;
    /// Sends the final answer to a caller.
    virtual void send_answer(caller_token caller, const std::string& request_id,
                             const base::answer& answer) = 0;
    /// Confirms to a caller that its job is recorded. The caller can request
    /// the final answer later.
    virtual void send_accepted(caller_token caller,
                               const std::string& request_id) = 0;
    virtual void log(const log_line& line) = 0;
    virtual void record_span(const span_record& record) = 0;
    /// Reports how long a request of queue rank @p rank waited for placement.
    virtual void observe_queue_wait(int rank, base::milliseconds wait) = 0;
};

} // namespace eelgrasslever::node
