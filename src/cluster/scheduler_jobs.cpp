#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::cluster {

namespace {

/// Longest delay before a task's completion is stored, which batches
/// completions. The endpoint reports a completion again with each renewal until
/// it is stored, so a longer delay costs more calls.
constexpr base::milliseconds completion_record_delay{40};
/// Longest delay before the first start of a job is stored. A queue's pending
/// count, which depends on it, may be 2 s old.
constexpr base::milliseconds first_start_record_delay{1000};
/// How long storing a placement may take before the task is placed again;
/// the longest duration of a store call.
constexpr base::milliseconds placement_record_timeout{1200};
/// How long after the election the starts of the preceding leader may be
/// carried out, on a slow clock. It sends them as soon as their placements are
/// stored; that call isn't covered, as work that could run counts as forgotten
/// after 3 s.
constexpr base::milliseconds inherited_start_lifetime =
    start_timeout * 103 / 100;
/// Longest delay before the stored placement of a requeued task is removed.
constexpr base::milliseconds requeue_record_delay{300};
/// Pause before a task is started again after a failed run, and before a
/// failed write of a job's progress is repeated.
constexpr base::milliseconds retry_pause{20};
/// Bounds the effect of a wrong wall clock on the order of jobs.
constexpr base::milliseconds max_age{600'000};

} // namespace

scheduler::tracked_job* scheduler::find_job(const std::string& id) {
    auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

bool scheduler::is_gang(const task_key& key) {
    tracked_job* job = find_job(key.job);
    if (job == nullptr ||
        job->execution->find_step(key.occurrence, key.step) == nullptr) {
        return false;
    }
    return job->execution->job().steps[static_cast<std::size_t>(key.step)].gang;
}

void scheduler::on_job_accepted(const job_entry& entry, base::instant now) {
    if (!entry.job || m_jobs.contains(entry.job->id) ||
        workload::is_terminal(entry.progress.state)) {
        return;
    }
    tracked_job& job = m_jobs[entry.job->id];
    job.execution = std::make_unique<job_execution>(
        entry.job, entry.progress, m_term.run_base, now, age_of(*entry.job));
    job.execution->set_queue(policy_in_force(job));
    note_arrival(job);
    job.execution->open_due_occurrences(m_wall, now);
    inherit_placements(job, now);
    unlock_ready_steps(job, now);
    complete_job_if_done(job, now);
    inherit_lost_runs(job, now);
    if (entry.cancel_requested) {
        on_cancel(entry.job->id, now);
    }
    m_placement_needed = true;
}

base::milliseconds scheduler::age_of(const workload::job& job) const {
    return std::clamp<base::milliseconds>(m_wall - job.accepted_at,
                                          base::milliseconds(0), max_age);
}

void scheduler::inherit_placements(tracked_job& job, base::instant now) {
    const workload::job& spec = job.execution->job();
    for (auto& [number, occurrence] : job.execution->occurrences()) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            auto& tasks = occurrence.steps[s].tasks;
            for (std::size_t i = 0; i < tasks.size(); ++i) {
                const task_execution& task = tasks[i];
                if (task.phase != task_phase::active) {
                    continue;
                }
                allocation run;
                run.need = spec.steps[s].need;
                run.workspace = spec.workspace;
                run.expected_end = now + spec.steps[s].estimated_duration;
                run_key key{
                    {spec.id, number, static_cast<int>(s), static_cast<int>(i)},
                    task.active_run};
                inherit_run(key, {task.active_run, task.endpoint, task.address},
                            std::move(run), now);
            }
        }
    }
}

endpoint_state& scheduler::inherit_run(const run_key& key,
                                       const workload::placement& placed,
                                       allocation run, base::instant now) {
    endpoint_state& endpoint =
        note_life(placed.endpoint, life_source::record, now);
    if (endpoint.listing.address.empty()) {
        endpoint.listing.address = placed.address;
    }
    run.number = key.run;
    run.phase = allocation_phase::inherited;
    run.start_confirmed_sequence = endpoint.order_sequence;
    run.start_expires = m_term.since + inherited_start_lifetime;
    run.started_at = now;
    run.assumed_age = max_report_age;
    run.percent_changed_at = now;
    run.progress_since = now;
    if (endpoint.listing.id == placed.endpoint) {
        add_run(endpoint, key, std::move(run));
        adjust_live_runs(key.task, 1);
        return endpoint;
    }
    // A record without a life may name the present one.
    bool has_ended = proves_end(parse_incarnation(placed.endpoint),
                                parse_incarnation(endpoint.listing.id));
    run.lost_with = has_ended ? placed.endpoint : "";
    run.lost_after = run.assumed_alive();
    carry_over(endpoint, key, std::move(run), now);
    return endpoint;
}

void scheduler::send_recorded_starts(tracked_job& job, base::instant now) {
    std::vector<unsent_start> ready;
    for (auto it = job.unsent_starts.begin(); it != job.unsent_starts.end();) {
        auto endpoint = m_endpoints.find(it->endpoint);
        bool unobserved = endpoint != m_endpoints.end() &&
                          is_trial_unobserved(endpoint->second, it->key);
        if (it->version <= job.recorded_version && !unobserved) {
            ready.push_back(std::move(*it));
            it = job.unsent_starts.erase(it);
        } else {
            ++it;
        }
    }
    for (const unsent_start& next : ready) {
        auto found = m_endpoints.find(next.endpoint);
        if (found != m_endpoints.end() &&
            found->second.runs.contains(next.key)) {
            send_start(found->second, next.key, job, now);
        }
    }
    if (job.unsent_starts.empty()) {
        m_jobs_with_unsent_starts.erase(job.execution->job().id);
    }
}

void scheduler::abandon_unrecorded_starts(base::instant now) {
    std::vector<std::string> jobs(m_jobs_with_unsent_starts.begin(),
                                  m_jobs_with_unsent_starts.end());
    for (const std::string& id : jobs) {
        tracked_job* job = find_job(id);
        if (job == nullptr || job->unsent_starts.empty()) {
            m_jobs_with_unsent_starts.erase(id);
            continue;
        }
        if (now - job->unsent_starts.front().placed_at <
            placement_record_timeout) {
            continue;
        }
        observe::log_event(
            "starts_not_recorded",
            {{"job", id},
             {"starts", std::to_string(job->unsent_starts.size())}});
        m_jobs_with_unsent_starts.erase(id);
        for (const unsent_start& next : std::exchange(job->unsent_starts, {})) {
            auto found = m_endpoints.find(next.endpoint);
            if (found != m_endpoints.end() &&
                found->second.runs.contains(next.key)) {
                abandon_run(found->second, next.key, now);
            }
        }
    }
}

std::vector<std::pair<std::string, run_key>>
scheduler::find_runs(const std::function<bool(const run_key&)>& matches) const {
    std::vector<std::pair<std::string, run_key>> result;
    for (const auto& [id, endpoint] : m_endpoints) {
        for (const auto& [key, run] : endpoint.runs) {
            if (matches(key)) {
                result.emplace_back(id, key);
            }
        }
    }
    return result;
}

void scheduler::unlock_ready_steps(tracked_job& job, base::instant now) {
    for (const auto& [occurrence, step] : job.execution->unlock_steps(now)) {
        enqueue(job, occurrence, step);
    }
}

void scheduler::schedule_record(tracked_job& job, base::instant record_at) {
    job.record_due_at =
        job.dirty ? std::min(job.record_due_at, record_at) : record_at;
    job.dirty = true;
    m_dirty_jobs.insert(job.execution->job().id);
}

// A job counts as started once an endpoint has confirmed a start.
void scheduler::note_job_started(const std::string& id, base::instant now) {
    tracked_job* job = find_job(id);
    if (job == nullptr ||
        job->execution->progress().state != workload::job_state::queued) {
        return;
    }
    job->execution->mark_started();
    base::milliseconds waited = now - job->execution->first_seen_at();
    observe::log_event(
        "job_begun",
        {{"job", id}, {"waited_ms", std::to_string(waited.count())}});
    m_effects.on_measured(latency_kind::wait_to_start,
                          job->execution->queue().name, waited);
    schedule_record(*job, now + first_start_record_delay);
}

void scheduler::send_due_records(base::instant now) {
    for (auto it = m_dirty_jobs.begin(); it != m_dirty_jobs.end();) {
        tracked_job* job = find_job(*it);
        if (job == nullptr) {
            it = m_dirty_jobs.erase(it);
            continue;
        }
        if (job->in_flight_version != 0 || job->record_due_at > now) {
            ++it;
            continue;
        }
        job->in_flight_version = job->execution->version();
        job->dirty = false;
        m_effects.record_progress(*it, job->execution->version(),
                                  workload::encode(job->execution->progress()),
                                  job->execution->has_ended());
        it = m_dirty_jobs.erase(it);
    }
}

void scheduler::on_recorded(const std::string& id, std::uint64_t version,
                            base::instant now) {
    tracked_job* job = find_job(id);
    if (job == nullptr) {
        m_remaining_runs.on_recorded(id);
        return;
    }
    job->recorded_version = std::max(job->recorded_version, version);
    job->in_flight_version = 0;
    if (job->execution->version() > job->recorded_version && !job->dirty) {
        schedule_record(*job, now);
    }
    send_recorded_starts(*job, now);
    for (std::uint32_t number : job->endpoints_to_acknowledge) {
        if (endpoint_state* endpoint = m_endpoints_by_number[number]) {
            acknowledge_recorded_completions(*endpoint, now);
        }
    }
    if (job->recorded_version == job->execution->version()) {
        job->endpoints_to_acknowledge.clear();
    }
    if (job->execution->has_ended() &&
        job->recorded_version == job->execution->version()) {
        keep_remaining_runs(*job);
        m_jobs.erase(id);
        m_dirty_jobs.erase(id);
    }
}

void scheduler::on_record_failed(const std::string& id, base::instant now) {
    tracked_job* job = find_job(id);
    if (job == nullptr) {
        m_remaining_runs.on_record_failed(id, now + retry_pause);
        return;
    }
    job->in_flight_version = 0;
    schedule_record(*job, now + retry_pause);
}

void scheduler::on_cancel(const std::string& id, base::instant now) {
    tracked_job* job = find_job(id);
    if (job == nullptr || job->execution->has_ended()) {
        return;
    }
    finish_job(*job, workload::job_state::cancelled, "cancelled by its client",
               now);
}

void scheduler::finish_job(tracked_job& job, workload::job_state state,
                           const std::string& why, base::instant now) {
    const std::string id = job.execution->job().id;
    observe::log_event(
        "job_ended",
        {{"job", id},
         {"state", workload::to_string(state)},
         {"why", why},
         {"age_ms",
          std::to_string((now - job.execution->first_seen_at()).count())}});
    job.execution->finish(state, why);
    schedule_record(job, now);
    for (const auto& [number, occurrence] : job.execution->occurrences()) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            if (occurrence.steps[s].rank) {
                m_ready.erase(*occurrence.steps[s].rank);
                m_limited_steps.erase(job.execution->job().workspace,
                                      *occurrence.steps[s].rank);
            }
        }
    }
    m_placement_needed = true;
    if (state != workload::job_state::completed) {
        stop_matching_runs(
            [&](const run_key& key) { return key.task.job == id; }, now);
    }
    record_remaining_runs(job);
}

void scheduler::complete_job_if_done(tracked_job& job, base::instant now) {
    if (!job.execution->has_ended() &&
        job.execution->all_occurrences_complete()) {
        finish_job(job, workload::job_state::completed, "all tasks are done",
                   now);
    }
}

void scheduler::requeue_task(const task_key& key, int run,
                             const std::string& checkpoint, base::instant now) {
    tracked_job* job = find_job(key.job);
    if (job == nullptr || job->execution->has_ended()) {
        return;
    }
    task_execution* task = job->execution->find_task(key);
    if (task == nullptr) {
        return;
    }
    const workload::step& spec =
        job->execution->job().steps[static_cast<std::size_t>(key.step)];
    if (!checkpoint.empty() && spec.checkpointing) {
        task->checkpoint = checkpoint;
    }
    if (task->phase != task_phase::active || task->active_run != run) {
        return;
    }
    job->execution->mark_waiting(key);
    if (fail_crashing_task(*job, key, now)) {
        return;
    }
    schedule_record(*job, now + requeue_record_delay);
    enqueue(*job, key.occurrence, key.step);
    if (spec.gang) {
        stop_gang(key, run, now);
    }
}

void scheduler::stop_other_runs(const task_key& key, const std::string& except,
                                base::instant now) {
    for (const auto& [name, run] :
         find_runs([&](const run_key& it) { return it.task == key; })) {
        endpoint_state& endpoint = m_endpoints.at(name);
        if (name != except && endpoint.runs.contains(run)) {
            stop_run(endpoint, run, now);
        }
    }
}

// A gang can't complete without all of its members, so the others are stopped.
void scheduler::stop_gang(const task_key& member, int run, base::instant now) {
    stop_matching_runs(
        [&](const run_key& key) {
            return key.run == run && key.task.job == member.job &&
                   key.task.occurrence == member.occurrence &&
                   key.task.step == member.step;
        },
        now);
}

// An earlier run may have completed the gang after it was started again.
void scheduler::stop_other_gang_runs(const task_key& member, int run,
                                     base::instant now) {
    stop_matching_runs(
        [&](const run_key& key) {
            return key.run != run && key.task.job == member.job &&
                   key.task.occurrence == member.occurrence &&
                   key.task.step == member.step;
        },
        now);
}

void scheduler::stop_matching_runs(
    const std::function<bool(const run_key&)>& matches, base::instant now) {
    for (const auto& [name, key] : find_runs(matches)) {
        endpoint_state& endpoint = m_endpoints.at(name);
        // Stopping one run may have removed another.
        if (endpoint.runs.contains(key)) {
            stop_run(endpoint, key, now);
        }
    }
}

void scheduler::apply_completion(endpoint_state& endpoint,
                                 const finished_task& completion,
                                 tracked_job& job, base::instant now) {
    job_execution& execution = *job.execution;
    task_execution* task = execution.find_task(completion.task);
    const workload::step& spec =
        execution.job().steps[static_cast<std::size_t>(completion.task.step)];
    if (completion.outcome == task_outcome::done && !spec.long_running) {
        m_health.on_run_done(endpoint.listing.id);
        if (spec.gang) {
            if (task->live_runs > 0) {
                stop_other_gang_runs(completion.task, completion.run, now);
            }
            for (int i = 0; i < spec.count; ++i) {
                task_key member = completion.task;
                member.index = i;
                execution.mark_done(member);
            }
        } else {
            if (task->live_runs > 0) {
                stop_other_runs(completion.task, endpoint.listing.id, now);
            }
            execution.mark_done(completion.task);
        }
        schedule_record(job, now + completion_record_delay);
        unlock_ready_steps(job, now);
        complete_job_if_done(job, now);
        return;
    }
    if (task->phase == task_phase::done) {
        return;
    }
    bool exhausted = false;
    if (completion.outcome == task_outcome::failed) {
        m_health.on_run_failed(endpoint.listing.id, task->failure_count > 0,
                               now);
        exhausted = execution.count_failure(completion.task, completion.run);
        task->not_before = now + retry_pause;
        schedule_record(job, now + completion_record_delay);
    }
    if (exhausted) {
        finish_job(job, workload::job_state::failed,
                   "task " + workload::to_string(completion.task) +
                       " has used up its attempts",
                   now);
        return;
    }
    requeue_task(completion.task, completion.run, completion.checkpoint, now);
}

} // namespace eelgrasslever::cluster
