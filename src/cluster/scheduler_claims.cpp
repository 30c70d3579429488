// Claims of waiting steps on room: at once for steps that wait for advice, from
// their expected start on for gangs. They are made anew in each placement pass,
// in the order of the steps, and hold for the steps that follow.
#include "eelgrasslever/cluster/scheduler.hpp"

#include <algorithm>
#include <iterator>

namespace eelgrasslever::cluster {

namespace {

/// Largest share of the fleet that gangs may reserve while their room is not
/// complete. Until it is, only work that ends before may use the free part.
constexpr double max_gang_claims = 0.3;
/// A gang gathers room if it is expected to be complete within this time, and
/// longer if it is wide.
constexpr base::milliseconds min_gathering_time{400};
/// With room to spare a gang gathers for a shorter time, as work that could use
/// its room must start soon.
constexpr int spare_room_divisor = 4;
/// Pause after a renewal of a gang's tickets, longer with each one, as the
/// expected room did not become free in time. It ends when the gang starts, and
/// does not apply while there is room to spare.
constexpr base::milliseconds renewal_pause{4000};
/// A gang that expects its room later than this, or renewed its tickets this
/// often without getting it, asks about further endpoints with free room.
constexpr base::milliseconds expected_wait{1000};
constexpr int max_trusted_renewals = 3;
/// How much earlier or later than its tickets a gang's room may be complete.
/// The expected ends of runs are not exact.
constexpr base::milliseconds gather_slack{400};

/// Share of a gang's tasks that must have room before it counts as begun, so
/// that it does not give up its room when it becomes overdue.
constexpr double room_to_persist = 0.85;
/// Idle capacity of the admitted endpoints, relative to the gang's need, below
/// which further endpoints are asked about.
constexpr double min_gang_choice = 6.0;

/// How long a waiting gang in a busy fleet keeps the room that was worked out
/// for it, so that its cost doesn't grow with the passes that other work
/// causes.
constexpr base::milliseconds gathering_period{50};
/// Time in which a gang would gather the room of the whole fleet. Wider gangs
/// need longer, so they are selected earlier.
constexpr base::milliseconds fleet_gathering_time{160'000};

} // namespace

base::milliseconds scheduler::gathering_time(double share) {
    return base::milliseconds(static_cast<std::int64_t>(
        share * static_cast<double>(fleet_gathering_time.count())));
}

void scheduler::apply_pending_claims(const step_execution& step) {
    for (const room_claim& it : step.advice.claims) {
        if (endpoint_state* endpoint = m_endpoints_by_number[it.endpoint]) {
            endpoint->claim(it.amount);
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
    struct slot {
        base::instant free_at{};
        std::size_t candidate{0};
    };
    gang_room result;
    result.admitted =
        find_candidates(job, rank, step, now, candidate_filter::admitted);
    std::vector<slot> slots;
    for (std::size_t i = 0; i < result.admitted.size(); ++i) {
        const fit_candidate& it = result.admitted[i];
        int idle = tasks_that_fit(spec.need, it.idle, it.max_tasks);
        result.idle_slots += idle;
        endpoint_state& endpoint = *m_endpoints_by_number[it.number];
        base::resources available = it.idle - endpoint.used - endpoint.claimed -
                                    endpoint.reservations.total();
        int found = tasks_that_fit(spec.need, available, idle);
        slots.insert(slots.end(), static_cast<std::size_t>(found), {now, i});
        result.free_slots += found;
        if (found == idle) {
            continue;
        }
        for (const expected_release& next : releases_of(endpoint, now)) {
            available += next.amount;
            int fits = tasks_that_fit(spec.need, available, idle);
            for (; found < fits; ++found) {
                slots.push_back({next.at, i});
            }
        }
    }
    result.free_slots = std::min(result.free_slots, missing);
    if (static_cast<int>(slots.size()) < missing) {
        return result;
    }
    auto last = slots.begin() + missing;
    std::nth_element(slots.begin(), last - 1, slots.end(),
                     [](const slot& a, const slot& b) {
                         return std::pair(a.free_at, a.candidate) <
                                std::pair(b.free_at, b.candidate);
                     });
    result.complete_at = (last - 1)->free_at;
    std::vector<int> claimed(result.admitted.size(), 0);
    std::for_each(slots.begin(), last,
                  [&](const slot& it) { claimed[it.candidate]++; });
    std::vector<fit_candidate> others;
    std::vector<fit_candidate> used;
    for (std::size_t i = 0; i < claimed.size(); ++i) {
        fit_candidate& it = result.admitted[i];
        if (claimed[i] == 0) {
            others.push_back(std::move(it));
            continue;
        }
        result.claims.push_back(
            {it.number, base::scaled(spec.need, claimed[i])});
        auto ticket = step.advice.admitted.find(it.number);
        if (ticket != step.advice.admitted.end() &&
            ticket->second.valid_until > std::max(result.complete_at, now)) {
            result.ticketed_slots += claimed[i];
        }
        used.push_back(std::move(it));
    }
    result.admitted = std::move(used);
    std::move(others.begin(), others.end(),
              std::back_inserter(result.admitted));
    return result;
}

bool scheduler::keeps_gathering(const step_execution& step,
                                base::instant now) const {
    return now < step.room.valid_until && !has_spare_room();
}

void scheduler::reserve_room(const gathering& room, base::instant now) {
    m_gang_claims += room.share;
    for (const room_claim& it : room.claims) {
        if (endpoint_state* endpoint = m_endpoints_by_number[it.endpoint]) {
            endpoint->reserve(it.amount, room.start, now);
        }
    }
}

scheduler::placement_outcome
scheduler::gather_room(tracked_job& job, const step_rank& rank,
                       step_execution& step, int missing, base::instant now) {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    const auto& advice = job.execution->queue().advice;
    double share = dominant_share(spec.need, m_usable_total) * missing;
    bool spare = has_spare_room();
    base::milliseconds patience =
        min_gathering_time +
        gathering_time(share) / (spare ? spare_room_divisor : 1);
    if (step.advice.calls_in_flight > 0 &&
        step.advice.reply_due_at - now > patience) {
        return placement_outcome::waiting;
    }
    gang_room room = find_gang_room(job, rank, step, missing, now);
    step.room = {};
    step.room.valid_until = now + gathering_period;
    bool has_room = !room.claims.empty();
    bool ticketed = !advice || room.ticketed_slots >= missing;
    // When the gang could start if its room were complete.
    base::instant usable_at = now;
    if (!ticketed) {
        usable_at =
            step.advice.calls_in_flight > 0
                ? step.advice.reply_due_at
                : now + advice->call_duration(std::min(room.admitted.size(),
                                                       max_advice_candidates));
    }
    base::milliseconds gather =
        has_room ? room.complete_at - now : base::milliseconds::max();
    bool first = m_gang_claims <= 0.0;
    bool soon = gather <= patience || first;
    // The gang that crosses the limit may claim as well, or one that is wider
    // than the limit never could.
    bool may_claim =
        has_room && soon && (spare || m_gang_claims < max_gang_claims);
    if (may_claim) {
        if (spare || room.complete_at + gather_slack >= usable_at) {
            step.room.claims = room.claims;
            step.room.share = share;
            step.room.start = std::max(room.complete_at, usable_at);
            reserve_room(step.room, now);
        }
        if (room.free_slots >= room_to_persist * missing) {
            m_ready.insert(rank, true);
        }
    }
    bool can_fit = room.idle_slots >= missing;
    if (!advice) {
        return can_fit ? placement_outcome::waiting
                       : placement_outcome::blocked;
    }
    if (step.advice.calls_in_flight > 0 || !may_call(rank, now)) {
        return placement_outcome::waiting;
    }
    // Without a claim others would take the room during the call. With room to
    // spare, a gang whose expectation failed once waits until it has its room.
    bool is_free = room.free_slots >= missing;
    bool in_turn = spare && step.advice.renewals > 0
                       ? is_free
                       : now >= step.advice.next_renewal_at;
    bool renew = may_claim && !ticketed && in_turn &&
                 room.complete_at <= usable_at + gather_slack;
    if (renew) {
        // A call takes hardly longer for all admitted endpoints, and with
        // tickets for all of them any that become free can be used.
        room.admitted.resize(
            std::min(room.admitted.size(), max_advice_candidates));
        step.advice.next_renewal_at =
            now + step.advice.renewals * renewal_pause;
        step.advice.renewals++;
        request_advice(job, rank, step, room.admitted, {}, now);
        return placement_outcome::waiting;
    }
    room.expected_soon = has_room && gather <= expected_wait &&
                         step.advice.renewals < max_trusted_renewals;
    bool wants_choice = spare || room.idle_slots < min_gang_choice * missing;
    bool asked = wants_choice &&
                 request_new_candidates(job, rank, step, missing, room, now);
    return can_fit || asked ? placement_outcome::waiting
                            : placement_outcome::blocked;
}

} // namespace eelgrasslever::cluster
