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
/// Sends the answer to @p caller once the request has one.
struct await_request {
    std::string id;
    caller_token caller{0};
};
struct cancel_request {
    std::string id;
};
/// The caller no longer waits for the answer.
struct detach_caller {
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
using scheduler_message =
    std::variant<submit_request, await_request, cancel_request, detach_caller,
                 roll_out_bundle, endpoint_replied, store_replied,
                 peer_message_received>;

// To the HTTP API.
struct final_answer {
    caller_token caller{0};
    std::string id;
    base::answer answer;
};
struct job_accepted {
    caller_token caller{0};
    std::string id;
};
struct rollout_finished {
    caller_token caller{0};
    base::result<void> result;
};
using api_message = std::variant<final_answer, job_accepted, rollout_finished>;

// To the endpoint gateway.
struct endpoint_call {
    std::string endpoint;
    std::string address; ///< "IP:port"
    endpoint::call call;
};

// To the peer links.
struct send_peer_frame {
    std::string address; ///< "IP:port"
    std::string frame;
};
/// Closes the outbound connection; the next frame opens a new one.
struct reset_peer_link {
    std::string address;
};
using peer_link_message = std::variant<send_peer_frame, reset_peer_link>;

} // namespace eelgrasslever::daemon
