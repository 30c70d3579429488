#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// How long a task waits for an endpoint that it may have crashed, once the
/// lease there has expired: if its next start is beyond the limit should the
/// endpoints have crashed, and if it is merely under suspicion. A task that
/// could run counts as forgotten after 3 s, of which the start of a suspect may
/// take 1 s.
constexpr base::milliseconds limit_proof_wait{10'000};
constexpr base::milliseconds suspect_proof_wait{1500};
/// Longest delay before the record no longer names a run as lost.
constexpr base::milliseconds forget_record_delay{1000};

} // namespace

bool scheduler::has_successor(const std::string& endpoint,
                              const std::string& address) const {
    incarnation life = parse_incarnation(endpoint);
    auto latest = m_latest_lives.find(life.name);
    if (latest != m_latest_lives.end() &&
        is_earlier(life, latest->second.life)) {
        return proves_end(life, latest->second.life);
    }
    return std::any_of(
        m_endpoints.begin(), m_endpoints.end(), [&](const auto& row) {
            return row.second.listed && row.second.listing.address == address &&
                   proves_end(life, parse_incarnation(row.first));
        });
}

void scheduler::await_crash_proof(const endpoint_state& endpoint,
                                  const lost_run& lost, base::instant now) {
    const endpoint_listing& listing = endpoint.listing;
    m_lost_endpoints.add(listing.id, listing.address, lost, now);
    tracked_job* job = find_job(lost.key.task.job);
    task_execution* task = job == nullptr || job->execution->has_ended()
                               ? nullptr
                               : job->execution->find_task(lost.key.task);
    if (task == nullptr || task->phase == task_phase::done) {
        return;
    }
    // Runs that were alive for a whole lease are not blamed.
    if (lost.seen_alive < m_limits.max_lease && !listing.address.empty()) {
        job->execution->note_lost(
            lost.key.task, lost.key.run,
            {listing.id, listing.address, lost.seen_alive});
        schedule_record(*job, now + forget_record_delay);
    }
    delay_suspect(*job, lost.key.task, now);
}

// Without the proof, the count of a task that crashes its endpoints would lag
// behind by the endpoints that have not come back.
void scheduler::delay_suspect(tracked_job& job, const task_key& key,
                              base::instant now) {
    task_execution* task = job.execution->find_task(key);
    base::milliseconds wait{0};
    if (job.execution->awaits_proof(key)) {
        wait = limit_proof_wait;
    } else if (task->crash_count > 1 || job.execution->is_suspect(key)) {
        wait = suspect_proof_wait;
    }
    task->not_before = std::max(task->not_before, now + wait);
}

// A renewal that waits for a completion would show the run only when it
// returns, and a crash before then would look like one at the start.
bool scheduler::is_trial_unobserved(const endpoint_state& endpoint,
                                    const run_key& key) {
    return endpoint.trial == key && endpoint.renewal_in_flight &&
           endpoint.renewal_waits;
}

void scheduler::send_trial_start(endpoint_state& endpoint, base::instant now) {
    if (!endpoint.trial) {
        return;
    }
    run_key key = *endpoint.trial;
    tracked_job* job = find_job(key.task.job);
    if (job != nullptr && !job->unsent_starts.empty()) {
        send_recorded_starts(*job, now);
    }
}

void scheduler::inherit_lost_runs(tracked_job& job, base::instant now) {
    const std::string id = job.execution->job().id;
    auto unproved = job.execution->progress().unproved_runs;
    for (const auto& [name, runs] : unproved) {
        auto key = workload::parse_task_key(id + "." + name);
        if (!key || job.execution->find_task(*key) == nullptr) {
            continue;
        }
        for (const auto& [number, lost] : runs) {
            lost_run run{{*key, number}, lost.seen_alive};
            auto endpoint = m_endpoints.find(lost.endpoint);
            if (endpoint != m_endpoints.end() && endpoint->second.inventoried) {
                forget_lost_runs({run}, now);
            } else if (has_successor(lost.endpoint, lost.address)) {
                confirm_crash(lost.endpoint, {run}, now);
            } else {
                m_lost_endpoints.add(lost.endpoint, lost.address, run, now);
                delay_suspect(job, *key, now);
            }
        }
    }
}

void scheduler::confirm_crash(const std::string& endpoint,
                              const std::vector<lost_run>& runs,
                              base::instant now) {
    for (const lost_run& run : runs) {
        count_crash(endpoint, run, now);
        tracked_job* job = find_job(run.key.task.job);
        task_execution* task = job == nullptr || job->execution->has_ended()
                                   ? nullptr
                                   : job->execution->find_task(run.key.task);
        if (task == nullptr || task->phase != task_phase::waiting) {
            continue;
        }
        task->not_before = now;
        fail_crashing_task(*job, run.key.task, now);
    }
}

void scheduler::forget_lost_runs(const std::vector<lost_run>& runs,
                                 base::instant now) {
    for (const lost_run& run : runs) {
        tracked_job* job = find_job(run.key.task.job);
        if (job != nullptr && !job->execution->has_ended() &&
            job->execution->forget_lost(run.key.task, run.key.run)) {
            schedule_record(*job, now + forget_record_delay);
            if (!job->execution->awaits_proof(run.key.task)) {
                task_execution* task = job->execution->find_task(run.key.task);
                task->not_before = std::min(task->not_before, now);
                m_placement_needed = true;
            }
        }
    }
}

// Runs that were alive for a whole lease are not blamed.
void scheduler::count_crash(const std::string& endpoint, const lost_run& lost,
                            base::instant now) {
    tracked_job* job = find_job(lost.key.task.job);
    if (job == nullptr || job->execution->has_ended()) {
        return;
    }
    task_execution* task = job->execution->find_task(lost.key.task);
    if (task == nullptr || task->phase == task_phase::done) {
        return;
    }
    if (lost.seen_alive >= m_limits.max_lease) {
        if (job->execution->note_survival(lost.key.task, lost.seen_alive)) {
            schedule_record(*job, now);
        }
        return;
    }
    job->execution->count_crash(lost.key.task, lost.key.run, lost.seen_alive);
    schedule_record(*job, now);
    observe::log_event(
        "task_suspected",
        {{"task", workload::to_string(lost.key.task)},
         {"run", std::to_string(lost.key.run)},
         {"endpoint", endpoint},
         {"seen_alive_ms", std::to_string(lost.seen_alive.count())},
         {"crashes", std::to_string(task->crash_count)}});
}

bool scheduler::fail_crashing_task(tracked_job& job, const task_key& key,
                                   base::instant now) {
    if (!job.execution->is_crash_limit_reached(key)) {
        return false;
    }
    finish_job(job, workload::job_state::failed,
               "task " + workload::to_string(key) + " was running on " +
                   std::to_string(job.execution->find_task(key)->crash_count) +
                   " endpoints when they crashed",
               now);
    return true;
}

} // namespace eelgrasslever::cluster
