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

/// Recorded before the endpoint that reported it is told to forget it.
struct progress {
    job_state state{job_state::queued};
    /// Tasks that have ended well: one flag for each task of a step.
    std::map<step_key, std::vector<bool>> done;
    /// Numbers of failed runs by "OCCURRENCE.STEP.INDEX"; index 0 stands for a
    /// gang. A run that is reported twice counts once.
    std::map<std::string, std::set<int>> failures;
    std::string queue;  ///< outlives the job's own record
    std::string reason; ///< why it failed

    friend bool operator==(const progress&, const progress&) = default;
};

} // namespace eelgrasslever::workload
