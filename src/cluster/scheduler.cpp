#include "eelgrasslever/cluster/scheduler.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// Longest pause between two looks for room while work waits.
constexpr base::milliseconds placement_period{50};
/// Shortest pause, in which events gather.
constexpr base::milliseconds placement_spacing{10};
/// How often leases and unanswered stops are looked at.
constexpr base::milliseconds sweep_period{40};

} // namespace

scheduler::scheduler(scheduler_effects& effects, scheduler_limits limits,
                     scheduler_term mandate)
    : m_effects(effects), m_limits(limits), m_mandate(mandate) {}

void scheduler::tick(base::instant now,
                     std::chrono::sys_time<base::milliseconds> wall,
                     authority may) {
    if (m_may_order != may.order) {
        observe::log_event(may.order ? "ordering_resumed" : "ordering_paused",
                           {{"token", std::to_string(m_mandate.token)}});
    }
    m_may_order = may.order;
    m_wall = wall;
    flush_records(now);
    give_up_unsent_starts(now);
    for (auto& call : m_desk.take_expired(now)) {
        if (job_state* job = find_job(call.step.job)) {
            if (step_run* step =
                    job->run->find_step(call.step.occurrence, call.step.step)) {
                step->advice.in_flight = false;
            }
        }
        m_place_needed = true;
    }
    bool sweep = now - m_swept_at >= sweep_period;
    if (sweep) {
        m_swept_at = now;
        for (auto& [id, at] : m_endpoints) {
            check_lease(at, now);
        }
    }
    auto forgotten = std::erase_if(m_endpoints, [&](const auto& row) {
        return row.second.gone && row.second.runs.empty();
    });
    if (forgotten > 0) {
        // Reservations point to endpoints; gangs that wait reserve anew.
        m_reservations.clear();
        index_reservations();
    }
    for (auto& [id, job] : m_jobs) {
        if (job.run->job().repeat_count > 0 && !job.run->ended() &&
            job.run->open_due_occurrences(wall, now)) {
            unlock(job, now);
        }
    }
    if (!may.order) {
        return;
    }
    for (auto& [id, at] : m_endpoints) {
        if (sweep) {
            retry_stops(at, now);
        }
        hold_if_due(at, now);
    }
    if (!may.place) {
        return;
    }
    auto since = now - m_placed_at;
    if (since >= placement_period ||
        (m_place_needed && since >= placement_spacing)) {
        place_all(now);
    }
}

void scheduler::set_channels(const std::vector<std::string>& vms,
                             base::instant now) {
    m_desk.set_channels(vms, now);
    m_place_needed = true;
}

scheduler::totals scheduler::compute_totals(base::instant now) const {
    totals out;
    out.jobs = m_jobs.size();
    for (const auto& [id, at] : m_endpoints) {
        if (usable(at, now)) {
            out.endpoints_usable++;
            out.capacity += at.listing.capacity;
        }
        out.used += at.used;
        out.running += at.runs.size();
    }
    for (const rank& r : m_ready) {
        auto found = m_jobs.find(r.job);
        const step_run* step =
            found == m_jobs.end()
                ? nullptr
                : found->second.run->find_step(r.occurrence, r.step);
        out.waiting +=
            step == nullptr ? 0 : static_cast<std::size_t>(step->waiting);
    }
    return out;
}

} // namespace eelgrasslever::cluster
