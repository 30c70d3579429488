/// @file
/// The leader's working state of one job: which tasks wait, run and are done.
#pragma once

#include "eelgrasslever/base/time.hpp"
#include "eelgrasslever/cluster/orders.hpp"
#include "eelgrasslever/workload/progress.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace eelgrasslever::cluster {

enum class task_phase { waiting, active, done };

struct task_run {
    task_phase phase{task_phase::waiting};
    int run{0};      ///< number of the active run
    int last_run{0}; ///< highest number known to have been used
    /// Runs that are or may be alive on some endpoint, wanted or not. The task
    /// is not started while there is one.
    int live_runs{0};
    std::string endpoint; ///< of the active run
    std::string checkpoint;
    int failures{0};
    base::instant not_before{}; ///< pause after a run that failed
};

/// A permission to run a step on one endpoint.
struct ticket {
    std::string text;
    base::instant valid_until{};
};

/// What advice has said of a step. Which endpoints may run it never changes
/// within their lives; only the tickets expire.
struct step_advice {
    std::unordered_map<std::string, ticket> admitted;
    std::unordered_set<std::string> rejected;
    bool in_flight{false};
    base::instant ask_after{};
};

struct step_run {
    std::vector<task_run> tasks;
    int waiting{0};
    int done{0};
    step_advice advice;
    base::instant unlocked_at{};
    base::instant reserved_at{};
    bool unlocked{false};

    [[nodiscard]] bool complete() const {
        return done == static_cast<int>(tasks.size());
    }
};

struct occurrence_run {
    std::vector<step_run> steps;
    [[nodiscard]] bool complete() const;
};

/// One accepted job that has not ended.
class job_run {
  public:
    /// @param run_base runs are numbered from here on, so that they rise over
    /// a change of leader.
    job_run(std::shared_ptr<const workload::job> job,
            const workload::progress& recorded, int run_base,
            base::instant now);

    [[nodiscard]] const workload::job& job() const { return *m_job; }
    [[nodiscard]] const workload::progress& progress() const {
        return m_progress;
    }
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] bool ended() const {
        return workload::is_terminal(m_progress.state);
    }
    [[nodiscard]] base::instant seen_at() const { return m_seen_at; }
    /// Creates the occurrences that are due.
    /// @return whether one was created.
    bool open_due_occurrences(std::chrono::sys_time<base::milliseconds> wall,
                              base::instant now);
    [[nodiscard]] std::map<int, occurrence_run>& occurrences() {
        return m_occurrences;
    }
    [[nodiscard]] step_run* find_step(int occurrence, int step);
    [[nodiscard]] task_run* find_task(const task_key& key);

    /// Unlocks each step whose predecessors are all done.
    /// @return the steps that became unlocked.
    std::vector<workload::step_key> unlock_steps(base::instant now);

    /// @return the number for the next run of @p task.
    [[nodiscard]] int next_run(const task_run& task) const;

    // Each transition below raises the version where it must be recorded.
    void mark_started();
    void mark_active(const task_key& key, int run, const std::string& at);
    void mark_waiting(const task_key& key);
    void mark_done(const task_key& key);
    /// Counts a failed run of the task, or of its gang, once.
    /// @return whether its attempts are used up.
    bool count_failure(const task_key& key, int run);
    void finish(workload::job_state state, const std::string& reason);
    /// @return whether every occurrence there will be is complete.
    [[nodiscard]] bool all_complete() const;

  private:
    void open_occurrence(int number, base::instant now);
    [[nodiscard]] std::string failure_key(const task_key& key) const;
    /// Takes up the run that an earlier leader recorded for @p task.
    void restore_placement(const task_key& key, step_run& step, task_run& task);

    std::shared_ptr<const workload::job> m_job;
    workload::progress m_progress;
    int m_run_base{0};
    std::uint64_t m_version{0};
    base::instant m_seen_at{};
    int m_next_occurrence{0};
    std::map<int, occurrence_run> m_occurrences;
};

} // namespace eelgrasslever::cluster
