// The limits and shares of workspaces.
#include "eelgrasslever/cluster/scheduler.hpp"

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
    int needed = spec.gang ? unfinished : 1;
    return m_usage.tasks_allowed(owner, spec.need, needed) < needed ||
           m_limited_steps.must_follow(owner, rank);
}

void scheduler::resume_limited_steps() {
    for (const std::string& owner : m_limited_steps.workspaces()) {
        base::resources granted;
        auto admits = [&](const step_rank& rank) {
            const step_execution* step = find_step(rank);
            if (step == nullptr) {
                return true; // has ended; the queue drops it
            }
            const workload::step& spec =
                find_job(rank.job)
                    ->execution->job()
                    .steps[static_cast<std::size_t>(rank.step)];
            int wanted = step->waiting_count;
            int needed = spec.gang ? wanted : 1;
            m_usage.add(owner, granted);
            int allowed = m_usage.tasks_allowed(owner, spec.need, wanted);
            m_usage.remove(owner, granted);
            if (allowed < needed) {
                return false;
            }
            for (int i = 0; i < allowed; ++i) {
                granted += spec.need;
            }
            return true;
        };
        for (const step_rank& rank : m_limited_steps.release(owner, admits)) {
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
