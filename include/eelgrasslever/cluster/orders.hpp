/// @file
/// What the leader orders of an endpoint, and what the endpoint replies.
#pragma once

#include "eelgrasslever/base/resources.hpp"
#include "eelgrasslever/base/time.hpp"
#include "eelgrasslever/workload/job.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslever::cluster {

using workload::task_key;

/// Fences orders: an endpoint ignores one that carries a lower token than the
/// highest it has seen.
using fencing_token = std::uint64_t;

/// A reading of an endpoint's own steady clock, which may be 2% slow.
using endpoint_time = std::chrono::duration<std::int64_t, std::milli>;

/// One incarnation of an endpoint, as the registry lists it.
struct endpoint_listing {
    std::string id; ///< names the incarnation
    std::string service;
    std::string address; ///< "IP:port"
    std::string failure_domain;
    std::string rack;
    std::vector<std::string> labels;
    base::resources capacity; ///< `slots` is not used
    bool draining{false};
};

struct start_order {
    task_key task;
    int run{0};
    std::string payload;
    endpoint_time start_before{0}; ///< the endpoint refuses it afterwards
    std::string checkpoint;
    std::string ticket;
};

struct stop_order {
    task_key task;
    int run{0};
};

/// Renews the lease of all that runs on the endpoint and asks for its state.
struct renew_order {
    std::uint64_t completions_recorded{0}; ///< ends up to here may be forgotten
    std::optional<endpoint_time> lease_until;
    base::milliseconds wait{0}; ///< for an end to report
};

enum class order_status {
    done,
    fenced,       ///< a higher token has been seen
    outdated_run, ///< the run is not higher than one that ended there
    too_late,     ///< `start_before` has passed
    no_room,
    ticket_refused,
    overloaded,         ///< the endpoint is unhealthy; nothing was done
    malformed,          ///< the endpoint does not accept the order as such
    other_incarnation,  ///< the one addressed has ended
    refused_connection, ///< nothing listens at the address
    not_sent,           ///< this VM may not order any more
    unreachable,        ///< no reply; the order may still be carried out
};

[[nodiscard]] const char* to_string(order_status value);

struct order_reply {
    order_status status{order_status::unreachable};
    std::optional<endpoint_time> clock;
};

struct running_task {
    task_key task;
    int run{0};
    std::string checkpoint;
    int percent{0}; ///< of the task's work that is done
};

enum class task_outcome {
    done,
    failed,
    stopped,
    lapsed,      ///< its lease ran out
    gang_broken, ///< another member ended
    gang_alone,  ///< the other members did not come
};

[[nodiscard]] const char* to_string(task_outcome value);

struct finished_task {
    std::uint64_t number{0}; ///< rises by one with each end of an incarnation
    task_key task;
    int run{0};
    task_outcome outcome{task_outcome::lapsed};
    std::string checkpoint;
};

struct renew_reply {
    order_status status{order_status::unreachable};
    std::optional<endpoint_time> clock;
    std::vector<running_task> running;
    std::vector<finished_task> finished;
};

/// A request for advice on which endpoints may run a step.
struct advice_call {
    std::uint64_t query{0};
    workload::task_key step; ///< `index` is not used
    std::vector<std::string> candidates;
    base::milliseconds timeout{0};
};

struct advice_reply {
    bool answered{false};
    /// Endpoints that may run the step, each with its ticket.
    std::vector<std::pair<std::string, std::string>> admitted;
};

/// Durations that the scheduler measures.
enum class latency_kind {
    wait_to_start, ///< from a job's acceptance to its first start
    advice,        ///< from a request for advice to its reply
};

/// How the leader acts on the world. Replies come back through `scheduler`.
class scheduler_effects {
  public:
    virtual ~scheduler_effects() = default;
    virtual void start(const endpoint_listing& at, fencing_token token,
                       const start_order& order) = 0;
    virtual void stop(const endpoint_listing& at, fencing_token token,
                      const stop_order& order) = 0;
    virtual void renew(const endpoint_listing& at, fencing_token token,
                       const renew_order& order, bool fresh_connection) = 0;
    /// @param channel the VM that makes the call.
    virtual void ask_advice(const std::string& channel,
                            const advice_call& call) = 0;
    /// Stores progress of a job; `scheduler::on_recorded` follows.
    virtual void record_progress(const std::string& job, std::uint64_t version,
                                 const std::string& progress,
                                 bool terminal) = 0;
    virtual void on_measured(latency_kind what, const std::string& queue,
                             base::milliseconds took) = 0;
    /// A higher token was seen: another VM leads.
    virtual void on_fenced(const std::string& endpoint) = 0;
};

} // namespace eelgrasslever::cluster
