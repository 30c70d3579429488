#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// The endpoint refuses a start that arrives later than this. Delayed orders at
/// the deployments are carried out 2 s late or more; by then it is better to
/// start the task elsewhere.
constexpr base::milliseconds start_timeout{1500};
/// How often the reservation of a waiting gang is chosen again.
constexpr base::milliseconds reservation_refresh_interval{100};
/// Steps examined in one pass: the highest-ranked ones, and others in rotation.
/// This bounds the duration of a pass under overload: the 10 ms between passes
/// leave 50 us for each of the 200 steps.
constexpr std::size_t top_ranked_steps = 100;
constexpr std::size_t rotated_steps = 100;

bool has_ticket(const step_advice& advice, base::instant now) {
    return std::any_of(
        advice.admitted.begin(), advice.admitted.end(),
        [&](const auto& row) { return row.second.valid_until > now; });
}

} // namespace

void scheduler::place_ready_steps(base::instant now) {
    m_placement_needed = false;
    m_last_placement_at = now;
    m_usable.clear();
    for (const auto& [id, endpoint] : m_endpoints) {
        if (is_usable(endpoint, now)) {
            m_usable.push_back(&endpoint);
        }
    }
    m_statistics.passes++;
    for (const step_rank& rank : select_steps()) {
        m_statistics.steps_examined++;
        if (place_step(rank, now)) {
            m_ready.erase(rank);
            release_reservation(rank);
        }
    }
}

// The highest-ranked steps are examined in each pass. The others are examined
// in rotation, because the steps ahead of them may wait for resources that they
// don't need.
std::vector<scheduler::step_rank> scheduler::select_steps() {
    std::vector<step_rank> result;
    auto next = m_ready.begin();
    for (; next != m_ready.end() && result.size() < top_ranked_steps; ++next) {
        result.push_back(*next);
    }
    if (next == m_ready.end()) {
        return result;
    }
    auto rotated =
        m_last_rotated < *next ? next : m_ready.upper_bound(m_last_rotated);
    std::size_t remaining =
        std::min(rotated_steps, m_ready.size() - result.size());
    for (; remaining > 0; --remaining) {
        if (rotated == m_ready.end()) {
            rotated = next;
        }
        result.push_back(*rotated);
        m_last_rotated = *rotated;
        ++rotated;
    }
    return result;
}

/// @return whether no task of the step is waiting any more.
bool scheduler::place_step(const step_rank& rank, base::instant now) {
    tracked_job* job = find_job(rank.job);
    step_execution* step =
        job == nullptr ? nullptr
                       : job->execution->find_step(rank.occurrence, rank.step);
    if (step == nullptr || job->execution->has_ended() ||
        step->waiting_count == 0) {
        return true;
    }
    step->examined_at = now;
    // Most waiting steps can do nothing but wait for advice; skipping them here
    // is cheap.
    bool can_ask = !step->advice.call_in_flight &&
                   step->advice.next_call_at <= now &&
                   m_advice_calls.idle_channel_count(now) > 0;
    if (job->execution->job().queue.advice && !can_ask &&
        !has_ticket(step->advice, now)) {
        return false;
    }
    const workload::step& spec =
        job->execution->job().steps[static_cast<std::size_t>(rank.step)];
    if (spec.gang) {
        return place_gang(*job, rank, *step, now);
    }
    place_tasks(*job, rank, *step, now);
    return step->waiting_count == 0;
}

base::resources scheduler::usable_capacity(const endpoint_state& endpoint,
                                           const step_rank& rank) const {
    base::resources capacity = endpoint.listing.capacity;
    if (rank.priority > 0) {
        capacity.cpu_milli -= static_cast<std::int64_t>(
            static_cast<double>(capacity.cpu_milli) * m_limits.urgent_headroom);
    }
    return capacity;
}

base::resources scheduler::available_resources(const endpoint_state& endpoint,
                                               const step_rank& rank) const {
    return usable_capacity(endpoint, rank) - endpoint.used;
}

endpoint_state& scheduler::endpoint_by_id(std::string_view id) {
    return m_endpoints.find(id)->second;
}

int scheduler::count_runs_of_step(const endpoint_state& endpoint,
                                  const step_rank& rank) const {
    return static_cast<int>(std::count_if(
        endpoint.runs.begin(), endpoint.runs.end(), [&](const auto& row) {
            const task_key& key = row.first.task;
            return key.job == rank.job && key.occurrence == rank.occurrence &&
                   key.step == rank.step;
        }));
}

std::vector<fit_candidate>
scheduler::find_candidates(const tracked_job& job, const step_rank& rank,
                           const step_execution& step, base::instant now,
                           candidate_filter filter) const {
    const workload::job& job_spec = job.execution->job();
    const workload::step& step_spec =
        job_spec.steps[static_cast<std::size_t>(rank.step)];
    std::vector<fit_candidate> result;
    auto consider = [&](const endpoint_state& endpoint) {
        const std::string& id = endpoint.listing.id;
        if (endpoint.listing.service != job_spec.queue.service ||
            (filter != candidate_filter::ignore_reservations &&
             is_reserved_for_higher_rank(endpoint, rank))) {
            return;
        }
        const auto& labels = endpoint.listing.labels;
        if (!step_spec.required_label.empty() &&
            std::find(labels.begin(), labels.end(), step_spec.required_label) ==
                labels.end()) {
            return;
        }
        int max_tasks = step_spec.count;
        if (step_spec.max_per_endpoint > 0) {
            max_tasks =
                step_spec.max_per_endpoint - count_runs_of_step(endpoint, rank);
        }
        if (max_tasks < 1) {
            return;
        }
        result.push_back({id, endpoint.listing.rack,
                          available_resources(endpoint, rank), max_tasks,
                          (step_spec.data_rack.empty() ||
                           step_spec.data_rack == endpoint.listing.rack) &&
                              (step_spec.gang || !is_reserved(endpoint))});
    };
    if (!job_spec.queue.advice) {
        if (filter == candidate_filter::with_ticket) {
            std::for_each(m_usable.begin(), m_usable.end(),
                          [&](const auto* endpoint) { consider(*endpoint); });
        }
        return result;
    }
    if (filter == candidate_filter::with_ticket) {
        for (const auto& [id, ticket] : step.advice.admitted) {
            auto found = m_endpoints.find(id);
            if (ticket.valid_until > now && found != m_endpoints.end() &&
                is_usable(found->second, now)) {
                consider(found->second);
            }
        }
        return result;
    }
    for (const endpoint_state* endpoint : m_usable) {
        const std::string& id = endpoint->listing.id;
        auto ticket = step.advice.admitted.find(id);
        bool valid = ticket != step.advice.admitted.end() &&
                     ticket->second.valid_until > now;
        if (!valid && !step.advice.rejected.contains(id)) {
            consider(*endpoint);
        }
    }
    return result;
}

void scheduler::place_tasks(tracked_job& job, const step_rank& rank,
                            step_execution& step, base::instant now) {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    std::vector<int> waiting;
    for (int i = 0; i < spec.count; ++i) {
        const task_execution& task = step.tasks[static_cast<std::size_t>(i)];
        if (task.phase == task_phase::waiting && task.live_runs == 0 &&
            task.not_before <= now) {
            waiting.push_back(i);
        }
    }
    if (waiting.empty()) {
        return;
    }
    auto candidates =
        find_candidates(job, rank, step, now, candidate_filter::with_ticket);
    auto chosen = assign_best_fit(spec.need, static_cast<int>(waiting.size()),
                                  candidates);
    for (std::size_t k = 0; k < chosen.size(); ++k) {
        task_key key{rank.job, rank.occurrence, rank.step, waiting[k]};
        task_execution* task = job.execution->find_task(key);
        place_task(job, key, job.execution->next_run_number(*task),
                   task->checkpoint,
                   endpoint_by_id(candidates[chosen[k]].endpoint), now);
    }
    int missing = static_cast<int>(waiting.size() - chosen.size());
    if (missing > 0) {
        request_advice(job, rank, step, missing, now);
    }
}

bool scheduler::place_gang(tracked_job& job, const step_rank& rank,
                           step_execution& step, base::instant now) {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    int unfinished = spec.count - step.done_count;
    if (step.waiting_count < unfinished) {
        // Members of an earlier run are still active and must be stopped first.
        task_key member{rank.job, rank.occurrence, rank.step, 0};
        std::set<int> runs;
        for (const task_execution& task : step.tasks) {
            if (task.phase == task_phase::active) {
                runs.insert(task.active_run);
            }
        }
        for (int earlier_run : runs) {
            stop_gang(member, earlier_run, now);
        }
        return false;
    }
    int run = 0;
    std::string checkpoint;
    for (const task_execution& task : step.tasks) {
        if (task.not_before > now || task.live_runs > 0) {
            return false;
        }
        run = std::max(run, job.execution->next_run_number(task));
        // A checkpoint's text increases with the work that it covers.
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    auto candidates =
        find_candidates(job, rank, step, now, candidate_filter::with_ticket);
    auto chosen =
        assign_gang(spec.need, unfinished, candidates, spec.same_rack);
    if (chosen.empty()) {
        request_advice(job, rank, step, unfinished, now);
        if (now - step.reserved_at >= reservation_refresh_interval) {
            step.reserved_at = now;
            reserve_for_gang(job, rank, step, now);
        }
        return false;
    }
    std::size_t k = 0;
    for (int i = 0; i < spec.count; ++i) {
        if (step.tasks[static_cast<std::size_t>(i)].phase == task_phase::done) {
            continue;
        }
        task_key key{rank.job, rank.occurrence, rank.step, i};
        place_task(job, key, run, checkpoint,
                   endpoint_by_id(candidates[chosen[k++]].endpoint), now);
    }
    return true;
}

void scheduler::place_task(tracked_job& job, const task_key& key, int run,
                           const std::string& checkpoint,
                           endpoint_state& endpoint, base::instant now) {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(key.step)];
    step_execution* step = job.execution->find_step(key.occurrence, key.step);
    queue_statistics& counts =
        m_statistics.queues[job.execution->job().queue.name];
    counts.tasks_placed++;
    allocation allocated;
    allocated.number = run;
    allocated.need = spec.need;
    allocated.phase = allocation_phase::recording;
    allocated.started_at = now;
    allocated.percent_changed_at = now;
    allocated.checkpoint = checkpoint;
    auto ticket = step->advice.admitted.find(endpoint.listing.id);
    if (ticket != step->advice.admitted.end()) {
        allocated.ticket = ticket->second.text;
        allocated.ticket_valid_until = ticket->second.valid_until;
        counts.tickets_used += ticket->second.used ? 0 : 1;
        ticket->second.used = true;
    }
    endpoint.used += spec.need;
    endpoint.runs[{key, run}] = allocated;
    adjust_live_runs(key, 1);
    observe::log_event(
        "task_placed",
        {{"task", workload::to_string(key)},
         {"run", std::to_string(run)},
         {"endpoint", endpoint.listing.id},
         {"token", std::to_string(m_term.token)},
         {"waited_ms", std::to_string((now - step->unlocked_at).count())},
         {"free_cpu", std::to_string(endpoint.free_resources().cpu_milli)},
         {"seen_ms_ago",
          std::to_string((now - endpoint.last_reply_at).count())}});
    job.execution->mark_active(key, run, endpoint.listing.id);
    schedule_record(job, now);
    job.unsent_starts.push_back(
        {endpoint.listing.id, {key, run}, job.execution->version(), now});
    m_jobs_with_unsent_starts.insert(key.job);
}

void scheduler::send_start(endpoint_state& endpoint, const run_key& key,
                           tracked_job& job, base::instant now) {
    allocation& run = endpoint.runs.at(key);
    if (run.phase != allocation_phase::recording) {
        return;
    }
    bool ticket_expired = job.execution->job().queue.advice.has_value() &&
                          run.ticket_valid_until < now;
    if (job.execution->has_ended() || ticket_expired ||
        !is_usable(endpoint, now)) {
        abandon_run(endpoint, key, now);
        return;
    }
    run.phase = allocation_phase::starting;
    run.started_at = now;
    run.percent_changed_at = now;
    run.start_expires = now + start_timeout + start_timeout / 10;
    endpoint.order_sequence++;
    start_order order;
    order.task = key.task;
    order.run = key.run;
    order.payload = job.execution->job().payload;
    order.start_before = endpoint.estimate_clock(now) + start_timeout;
    endpoint.lease_deadline =
        std::max(endpoint.lease_deadline, order.start_before);
    order.checkpoint = run.checkpoint;
    order.ticket = run.ticket;
    m_effects.start(endpoint.listing, m_term.token, order);
}

} // namespace eelgrasslever::cluster
