/// @file
/// Orders from the leader to endpoints, and the replies.
#pragma once

#include "eelgrasslever/base/resources.hpp"
#include "eelgrasslever/base/time.hpp"
#include "eelgrasslever/workload/progress.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslever::cluster {

using workload::task_key;

/// Increases with each leader. An endpoint refuses orders whose token is lower
/// than the highest that it has seen.
using fencing_token = std::uint64_t;

/// Lives of one endpoint that the orders of one term can tell apart.
inline constexpr fencing_token lives_per_term = 4096;

/// @param term token of the leader's term.
/// @param life number of the endpoint's life within the term.
/// @return the token of orders. It is higher than those for former lives in the
/// same term, which the endpoint thus refuses once it has seen this one.
[[nodiscard]] constexpr fencing_token order_token(fencing_token term,
                                                  std::uint32_t life) {
    return term * lives_per_term +
           std::min<fencing_token>(life, lives_per_term - 1);
}

/// @return the token of the term to which the token of an order belongs.
[[nodiscard]] constexpr fencing_token term_of(fencing_token order) {
    return order / lives_per_term;
}

/// A reading of an endpoint's own steady clock, which may run 2% slow.
using endpoint_time = std::chrono::duration<std::int64_t, std::milli>;

/// One incarnation of an endpoint, as listed in the registry.
struct endpoint_listing {
    std::string id; ///< of the incarnation, see `to_string(incarnation)`
    std::string service;
    std::string address; ///< "IP:port"
    std::string failure_domain;
    std::string rack;
    std::vector<std::string> labels;
    base::resources capacity; ///< `slots` is not used
    bool draining{false};
};

/// The endpoint refuses a start that arrives later than this. Delayed orders at
/// the deployments are carried out 2 s late or more; by then it is better to
/// start the task elsewhere.
inline constexpr base::milliseconds start_timeout{1500};

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

/// Renews the lease of all runs on the endpoint and reads its state.
struct renew_order {
    /// Sequence number up to which the endpoint may drop completions.
    std::uint64_t completions_recorded{0};
    std::optional<endpoint_time> lease_until; ///< empty: no renewal
    base::milliseconds wait{0}; ///< how long to wait for a completion to report
};

enum class order_status {
    done,
    fenced,       ///< the endpoint has seen a higher token
    outdated_run, ///< a run with this or a higher number has ended there
    too_late,     ///< `start_before` has passed
    no_room,      ///< the endpoint lacks the resources
    ticket_refused,
    overloaded,         ///< the endpoint is unhealthy and did nothing
    malformed,          ///< the endpoint rejects the order as invalid
    other_incarnation,  ///< the addressed incarnation has ended; if another
                        ///< life of its name answers, that one did the order
    refused_connection, ///< nothing listens at the address
    not_sent,           ///< this VM may not send orders any more
    unreachable,        ///< no reply; the order may still be carried out
};

[[nodiscard]] const char* to_string(order_status value);

/// @return whether the status is true of an order whatever became of an earlier
/// try.
[[nodiscard]] constexpr bool settles_repeated_order(order_status status) {
    return status == order_status::done || status == order_status::fenced ||
           status == order_status::other_incarnation;
}

struct order_reply {
    order_status status{order_status::unreachable};
    std::optional<endpoint_time> clock;
};

struct running_task {
    task_key task;
    int run{0};
    std::string checkpoint;
    int percent{0}; ///< completed share of the task's work
};

enum class task_outcome {
    done,
    failed,
    stopped,
    lapsed,      ///< the lease expired
    gang_broken, ///< another member of the gang ended
    gang_alone,  ///< the other members of the gang did not start in time
};

[[nodiscard]] const char* to_string(task_outcome value);

struct finished_task {
    /// Increases by one with each completion on an incarnation.
    std::uint64_t sequence{0};
    task_key task;
    int run{0};
    task_outcome outcome{task_outcome::lapsed};
    std::string checkpoint;
};

struct renew_reply {
    order_status status{order_status::unreachable};
    /// With `other_incarnation`: the id of the life that carried out the order,
    /// if the reply tells.
    std::string answered_by;
    std::optional<endpoint_time> clock;
    std::vector<running_task> running;
    std::vector<finished_task> finished;
    /// The endpoint may have more completions than it lists at a time.
    bool finished_truncated{false};
};

/// Asks the advice service which endpoints may run a step.
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
    advice,        ///< from an advice call to its reply
};

/// Side effects of the scheduler. Replies are passed to the `on_` functions of
/// `scheduler`.
class scheduler_effects {
  public:
    virtual ~scheduler_effects() = default;
    virtual void start(const endpoint_listing& endpoint, fencing_token token,
                       const start_order& order) = 0;
    virtual void stop(const endpoint_listing& endpoint, fencing_token token,
                      const stop_order& order) = 0;
    /// @param fresh_connection don't reuse an open connection.
    virtual void renew(const endpoint_listing& endpoint, fencing_token token,
                       const renew_order& order, bool fresh_connection) = 0;
    /// @param channel the VM that makes the call.
    virtual void ask_advice(const std::string& channel,
                            const advice_call& call) = 0;
    /// Stores the progress of a job. `scheduler::on_recorded` or
    /// `scheduler::on_record_failed` reports the result.
    /// @param version version of the job that @p progress encodes.
    /// @param terminal whether the job has ended and its record is removed.
    virtual void record_progress(const std::string& job, std::uint64_t version,
                                 const std::string& progress,
                                 bool terminal) = 0;
    /// @return the record of a job that ended lately, or nullptr.
    [[nodiscard]] virtual const workload::progress*
    find_ended_job(const std::string& job) const = 0;
    virtual void on_measured(latency_kind kind, const std::string& queue,
                             base::milliseconds took) = 0;
    /// Reports that an endpoint has seen a higher token: another VM leads.
    virtual void on_fenced(const std::string& endpoint) = 0;
};

} // namespace eelgrasslever::cluster
