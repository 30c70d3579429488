/// @file
/// The time within which a job should end, from its queue's policy and the
/// estimated durations of its steps.
#pragma once

#include "eelgrasslever/workload/job.hpp"

#include <optional>
#include <vector>

namespace eelgrasslever::workload {

/// @return for each step, the estimated time from its start to the end of the
/// job along the longest chain of dependent steps, with one advice call a step.
[[nodiscard]] std::vector<base::milliseconds>
remaining_chain_durations(const job& value);

/// Likewise, for steps of a queue with another advice policy than the one that
/// the job was accepted with.
[[nodiscard]] std::vector<base::milliseconds>
remaining_chain_durations(const std::vector<step>& steps,
                          const std::optional<advice_policy>& advice);

/// @param chain_durations the result of `remaining_chain_durations`.
/// @return the time from the job's due time to the end that its queue aims at.
[[nodiscard]] base::milliseconds
latency_objective(const job& value,
                  const std::vector<base::milliseconds>& chain_durations);

} // namespace eelgrasslever::workload
