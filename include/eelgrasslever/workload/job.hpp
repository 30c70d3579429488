/// @file
/// The job model: a job is a graph of steps, and a step is a number of
/// identical tasks.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/base/resources.hpp"
#include "eelgrasslever/base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslever::workload {

/// Limits on a single job. They keep the scheduler's memory below 64 MB per VM
/// at the cluster size that it is designed for.
inline constexpr int max_steps = 64;
inline constexpr int max_tasks_per_step = 4096;
inline constexpr std::size_t max_payload_bytes = 4000;

/// Cost and validity of admission advice. An external service decides which
/// endpoints may run a step and issues a ticket for each of them.
struct advice_policy {
    /// Time that the service takes for a call, without the candidates.
    base::milliseconds fixed_call_time{0};
    /// Additional time for each candidate endpoint in the call.
    std::chrono::microseconds call_time_per_candidate{0};
    base::milliseconds ticket_lifetime{0};

    /// @return the time that the service takes for a call.
    [[nodiscard]] base::milliseconds
    call_duration(std::size_t candidates) const {
        return fixed_call_time + std::chrono::duration_cast<base::milliseconds>(
                                     call_time_per_candidate *
                                     static_cast<std::int64_t>(candidates));
    }
    bool operator==(const advice_policy&) const = default;
};

/// The policy of a queue in one version of the configuration.
struct queue_policy {
    std::string name;
    std::string service; ///< only endpoints of this service run the job
    int priority{0};     ///< 0 is the highest
    /// The job fails once a task, or a gang, has failed this many times.
    int max_attempts{1};
    /// The job should end within this multiple of the duration of its longest
    /// chain of steps, plus `target_latency`.
    double stretch{1.0};
    base::milliseconds target_latency{0};
    std::optional<advice_policy> advice; ///< unset: no advice is needed
    bool operator==(const queue_policy&) const = default;
};

/// Applies a later version of a queue's policy to a job that was accepted
/// before. Where and in which order the queue is served follows the later
/// version: `service`, `priority` and `advice`. What the caller was promised
/// stays as accepted: `max_attempts`, `stretch` and `target_latency`. The
/// number of attempts decides whether a job has failed, which can't be taken
/// back, so that it must not depend on which version a leader knows.
/// @return the policy of the job from now on.
[[nodiscard]] queue_policy update_policy(const queue_policy& accepted,
                                         const queue_policy& later);

/// A number of identical tasks. Fields marked as stored only are kept in the
/// record but not used for scheduling.
struct step {
    int count{1};         ///< number of tasks
    base::resources need; ///< of one task; `slots` is not used
    base::milliseconds estimated_duration{0}; ///< of one task; stored only
    /// Indexes of the steps that must complete before this one starts.
    std::vector<int> predecessors;
    bool checkpointing{false}; ///< a task resumes from its last checkpoint
    bool gang{false};          ///< the tasks only run all at the same time
    /// A single rack is preferred for the gang, which is slower across racks.
    bool same_rack{false};
    bool speculative{false}; ///< stored only
    /// Tasks are restarted whenever they exit, until the job is cancelled.
    bool long_running{false};
    bool opportunistic{false};  ///< uses idle processor time; stored only
    std::string required_label; ///< of the endpoint; empty: any endpoint
    std::string data_rack;      ///< tasks run slower on any other rack
    int max_per_endpoint{0};    ///< tasks on one endpoint; 0: no limit
    std::string image;          ///< stored only
    base::milliseconds tail_latency_target{0}; ///< stored only
    int max_unavailable{0};                    ///< stored only
};

struct job {
    std::string id;
    std::string payload; ///< opaque; passed to the endpoint unchanged
    /// Whose limits and share the job counts against; empty: none.
    std::string workspace;
    queue_policy queue; ///< as it was when the job was accepted
    /// Version of the configuration that `queue` is from. 0 in records of
    /// product versions that did not store it.
    std::uint64_t configuration_version{0};
    std::vector<step> steps;
    int repeat_count{0}; ///< number of occurrences; 0: one, due immediately
    std::chrono::sys_time<base::milliseconds> start_at{}; ///< of occurrence 0
    base::milliseconds interval{0}; ///< between the starts of occurrences
    std::chrono::sys_time<base::milliseconds> accepted_at{};
};

/// Identifies one task of one occurrence.
struct task_key {
    std::string job;
    int occurrence{0};
    int step{0};
    int index{0};
    auto operator<=>(const task_key&) const = default;
};

/// @return "JOB.OCCURRENCE.STEP.INDEX".
[[nodiscard]] std::string to_string(const task_key& key);
/// @param text the result of `to_string`. The job id may contain dots.
/// @return the key, or nothing if @p text is malformed.
[[nodiscard]] std::optional<task_key> parse_task_key(const std::string& text);

/// Checks the limits above, that no amount is negative, and that steps only
/// depend on earlier steps, so that the graph has no cycle.
/// @return an invalid_argument error that names the step and the field.
[[nodiscard]] base::result<void> validate(const job& value);

/// Checks that what must run at the same time fits within @p cap.
/// @param cap 0 in a component: not limited.
/// @return an invalid_argument error that names the step.
[[nodiscard]] base::result<void> check_limit(const job& value,
                                             const base::resources& cap);

/// @return whether any step of @p value depends on @p step.
[[nodiscard]] bool has_successor(const job& value, int step);

} // namespace eelgrasslever::workload
