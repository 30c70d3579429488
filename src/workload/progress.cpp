#include "eelgrasslever/workload/progress.hpp"

namespace eelgrasslever::workload {

const char* to_string(job_state value) {
    switch (value) {
    case job_state::queued:
        return "queued";
    case job_state::running:
        return "running";
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::optional<job_state> to_job_state(int value) {
    if (value < 0 || value > static_cast<int>(job_state::cancelled)) {
        return std::nullopt;
    }
    return static_cast<job_state>(value);
}

void name_owner(progress& ended, const job& spec) {
    ended.workspace = spec.workspace;
    ended.step_needs.clear();
    if (spec.workspace.empty()) {
        return;
    }
    for (const step& each : spec.steps) {
        ended.step_needs.push_back(each.need);
    }
}

bool is_terminal(job_state value) {
    return value == job_state::completed || value == job_state::failed ||
           value == job_state::cancelled;
}

} // namespace eelgrasslever::workload
