// Runs of jobs that have ended: whose limit they count against until their own
// ends are listed.
#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <utility>

namespace eelgrasslever::cluster {

namespace {

/// @return how many runs of all tasks of the job are or may be alive.
int count_live_runs(job_execution& job) {
    int count = 0;
    for (const auto& [number, occurrence] : job.occurrences()) {
        for (const step_execution& step : occurrence.steps) {
            for (const task_execution& task : step.tasks) {
                count += task.live_runs;
            }
        }
    }
    return count;
}

} // namespace

void scheduler::on_ended_job(const std::string& id,
                             const workload::progress& record,
                             base::instant now) {
    if (record.workspace.empty() || record.placements.empty() ||
        m_jobs.contains(id)) {
        return;
    }
    m_remaining_runs.add(id, record, 0);
    for (const auto& [name, placed] : record.placements) {
        auto task = workload::parse_task_key(id + "." + name);
        if (!task) {
            continue;
        }
        run_owner owner = find_owner(*task);
        allocation run;
        run.is_need_known = owner.need.has_value();
        run.need = owner.need.value_or(base::resources{});
        run.workspace = owner.workspace;
        run.expected_end = now;
        run_key key{*task, placed.run};
        endpoint_state& endpoint = inherit_run(key, placed, run, now);
        update_unknown_needs(endpoint);
        stop_run(endpoint, key, now);
    }
}

void scheduler::record_remaining_runs(tracked_job& job) {
    const workload::job& spec = job.execution->job();
    if (spec.workspace.empty() || count_live_runs(*job.execution) == 0) {
        return;
    }
    std::map<std::string, workload::placement> remaining;
    for (const auto& [id, key] :
         find_runs([&](const run_key& it) { return it.task.job == spec.id; })) {
        const endpoint_state& endpoint = m_endpoints.at(id);
        // A start that has not been sent is not sent any more.
        if (endpoint.runs.at(key).phase != allocation_phase::recording) {
            remaining[workload::to_string(key.task).substr(
                spec.id.size() + 1)] = {key.run, id, endpoint.listing.address};
        }
    }
    job.execution->set_remaining_runs(std::move(remaining));
}

void scheduler::keep_remaining_runs(const tracked_job& job) {
    const workload::progress& record = job.execution->progress();
    if (!record.placements.empty()) {
        m_remaining_runs.add(job.execution->job().id, record,
                             count_live_runs(*job.execution));
    }
}

void scheduler::send_settled_records(base::instant now) {
    for (const auto& [id, record] : m_remaining_runs.take_due(now)) {
        // Versions tell the records of open jobs apart.
        m_effects.record_progress(id, 0, workload::encode(record), false);
    }
}

scheduler::run_owner scheduler::find_owner(const task_key& task) const {
    auto at = static_cast<std::size_t>(task.step);
    auto job = m_jobs.find(task.job);
    if (job != m_jobs.end()) {
        const workload::job& spec = job->second.execution->job();
        bool has_step = task.step >= 0 && at < spec.steps.size();
        return {has_step ? std::optional(spec.steps[at].need) : std::nullopt,
                spec.workspace};
    }
    const workload::progress* record = m_remaining_runs.find(task.job);
    if (record == nullptr) {
        record = m_effects.find_ended_job(task.job);
    }
    if (record == nullptr) {
        return {};
    }
    bool has_step = task.step >= 0 && at < record->step_needs.size();
    return {has_step ? std::optional(record->step_needs[at]) : std::nullopt,
            record->workspace};
}

} // namespace eelgrasslever::cluster
