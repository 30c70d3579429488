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
/// Factors by which the requested capacity exceeds the needed one, because
/// available resources change until the reply arrives. Single tasks need a
/// larger factor, as they are placed on endpoints that are nearly full.
constexpr double gang_surplus = 1.5;
constexpr double spare_gang_surplus = 2.0;
constexpr double task_surplus = 2.0;
/// Capacity, relative to its need, of the endpoints among which a gang gathers
/// room. The more there are, the sooner enough of their tasks end.
constexpr double gang_choice = 16.0;
/// Least time that a call for waiting work spends on candidates, relative to
/// its fixed time. With more candidates, room becomes free sooner on one that
/// admits the step, and a second call is needed less often.
constexpr double min_candidate_time_share = 0.7;
/// Pause after a reply, relative to the duration of the call, before a call
/// for further endpoints. It bounds the share of a channel's time that a step
/// without room takes.
constexpr int call_pause_factor = 2;
/// Least number of further endpoints that a call for a gang is made for; it
/// takes nearly as long for a few.
constexpr std::size_t min_further_candidates = 24;
/// Pause before candidates are looked for again if none had room.
constexpr base::milliseconds no_candidate_pause{30};
/// Share of the channels that only urgent steps may use.
constexpr std::size_t urgent_channel_divisor = 8;
/// Share of the channels that calls beside a step's first one leave idle.
constexpr std::size_t single_call_channel_divisor = 4;

/// @return how many candidates lengthen a call by `min_candidate_time_share`.
std::size_t affordable_candidates(const workload::advice_policy& policy) {
    if (policy.call_time_per_candidate.count() <= 0) {
        return max_advice_candidates;
    }
    double count = min_candidate_time_share *
                   (std::chrono::duration<double>(policy.fixed_call_time) /
                    policy.call_time_per_candidate);
    return std::min(max_advice_candidates, static_cast<std::size_t>(count));
}

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

bool scheduler::may_call(const step_rank& rank, base::instant now) const {
    std::size_t kept = rank.priority == 0 ? 0
                                          : m_advice_calls.channel_count() /
                                                urgent_channel_divisor;
    return m_advice_calls.idle_channel_count(now) > kept;
}

std::size_t scheduler::max_calls(const step_rank& rank,
                                 const workload::step& spec,
                                 base::instant now) const {
    if (!spec.gang || rank.priority == 0) {
        return 1;
    }
    std::size_t kept =
        m_advice_calls.channel_count() / single_call_channel_divisor;
    std::size_t idle = m_advice_calls.idle_channel_count(now);
    return idle > kept + 1 ? idle - kept : 1;
}

std::vector<fit_candidate> scheduler::select_advice_candidates(
    const tracked_job& job, const step_rank& rank, const step_execution& step,
    int missing, base::instant now) {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    double admission_rate =
        m_advice_calls.admission_ratio_of(job.execution->queue().name).value();
    std::vector<fit_candidate> candidates =
        find_candidates(job, rank, step, now,
                        spec.gang ? candidate_filter::unknown
                                  : candidate_filter::without_ticket);
    struct option {
        const fit_candidate* candidate{nullptr};
        int fits{0}; ///< tasks that fit at present
        bool admitted{false};
    };
    std::vector<option> options;
    options.reserve(candidates.size());
    for (const fit_candidate& it : candidates) {
        options.push_back(
            {&it, tasks_that_fit(spec.need, it.available, it.max_tasks),
             step.advice.admitted.contains(it.number)});
    }
    // Gangs prefer much available capacity. Other tasks prefer little of it,
    // which leaves the rest to gangs.
    auto precedes = [gang = spec.gang](const option& a, const option& b) {
        if ((a.fits > 0) != (b.fits > 0)) {
            return a.fits > 0;
        }
        if (a.admitted != b.admitted) {
            return a.admitted;
        }
        if (a.candidate->preferred != b.candidate->preferred) {
            return a.candidate->preferred;
        }
        if (a.candidate->speed_preference != b.candidate->speed_preference) {
            return a.candidate->speed_preference >
                   b.candidate->speed_preference;
        }
        if (gang || a.fits == 0) {
            return a.candidate->available.cpu_milli >
                   b.candidate->available.cpu_milli;
        }
        return a.fits < b.fits;
    };
    std::size_t most = max_calls(rank, spec, now) * max_advice_candidates;
    auto last = options.begin() +
                static_cast<std::ptrdiff_t>(std::min(options.size(), most));
    std::partial_sort(options.begin(), last, options.end(), precedes);
    options.erase(last, options.end());
    if (options.empty() || (!spec.gang && options.front().fits == 0)) {
        return {};
    }
    // With room to spare, a gang needs no choice, and short calls leave the
    // channels to others.
    bool spare = has_spare_room();
    double wanted = static_cast<double>(missing) * (!spec.gang ? task_surplus
                                                    : spare ? spare_gang_surplus
                                                            : gang_surplus);
    double wanted_idle = static_cast<double>(missing) * gang_choice;
    std::size_t min_candidates =
        rank.priority == 0 ? 0
        : spec.gang        ? (spare ? 0 : max_advice_candidates)
                    : affordable_candidates(*job.execution->queue().advice);
    double expected = 0.0;
    double expected_idle = 0.0;
    std::vector<fit_candidate> chosen;
    for (const option& it : options) {
        bool enough = expected >= wanted ||
                      (spec.gang && expected_idle >= wanted_idle) ||
                      (!spec.gang && it.fits == 0);
        if (enough && chosen.size() >= min_candidates) {
            break;
        }
        double chance = it.admitted ? 1.0 : admission_rate;
        expected += it.fits * chance;
        expected_idle += tasks_that_fit(spec.need, it.candidate->idle,
                                        it.candidate->max_tasks) *
                         chance;
        chosen.push_back(*it.candidate);
    }
    return chosen;
}

std::vector<room_claim>
scheduler::make_claims(const workload::step& spec,
                       const std::vector<fit_candidate>& candidates,
                       int missing) {
    int fits = 0;
    for (const fit_candidate& it : candidates) {
        fits += tasks_that_fit(spec.need, it.available, it.max_tasks);
    }
    std::vector<room_claim> claims;
    for (const fit_candidate& it : candidates) {
        int slots = tasks_that_fit(spec.need, it.available, it.max_tasks);
        if (slots > 0) {
            // The step will use a part of the room that it asks about.
            double part =
                std::min(1.0, static_cast<double>(missing) / fits) * slots;
            claims.push_back({it.number, base::scaled(spec.need, part)});
        }
    }
    return claims;
}

// A gang gathers its room while it has tickets; a call takes longer than that,
// and the room would stay idle during it. So the choice has to become much
// larger, unless the gang can't expect to find its room without the call.
bool scheduler::widens_choice(const tracked_job& job,
                              const workload::step& spec,
                              const std::vector<fit_candidate>& candidates,
                              int missing, const gang_room& known) {
    if (candidates.size() >= min_further_candidates ||
        known.idle_slots < missing) {
        return true;
    }
    double admission_rate =
        m_advice_calls.admission_ratio_of(job.execution->queue().name).value();
    int free = 0;
    int idle = 0;
    for (const fit_candidate& it : candidates) {
        free += tasks_that_fit(spec.need, it.available, it.max_tasks);
        idle += tasks_that_fit(spec.need, it.idle, it.max_tasks);
    }
    if (idle * admission_rate >= known.idle_slots) {
        return true;
    }
    return has_spare_room() && !known.expected_soon &&
           known.free_slots + free * admission_rate >= missing;
}

bool scheduler::request_new_candidates(tracked_job& job, const step_rank& rank,
                                       step_execution& step, int missing,
                                       const gang_room& known,
                                       base::instant now) {
    m_statistics.searches++;
    bool asked = ask_new_candidates(job, rank, step, missing, known, now);
    m_statistics.searches_without_call += asked ? 0 : 1;
    return asked;
}

bool scheduler::ask_new_candidates(tracked_job& job, const step_rank& rank,
                                   step_execution& step, int missing,
                                   const gang_room& known, base::instant now) {
    auto candidates = select_advice_candidates(job, rank, step, missing, now);
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    bool worthwhile = rank.priority == 0 || !spec.gang ||
                      step.advice.admitted.empty() ||
                      widens_choice(job, spec, candidates, missing, known);
    if (!worthwhile) {
        return false;
    }
    if (spec.gang) {
        return request_gang_advice(job, rank, step, candidates, now);
    }
    bool asked = request_advice(job, rank, step, candidates,
                                make_claims(spec, candidates, missing), now);
    if (asked) {
        apply_pending_claims(step);
    }
    return asked;
}

// Calls one after another would take longer than a wide gang can wait.
bool scheduler::request_gang_advice(
    tracked_job& job, const step_rank& rank, step_execution& step,
    const std::vector<fit_candidate>& candidates, base::instant now) {
    std::size_t calls = std::max<std::size_t>(
        1, (candidates.size() + max_advice_candidates - 1) /
               max_advice_candidates);
    bool asked = false;
    for (std::size_t i = 0; i < calls; ++i) {
        auto part = [&](std::size_t call) {
            return candidates.begin() + static_cast<std::ptrdiff_t>(
                                            candidates.size() * call / calls);
        };
        asked =
            request_advice(job, rank, step, {part(i), part(i + 1)}, {}, now) ||
            asked;
    }
    return asked;
}

bool scheduler::request_advice(tracked_job& job, const step_rank& rank,
                               step_execution& step,
                               const std::vector<fit_candidate>& candidates,
                               std::vector<room_claim> claims,
                               base::instant now) {
    const workload::queue_policy& queue = job.execution->queue();
    auto channel = m_advice_calls.idle_channel(now);
    if (candidates.empty() || !channel) {
        step.advice.next_call_at = now + no_candidate_pause;
        return false;
    }
    advice_call call;
    call.timeout =
        queue.advice->call_duration(candidates.size()) + advice_timeout_slack;
    call.step = {rank.job, rank.occurrence, rank.step, 0};
    for (const fit_candidate& it : candidates) {
        call.candidates.emplace_back(it.endpoint);
    }
    call.query =
        m_advice_calls.begin_call(*channel, call.step, call.candidates,
                                  call.timeout + advice_timeout_slack, now);
    step.advice.calls_in_flight++;
    step.advice.reply_due_at =
        std::max(step.advice.reply_due_at,
                 now + queue.advice->call_duration(candidates.size()));
    step.advice.claims = std::move(claims);
    advice_reason reason = classify_call(step.advice, now);
    m_statistics.queues[queue.name]
        .advice_calls[static_cast<std::size_t>(reason)]++;
    observe::log_event("advice_asked",
                       {{"step", workload::to_string(call.step)},
                        {"query", std::to_string(call.query)},
                        {"channel", *channel},
                        {"candidates", std::to_string(candidates.size())},
                        {"reason", to_string(reason)},
                        {"missing", std::to_string(step.waiting_count)}});
    m_effects.ask_advice(*channel, call);
    return true;
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
    step->advice.calls_in_flight--;
    step->advice.claims.clear();
    step->room = {};
    const workload::queue_policy& queue = job->execution->queue();
    m_effects.on_measured(latency_kind::advice, queue.name,
                          now - call->asked_at);
    if (!reply.answered || !queue.advice) {
        step->advice.next_call_at = now + advice_retry_pause;
        return;
    }
    auto until = now + queue.advice->ticket_lifetime - ticket_margin;
    step->advice.last_valid_until =
        std::max(step->advice.last_valid_until, until);
    m_statistics.queues[queue.name].tickets_issued += reply.admitted.size();
    step->advice.next_call_at =
        now + call_pause_factor *
                  queue.advice->call_duration(call->candidates.size());
    std::size_t newly_rejected = 0;
    std::size_t newly_admitted = 0;
    std::set<std::string_view> admitted;
    for (const auto& [id, text] : reply.admitted) {
        admitted.insert(id);
        auto endpoint = m_endpoints.find(id);
        if (endpoint != m_endpoints.end()) {
            auto [row, is_new] = step->advice.admitted.insert_or_assign(
                endpoint->second.number, ticket{text, until, false});
            newly_admitted += is_new ? 1 : 0;
        }
    }
    for (const std::string& id : call->candidates) {
        auto endpoint = m_endpoints.find(id);
        if (endpoint != m_endpoints.end() && !admitted.contains(id)) {
            newly_rejected++;
            step->advice.admitted.erase(endpoint->second.number);
            step->advice.rejected.insert(endpoint->second.number);
        }
    }
    m_advice_calls.admission_ratio_of(queue.name)
        .add(newly_rejected + newly_admitted, newly_admitted);
}

} // namespace eelgrasslever::cluster
