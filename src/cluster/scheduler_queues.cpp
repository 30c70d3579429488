// Applies later versions of the queues' policies to jobs that were accepted
// before.
#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <utility>

namespace eelgrasslever::cluster {

void scheduler::set_queues(std::shared_ptr<const queue_table> queues) {
    m_queues = std::move(queues);
    struct queue_change {
        const workload::queue_policy* policy{nullptr};
        std::size_t jobs{0};
        std::size_t waiting_tasks{0};
    };
    std::map<std::string, queue_change> changes;
    for (auto& [id, job] : m_jobs) {
        auto policy = policy_in_force(job);
        if (job.execution->has_ended() || policy == job.execution->queue()) {
            continue;
        }
        queue_change& change = changes[policy.name];
        change.jobs++;
        change.waiting_tasks += apply_policy(job, std::move(policy));
        change.policy = &job.execution->queue();
    }
    for (const auto& [name, change] : changes) {
        observe::log_event(
            "queue_policy_changed",
            {{"queue", name},
             {"version", std::to_string(m_queues->version())},
             {"service", change.policy->service},
             {"priority", std::to_string(change.policy->priority)},
             {"advice", change.policy->advice ? "1" : "0"},
             {"jobs", std::to_string(change.jobs)},
             {"waiting_tasks", std::to_string(change.waiting_tasks)}});
    }
}

workload::queue_policy
scheduler::policy_in_force(const tracked_job& job) const {
    const workload::job& accepted = job.execution->job();
    // This VM's configuration may be older than that of the VM that accepted
    // the job.
    const workload::queue_policy* later =
        m_queues && m_queues->version() >= accepted.configuration_version
            ? m_queues->find_policy(accepted.queue.name)
            : nullptr;
    return later == nullptr ? job.execution->queue()
                            : workload::update_policy(accepted.queue, *later);
}

std::size_t scheduler::apply_policy(tracked_job& job,
                                    workload::queue_policy policy) {
    const workload::queue_policy& former = job.execution->queue();
    bool has_other_endpoints =
        policy.service != former.service ||
        policy.advice.has_value() != former.advice.has_value();
    job.execution->set_queue(std::move(policy));
    const workload::job& spec = job.execution->job();
    std::size_t waiting_tasks = 0;
    for (auto& [number, occurrence] : job.execution->occurrences()) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            step_execution& step = occurrence.steps[s];
            if (!step.rank) {
                continue;
            }
            m_ready.erase(*step.rank);
            m_limited_steps.erase(spec.workspace, *step.rank);
            step.rank.reset();
            int index = static_cast<int>(s);
            if (has_other_endpoints) {
                m_advice_calls.detach_step({spec.id, number, index, 0});
                step.forget_search();
            }
            if (step.waiting_count > 0) {
                waiting_tasks += static_cast<std::size_t>(step.waiting_count);
                enqueue(job, number, index);
            }
        }
    }
    return waiting_tasks;
}

} // namespace eelgrasslever::cluster
