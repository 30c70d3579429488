// Selects the endpoints to request advice about and applies the replies.
#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// Subtracted from a ticket's lifetime for the delivery of the start order.
constexpr base::milliseconds ticket_margin{150};
/// How much longer than its declared duration an advice call may take.
constexpr base::milliseconds advice_timeout_slack{600};
/// Pause before the next call for a step whose call was not answered.
constexpr base::milliseconds advice_retry_pause{100};
/// Most endpoints that the advice service accepts in one call.
constexpr std::size_t max_advice_candidates = 100;
/// Factors by which the requested capacity exceeds the needed one, because
/// available resources change until the reply arrives. Single tasks need a
/// larger factor, as they are placed on endpoints that are nearly full.
constexpr double gang_surplus = 1.25;
constexpr double task_surplus = 2.0;

advice_reason classify_call(const step_advice& advice, base::instant now) {
    if (advice.admitted.empty()) {
        return advice.rejected.empty() ? advice_reason::first
                                       : advice_reason::more_endpoints;
    }
    bool has_valid_ticket = std::any_of(
        advice.admitted.begin(), advice.admitted.end(),
        [&](const auto& row) { return row.second.valid_until > now; });
    return has_valid_ticket ? advice_reason::more_endpoints
                            : advice_reason::tickets_expired;
}

const char* to_string(advice_reason reason) {
    static constexpr const char* names[] = {"first", "tickets_expired",
                                            "more_endpoints"};
    return names[static_cast<std::size_t>(reason)];
}

} // namespace

std::vector<std::string> scheduler::select_advice_candidates(
    const tracked_job& job, const step_rank& rank, const step_execution& step,
    int missing, base::instant now) {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    double admission_rate =
        m_advice_calls.admission_ratio_of(job.execution->job().queue.name)
            .value();
    // For a gang, advice is first requested until the admitted endpoints could
    // hold it when idle, whether or not they have free capacity now. The gang
    // then waits for capacity on these endpoints only.
    bool explore =
        spec.gang && admitted_task_capacity(rank, spec, step, now) < missing;
    struct option {
        std::string endpoint;
        int fits;
        bool admitted;
        bool preferred;
    };
    std::vector<option> options;
    for (const fit_candidate& it :
         find_candidates(job, rank, step, now,
                         explore ? candidate_filter::ignore_reservations
                                 : candidate_filter::without_ticket)) {
        int fits = tasks_that_fit(spec.need, it.available, it.max_tasks);
        std::string id(it.endpoint);
        bool admitted = step.advice.admitted.contains(id);
        if (fits > 0 || explore) {
            options.push_back({std::move(id), fits, admitted, it.preferred});
        }
    }
    // Gangs prefer few endpoints with much available capacity. Other tasks
    // prefer endpoints with little of it, which leaves the rest to gangs.
    std::sort(options.begin(), options.end(),
              [gang = spec.gang](const option& a, const option& b) {
                  if (a.admitted != b.admitted) {
                      return a.admitted;
                  }
                  if (a.preferred != b.preferred) {
                      return a.preferred;
                  }
                  return gang ? a.fits > b.fits : a.fits < b.fits;
              });
    double expected = 0.0;
    if (spec.gang) {
        for (const fit_candidate& it : find_candidates(
                 job, rank, step, now, candidate_filter::with_ticket)) {
            expected += tasks_that_fit(spec.need, it.available, it.max_tasks);
        }
    }
    double wanted = static_cast<double>(missing) *
                    (spec.gang ? gang_surplus : task_surplus);
    std::vector<std::string> asked;
    for (const option& it : options) {
        if ((expected >= wanted && !explore) ||
            asked.size() >= max_advice_candidates) {
            break;
        }
        asked.push_back(it.endpoint);
        expected += it.fits * (it.admitted ? 1.0 : admission_rate);
    }
    bool cannot_suffice =
        spec.gang && !explore && expected < static_cast<double>(missing);
    return cannot_suffice ? std::vector<std::string>{} : asked;
}

void scheduler::request_advice(tracked_job& job, const step_rank& rank,
                               step_execution& step, int missing,
                               base::instant now) {
    const workload::queue_policy& queue = job.execution->job().queue;
    if (!queue.advice || step.advice.call_in_flight ||
        step.advice.next_call_at > now) {
        return;
    }
    auto channel = m_advice_calls.idle_channel(now);
    if (!channel) {
        return;
    }
    auto asked = select_advice_candidates(job, rank, step, missing, now);
    if (asked.empty()) {
        return;
    }
    advice_call call;
    auto service_time =
        queue.advice->fixed_call_time +
        std::chrono::duration_cast<base::milliseconds>(
            queue.advice->call_time_per_candidate * asked.size());
    call.timeout = service_time + advice_timeout_slack;
    call.step = {rank.job, rank.occurrence, rank.step, 0};
    call.candidates = asked;
    call.query = m_advice_calls.begin_call(
        *channel, call.step, asked, call.timeout + advice_timeout_slack, now);
    step.advice.call_in_flight = true;
    advice_reason reason = classify_call(step.advice, now);
    m_statistics.queues[queue.name]
        .advice_calls[static_cast<std::size_t>(reason)]++;
    observe::log_event("advice_asked",
                       {{"step", workload::to_string(call.step)},
                        {"query", std::to_string(call.query)},
                        {"channel", *channel},
                        {"candidates", std::to_string(asked.size())},
                        {"reason", to_string(reason)},
                        {"missing", std::to_string(missing)}});
    m_effects.ask_advice(*channel, call);
}

void scheduler::on_advice(std::uint64_t query, const advice_reply& reply,
                          base::instant now) {
    auto call = m_advice_calls.finish_call(query, reply.answered, now);
    if (!call) {
        return;
    }
    m_placement_needed = true;
    observe::log_event(
        "advice",
        {{"step", workload::to_string(call->step)},
         {"query", std::to_string(query)},
         {"answered", reply.answered ? "1" : "0"},
         {"admitted", std::to_string(reply.admitted.size())},
         {"asked", std::to_string(call->candidates.size())},
         {"took_ms", std::to_string((now - call->asked_at).count())}});
    tracked_job* job = find_job(call->step.job);
    step_execution* step =
        job == nullptr
            ? nullptr
            : job->execution->find_step(call->step.occurrence, call->step.step);
    if (step == nullptr) {
        return;
    }
    step->advice.call_in_flight = false;
    const workload::queue_policy& queue = job->execution->job().queue;
    m_effects.on_measured(latency_kind::advice, queue.name,
                          now - call->asked_at);
    if (!reply.answered || !queue.advice) {
        step->advice.next_call_at = now + advice_retry_pause;
        return;
    }
    auto until = now + queue.advice->ticket_lifetime - ticket_margin;
    m_statistics.queues[queue.name].tickets_issued += reply.admitted.size();
    std::size_t newly_rejected = 0;
    std::size_t newly_admitted = 0;
    std::set<std::string> admitted;
    for (const auto& [id, text] : reply.admitted) {
        newly_admitted += step->advice.admitted.contains(id) ? 0 : 1;
        step->advice.admitted[id] = {text, until, false};
        admitted.insert(id);
    }
    for (const std::string& id : call->candidates) {
        if (!admitted.contains(id)) {
            newly_rejected++;
            step->advice.admitted.erase(id);
            step->advice.rejected.insert(id);
        }
    }
    m_advice_calls.admission_ratio_of(queue.name)
        .add(newly_rejected + newly_admitted, newly_admitted);
}

int scheduler::admitted_task_capacity(const step_rank& rank,
                                      const workload::step& spec,
                                      const step_execution& step,
                                      base::instant now) const {
    int result = 0;
    for (const auto& [id, ticket] : step.advice.admitted) {
        auto found = m_endpoints.find(id);
        if (found != m_endpoints.end() && is_usable(found->second, now)) {
            result += tasks_that_fit(
                spec.need, usable_capacity(found->second, rank), spec.count);
        }
    }
    return result;
}

} // namespace eelgrasslever::cluster
