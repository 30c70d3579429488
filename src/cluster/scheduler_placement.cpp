#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// A start that is not carried out within this time is refused by the
/// endpoint. Source: the sites' latest orders are carried out 2 s late or
/// more, and a start that late is better made elsewhere.
constexpr base::milliseconds start_window{1500};
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
/// Share of the fleet that waiting gangs may keep free at a time.
constexpr double reserved_share = 0.5;
/// How often a waiting gang's reservation is chosen anew.
constexpr base::milliseconds reservation_period{100};
/// Steps looked at in one pass; bounds the time of a pass under overload.
constexpr int steps_a_pass = 200;

bool has_ticket(const step_advice& advice, base::instant now) {
    return std::any_of(
        advice.admitted.begin(), advice.admitted.end(),
        [&](const auto& row) { return row.second.valid_until > now; });
}

} // namespace

void scheduler::place_all(base::instant now) {
    m_place_needed = false;
    m_placed_at = now;
    m_usable.clear();
    for (const auto& [id, at] : m_endpoints) {
        if (usable(at, now)) {
            m_usable.push_back(&at);
        }
    }
    std::vector<rank> order(m_ready.begin(), m_ready.end());
    int looked_at = 0;
    for (const rank& at : order) {
        if (looked_at++ >= steps_a_pass) {
            break;
        }
        if (place_step(at, now)) {
            m_ready.erase(at);
            unreserve(at);
        }
    }
}

/// @return whether no task of the step waits any more.
bool scheduler::place_step(const rank& at, base::instant now) {
    job_state* job = find_job(at.job);
    step_run* step =
        job == nullptr ? nullptr : job->run->find_step(at.occurrence, at.step);
    if (step == nullptr || job->run->ended() || step->waiting == 0) {
        return true;
    }
    // Most waiting steps can only wait for advice; they are passed over
    // cheaply.
    bool can_ask = !step->advice.in_flight && step->advice.ask_after <= now &&
                   m_desk.idle_count(now) > 0;
    if (job->run->job().queue.advice && !can_ask &&
        !has_ticket(step->advice, now)) {
        return false;
    }
    const workload::step& spec =
        job->run->job().steps[static_cast<std::size_t>(at.step)];
    if (spec.gang) {
        return place_gang(*job, at, *step, now);
    }
    place_each(*job, at, *step, now);
    return step->waiting == 0;
}

base::resources scheduler::whole_room(const endpoint_run& at,
                                      const rank& step) const {
    base::resources room = at.listing.capacity;
    if (step.priority > 0) {
        room.cpu_milli -= static_cast<std::int64_t>(
            static_cast<double>(room.cpu_milli) * m_limits.urgent_headroom);
    }
    return room;
}

base::resources scheduler::room_for(const endpoint_run& at,
                                    const rank& step) const {
    return whole_room(at, step) - at.used;
}

endpoint_run& scheduler::endpoint_at(std::string_view id) {
    return m_endpoints.find(id)->second;
}

int scheduler::tasks_of_step(const endpoint_run& at, const rank& step) const {
    return static_cast<int>(
        std::count_if(at.runs.begin(), at.runs.end(), [&](const auto& row) {
            const task_key& key = row.first.task;
            return key.job == step.job && key.occurrence == step.occurrence &&
                   key.step == step.step;
        }));
}

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

std::vector<fit_candidate>
scheduler::candidates(const job_state& job, const rank& at,
                      const step_run& step, base::instant now, scope of) const {
    const workload::job& spec = job.run->job();
    const workload::step& it = spec.steps[static_cast<std::size_t>(at.step)];
    std::vector<fit_candidate> out;
    auto consider = [&](const endpoint_run& endpoint) {
        const std::string& id = endpoint.listing.id;
        if (endpoint.listing.service != spec.queue.service ||
            (of != scope::explored && reserved_by_other(endpoint, at))) {
            return;
        }
        const auto& labels = endpoint.listing.labels;
        if (!it.required_label.empty() &&
            std::find(labels.begin(), labels.end(), it.required_label) ==
                labels.end()) {
            return;
        }
        int left = it.count;
        if (it.max_per_endpoint > 0) {
            left = it.max_per_endpoint - tasks_of_step(endpoint, at);
        }
        if (left < 1) {
            return;
        }
        out.push_back(
            {id, endpoint.listing.rack, room_for(endpoint, at), left,
             (it.data_rack.empty() || it.data_rack == endpoint.listing.rack) &&
                 (it.gang || !reserved(endpoint))});
    };
    if (!spec.queue.advice) {
        if (of == scope::ticketed) {
            std::for_each(m_usable.begin(), m_usable.end(),
                          [&](const auto* endpoint) { consider(*endpoint); });
        }
        return out;
    }
    if (of == scope::ticketed) {
        for (const auto& [id, ticket] : step.advice.admitted) {
            auto found = m_endpoints.find(id);
            if (ticket.valid_until > now && found != m_endpoints.end() &&
                usable(found->second, now)) {
                consider(found->second);
            }
        }
        return out;
    }
    for (const endpoint_run* endpoint : m_usable) {
        const std::string& id = endpoint->listing.id;
        auto ticket = step.advice.admitted.find(id);
        bool valid = ticket != step.advice.admitted.end() &&
                     ticket->second.valid_until > now;
        if (!valid && !step.advice.rejected.contains(id)) {
            consider(*endpoint);
        }
    }
    return out;
}

void scheduler::place_each(job_state& job, const rank& at, step_run& step,
                           base::instant now) {
    const workload::step& spec =
        job.run->job().steps[static_cast<std::size_t>(at.step)];
    std::vector<int> waiting;
    for (int i = 0; i < spec.count; ++i) {
        const task_run& task = step.tasks[static_cast<std::size_t>(i)];
        if (task.phase == task_phase::waiting && task.live_runs == 0 &&
            task.not_before <= now) {
            waiting.push_back(i);
        }
    }
    if (waiting.empty()) {
        return;
    }
    auto rooms = candidates(job, at, step, now, scope::ticketed);
    auto chosen = fit_each(spec.need, static_cast<int>(waiting.size()), rooms);
    for (std::size_t k = 0; k < chosen.size(); ++k) {
        task_key key{at.job, at.occurrence, at.step, waiting[k]};
        task_run* task = job.run->find_task(key);
        start_task(job, key, job.run->next_run(*task), task->checkpoint,
                   endpoint_at(rooms[chosen[k]].endpoint), now);
    }
    int missing = static_cast<int>(waiting.size() - chosen.size());
    if (missing > 0) {
        want_advice(job, at, step, missing, now);
    }
}

bool scheduler::place_gang(job_state& job, const rank& at, step_run& step,
                           base::instant now) {
    const workload::step& spec =
        job.run->job().steps[static_cast<std::size_t>(at.step)];
    int open = spec.count - step.done;
    if (step.waiting < open) {
        // Members of an earlier run are still being stopped.
        task_key member{at.job, at.occurrence, at.step, 0};
        std::set<int> runs;
        for (const task_run& task : step.tasks) {
            if (task.phase == task_phase::active) {
                runs.insert(task.run);
            }
        }
        for (int earlier : runs) {
            stop_gang(member, earlier, now);
        }
        return false;
    }
    int run = 0;
    std::string checkpoint;
    for (const task_run& task : step.tasks) {
        if (task.not_before > now || task.live_runs > 0) {
            return false;
        }
        run = std::max(run, job.run->next_run(task));
        // The text grows with the work that it holds.
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    auto rooms = candidates(job, at, step, now, scope::ticketed);
    auto chosen = fit_together(spec.need, open, rooms, spec.same_rack);
    if (chosen.empty()) {
        want_advice(job, at, step, open, now);
        if (now - step.reserved_at >= reservation_period) {
            step.reserved_at = now;
            reserve(job, at, step, now);
        }
        return false;
    }
    std::size_t k = 0;
    for (int i = 0; i < spec.count; ++i) {
        if (step.tasks[static_cast<std::size_t>(i)].phase == task_phase::done) {
            continue;
        }
        task_key key{at.job, at.occurrence, at.step, i};
        start_task(job, key, run, checkpoint,
                   endpoint_at(rooms[chosen[k++]].endpoint), now);
    }
    return true;
}

void scheduler::start_task(job_state& job, const task_key& key, int run,
                           const std::string& checkpoint, endpoint_run& at,
                           base::instant now) {
    const workload::step& spec =
        job.run->job().steps[static_cast<std::size_t>(key.step)];
    const step_run* step = job.run->find_step(key.occurrence, key.step);
    allocation taken;
    taken.run = run;
    taken.need = spec.need;
    taken.phase = allocation_phase::recording;
    taken.started_at = now;
    taken.percent_changed_at = now;
    taken.checkpoint = checkpoint;
    auto ticket = step->advice.admitted.find(at.listing.id);
    if (ticket != step->advice.admitted.end()) {
        taken.ticket = ticket->second.text;
        taken.ticket_valid_until = ticket->second.valid_until;
    }
    at.used += spec.need;
    at.runs[{key, run}] = taken;
    count_live(key, 1);
    observe::log_event(
        "task_placed",
        {{"task", workload::to_string(key)},
         {"run", std::to_string(run)},
         {"endpoint", at.listing.id},
         {"token", std::to_string(m_mandate.token)},
         {"waited_ms", std::to_string((now - step->unlocked_at).count())},
         {"free_cpu", std::to_string(at.free().cpu_milli)},
         {"seen_ms_ago", std::to_string((now - at.last_reply).count())}});
    job.run->mark_active(key, run, at.listing.id);
    touch(job, now);
    job.unsent.push_back({at.listing.id, {key, run}, job.run->version(), now});
    m_unsent.insert(key.job);
}

void scheduler::send_start(endpoint_run& at, const run_key& key, job_state& job,
                           base::instant now) {
    allocation& run = at.runs.at(key);
    if (run.phase != allocation_phase::recording) {
        return;
    }
    bool ticket_over =
        job.run->job().queue.advice.has_value() && run.ticket_valid_until < now;
    if (job.run->ended() || ticket_over || !usable(at, now)) {
        abandon(at, key, now);
        return;
    }
    run.phase = allocation_phase::starting;
    run.started_at = now;
    run.percent_changed_at = now;
    run.void_after = now + start_window + start_window / 10;
    at.order_count++;
    start_order order;
    order.task = key.task;
    order.run = key.run;
    order.payload = job.run->job().payload;
    order.start_before = at.clock_at(now) + start_window;
    at.lease_end = std::max(at.lease_end, order.start_before);
    order.checkpoint = run.checkpoint;
    order.ticket = run.ticket;
    m_effects.start(at.listing, m_mandate.token, order);
}

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
    auto work = queue.advice->decision +
                std::chrono::duration_cast<base::milliseconds>(
                    queue.advice->per_candidate * asked.size());
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
    auto until = now + queue.advice->valid - ticket_margin;
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
