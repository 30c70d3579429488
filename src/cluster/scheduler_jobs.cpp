#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::cluster {

namespace {

/// How long the end of a task waits so that others go with it. The endpoint
/// repeats the end until it is stored, which costs a call each time.
constexpr base::milliseconds group_ends{40};
/// How long the first start of a job waits. Source: a queue's pending count
/// may be 2 s old.
constexpr base::milliseconds group_starts{1000};
/// How long a placement may take to be stored before the task is placed anew.
/// Source: a store call's longest time.
constexpr base::milliseconds placement_patience{1200};
/// How long the end of a run that must only be dropped from the record waits.
constexpr base::milliseconds group_drops{300};
/// Pause before a task is run again whose run failed.
constexpr base::milliseconds failed_pause{20};

} // namespace

scheduler::job_state* scheduler::find_job(const std::string& id) {
    auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

bool scheduler::is_gang(const task_key& key) {
    job_state* job = find_job(key.job);
    if (job == nullptr ||
        job->run->find_step(key.occurrence, key.step) == nullptr) {
        return false;
    }
    return job->run->job().steps[static_cast<std::size_t>(key.step)].gang;
}

void scheduler::on_job_accepted(const job_entry& entry, base::instant now) {
    if (!entry.job || m_jobs.contains(entry.job->id) ||
        workload::is_terminal(entry.progress.state)) {
        return;
    }
    job_state& job = m_jobs[entry.job->id];
    job.run = std::make_unique<job_run>(entry.job, entry.progress,
                                        m_mandate.run_base, now);
    job.run->open_due_occurrences(m_wall, now);
    inherit_placements(job, now);
    unlock(job, now);
    complete_if_done(job, now);
    if (entry.cancel_requested) {
        on_cancel(entry.job->id, now);
    }
    m_place_needed = true;
}

void scheduler::inherit_placements(job_state& job, base::instant now) {
    const workload::job& spec = job.run->job();
    for (auto& [number, occurrence] : job.run->occurrences()) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            auto& tasks = occurrence.steps[s].tasks;
            for (std::size_t i = 0; i < tasks.size(); ++i) {
                task_run& task = tasks[i];
                if (task.phase != task_phase::active) {
                    continue;
                }
                auto [row, fresh] = m_endpoints.try_emplace(task.endpoint);
                endpoint_run& at = row->second;
                if (fresh) {
                    at.listing.id = task.endpoint;
                    at.last_reply = now;
                    at.clock_read_at = now;
                }
                allocation run;
                run.run = task.run;
                run.need = spec.steps[s].need;
                run.phase = allocation_phase::inherited;
                run.confirmed_by = at.order_count;
                run.started_at = now;
                run.percent_changed_at = now;
                at.used += run.need;
                at.runs[{
                    {spec.id, number, static_cast<int>(s), static_cast<int>(i)},
                    task.run}] = run;
                task.live_runs++;
            }
        }
    }
}

void scheduler::send_recorded_starts(job_state& job, base::instant now) {
    std::vector<unsent_start> ready;
    for (auto it = job.unsent.begin(); it != job.unsent.end();) {
        if (it->version <= job.recorded) {
            ready.push_back(std::move(*it));
            it = job.unsent.erase(it);
        } else {
            ++it;
        }
    }
    for (const unsent_start& next : ready) {
        auto at = m_endpoints.find(next.endpoint);
        if (at != m_endpoints.end() && at->second.runs.contains(next.key)) {
            send_start(at->second, next.key, job, now);
        }
    }
    if (job.unsent.empty()) {
        m_unsent.erase(job.run->job().id);
    }
}

void scheduler::give_up_unsent_starts(base::instant now) {
    std::vector<std::string> jobs(m_unsent.begin(), m_unsent.end());
    for (const std::string& id : jobs) {
        job_state* job = find_job(id);
        if (job == nullptr || job->unsent.empty()) {
            m_unsent.erase(id);
            continue;
        }
        if (now - job->unsent.front().since < placement_patience) {
            continue;
        }
        observe::log_event(
            "starts_not_recorded",
            {{"job", id}, {"starts", std::to_string(job->unsent.size())}});
        m_unsent.erase(id);
        for (const unsent_start& next : std::exchange(job->unsent, {})) {
            auto at = m_endpoints.find(next.endpoint);
            if (at != m_endpoints.end() && at->second.runs.contains(next.key)) {
                abandon(at->second, next.key, now);
            }
        }
    }
}

std::vector<std::pair<std::string, run_key>>
scheduler::runs_of(const std::function<bool(const run_key&)>& matches) const {
    std::vector<std::pair<std::string, run_key>> out;
    for (const auto& [name, at] : m_endpoints) {
        for (const auto& [key, run] : at.runs) {
            if (matches(key)) {
                out.emplace_back(name, key);
            }
        }
    }
    return out;
}

void scheduler::unlock(job_state& job, base::instant now) {
    const workload::job& spec = job.run->job();
    for (const auto& [occurrence, step] : job.run->unlock_steps(now)) {
        m_ready.insert(rank{spec.queue.priority, job.run->seen_at(), spec.id,
                            occurrence, step});
    }
    m_place_needed = true;
}

void scheduler::touch(job_state& job, base::instant record_at) {
    job.record_at = job.dirty ? std::min(job.record_at, record_at) : record_at;
    job.dirty = true;
    m_dirty.insert(job.run->job().id);
}

// A job counts as begun once an endpoint has confirmed a start, not before.
void scheduler::note_begun(const std::string& id, base::instant now) {
    job_state* job = find_job(id);
    if (job == nullptr ||
        job->run->progress().state != workload::job_state::queued) {
        return;
    }
    job->run->mark_started();
    base::milliseconds waited = now - job->run->seen_at();
    observe::log_event(
        "job_begun",
        {{"job", id}, {"waited_ms", std::to_string(waited.count())}});
    m_effects.on_measured(latency_kind::wait_to_start,
                          job->run->job().queue.name, waited);
    touch(*job, now + group_starts);
}

void scheduler::flush_records(base::instant now) {
    for (auto it = m_dirty.begin(); it != m_dirty.end();) {
        job_state* job = find_job(*it);
        if (job == nullptr) {
            it = m_dirty.erase(it);
            continue;
        }
        if (job->in_flight != 0 || job->record_at > now) {
            ++it;
            continue;
        }
        job->in_flight = job->run->version();
        job->dirty = false;
        m_effects.record_progress(*it, job->run->version(),
                                  workload::encode(job->run->progress()),
                                  job->run->ended());
        it = m_dirty.erase(it);
    }
}

void scheduler::on_recorded(const std::string& id, std::uint64_t version,
                            base::instant now) {
    job_state* job = find_job(id);
    if (job == nullptr) {
        return;
    }
    job->recorded = std::max(job->recorded, version);
    job->in_flight = 0;
    if (job->run->version() > job->recorded && !job->dirty) {
        touch(*job, now);
    }
    send_recorded_starts(*job, now);
    std::vector<std::string> waiting(m_unrecorded.begin(), m_unrecorded.end());
    for (const std::string& name : waiting) {
        auto at = m_endpoints.find(name);
        if (at == m_endpoints.end()) {
            m_unrecorded.erase(name);
        } else {
            release_recorded_ends(at->second, now);
        }
    }
    if (job->run->ended() && job->recorded == job->run->version()) {
        m_jobs.erase(id);
        m_dirty.erase(id);
    }
}

void scheduler::on_record_failed(const std::string& id, base::instant now) {
    if (job_state* job = find_job(id)) {
        job->in_flight = 0;
        touch(*job, now + failed_pause);
    }
}

void scheduler::on_cancel(const std::string& id, base::instant now) {
    job_state* job = find_job(id);
    if (job == nullptr || job->run->ended()) {
        return;
    }
    end_job(*job, workload::job_state::cancelled, "cancelled by its client",
            now);
}

void scheduler::end_job(job_state& job, workload::job_state how,
                        const std::string& why, base::instant now) {
    const std::string id = job.run->job().id;
    observe::log_event(
        "job_ended",
        {{"job", id},
         {"state", workload::to_string(how)},
         {"why", why},
         {"age_ms", std::to_string((now - job.run->seen_at()).count())}});
    job.run->finish(how, why);
    touch(job, now);
    for (const auto& [number, occurrence] : job.run->occurrences()) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            rank at{job.run->job().queue.priority, job.run->seen_at(), id,
                    number, static_cast<int>(s)};
            m_ready.erase(at);
            unreserve(at);
        }
    }
    m_place_needed = true;
    if (how == workload::job_state::completed) {
        return;
    }
    stop_matching([&](const run_key& key) { return key.task.job == id; }, now);
}

void scheduler::complete_if_done(job_state& job, base::instant now) {
    if (!job.run->ended() && job.run->all_complete()) {
        end_job(job, workload::job_state::completed, "all tasks are done", now);
    }
}

void scheduler::requeue(const task_key& key, int run,
                        const std::string& checkpoint, base::instant now) {
    job_state* job = find_job(key.job);
    if (job == nullptr || job->run->ended()) {
        return;
    }
    task_run* task = job->run->find_task(key);
    if (task == nullptr) {
        return;
    }
    const workload::step& spec =
        job->run->job().steps[static_cast<std::size_t>(key.step)];
    if (!checkpoint.empty() && spec.checkpointing) {
        task->checkpoint = checkpoint;
    }
    if (task->phase != task_phase::active || task->run != run) {
        return;
    }
    job->run->mark_waiting(key);
    touch(*job, now + group_drops);
    m_ready.insert(rank{job->run->job().queue.priority, job->run->seen_at(),
                        key.job, key.occurrence, key.step});
    m_place_needed = true;
    if (spec.gang) {
        stop_gang(key, run, now);
    }
}

void scheduler::stop_elsewhere(const task_key& key, const std::string& except,
                               base::instant now) {
    for (const auto& [name, run] :
         runs_of([&](const run_key& it) { return it.task == key; })) {
        endpoint_run& at = m_endpoints.at(name);
        if (name != except && at.runs.contains(run)) {
            stop_run(at, run, now);
        }
    }
}

// A gang that lost a member can't finish.
void scheduler::stop_gang(const task_key& member, int run, base::instant now) {
    stop_matching(
        [&](const run_key& key) {
            return key.run == run && key.task.job == member.job &&
                   key.task.occurrence == member.occurrence &&
                   key.task.step == member.step;
        },
        now);
}

void scheduler::stop_matching(
    const std::function<bool(const run_key&)>& matches, base::instant now) {
    for (const auto& [name, key] : runs_of(matches)) {
        endpoint_run& at = m_endpoints.at(name);
        // Stopping one run may have ended another.
        if (at.runs.contains(key)) {
            stop_run(at, key, now);
        }
    }
}

void scheduler::apply_end(endpoint_run& at, const finished_task& end,
                          job_state& job, base::instant now) {
    job_run& run = *job.run;
    task_run* task = run.find_task(end.task);
    const workload::step& spec =
        run.job().steps[static_cast<std::size_t>(end.task.step)];
    if (end.outcome == task_outcome::done && !spec.long_running) {
        m_health.on_done(at.listing.id);
        if (spec.gang) {
            for (int i = 0; i < spec.count; ++i) {
                task_key member = end.task;
                member.index = i;
                run.mark_done(member);
            }
        } else {
            if (task->live_runs > 0) {
                stop_elsewhere(end.task, at.listing.id, now);
            }
            run.mark_done(end.task);
        }
        touch(job, now + group_ends);
        unlock(job, now);
        complete_if_done(job, now);
        return;
    }
    if (task->phase == task_phase::done) {
        return;
    }
    bool exhausted = false;
    if (end.outcome == task_outcome::failed) {
        m_health.on_failed(at.listing.id, task->failures > 0, now);
        exhausted = run.count_failure(end.task, end.run);
        task->not_before = now + failed_pause;
        touch(job, now + group_ends);
    }
    if (exhausted) {
        end_job(job, workload::job_state::failed,
                "task " + workload::to_string(end.task) +
                    " has used up its attempts",
                now);
        return;
    }
    requeue(end.task, end.run, end.checkpoint, now);
}

} // namespace eelgrasslever::cluster
