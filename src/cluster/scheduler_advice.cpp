// Which endpoints to ask advice about, and what its replies mean.
#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// Taken off a ticket's life for the way to the endpoint.
constexpr base::milliseconds ticket_margin{150};
/// A call for advice may take this much longer than its declared time.
constexpr base::milliseconds advice_slack{600};
/// Pause before advice is asked again for a step that got none.
constexpr base::milliseconds advice_retry{100};
/// Endpoints that one call for advice may name. Source: the service's limit.
constexpr std::size_t advice_candidates = 100;
/// More is asked for than is needed by this factor, as rooms change meanwhile.
/// Tasks that go one by one use rooms that are nearly full.
constexpr double gang_surplus = 1.25;
constexpr double task_surplus = 2.0;

} // namespace

std::vector<std::string>
scheduler::choose_endpoints_to_ask(const job_state& job, const rank& at,
                                   const step_run& step, int missing,
                                   base::instant now) {
    const workload::step& spec =
        job.run->job().steps[static_cast<std::size_t>(at.step)];
    double share = m_desk.share(job.run->job().queue.name).value();
    // A gang first learns of enough endpoints that may run it, with room or
    // without: the room is then waited for where it counts.
    bool explore =
        spec.gang && admitted_capacity(at, spec, step, now) < missing;
    struct option {
        std::string endpoint;
        int fits;
        bool admitted;
        bool preferred;
    };
    std::vector<option> options;
    for (const fit_candidate& it :
         candidates(job, at, step, now,
                    explore ? scope::explored : scope::unticketed)) {
        int fits = tasks_that_fit(spec.need, it.room, it.slots_left);
        std::string id(it.endpoint);
        bool admitted = step.advice.admitted.contains(id);
        if (fits > 0 || explore) {
            options.push_back({std::move(id), fits, admitted, it.preferred});
        }
    }
    // A gang takes few roomy endpoints. Other tasks go where little room is
    // left, so that roomy endpoints remain for gangs.
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
        for (const fit_candidate& it :
             candidates(job, at, step, now, scope::ticketed)) {
            expected += tasks_that_fit(spec.need, it.room, it.slots_left);
        }
    }
    double wanted = static_cast<double>(missing) *
                    (spec.gang ? gang_surplus : task_surplus);
    std::vector<std::string> asked;
    for (const option& it : options) {
        if ((expected >= wanted && !explore) ||
            asked.size() >= advice_candidates) {
            break;
        }
        asked.push_back(it.endpoint);
        expected += it.fits * (it.admitted ? 1.0 : share);
    }
    bool in_vain =
        spec.gang && !explore && expected < static_cast<double>(missing);
    return in_vain ? std::vector<std::string>{} : asked;
}

void scheduler::want_advice(job_state& job, const rank& at, step_run& step,
                            int missing, base::instant now) {
    const workload::queue_policy& queue = job.run->job().queue;
    if (!queue.advice || step.advice.in_flight || step.advice.ask_after > now) {
        return;
    }
    auto channel = m_desk.idle_channel(now);
    if (!channel) {
        return;
    }
    auto asked = choose_endpoints_to_ask(job, at, step, missing, now);
    if (asked.empty()) {
        return;
    }
    advice_call call;
    auto work = queue.advice->fixed_call_time +
                std::chrono::duration_cast<base::milliseconds>(
                    queue.advice->call_time_per_candidate * asked.size());
    call.timeout = work + advice_slack;
    call.step = {at.job, at.occurrence, at.step, 0};
    call.candidates = asked;
    call.query = m_desk.begin(*channel, call.step, asked,
                              call.timeout + advice_slack, now);
    step.advice.in_flight = true;
    observe::log_event("advice_asked",
                       {{"step", workload::to_string(call.step)},
                        {"query", std::to_string(call.query)},
                        {"channel", *channel},
                        {"candidates", std::to_string(asked.size())},
                        {"missing", std::to_string(missing)}});
    m_effects.ask_advice(*channel, call);
}

void scheduler::on_advice(std::uint64_t query, const advice_reply& reply,
                          base::instant now) {
    auto call = m_desk.end(query, reply.answered, now);
    if (!call) {
        return;
    }
    m_place_needed = true;
    observe::log_event(
        "advice",
        {{"step", workload::to_string(call->step)},
         {"query", std::to_string(query)},
         {"answered", reply.answered ? "1" : "0"},
         {"admitted", std::to_string(reply.admitted.size())},
         {"asked", std::to_string(call->candidates.size())},
         {"took_ms", std::to_string((now - call->asked_at).count())}});
    job_state* job = find_job(call->step.job);
    step_run* step = job == nullptr ? nullptr
                                    : job->run->find_step(call->step.occurrence,
                                                          call->step.step);
    if (step == nullptr) {
        return;
    }
    step->advice.in_flight = false;
    const workload::queue_policy& queue = job->run->job().queue;
    m_effects.on_measured(latency_kind::advice, queue.name,
                          now - call->asked_at);
    if (!reply.answered || !queue.advice) {
        step->advice.ask_after = now + advice_retry;
        return;
    }
    auto until = now + queue.advice->ticket_lifetime - ticket_margin;
    std::size_t unknown = 0;
    std::size_t newly = 0;
    std::set<std::string> admitted;
    for (const auto& [id, text] : reply.admitted) {
        newly += step->advice.admitted.contains(id) ? 0 : 1;
        step->advice.admitted[id] = {text, until};
        admitted.insert(id);
    }
    for (const std::string& id : call->candidates) {
        if (!admitted.contains(id)) {
            unknown++;
            step->advice.admitted.erase(id);
            step->advice.rejected.insert(id);
        }
    }
    m_desk.share(queue.name).add(unknown + newly, newly);
}

int scheduler::admitted_capacity(const rank& at, const workload::step& spec,
                                 const step_run& step,
                                 base::instant now) const {
    int out = 0;
    for (const auto& [id, ticket] : step.advice.admitted) {
        auto found = m_endpoints.find(id);
        if (found != m_endpoints.end() && usable(found->second, now)) {
            out += tasks_that_fit(spec.need, whole_room(found->second, at),
                                  spec.count);
        }
    }
    return out;
}

} // namespace eelgrasslever::cluster
