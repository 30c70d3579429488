/// @file
/// Messages between entry VMs.
#pragma once

#include "eelgrasslever/base/answer.hpp"
#include "eelgrasslever/base/resources.hpp"
#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasslever::wire {

/// Sent to each peer at a fixed period.
struct heartbeat {
    std::string failure_domain;
    std::string http_address;
    std::string peer_address;
    std::uint64_t sequence{0};
    std::uint64_t echo{0}; ///< last sequence heard from the receiver
    /// Revision of the receiver's holdings that the sender has.
    std::uint64_t holdings_seen{0};
    bool draining{false};
    bool left{false}; ///< holds nothing any more and is about to exit
    std::uint64_t bundle_version{0};
    std::uint64_t list_version{0};
    bool platform_reached{false}; ///< the store answered lately
    std::int64_t free_slots{0};
    base::resources largest;        ///< of one endpoint that the sender holds
    std::int64_t capacity_slots{0}; ///< of all endpoints that it holds
    std::vector<std::string> alive; ///< members of this FD that it hears
    /// Every endpoint of this FD is held by the sender or by one in `alive`, so
    /// no other member of the FD can start anything.
    bool all_endpoints_held{false};
};

/// The endpoints whose claims the sender holds.
struct holdings {
    std::uint64_t revision{0};
    std::vector<std::string> endpoints;
};

enum class document_kind : std::uint8_t { bundle, vm_list };

/// A newer bundle or VM list than the receiver has.
struct document {
    document_kind kind{document_kind::bundle};
    std::uint64_t version{0};
    std::string text;
};

/// Asks whether the receiver knows a request. One that answers `unknown`
/// will ask the sender before it ever starts that request itself.
struct locate_request {
    std::uint64_t query{0};
    std::string request_id;
    bool attach{false};   ///< send `request_result` when the request has ended
    bool cell_wide{true}; ///< false: a question to this one member alone
};

enum class locate_result : std::uint8_t {
    known,   ///< the sender knows it and will send `request_result` if asked to
    unknown, ///< the sender does not know it
    undecided, ///< another member, which the sender can't hear, may know it
};

struct locate_response {
    std::uint64_t query{0};
    std::string request_id;
    locate_result result{locate_result::unknown};
    bool ran_before{false}; ///< with `unknown`: it ran there and ended in doubt
};

/// What became of a request that the receiver handed over or attached to.
enum class request_result_kind : std::uint8_t {
    answered, ///< the answer is final
    stopped,  ///< it was stopped before its end; it may run again
    refused,  ///< it was never taken; it may run elsewhere
};

struct request_result {
    std::string request_id;
    request_result_kind kind{request_result_kind::answered};
    base::answer answer;
};

/// Hands a request to the receiver, who becomes the one to run it.
struct forward {
    std::string request_id;
    std::string request_text;
    base::milliseconds remaining{0}; ///< until the deadline
    /// Last heartbeat heard from the receiver. One that was sent too long ago
    /// tells the receiver that the sender may think it gone by now.
    std::uint64_t echo{0};
};

/// Takes a request back.
struct cancel {
    std::string request_id;
};

/// Asks the receiver to call the advice service for the sender.
struct advice_request {
    std::uint64_t query{0};
    std::string job;
    std::int32_t occurrence{0};
    std::int32_t step{0};
    std::vector<std::string> candidates; ///< endpoints
    base::milliseconds timeout{0};
};

/// What the advice service said; `tickets` goes with `endpoints`.
struct advice_response {
    std::uint64_t query{0};
    bool answered{false};
    std::vector<std::string> endpoints;
    std::vector<std::string> tickets;
};

enum class job_request_kind : std::uint8_t { submit, cancel, state };

/// Asks the receiver to answer a client's call, since the sender does not reach
/// the store.
struct job_request {
    std::uint64_t query{0};
    job_request_kind kind{job_request_kind::submit};
    std::string id;
    std::string job; ///< the encoded job, with `submit`
    base::milliseconds wait{0};
};

enum class job_request_outcome : std::uint8_t {
    accepted,  ///< done; with `state`: the job is known
    refused,   ///< nothing was done
    uncertain, ///< it may have been done
    unknown_job,
};

struct job_response {
    std::uint64_t query{0};
    job_request_outcome outcome{job_request_outcome::refused};
    std::int32_t state{0}; ///< of the job, with `state`
};

/// Tells the leader of a job that the sender has stored, ahead of the watch.
struct accepted_job_notice {
    /// Of the leader, as the sender knows it: a notice that was held up must
    /// not reach a later leader, who may have forgotten the job's end.
    std::uint64_t term{0};
    std::string id;
    std::string job; ///< as stored
};

/// Tells of jobs whose ends are stored, ahead of the watch.
struct completion_notice {
    std::vector<std::string> ids;
    std::vector<std::int32_t> states; ///< goes with `ids`
};

using message =
    std::variant<heartbeat, holdings, document, locate_request, locate_response,
                 request_result, forward, cancel, advice_request,
                 advice_response, job_request, job_response,
                 accepted_job_notice, completion_notice>;

/// A message with its sender, "VM@incarnation".
struct envelope {
    std::string from;
    message content;
};

} // namespace eelgrasslever::wire
