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

bool is_terminal(job_state value) {
    return value == job_state::completed || value == job_state::failed ||
           value == job_state::cancelled;
}

} // namespace eelgrasslever::workload
