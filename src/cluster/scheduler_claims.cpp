// Claims of waiting steps on room. Claims are made anew in each placement pass,
// in the order of the steps, and hold for the steps that follow.
#include "eelgrasslever/cluster/scheduler.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// Largest share of the fleet that gangs may claim while their room is not
/// complete. Until it is, the free part of it stays idle.
constexpr double max_gang_claims = 0.25;
/// Share of a gang's tasks that must have room before its tickets are renewed.
/// The rest is expected to become free during the call and the lifetime of the
/// tickets.
constexpr double room_before_renewal = 0.7;
/// Share of a gang's tasks that must have room before it counts as begun, so
/// that it does not give up its room when it becomes overdue.
constexpr double room_to_persist = 0.85;
/// Idle capacity of the admitted endpoints, relative to the gang's need, below
/// which further endpoints are asked about.
constexpr double min_gang_choice = 3.0;

} // namespace

void scheduler::apply_pending_claims(const step_execution& step) {
    for (const room_claim& it : step.advice.claims) {
        if (endpoint_state* endpoint = m_endpoints_by_number[it.endpoint]) {
            endpoint->claimed += it.amount;
        }
    }
}

scheduler::gang_room scheduler::find_gang_room(const tracked_job& job,
                                               const step_rank& rank,
                                               const step_execution& step,
                                               int missing,
                                               base::instant now) const {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    std::vector<fit_candidate> known =
        find_candidates(job, rank, step, now, candidate_filter::admitted);
    // Free room first, then room on the endpoints with the most of it.
    std::sort(known.begin(), known.end(),
              [](const fit_candidate& a, const fit_candidate& b) {
                  return a.available.cpu_milli > b.available.cpu_milli;
              });
    gang_room result;
    std::vector<int> slots(known.size(), 0);
    int claimed = 0;
    for (std::size_t i = 0; i < known.size(); ++i) {
        const fit_candidate& it = known[i];
        result.idle_slots += tasks_that_fit(spec.need, it.idle, it.max_tasks);
        slots[i] =
            std::min(missing - claimed,
                     tasks_that_fit(spec.need, it.available, it.max_tasks));
        claimed += slots[i];
    }
    result.free_slots = claimed;
    for (std::size_t i = 0; i < known.size() && claimed < missing; ++i) {
        const fit_candidate& it = known[i];
        const endpoint_state& endpoint = *m_endpoints_by_number[it.number];
        int unclaimed =
            tasks_that_fit(spec.need, it.idle - endpoint.claimed, it.max_tasks);
        int more = std::clamp(unclaimed - slots[i], 0, missing - claimed);
        slots[i] += more;
        claimed += more;
    }
    for (std::size_t i = 0; i < known.size() && claimed == missing; ++i) {
        if (slots[i] == 0) {
            continue;
        }
        result.claims.push_back(
            {known[i].number, base::scaled(spec.need, slots[i])});
        auto ticket = step.advice.admitted.find(known[i].number);
        if (ticket != step.advice.admitted.end() &&
            ticket->second.valid_until > now) {
            result.ticketed_slots += slots[i];
        }
    }
    result.admitted = std::move(known);
    return result;
}

scheduler::placement_outcome
scheduler::gather_room(tracked_job& job, const step_rank& rank,
                       step_execution& step, int missing, base::instant now) {
    if (step.advice.call_in_flight) {
        apply_pending_claims(step);
        return placement_outcome::waiting;
    }
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    gang_room room = find_gang_room(job, rank, step, missing, now);
    double share = dominant_share(spec.need, m_usable_total) * missing;
    // The gang that crosses the limit may claim as well, or one that is wider
    // than the limit never could.
    if (!room.claims.empty() && m_gang_claims < max_gang_claims) {
        m_gang_claims += share;
        step.advice.claims = room.claims;
        apply_pending_claims(step);
        step.advice.claims.clear();
        if (room.free_slots >= room_to_persist * missing) {
            m_ready.insert(rank, true);
        }
    }
    bool can_fit = room.idle_slots >= missing;
    if (!job.execution->job().queue.advice) {
        return can_fit ? placement_outcome::waiting
                       : placement_outcome::blocked;
    }
    if (!may_call(rank, now)) {
        return placement_outcome::waiting;
    }
    if (!room.claims.empty() &&
        room.free_slots >= room_before_renewal * missing) {
        if (room.ticketed_slots < missing) {
            // A call takes hardly longer for all admitted endpoints, and with
            // tickets for all of them any that become free can be used.
            room.admitted.resize(
                std::min(room.admitted.size(), max_advice_candidates));
            request_advice(job, rank, step, room.admitted, room.claims, now);
        }
        return placement_outcome::waiting;
    }
    bool asked = room.idle_slots < min_gang_choice * missing &&
                 request_new_candidates(job, rank, step, missing, now);
    return can_fit || asked ? placement_outcome::waiting
                            : placement_outcome::blocked;
}

} // namespace eelgrasslever::cluster
