/// @file
/// What must be remembered of a job beside the job itself.
#pragma once

#include "eelgrasslever/workload/job.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace eelgrasslever::workload {

enum class job_state { queued, running, completed, failed, cancelled };

[[nodiscard]] const char* to_string(job_state value);
[[nodiscard]] bool is_terminal(job_state value);

/// Occurrence and step.
using step_key = std::pair<int, int>;

/// Where the latest run of a task may be alive.
struct placement {
    int run{0};
    std::string endpoint;
    friend bool operator==(const placement&, const placement&) = default;
};

/// Ends are recorded before the endpoint that reported them is told to forget
/// them, and placements before the endpoint is told to start the run.
struct progress {
    job_state state{job_state::queued};
    /// Tasks that have ended well: one flag for each task of a step.
    std::map<step_key, std::vector<bool>> done;
    /// Numbers of failed runs by "OCCURRENCE.STEP.INDEX"; index 0 stands for a
    /// gang. A run that is reported twice counts once.
    std::map<std::string, std::set<int>> failures;
    /// Runs that may be alive, by "OCCURRENCE.STEP.INDEX".
    std::map<std::string, placement> placements;
    std::string queue;  ///< outlives the job's own record
    std::string reason; ///< why it failed

    friend bool operator==(const progress&, const progress&) = default;
};

} // namespace eelgrasslever::workload
