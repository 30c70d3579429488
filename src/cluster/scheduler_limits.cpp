// The limits and shares of workspaces.
#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::cluster {

void scheduler::set_workspaces(
    std::shared_ptr<const workspace::directory> workspaces) {
    m_workspaces = std::move(workspaces);
    m_usage.set_limits(m_workspaces);
    m_placement_needed = true;
}

void scheduler::add_run(endpoint_state& endpoint, const run_key& key,
                        allocation run) {
    endpoint.used += run.need;
    m_usage.add(run.workspace, run.need);
    endpoint.runs[key] = std::move(run);
}

void scheduler::note_arrival(tracked_job& job) {
    const workload::job& spec = job.execution->job();
    const workspace::policy* owner =
        m_workspaces ? m_workspaces->find(spec.workspace) : nullptr;
    if (owner != nullptr) {
        job.is_surplus =
            m_arrivals.add(spec.workspace, spec.accepted_at, owner->weight);
    }
}

workspace::demand scheduler::limit_demand(const workload::step& spec,
                                          int waiting) {
    return {spec.need, spec.gang ? waiting : 1, spec.gang};
}

bool scheduler::is_over_limit(const tracked_job& job, const step_rank& rank,
                              const step_execution& step) const {
    const std::string& owner = job.execution->job().workspace;
    if (!m_usage.is_limited(owner)) {
        return false;
    }
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    int unfinished = spec.count - step.done_count;
    if (spec.gang && step.waiting_count < unfinished) {
        // Members of an earlier run are to be stopped, whatever the limit.
        return false;
    }
    return !m_usage.admits(owner, limit_demand(spec, unfinished)) ||
           m_limited_steps.must_follow(owner, rank);
}

bool scheduler::is_within_limit(const tracked_job& job,
                                const run_key& key) const {
    const workload::job& spec = job.execution->job();
    const workload::step& step =
        spec.steps[static_cast<std::size_t>(key.task.step)];
    const step_execution* state =
        job.execution->find_step(key.task.occurrence, key.task.step);
    return m_usage.admits_placed(
        spec.workspace, limit_demand(step, step.count - state->done_count));
}

void scheduler::limit_step(const tracked_job& job, const step_rank& rank,
                           step_execution& step) {
    const workload::job& spec = job.execution->job();
    bool is_admissible = m_usage.is_admissible(
        spec.workspace,
        limit_demand(spec.steps[static_cast<std::size_t>(rank.step)],
                     step.waiting_count));
    m_limited_steps.insert(spec.workspace, rank, is_admissible);
    report_limited(job, rank, step, is_admissible);
}

void scheduler::report_limited(const tracked_job& job, const step_rank& rank,
                               step_execution& step, bool is_admissible) const {
    const workload::job& spec = job.execution->job();
    const workspace::policy* owner = m_workspaces->find(spec.workspace);
    if (owner == nullptr || step.reported_as_admissible == is_admissible) {
        return;
    }
    step.reported_as_admissible = is_admissible;
    base::resources need = spec.steps[static_cast<std::size_t>(rank.step)].need;
    base::resources used = m_usage.running(spec.workspace);
    observe::log_event(
        "step_limited",
        {{"step", workload::to_string(
                      task_key{rank.job, rank.occurrence, rank.step, 0})},
         {"workspace", spec.workspace},
         {"why", is_admissible ? "limit in use" : "larger than the limit"},
         {"waiting", std::to_string(step.waiting_count)},
         {"need_cpu", std::to_string(need.cpu_milli)},
         {"need_memory_mb", std::to_string(need.memory_mb)},
         {"need_accelerators", std::to_string(need.accelerators)},
         {"used_cpu", std::to_string(used.cpu_milli)},
         {"used_memory_mb", std::to_string(used.memory_mb)},
         {"used_accelerators", std::to_string(used.accelerators)},
         {"cap_cpu", std::to_string(owner->cap.cpu_milli)},
         {"cap_memory_mb", std::to_string(owner->cap.memory_mb)},
         {"cap_accelerators", std::to_string(owner->cap.accelerators)}});
}

void scheduler::resume_limited_steps() {
    for (const std::string& owner : m_limited_steps.workspaces()) {
        base::resources granted;
        auto spec_of = [&](const step_rank& rank) -> const workload::step& {
            return find_job(rank.job)
                ->execution->job()
                .steps[static_cast<std::size_t>(rank.step)];
        };
        limited_steps::limit left;
        left.admits = [&](const step_rank& rank) {
            const step_execution* step = find_step(rank);
            if (step == nullptr) {
                return true; // has ended; the queue drops it
            }
            const workload::step& spec = spec_of(rank);
            workspace::demand asked = limit_demand(spec, step->waiting_count);
            m_usage.add(owner, granted);
            bool admitted = m_usage.admits(owner, asked);
            int tasks = asked.at_once
                            ? asked.count
                            : m_usage.tasks_allowed(owner, spec.need,
                                                    step->waiting_count);
            m_usage.remove(owner, granted);
            for (int i = 0; admitted && i < tasks; ++i) {
                granted += spec.need;
            }
            return admitted;
        };
        left.is_admissible = [&](const step_rank& rank) {
            tracked_job* job = find_job(rank.job);
            step_execution* step =
                job == nullptr
                    ? nullptr
                    : job->execution->find_step(rank.occurrence, rank.step);
            if (step == nullptr) {
                return true;
            }
            bool is_admissible = m_usage.is_admissible(
                owner, limit_demand(spec_of(rank), step->waiting_count));
            report_limited(*job, rank, *step, is_admissible);
            return is_admissible;
        };
        for (const step_rank& rank : m_limited_steps.release(owner, left)) {
            if (tracked_job* job = find_job(rank.job)) {
                enqueue(*job, rank.occurrence, rank.step);
            }
        }
    }
}

std::vector<workspace_state> scheduler::workspace_states() const {
    std::vector<workspace_state> result;
    if (!m_workspaces) {
        return result;
    }
    for (const auto& [name, policy] : m_workspaces->policies()) {
        result.push_back({name, m_usage.running(name), policy.cap,
                          m_limited_steps.count(name)});
    }
    return result;
}

} // namespace eelgrasslever::cluster
