/// @file
/// What a node asks of the outside: the only way in which it acts.
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

/// Names one waiting caller of this process.
using caller_token = std::uint64_t;

/// One line of the log: an event name with fields.
struct log_line {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// One span of a request's trace.
struct span_record {
    std::string traceparent; ///< of the parent
    std::string name;
    std::string request_id;
    base::instant start{};
    base::instant end{};
};

class effects {
  public:
    virtual ~effects() = default;
    virtual void call_endpoint(const std::string& endpoint,
                               const endpoint::call& call) = 0;
    virtual void call_store(const store::call& call) = 0;
    virtual void send_to_peer(const std::string& member,
                              const wire::message& message) = 0;
    /// The final answer to a caller.
    virtual void send_answer(caller_token caller, const std::string& request_id,
                             const base::answer& value) = 0;
    /// A job was recorded; its answer comes later.
    virtual void send_accepted(caller_token caller,
                               const std::string& request_id) = 0;
    virtual void log(const log_line& line) = 0;
    virtual void record_span(const span_record& record) = 0;
    /// A request waited so long before it started.
    virtual void observe_queue_wait(int rank, base::milliseconds wait) = 0;
};

} // namespace eelgrasslever::node
