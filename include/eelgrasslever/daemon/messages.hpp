/// @file
/// Messages between the tasks of the daemon.
#pragma once

#include "eelgrasslever/admission/request.hpp"
#include "eelgrasslever/base/answer.hpp"
#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/endpoint/protocol.hpp"
#include "eelgrasslever/node/effects.hpp"
#include "eelgrasslever/store/protocol.hpp"
#include "eelgrasslever/wire/message.hpp"

#include <functional>
#include <string>
#include <variant>

namespace eelgrasslever::daemon {

using node::caller_token;

// To the scheduler.
struct submit_request {
    admission::request request;
    caller_token caller{0};
};
struct await_request {
    std::string id;
    caller_token caller{0};
};
struct cancel_request {
    std::string id;
};
struct caller_left {
    std::string id;
    caller_token caller{0};
};
struct roll_out_bundle {
    std::string envelope_text;
    caller_token caller{0};
};
struct endpoint_replied {
    std::string endpoint;
    endpoint::call call;
    endpoint::reply reply;
};
struct store_replied {
    store::call call;
    store::reply reply;
};
struct peer_message_received {
    std::string from;
    wire::message content;
};
using to_scheduler =
    std::variant<submit_request, await_request, cancel_request, caller_left,
                 roll_out_bundle, endpoint_replied, store_replied, peer_message_received>;

// To the HTTP front.
struct final_answer {
    caller_token caller{0};
    std::string id;
    base::answer value;
};
struct job_accepted {
    caller_token caller{0};
    std::string id;
};
struct rollout_ended {
    caller_token caller{0};
    base::result<void> result;
};
using to_front = std::variant<final_answer, job_accepted, rollout_ended>;

// To the endpoint gateway.
struct endpoint_call {
    std::string endpoint;
    std::string address; ///< "IP:port"
    endpoint::call call;
};

// To the peer links.
struct peer_send {
    std::string address; ///< "IP:port"
    std::string frame;
};
/// The link does not get through; open another connection.
struct peer_reset {
    std::string address;
};
using to_links = std::variant<peer_send, peer_reset>;

} // namespace eelgrasslever::daemon
