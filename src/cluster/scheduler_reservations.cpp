// Reserves endpoints for gangs that wait for free capacity.
#include "eelgrasslever/cluster/scheduler.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// Largest share of the fleet that all waiting gangs may reserve together.
constexpr double max_reserved_share = 0.5;

} // namespace

bool scheduler::is_reserved(const endpoint_state& endpoint) const {
    return m_reserved_for.contains(&endpoint);
}

bool scheduler::is_reserved_for_higher_rank(const endpoint_state& endpoint,
                                            const step_rank& rank) const {
    auto found = m_reserved_for.find(&endpoint);
    return found != m_reserved_for.end() && *found->second < rank;
}

void scheduler::index_reservations() {
    m_reserved_for.clear();
    for (const reservation& r : m_reservations) {
        for (const endpoint_state* endpoint : r.endpoints) {
            auto [row, is_new] = m_reserved_for.try_emplace(endpoint, &r.gang);
            if (!is_new && r.gang < *row->second) {
                row->second = &r.gang;
            }
        }
    }
}

// Reserves enough endpoints for the gang, so that work of lower rank does not
// take the capacity that becomes free on them.
void scheduler::reserve_for_gang(const tracked_job& job, const step_rank& rank,
                                 const step_execution& step,
                                 base::instant now) {
    release_reservation(rank);
    if (job.execution->job().queue.advice && step.advice.admitted.empty()) {
        return;
    }
    std::size_t reserved_endpoints = 0;
    for (const reservation& r : m_reservations) {
        reserved_endpoints += r.endpoints.size();
    }
    auto max_endpoints = static_cast<std::size_t>(
        static_cast<double>(m_endpoints.size()) * max_reserved_share);
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    std::vector<fit_candidate> all =
        find_candidates(job, rank, step, now, candidate_filter::with_ticket);
    if (job.execution->job().queue.advice) {
        for (fit_candidate& it : find_candidates(
                 job, rank, step, now, candidate_filter::without_ticket)) {
            if (step.advice.admitted.contains(std::string(it.endpoint))) {
                all.push_back(std::move(it));
            }
        }
    }
    std::sort(all.begin(), all.end(),
              [](const fit_candidate& a, const fit_candidate& b) {
                  return a.available.cpu_milli > b.available.cpu_milli;
              });
    reservation next{rank, {}};
    int reserved_tasks = 0;
    for (const fit_candidate& it : all) {
        if (reserved_tasks >= spec.count ||
            reserved_endpoints + next.endpoints.size() >= max_endpoints) {
            break;
        }
        int fits = tasks_that_fit(
            spec.need, usable_capacity(endpoint_by_id(it.endpoint), rank),
            it.max_tasks);
        if (fits > 0) {
            reserved_tasks += fits;
            next.endpoints.push_back(&endpoint_by_id(it.endpoint));
        }
    }
    if (!next.endpoints.empty()) {
        m_reservations.push_back(std::move(next));
        index_reservations();
    }
}

void scheduler::release_reservation(const step_rank& rank) {
    auto removed = std::erase_if(
        m_reservations, [&](const reservation& r) { return r.gang == rank; });
    if (removed > 0) {
        index_reservations();
    }
}

} // namespace eelgrasslever::cluster
