/// @file
/// Selects the records of jobs that the leader removes from the store.
#pragma once

#include "eelgrasslever/cluster/job_view.hpp"

#include <string>
#include <vector>

namespace eelgrasslever::cluster {

/// Most jobs whose records are removed in one pass, at one pass a second. They
/// exceed twice the 95 jobs a second of the busiest deployment and the 100
/// cancellations a second that `unmet_cancellations` admits.
inline constexpr std::size_t max_removals_per_pass = 300;

/// @return the keys to remove, by job: of jobs that ended at least
/// `ended_jobs::retention` before @p now, and of cancellations that have met no
/// job for `unmet_cancellations::retention`; of `max_removals_per_pass` jobs
/// at most.
[[nodiscard]] std::vector<std::vector<std::string>>
find_expired_records(const job_view& view, base::instant now);

} // namespace eelgrasslever::cluster
