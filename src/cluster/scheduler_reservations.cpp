// Endpoints kept free for gangs that wait for room.
#include "eelgrasslever/cluster/scheduler.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// Share of the fleet that waiting gangs may keep free at a time.
constexpr double reserved_share = 0.5;

} // namespace

bool scheduler::reserved(const endpoint_run& endpoint) const {
    return m_reserved_for.contains(&endpoint);
}

bool scheduler::reserved_by_other(const endpoint_run& endpoint,
                                  const rank& at) const {
    auto found = m_reserved_for.find(&endpoint);
    return found != m_reserved_for.end() && *found->second < at;
}

void scheduler::index_reservations() {
    m_reserved_for.clear();
    for (const reservation& r : m_reservations) {
        for (const endpoint_run* endpoint : r.endpoints) {
            auto [row, fresh] = m_reserved_for.try_emplace(endpoint, &r.holder);
            if (!fresh && r.holder < *row->second) {
                row->second = &r.holder;
            }
        }
    }
}

// Keeps what a gang may use free of work that comes behind it.
void scheduler::reserve(const job_state& job, const rank& at,
                        const step_run& step, base::instant now) {
    unreserve(at);
    if (job.run->job().queue.advice && step.advice.admitted.empty()) {
        return;
    }
    std::size_t taken = 0;
    for (const reservation& r : m_reservations) {
        taken += r.endpoints.size();
    }
    auto bound = static_cast<std::size_t>(
        static_cast<double>(m_endpoints.size()) * reserved_share);
    const workload::step& spec =
        job.run->job().steps[static_cast<std::size_t>(at.step)];
    std::vector<fit_candidate> all =
        candidates(job, at, step, now, scope::ticketed);
    if (job.run->job().queue.advice) {
        for (fit_candidate& it :
             candidates(job, at, step, now, scope::unticketed)) {
            if (step.advice.admitted.contains(std::string(it.endpoint))) {
                all.push_back(std::move(it));
            }
        }
    }
    std::sort(all.begin(), all.end(),
              [](const fit_candidate& a, const fit_candidate& b) {
                  return a.room.cpu_milli > b.room.cpu_milli;
              });
    reservation mine{at, {}};
    int room = 0;
    for (const fit_candidate& it : all) {
        if (room >= spec.count || taken + mine.endpoints.size() >= bound) {
            break;
        }
        int fits = tasks_that_fit(
            spec.need, whole_room(endpoint_at(it.endpoint), at), it.slots_left);
        if (fits > 0) {
            room += fits;
            mine.endpoints.push_back(&endpoint_at(it.endpoint));
        }
    }
    if (!mine.endpoints.empty()) {
        m_reservations.push_back(std::move(mine));
        index_reservations();
    }
}

void scheduler::unreserve(const rank& at) {
    auto removed = std::erase_if(
        m_reservations, [&](const reservation& r) { return r.holder == at; });
    if (removed > 0) {
        index_reservations();
    }
}

} // namespace eelgrasslever::cluster
