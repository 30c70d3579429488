#include "eelgrasslever/workload/objective.hpp"

#include <algorithm>

namespace eelgrasslever::workload {

namespace {

/// Candidates of the one advice call that the objective allows for each step,
/// as the users' rules define it.
constexpr int usual_advice_candidates = 30;

} // namespace

std::vector<base::milliseconds> remaining_chain_durations(const job& value) {
    return remaining_chain_durations(value.steps, value.queue.advice);
}

std::vector<base::milliseconds>
remaining_chain_durations(const std::vector<step>& steps,
                          const std::optional<advice_policy>& advice) {
    base::milliseconds call{0};
    if (advice) {
        call = advice->call_duration(usual_advice_candidates);
    }
    std::vector<base::milliseconds> result(steps.size());
    // Steps depend on earlier steps only.
    for (std::size_t i = steps.size(); i-- > 0;) {
        result[i] += steps[i].estimated_duration + call;
        for (int earlier : steps[i].predecessors) {
            auto& before = result[static_cast<std::size_t>(earlier)];
            before = std::max(before, result[i]);
        }
    }
    return result;
}

base::milliseconds
latency_objective(const job& value,
                  const std::vector<base::milliseconds>& chain_durations) {
    auto longest =
        std::max_element(chain_durations.begin(), chain_durations.end());
    if (longest == chain_durations.end()) {
        return value.queue.target_latency;
    }
    return value.queue.target_latency +
           base::milliseconds(static_cast<std::int64_t>(
               value.queue.stretch * static_cast<double>(longest->count())));
}

} // namespace eelgrasslever::workload
