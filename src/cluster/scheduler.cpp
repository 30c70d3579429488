#include "eelgrasslever/cluster/scheduler.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::cluster {

namespace {

/// Longest time between two placement passes.
constexpr base::milliseconds max_placement_interval{50};
/// Shortest time between two placement passes; batches events that arrive
/// close together.
constexpr base::milliseconds min_placement_interval{20};
/// How often leases and unconfirmed stops are checked.
constexpr base::milliseconds sweep_period{40};

} // namespace

scheduler::scheduler(scheduler_effects& effects, scheduler_limits limits,
                     scheduler_term term)
    : m_effects(effects), m_limits(limits), m_term(term),
      m_usage(limits.limit_overage), m_wall(term.wall) {}

void scheduler::tick(base::instant now,
                     std::chrono::sys_time<base::milliseconds> wall,
                     permissions allowed) {
    if (m_can_order != allowed.order) {
        observe::log_event(allowed.order ? "ordering_resumed"
                                         : "ordering_paused",
                           {{"token", std::to_string(m_term.token)}});
    }
    m_can_order = allowed.order;
    m_wall = wall;
    send_due_records(now);
    send_settled_records(now);
    abandon_unrecorded_starts(now);
    for (auto& call : m_advice_calls.take_expired_calls(now)) {
        if (tracked_job* job = find_job(call.step.job)) {
            if (step_execution* step = job->execution->find_step(
                    call.step.occurrence, call.step.step)) {
                step->advice.calls_in_flight--;
                step->advice.claims.clear();
            }
        }
        m_placement_needed = true;
    }
    bool sweep = now - m_last_sweep_at >= sweep_period;
    if (sweep) {
        m_last_sweep_at = now;
        for (auto& [id, endpoint] : m_endpoints) {
            check_lease(endpoint, now);
        }
    }
    forget_terminated_endpoints(now);
    forget_old_lives(now);
    if (sweep) {
        open_due_occurrences(now);
    }
    if (!allowed.order) {
        return;
    }
    for (auto& [id, endpoint] : m_endpoints) {
        if (sweep) {
            if (endpoint.listing.draining) {
                move_lasting_tasks(endpoint, now);
            }
            retry_stops(endpoint, now);
        }
        renew_if_due(endpoint, now);
    }
    if (!allowed.place) {
        return;
    }
    auto since = now - m_last_placement_at;
    if (since >= max_placement_interval ||
        (m_placement_needed && since >= min_placement_interval)) {
        place_ready_steps(now);
    }
}

void scheduler::open_due_occurrences(base::instant now) {
    for (auto& [id, job] : m_jobs) {
        if (job.execution->job().repeat_count > 0 &&
            !job.execution->has_ended() &&
            job.execution->open_due_occurrences(m_wall, now)) {
            unlock_ready_steps(job, now);
        }
    }
}

void scheduler::set_channels(const std::vector<std::string>& vms,
                             base::instant now) {
    m_advice_calls.set_channels(vms, now);
    m_placement_needed = true;
}

const step_execution* scheduler::find_step(const step_rank& rank) const {
    auto found = m_jobs.find(rank.job);
    return found == m_jobs.end()
               ? nullptr
               : found->second.execution->find_step(rank.occurrence, rank.step);
}

scheduler::totals scheduler::compute_totals(base::instant now) const {
    totals result;
    result.jobs = m_jobs.size();
    for (const auto& [id, endpoint] : m_endpoints) {
        if (is_usable(endpoint, now)) {
            result.endpoints_usable++;
            result.capacity += endpoint.listing.capacity;
        }
        result.used += endpoint.used;
        result.running += endpoint.runs.size();
    }
    auto count_waiting = [&](const step_rank& rank) {
        const step_execution* step = find_step(rank);
        result.waiting +=
            step == nullptr ? 0 : static_cast<std::size_t>(step->waiting_count);
    };
    m_ready.for_each(count_waiting);
    m_limited_steps.for_each(count_waiting);
    return result;
}

placement_statistics scheduler::take_statistics(base::instant now) {
    m_ready.for_each([&](const step_rank& rank) {
        auto [counts, step] = width_counts(rank);
        if (step != nullptr) {
            m_statistics.oldest_unexamined =
                std::max(m_statistics.oldest_unexamined,
                         now - std::max(step->examined_at, step->unlocked_at));
            counts->waiting++;
            counts->longest_wait =
                std::max(counts->longest_wait, now - step->unlocked_at);
        }
    });
    placement_statistics result = std::exchange(m_statistics, {});
    result.steps_ready = m_ready.size();
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!is_usable(endpoint, now)) {
            continue;
        }
        result.cpu_capacity += endpoint.listing.capacity.cpu_milli;
        result.cpu_running += endpoint.used.cpu_milli;
        result.cpu_reserved +=
            std::clamp(endpoint.claimed.cpu_milli +
                           endpoint.reservations.total().cpu_milli,
                       std::int64_t{0}, endpoint.free_resources().cpu_milli);
    }
    return result;
}

} // namespace eelgrasslever::cluster
