#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// A start that is not carried out within this time is refused by the
/// endpoint. Source: the sites' latest orders are carried out 2 s late or
/// more, and a start that late is better made elsewhere.
constexpr base::milliseconds start_window{1500};
/// How often a waiting gang's reservation is chosen anew.
constexpr base::milliseconds reservation_period{100};
/// Steps looked at in one pass: the first in rank, and others by turns. Bounds
/// the time of a pass under overload. Source: the 10 ms between passes leave
/// 50 us for each look.
constexpr std::size_t first_steps = 100;
constexpr std::size_t turn_steps = 100;

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
    for (const rank& at : steps_to_look_at()) {
        if (place_step(at, now)) {
            m_ready.erase(at);
            unreserve(at);
        }
    }
}

// The first in rank are looked at in each pass. The others take turns, as
// those ahead of them may wait for what others don't need.
std::vector<scheduler::rank> scheduler::steps_to_look_at() {
    std::vector<rank> out;
    auto next = m_ready.begin();
    for (; next != m_ready.end() && out.size() < first_steps; ++next) {
        out.push_back(*next);
    }
    if (next == m_ready.end()) {
        return out;
    }
    auto turn = m_last_turn < *next ? next : m_ready.upper_bound(m_last_turn);
    std::size_t left = std::min(turn_steps, m_ready.size() - out.size());
    for (; left > 0; --left) {
        if (turn == m_ready.end()) {
            turn = next;
        }
        out.push_back(*turn);
        m_last_turn = *turn;
        ++turn;
    }
    return out;
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

} // namespace eelgrasslever::cluster
