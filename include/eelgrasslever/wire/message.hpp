/// @file
/// Messages between entry VMs.
#pragma once

#include "eelgrasslever/base/answer.hpp"
#include "eelgrasslever/base/resources.hpp"
#include "eelgrasslever/base/time.hpp"
#include "eelgrasslever/cluster/orders.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasslever::wire {

/// Sent to each peer periodically.
struct heartbeat {
    std::string failure_domain;
    std::string http_address;
    std::string peer_address;
    std::uint64_t sequence{0};
    std::uint64_t echo{0}; ///< last sequence received from the receiver
    /// Last revision of the receiver's `holdings` that the sender has received.
    std::uint64_t holdings_seen{0};
    bool draining{false};
    bool left{false}; ///< has released all claims and is about to exit
    std::uint64_t bundle_version{0};
    std::uint64_t list_version{0};
    bool platform_reached{false}; ///< the store has replied recently
    std::int64_t free_slots{0};
    /// Component-wise maximum of the capacity of the endpoints whose claims the
    /// sender holds.
    base::resources largest;
    std::int64_t capacity_slots{0}; ///< total over these endpoints
    std::vector<std::string> alive; ///< live members in the sender's FD
    /// Every endpoint of this FD is claimed by the sender or by a member in
    /// `alive`, so no other member of the FD can start tasks.
    bool all_endpoints_held{false};
};

/// The endpoints whose claims the sender holds.
struct holdings {
    std::uint64_t revision{0};
    std::vector<std::string> endpoints;
};

enum class document_kind : std::uint8_t { bundle, vm_list };

/// A bundle or VM list that is newer than the one of the receiver.
struct document {
    document_kind kind{document_kind::bundle};
    std::uint64_t version{0};
    std::string text;
};

/// Asks whether the receiver has a record of a request. A receiver that replies
/// `unknown` queries the sender before it starts this request itself.
struct locate_request {
    std::uint64_t query{0};
    std::string request_id;
    bool attach{false};   ///< send a `request_result` when the request ends
    bool cell_wide{true}; ///< false: only this member is asked
};

enum class locate_result : std::uint8_t {
    known,   ///< the sender has a record; it sends a `request_result` on attach
    unknown, ///< the sender has no record
    undecided, ///< a member unreachable from the sender may have a record
};

struct locate_response {
    std::uint64_t query{0};
    std::string request_id;
    locate_result result{locate_result::unknown};
    /// With `unknown`: an earlier attempt may have run there.
    bool ran_before{false};
};

/// How a request ended that the receiver forwarded or attached to.
enum class request_result_kind : std::uint8_t {
    answered, ///< the answer is final
    stopped,  ///< stopped before completion; it may run again
    refused,  ///< not accepted; it may run elsewhere
};

struct request_result {
    std::string request_id;
    request_result_kind kind{request_result_kind::answered};
    base::answer answer;
};

/// Transfers a request to the receiver, which becomes its owner.
struct forward {
    std::string request_id;
    std::string request_text;
    base::milliseconds remaining{0}; ///< until the deadline
    /// Sequence of the last heartbeat received from the receiver. If that
    /// heartbeat is too old, the sender may meanwhile consider the receiver
    /// gone, so the receiver asks the other members about the request first.
    std::uint64_t echo{0};
};

/// Cancels a forwarded request.
struct cancel {
    std::string request_id;
};

/// Asks the receiver to call the advice service on behalf of the sender.
struct advice_request {
    std::uint64_t query{0};
    std::string job;
    std::int32_t occurrence{0};
    std::int32_t step{0};
    std::vector<std::string> candidates; ///< endpoints
    base::milliseconds timeout{0};
};

/// The advice service's reply; `tickets[i]` belongs to `endpoints[i]`.
struct advice_response {
    std::uint64_t query{0};
    bool answered{false};
    std::vector<std::string> endpoints;
    std::vector<std::string> tickets;
};

enum class job_request_kind : std::uint8_t { submit, cancel, state, count };

/// Asks the receiver to process a client's call because the sender cannot reach
/// the store or, for `count`, has no recent view of the jobs.
struct job_request {
    std::uint64_t query{0};
    job_request_kind kind{job_request_kind::submit};
    std::string id;
    std::string job; ///< the encoded job, with `submit`
    base::milliseconds wait{0};
};

enum class job_request_outcome : std::uint8_t {
    accepted,  ///< done; for `state`: the job is known
    refused,   ///< not done
    uncertain, ///< may have been done
    unknown_job,
    cancelled, ///< for `submit`: not done, as the id was cancelled before
    rejected,  ///< for `cancel`: not done, and no other VM is to be asked
};

struct job_response {
    std::uint64_t query{0};
    job_request_outcome outcome{job_request_outcome::refused};
    std::int32_t state{0}; ///< job state, for kind `state`
    /// Number of jobs that wait, by queue, for kind `count`. Queues without
    /// such jobs may be missing.
    std::map<std::string, std::uint64_t> pending;
    base::milliseconds age{0}; ///< of `pending` when the response was sent
};

/// Notifies the leader of a job that the sender has stored, before the store's
/// watch reports it.
struct accepted_job_notice {
    /// The leader's term as known to the sender. A leader of another term
    /// ignores the notice: if it is delayed, a later leader may already have
    /// discarded the completed job and would run it again.
    std::uint64_t term{0};
    std::string id;
    std::string job; ///< encoded as in the store
};

/// Announces jobs whose completion is stored, before the store's watch reports
/// them.
struct completion_notice {
    std::vector<std::string> ids;
    std::vector<std::int32_t> states; ///< `states[i]` belongs to `ids[i]`
};

/// Tells a new leader when the leases end that the sender and its predecessors
/// granted. The sender leads no longer and sends no orders.
struct lease_report {
    std::uint64_t term{0}; ///< in which the sender led
    std::vector<std::string> endpoints;
    /// `left[i]` is the time until the leases of `endpoints[i]` have certainly
    /// expired; 0 or less if they have.
    std::vector<base::milliseconds> left;
    base::milliseconds others_left{0}; ///< likewise, of all other endpoints
};

/// An order of the leader that the receiver sends to an endpoint on its behalf.
struct relayed_order {
    std::uint64_t id{0};  ///< chosen by the leader, unique within all its terms
    std::string endpoint; ///< id of the life that the order is for
    std::string address;  ///< "IP:port" of the endpoint
    cluster::fencing_token token{0};
    std::variant<cluster::start_order, cluster::stop_order,
                 cluster::renew_order>
        order;
};

/// Orders that the receiver passes on. It sends them at once or not at all, and
/// acknowledges every batch with a `reply_batch`.
struct order_batch {
    std::uint64_t sequence{0}; ///< increases with each batch to the receiver
    std::vector<relayed_order> orders;
};

/// How an endpoint replied to a `relayed_order`. A reply to a start or a stop
/// has no lists. The status is `not_sent` if the carrier did not pass it on.
struct relayed_reply {
    std::uint64_t id{0};
    cluster::renew_reply reply;
};

/// Replies to the orders of one or more batches.
struct reply_batch {
    std::uint64_t received{0}; ///< highest sequence of a batch received so far
    std::vector<relayed_reply> replies;
};

using message =
    std::variant<heartbeat, holdings, document, locate_request, locate_response,
                 request_result, forward, cancel, advice_request,
                 advice_response, job_request, job_response,
                 accepted_job_notice, completion_notice, lease_report,
                 order_batch, reply_batch>;

/// A message and its sender ("VM@incarnation").
struct envelope {
    std::string from;
    message content;
};

} // namespace eelgrasslever::wire
