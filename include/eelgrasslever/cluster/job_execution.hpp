/// @file
/// The leader's working state of one job: which tasks are waiting, running and
/// done.
#pragma once

#include "eelgrasslever/base/time.hpp"
#include "eelgrasslever/cluster/orders.hpp"
#include "eelgrasslever/cluster/step_queue.hpp"
#include "eelgrasslever/workload/progress.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace eelgrasslever::cluster {

/// The endpoint's latest report of a run may be this old when it crashes.
constexpr base::milliseconds max_report_age{1000};

enum class task_phase { waiting, active, done };

struct task_execution {
    task_phase phase{task_phase::waiting};
    int active_run{0};  ///< number of the active run
    int highest_run{0}; ///< highest run number known to have been used
    /// Runs that are or may be alive on some endpoint, including runs that are
    /// being stopped. No further run is started while there is one.
    int live_runs{0};
    std::string endpoint; ///< of the active run
    std::string address;  ///< of that endpoint; empty if not recorded
    std::string checkpoint;
    int failure_count{0};
    int crash_count{0}; ///< runs that were alive when their endpoint crashed
    base::instant not_before{}; ///< earliest start after a failed run
};

/// Permission to run a step on one endpoint.
struct ticket {
    std::string text;
    base::instant valid_until{};
    bool used{false}; ///< a task was placed with it
};

/// Room on one endpoint that a step is about to use.
struct room_claim {
    std::uint32_t endpoint{0}; ///< `endpoint_state::number`
    base::resources amount;
};

/// What the advice service has replied for a step. Whether an endpoint may run
/// the step does not change during the lifetimes of both; only tickets expire.
///
/// Endpoints are identified by `endpoint_state::number`.
struct step_advice {
    std::unordered_map<std::uint32_t, ticket> admitted;
    std::unordered_set<std::uint32_t> rejected;
    base::instant last_valid_until{}; ///< no ticket is valid for longer
    int calls_in_flight{0};
    int renewals{0};                 ///< calls for new tickets of a gang
    base::instant next_renewal_at{}; ///< earliest next one
    base::instant reply_due_at{};    ///< of the latest call in flight
    /// Earliest next call that only adds endpoints.
    base::instant next_call_at{};
    /// Room that the step may take once the outstanding call is answered.
    std::vector<room_claim> claims;
};

/// Room that a gang reserves until it is worked out anew.
struct gathering {
    std::vector<room_claim> claims; ///< empty if it may not reserve any
    double share{0.0};              ///< of the fleet; 0 without claims
    base::instant start{};          ///< from when it needs them
    base::instant valid_until{};
};

struct step_execution {
    std::vector<task_execution> tasks;
    int waiting_count{0};
    int done_count{0};
    step_advice advice;
    gathering room;
    base::instant unlocked_at{};
    base::instant examined_at{};  ///< by a placement pass, most recently
    std::uint64_t examined_in{0}; ///< number of that pass
    /// Since when passes have examined it without placing any of its tasks.
    std::optional<base::instant> fruitless_since;
    /// Since when it has found no place although there was room to spare.
    std::optional<base::instant> beside_room_since;
    base::instant wait_reported_at{}; ///< most recently
    base::milliseconds deferral{0};   ///< length of the latest deferral
    /// Whether its workspace's limit could admit it, as it was logged last.
    std::optional<bool> reported_as_admissible;
    bool unlocked{false};          ///< all preceding steps are complete
    std::optional<step_rank> rank; ///< set once the step is unlocked

    [[nodiscard]] bool is_complete() const {
        return done_count == static_cast<int>(tasks.size());
    }
    /// Forgets what the search for endpoints has found, as other endpoints may
    /// run the step from now on.
    void forget_search();
};

struct occurrence_execution {
    std::vector<step_execution> steps;
    base::instant due_at{};
    [[nodiscard]] bool is_complete() const;
};

/// An accepted job that has not ended.
class job_execution {
  public:
    /// @param recorded progress stored by an earlier leader.
    /// @param run_base new runs get higher numbers than this, so that run
    /// numbers increase across changes of the leader.
    /// @param age how long ago the job was accepted.
    job_execution(std::shared_ptr<const workload::job> job,
                  const workload::progress& recorded, int run_base,
                  base::instant now, base::milliseconds age);

    [[nodiscard]] const workload::job& job() const { return *m_job; }
    /// @return the policy in force for the job; that of its record holds only
    /// until a later version of the configuration applies to it.
    [[nodiscard]] const workload::queue_policy& queue() const {
        return m_queue;
    }
    /// Replaces the policy in force, and with it the latest starts. The
    /// objective stays as accepted.
    void set_queue(workload::queue_policy policy);
    [[nodiscard]] const workload::progress& progress() const {
        return m_progress;
    }
    /// @return a number that increases with each change of the progress.
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] bool has_ended() const {
        return workload::is_terminal(m_progress.state);
    }
    /// @return when this leader first saw the job.
    [[nodiscard]] base::instant first_seen_at() const {
        return m_first_seen_at;
    }
    /// Creates the occurrences that are due.
    /// @return whether any was created.
    bool open_due_occurrences(std::chrono::sys_time<base::milliseconds> wall,
                              base::instant now);
    [[nodiscard]] std::map<int, occurrence_execution>& occurrences() {
        return m_occurrences;
    }
    /// @return the latest start of the step with which its occurrence can still
    /// end within the queue's objective, by the estimated durations.
    [[nodiscard]] base::instant latest_start(int occurrence, int step) const;
    /// @return the latest start with which its occurrence can still end within
    /// three times that objective, until when a late end is of use.
    [[nodiscard]] base::instant latest_useful_start(int occurrence,
                                                    int step) const;
    /// @return nullptr if there is no such step.
    [[nodiscard]] step_execution* find_step(int occurrence, int step);
    /// @return nullptr if there is no such task.
    [[nodiscard]] task_execution* find_task(const task_key& key);

    /// Unlocks each step whose predecessors are all complete.
    /// @return the steps that became unlocked.
    std::vector<workload::step_key> unlock_steps(base::instant now);

    /// @return the number for the next run of @p task.
    [[nodiscard]] int next_run_number(const task_execution& task) const;

    // State transitions. Each increases the version if the stored progress
    // must change.
    void mark_started();
    void mark_active(const task_key& key, const workload::placement& placed);
    void mark_waiting(const task_key& key);
    void mark_done(const task_key& key);
    /// Counts a failed run of the task or of its gang. A run that is reported
    /// again is not counted again.
    /// @return whether the allowed attempts are used up.
    bool count_failure(const task_key& key, int run);
    /// Counts a run that was alive when its endpoint crashed.
    /// @param seen_alive how long the endpoint was seen running it.
    void count_crash(const task_key& key, int run,
                     base::milliseconds seen_alive);
    /// Notes a run that was alive when its endpoint was lost, which may have
    /// crashed.
    void note_lost(const task_key& key, int run,
                   const workload::unproved_run& lost);
    /// Removes a run that was not lost in a crash, as far as can be known.
    /// @return whether it had been noted as lost.
    bool forget_lost(const task_key& key, int run);
    /// Clears the crashes of a task with a run that outlived all of them.
    /// @return whether it had any.
    bool note_survival(const task_key& key, base::milliseconds seen_alive);
    /// @return whether so many endpoints have crashed under the task that it is
    /// not started again.
    [[nodiscard]] bool is_crash_limit_reached(const task_key& key) const;
    /// @return whether the task may have caused the crashes under it, so that
    /// it is to be started apart from other work.
    [[nodiscard]] bool is_suspect(const task_key& key) const;
    /// @return the age at which a suspect may crash its endpoint; 0: at its
    /// start.
    [[nodiscard]] base::milliseconds suspect_age(const task_key& key) const;
    /// @return whether the next start is beyond the limit if the runs whose
    /// endpoints were lost turn out to have crashed them.
    [[nodiscard]] bool awaits_proof(const task_key& key) const;
    /// Takes back a start that was not carried out.
    void cancel_start(const task_key& key, int run);
    /// Ends the job. Its record then tells whose limit its runs count against.
    void finish(workload::job_state state, const std::string& reason);
    /// Names the runs of the ended job that may still be alive.
    void set_remaining_runs(std::map<std::string, workload::placement> runs);
    /// @return whether all occurrences, including future ones, are complete.
    [[nodiscard]] bool all_occurrences_complete() const;

  private:
    void open_occurrence(int number, base::instant now);
    /// @return how long a run of the task was seen alive at most whose endpoint
    /// crashed.
    [[nodiscard]] base::milliseconds
    longest_crashed_run(const task_key& key) const;
    /// Also forgets lost runs that were seen for at most @p outlived.
    void clear_crashes(const task_key& key, base::milliseconds outlived);
    /// @return the runs that crashed or may have, and how long each was seen.
    [[nodiscard]] std::map<int, base::milliseconds>
    possible_crashes(const task_key& key) const;
    /// @param seen_alive the runs that crashed, and how long each was seen.
    /// @return whether the task has been started as often as it may be after
    /// such crashes.
    [[nodiscard]] bool is_start_limit_reached(
        const task_key& key,
        const std::map<int, base::milliseconds>& seen_alive) const;
    [[nodiscard]] std::string failure_key(const task_key& key) const;
    /// Restores the run that an earlier leader recorded for @p task.
    void restore_placement(const task_key& key, step_execution& step,
                           task_execution& task);

    std::shared_ptr<const workload::job> m_job;
    workload::queue_policy m_queue; ///< in force
    workload::progress m_progress;
    int m_run_base{0};
    std::uint64_t m_version{0};
    base::instant m_first_seen_at{};
    base::milliseconds m_age_when_seen{0};
    std::vector<base::milliseconds> m_chain_durations; ///< by step
    base::milliseconds m_objective{0};
    int m_next_occurrence{0};
    std::map<int, occurrence_execution> m_occurrences;
};

} // namespace eelgrasslever::cluster
