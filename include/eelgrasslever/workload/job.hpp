/// @file
/// A job as a graph of steps; each step is a number of equal tasks.
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

/// Limits on what one job may ask for. Source: the scheduler's own memory of
/// 64 MB a VM at the size to design for.
inline constexpr int max_steps = 64;
inline constexpr int max_tasks_per_step = 4096;
inline constexpr std::size_t max_payload_bytes = 4000;

/// Admission advice: an outside service says which endpoints may run a step.
struct advice_policy {
    base::milliseconds decision{0};             ///< fixed part of a call
    std::chrono::microseconds per_candidate{0}; ///< for each endpoint named
    base::milliseconds valid{0};                ///< life of a ticket
};

/// The policy of the queue that a job was submitted to, as of its acceptance.
struct queue_policy {
    std::string name;
    std::string service;
    int priority{0}; ///< 0 goes first
    int attempts{1}; ///< failed runs of a task before its job fails
    double stretch{1.0};
    base::milliseconds target_latency{0};
    std::optional<advice_policy> advice;
};

struct step {
    int count{1};
    base::resources need;           ///< of one task; `slots` is not used
    base::milliseconds estimate{0}; ///< rough duration, as declared
    std::vector<int> after;         ///< steps that must have ended first
    bool checkpointing{false};
    bool gang{false};      ///< tasks run only together
    bool same_rack{false}; ///< a gang is slower across racks
    bool speculative{false};
    bool long_running{false};  ///< restarted however it ends, until cancelled
    bool opportunistic{false}; ///< uses processors that others leave unused
    std::string required_label;
    std::string data_rack;   ///< slower on any other rack
    int max_per_endpoint{0}; ///< tasks on one endpoint; 0: no bound
    std::string image;
    base::milliseconds tail_target{0};
    int max_unavailable{0};
};

struct job {
    std::string id;
    std::string payload;
    queue_policy queue;
    std::vector<step> steps;
    int repeat_count{0}; ///< occurrences; 0: runs once, at once
    std::chrono::sys_time<base::milliseconds> start_at{};
    base::milliseconds interval{0};
    std::chrono::sys_time<base::milliseconds> accepted_at{};
};

/// Names one task of one occurrence.
struct task_key {
    std::string job;
    int occurrence{0};
    int step{0};
    int index{0};
    auto operator<=>(const task_key&) const = default;
};

/// @return "JOB.OCCURRENCE.STEP.INDEX".
[[nodiscard]] std::string to_string(const task_key& key);
/// @return the key named @p text, or nothing where it is malformed.
[[nodiscard]] std::optional<task_key> parse_task_key(const std::string& text);

/// Checks that the graph can be run: known, earlier steps only, sane amounts.
/// @return an invalid_argument error that names the step and the field.
[[nodiscard]] base::result<void> validate(const job& value);

/// @return whether some step waits for @p step of @p value.
[[nodiscard]] bool has_successor(const job& value, int step);

} // namespace eelgrasslever::workload
