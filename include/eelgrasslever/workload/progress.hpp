/// @file
/// The progress of a job, stored next to the job itself.
#pragma once

#include "eelgrasslever/workload/job.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace eelgrasslever::workload {

enum class job_state { queued, running, completed, failed, cancelled };

[[nodiscard]] const char* to_string(job_state value);
/// @return whether a job in this state never runs again.
[[nodiscard]] bool is_terminal(job_state value);
/// @return the state with number @p value, or nothing if there is none.
[[nodiscard]] std::optional<job_state> to_job_state(int value);

/// Occurrence and step index.
using step_key = std::pair<int, int>;

/// The latest run of a task, which may still be alive.
struct placement {
    int run{0};
    std::string endpoint;
    /// "IP:port" of the endpoint, which lets a new leader ask it about the run
    /// while its registry entry is missing; empty in older records.
    std::string address;
    friend bool operator==(const placement&, const placement&) = default;
};

/// A run that was alive when its endpoint was lost. Whether the endpoint has
/// crashed has not shown yet.
struct unproved_run {
    std::string endpoint;
    std::string address;              ///< "IP:port" of the endpoint
    base::milliseconds seen_alive{0}; ///< as reported by the endpoint
    friend bool operator==(const unproved_run&, const unproved_run&) = default;
};

/// Write order: a task completion is stored before the endpoint is told to
/// discard its report, and a placement is stored before the endpoint is
/// ordered to start the run. A new leader can therefore recover every run.
struct progress {
    job_state state{job_state::queued};
    /// Tasks that completed successfully: one flag per task of a step.
    std::map<step_key, std::vector<bool>> completed;
    /// Numbers of the failed runs by "OCCURRENCE.STEP.INDEX"; a gang uses
    /// index 0. A set, because a run may be reported more than once.
    std::map<std::string, std::set<int>> failed_runs;
    /// Runs that were alive when their endpoint crashed, by
    /// "OCCURRENCE.STEP.INDEX": how long the endpoint was seen running each
    /// one.
    std::map<std::string, std::map<int, base::milliseconds>> crashed_runs;
    /// Runs that may have been lost in a crash, by "OCCURRENCE.STEP.INDEX" and
    /// number.
    std::map<std::string, std::map<int, unproved_run>> unproved_runs;
    /// Starts of a task since the first of those runs, by
    /// "OCCURRENCE.STEP.INDEX". After a few more crashes they are limited.
    std::map<std::string, std::set<int>> last_starts;
    /// Runs that may be alive, by "OCCURRENCE.STEP.INDEX". Those of an ended
    /// job are kept until their ends are listed if it has a workspace.
    std::map<std::string, placement> placements;
    /// Workspace of the job, and what a task of each step needs: whose limit
    /// the remaining runs count against, and how much. Set when the job ends,
    /// as its own record is deleted then; empty in older records.
    std::string workspace;
    std::vector<base::resources> step_needs;
    /// Queue of the job; needed after the job record has been deleted.
    std::string queue;
    std::string failure_reason; ///< set when the job fails

    friend bool operator==(const progress&, const progress&) = default;
};

/// Sets the workspace and the needs in the progress of a job that ends. Jobs
/// without a workspace leave both empty.
void name_owner(progress& ended, const job& spec);

} // namespace eelgrasslever::workload
