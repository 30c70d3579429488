/// @file
/// The endpoint's published protocol: claims with epochs, tasks under leases.
///
/// An endpoint (worker VM) accepts work only from the holder of its claim. A
/// new claim gets a higher epoch; calls with an older epoch, or after the claim
/// has expired, are refused. An epoch never comes again, even after a restart.
/// Every call is an HTTP POST with a JSON body.
#pragma once

#include "eelgrasslever/base/resources.hpp"
#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace eelgrasslever::endpoint {

enum class call_kind {
    claim,   ///< take the claim with a new epoch; returns the inventory;
             ///< does not renew the leases of running tasks
    poll,    ///< renew an unexpired claim and its tasks' leases; wait for
             ///< reports
    start,   ///< start tasks
    stop,    ///< stop or checkpoint tasks
    release, ///< give the claim up; running tasks go on under their leases
};

[[nodiscard]] const char* to_string(call_kind kind);

/// One task to start.
struct task_spec {
    std::string id;
    base::resources need;
    base::milliseconds declared_run{
        0}; ///< the run time that the caller declared
    std::string payload;
    std::string kind; ///< policy name, for the audit
    std::string tier; ///< "paying" or "trial"
    bool repeatable{true};
    std::string traceparent;
};

enum class task_state {
    running,
    completed,
    failed,
    stopped, ///< stopped on request or because its lease ran out
    refused, ///< never started
};

[[nodiscard]] const char* to_string(task_state state);

/// What an endpoint says about one task.
struct task_report {
    std::string id;
    task_state state{task_state::refused};
    std::uint64_t sequence{0}; ///< order of endings at this endpoint
    base::milliseconds run_time{0};
    std::string result;
    std::string reason;
    base::resources need;
    std::string kind;
    std::string tier;
    bool repeatable{true};
};

struct call {
    call_kind kind{call_kind::poll};
    std::string holder; ///< "VM@incarnation"
    std::uint64_t epoch{0};
    base::milliseconds claim_ttl{0};
    base::milliseconds wait{0};
    std::uint64_t acknowledged{0}; ///< highest report sequence already seen
    std::vector<task_spec> starts;
    std::vector<std::string> stops;
    bool fresh_connection{false}; ///< transport hint, not part of the body
    base::milliseconds timeout{1000};
};

struct reply {
    bool reached{false}; ///< false: the call may or may not have taken effect
    bool accepted{false};
    std::uint64_t boot{0}; ///< changes when the endpoint has restarted
    std::uint64_t epoch{0};
    std::string holder;                    ///< present holder where refused
    base::milliseconds claim_remaining{0}; ///< of that holder
    base::resources capacity;
    bool leaving{false};
    std::vector<task_report> reports;
    std::string failure;
};

[[nodiscard]] std::string call_path(call_kind kind);
void to_json(nlohmann::json& out, const task_spec& in);
void from_json(const nlohmann::json& in, task_spec& out);
void to_json(nlohmann::json& out, const task_report& in);
void from_json(const nlohmann::json& in, task_report& out);
void to_json(nlohmann::json& out, const call& in);
void from_json(const nlohmann::json& in, call& out);
void to_json(nlohmann::json& out, const reply& in);
void from_json(const nlohmann::json& in, reply& out);

} // namespace eelgrasslever::endpoint
