// Describes what steps wait for that find no place beside free room.
#include "eelgrasslever/cluster/scheduler.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// A step that waits beside room to spare is reported after this long, and
/// again after each such time.
constexpr base::milliseconds wait_report_interval{1500};

} // namespace

bool scheduler::is_wait_report_due(const workload::step& spec,
                                   step_execution& step,
                                   base::instant now) const {
    bool beside_room =
        has_spare_room() && tasks_that_fit(spec.need, m_largest_free, 1) > 0;
    if (!beside_room) {
        step.beside_room_since.reset();
        return false;
    }
    if (!step.beside_room_since) {
        step.beside_room_since = now;
        step.wait_reported_at = now;
    }
    return now - step.wait_reported_at >= wait_report_interval;
}

observe::log_fields scheduler::describe_wait(const tracked_job& job,
                                             const step_rank& rank,
                                             const step_execution& step,
                                             base::instant now) const {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    int earlier_runs = 0;
    int paused = 0;
    for (const task_execution& task : step.tasks) {
        bool waits = task.phase == task_phase::waiting;
        earlier_runs += task.phase == task_phase::active || task.live_runs > 0;
        paused += waits && task.not_before > now;
    }
    int idle = 0;
    int unused = 0;
    int free = 0;
    int ticketed = 0;
    std::size_t admitted = 0;
    for (const fit_candidate& it :
         find_candidates(job, rank, step, now, candidate_filter::admitted)) {
        admitted++;
        int fits = tasks_that_fit(spec.need, it.available, it.max_tasks);
        idle += tasks_that_fit(spec.need, it.idle, it.max_tasks);
        unused += tasks_that_fit(
            spec.need, it.idle - m_endpoints_by_number[it.number]->used,
            it.max_tasks);
        free += fits;
        auto ticket = step.advice.admitted.find(it.number);
        if (ticket != step.advice.admitted.end() &&
            ticket->second.valid_until > now) {
            ticketed += fits;
        }
    }
    auto text = [](auto value) { return std::to_string(value); };
    auto left_ms = [&](base::instant at) {
        return std::to_string(
            std::max(base::milliseconds(0), at - now).count());
    };
    return {{"step", workload::to_string(
                         task_key{rank.job, rank.occurrence, rank.step, 0})},
            {"service", job.execution->queue().service},
            {"waiting", text(step.waiting_count)},
            {"for_ms", text((now - *step.beside_room_since).count())},
            {"earlier_runs", text(earlier_runs)},
            {"paused", text(paused)},
            {"idle_slots", text(idle)},
            {"unused_slots", text(unused)},
            {"free_slots", text(free)},
            {"ticketed_slots", text(ticketed)},
            {"admitted", text(admitted)},
            {"rejected", text(step.advice.rejected.size())},
            {"usable", text(m_usable.size())},
            {"renewals", text(step.advice.renewals)},
            {"renewal_in_ms", left_ms(step.advice.next_renewal_at)},
            {"calls_in_flight", text(step.advice.calls_in_flight)},
            {"call_in_ms", left_ms(step.advice.next_call_at)},
            {"idle_channels", text(m_advice_calls.idle_channel_count(now))},
            {"deferred_ms", text(step.deferral.count())},
            {"gang_claims", text(m_gang_claims)}};
}

} // namespace eelgrasslever::cluster
