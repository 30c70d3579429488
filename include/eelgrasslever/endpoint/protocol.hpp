/// @file
/// The protocol between an entry VM and an endpoint (worker VM): claims with
/// epochs, and tasks under leases.
///
/// An endpoint accepts work only from the holder of its claim. Each new claim
/// gets a higher epoch. The endpoint refuses calls that carry an older epoch or
/// arrive after the claim has expired. Epochs are never reused, not even after
/// a restart of the endpoint. Every call is an HTTP POST with a JSON body.
#pragma once

#include "eelgrasslever/base/resources.hpp"
#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace eelgrasslever::endpoint {

enum class call_kind {
    claim,   ///< acquires the claim with a new epoch and returns the inventory
             ///< of tasks; does not renew the leases of running tasks
    poll,    ///< renews an unexpired claim and the leases of its tasks, and
             ///< waits for reports
    start,   ///< starts tasks
    stop,    ///< stops or checkpoints tasks
    release, ///< releases the claim; running tasks continue under their leases
};

[[nodiscard]] const char* to_string(call_kind kind);

/// A task to start.
struct task_spec {
    std::string id;
    base::resources need;
    /// Run time that the caller declared; 0 for tasks that run until stopped.
    base::milliseconds declared_run{0};
    std::string payload;
    std::string kind;        ///< name of the policy, for the audit
    std::string tier;        ///< "paying" or "trial"
    bool repeatable{true};   ///< whether it is safe to run the task again
    std::string traceparent; ///< W3C trace context; empty: not traced
};

enum class task_state {
    running,
    completed,
    failed,
    stopped, ///< stopped on request or because its lease expired
    refused, ///< never started
};

[[nodiscard]] const char* to_string(task_state state);

/// State of one task, reported by an endpoint.
struct task_report {
    std::string id;
    task_state state{task_state::refused};
    /// Order in which tasks finished at this endpoint; 0 while running.
    std::uint64_t sequence{0};
    base::milliseconds run_time{0};
    std::string result; ///< output of a completed task
    std::string reason; ///< why the task failed, stopped or was refused
    base::resources need;
    std::string kind;
    std::string tier;
    bool repeatable{true};
};

/// A call to an endpoint.
struct call {
    call_kind kind{call_kind::poll};
    std::string holder; ///< "VM@incarnation"
    std::uint64_t epoch{0};
    base::milliseconds claim_ttl{0}; ///< for `claim` and `poll`
    base::milliseconds wait{0}; ///< longest time that a poll waits for reports
    std::uint64_t acknowledged{0}; ///< highest report sequence received
    std::vector<task_spec> starts;
    std::vector<std::string> stops; ///< task ids
    /// Whether to open a new connection; not part of the body.
    bool fresh_connection{false};
    base::milliseconds timeout{1000}; ///< not part of the body
};

/// The reply to a call, or the failure to get one.
struct reply {
    bool reached{false}; ///< false: no reply; the call may have taken effect
    bool accepted{false};
    std::uint64_t boot{0}; ///< changes with every restart of the endpoint
    std::uint64_t epoch{0};
    std::string holder;                    ///< current claim holder, if refused
    base::milliseconds claim_remaining{0}; ///< until that claim expires
    base::resources capacity;
    bool leaving{false}; ///< whether the endpoint is about to leave
    std::vector<task_report> reports;
    std::string failure; ///< why the call failed or was refused
};

/// @return the URL path of the call, such as "/v1/poll".
[[nodiscard]] std::string call_path(call_kind kind);
void to_json(nlohmann::json& json, const task_spec& spec);
void from_json(const nlohmann::json& json, task_spec& spec);
void to_json(nlohmann::json& json, const task_report& report);
void from_json(const nlohmann::json& json, task_report& report);
void to_json(nlohmann::json& json, const call& request);
void from_json(const nlohmann::json& json, call& request);
void to_json(nlohmann::json& json, const reply& response);
void from_json(const nlohmann::json& json, reply& response);

} // namespace eelgrasslever::endpoint
