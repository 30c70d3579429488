#include "eelgrasslever/cluster/expired_records.hpp"

#include "eelgrasslever/cluster/ended_jobs.hpp"
#include "eelgrasslever/cluster/unmet_cancellations.hpp"

#include <utility>

namespace eelgrasslever::cluster {

std::vector<std::vector<std::string>> find_expired_records(const job_view& view,
                                                           base::instant now) {
    std::vector<std::vector<std::string>> result;
    for (const auto& [id, entry] : view.all()) {
        if (result.size() == max_removals_per_pass) {
            break;
        }
        bool has_ended = workload::is_terminal(entry.progress.state) &&
                         now - entry.ended_at >= ended_jobs::retention;
        bool is_unmet =
            entry.is_unmet_cancellation(now - unmet_cancellations::retention);
        if (!has_ended && !is_unmet) {
            continue;
        }
        std::vector<std::string> removals;
        if (has_ended) {
            removals.push_back(keys::progress + id);
        }
        if (entry.cancel_requested) {
            removals.push_back(keys::cancel + id);
        }
        result.push_back(std::move(removals));
    }
    return result;
}

} // namespace eelgrasslever::cluster
