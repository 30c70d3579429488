#include "eelgrasslever/cluster/job_run.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

std::string short_name(const task_key& key) {
    return std::to_string(key.occurrence) + "." + std::to_string(key.step) +
           "." + std::to_string(key.index);
}

} // namespace

bool occurrence_run::complete() const {
    return std::all_of(steps.begin(), steps.end(),
                       [](const step_run& s) { return s.complete(); });
}

job_run::job_run(std::shared_ptr<const workload::job> job,
                 const workload::progress& recorded, int run_base,
                 base::instant now)
    : m_job(std::move(job)), m_progress(recorded), m_run_base(run_base),
      m_seen_at(now) {
    m_progress.queue = m_job->queue.name;
}

bool job_run::open_due_occurrences(
    std::chrono::sys_time<base::milliseconds> wall, base::instant now) {
    int total = std::max(1, m_job->repeat_count);
    bool opened = false;
    while (m_next_occurrence < total) {
        auto due = m_job->start_at + m_next_occurrence * m_job->interval;
        if (m_job->repeat_count > 0 && due > wall) {
            break;
        }
        open_occurrence(m_next_occurrence++, now);
        opened = true;
    }
    return opened;
}

void job_run::open_occurrence(int number, base::instant now) {
    occurrence_run& out = m_occurrences[number];
    for (std::size_t s = 0; s < m_job->steps.size(); ++s) {
        const workload::step& spec = m_job->steps[s];
        step_run step;
        step.tasks.resize(static_cast<std::size_t>(spec.count));
        step.waiting = spec.count;
        step.advice.ask_after = now;
        auto recorded =
            m_progress.completed.find({number, static_cast<int>(s)});
        for (int i = 0; i < spec.count; ++i) {
            task_run& task = step.tasks[static_cast<std::size_t>(i)];
            task_key key{m_job->id, number, static_cast<int>(s), i};
            auto failed = m_progress.failed_runs.find(failure_key(key));
            task.failures = failed == m_progress.failed_runs.end()
                                ? 0
                                : static_cast<int>(failed->second.size());
            if (recorded != m_progress.completed.end() &&
                static_cast<std::size_t>(i) < recorded->second.size() &&
                recorded->second[static_cast<std::size_t>(i)]) {
                task.phase = task_phase::done;
                step.done++;
                step.waiting--;
            }
            restore_placement(key, step, task);
        }
        out.steps.push_back(std::move(step));
    }
}

void job_run::restore_placement(const task_key& key, step_run& step,
                                task_run& task) {
    auto recorded = m_progress.placements.find(short_name(key));
    if (recorded == m_progress.placements.end()) {
        return;
    }
    task.last_run = recorded->second.run;
    if (task.phase == task_phase::waiting) {
        task.phase = task_phase::active;
        task.run = recorded->second.run;
        task.endpoint = recorded->second.endpoint;
        step.waiting--;
    }
}

step_run* job_run::find_step(int occurrence, int step) {
    auto found = m_occurrences.find(occurrence);
    if (found == m_occurrences.end() || step < 0 ||
        static_cast<std::size_t>(step) >= found->second.steps.size()) {
        return nullptr;
    }
    return &found->second.steps[static_cast<std::size_t>(step)];
}

task_run* job_run::find_task(const task_key& key) {
    step_run* step = find_step(key.occurrence, key.step);
    if (step == nullptr || key.index < 0 ||
        static_cast<std::size_t>(key.index) >= step->tasks.size()) {
        return nullptr;
    }
    return &step->tasks[static_cast<std::size_t>(key.index)];
}

std::vector<workload::step_key> job_run::unlock_steps(base::instant now) {
    std::vector<workload::step_key> out;
    for (auto& [number, opened] : m_occurrences) {
        occurrence_run& occurrence = opened;
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            step_run& step = occurrence.steps[s];
            const auto& after = m_job->steps[s].predecessors;
            bool ready =
                !step.unlocked &&
                std::all_of(after.begin(), after.end(), [&](int earlier) {
                    return occurrence.steps[static_cast<std::size_t>(earlier)]
                        .complete();
                });
            if (ready) {
                step.unlocked = true;
                step.unlocked_at = now;
                out.emplace_back(number, static_cast<int>(s));
            }
        }
    }
    return out;
}

int job_run::next_run(const task_run& task) const {
    return std::max(task.last_run, m_run_base) + 1;
}

void job_run::mark_started() {
    if (m_progress.state == workload::job_state::queued) {
        m_progress.state = workload::job_state::running;
        m_version++;
    }
}

void job_run::mark_active(const task_key& key, int run, const std::string& at) {
    step_run* step = find_step(key.occurrence, key.step);
    task_run* task = find_task(key);
    if (task->phase == task_phase::waiting) {
        step->waiting--;
    }
    task->phase = task_phase::active;
    task->run = run;
    task->last_run = std::max(task->last_run, run);
    task->endpoint = at;
    m_progress.placements[short_name(key)] = {run, at};
    m_version++;
}

void job_run::mark_waiting(const task_key& key) {
    step_run* step = find_step(key.occurrence, key.step);
    task_run* task = find_task(key);
    if (task->phase != task_phase::active) {
        return;
    }
    step->waiting++;
    task->phase = task_phase::waiting;
    task->endpoint.clear();
    m_progress.placements.erase(short_name(key));
    m_version++;
}

void job_run::mark_done(const task_key& key) {
    step_run* step = find_step(key.occurrence, key.step);
    task_run* task = find_task(key);
    if (task->phase == task_phase::done) {
        return;
    }
    if (task->phase == task_phase::waiting) {
        step->waiting--;
    }
    task->phase = task_phase::done;
    task->endpoint.clear();
    m_progress.placements.erase(short_name(key));
    step->done++;
    auto& flags = m_progress.completed[{key.occurrence, key.step}];
    flags.resize(step->tasks.size());
    flags[static_cast<std::size_t>(key.index)] = true;
    m_version++;
    if (m_progress.state == workload::job_state::queued) {
        m_progress.state = workload::job_state::running;
    }
}

std::string job_run::failure_key(const task_key& key) const {
    bool gang = m_job->steps[static_cast<std::size_t>(key.step)].gang;
    return std::to_string(key.occurrence) + "." + std::to_string(key.step) +
           "." + std::to_string(gang ? 0 : key.index);
}

bool job_run::count_failure(const task_key& key, int run) {
    step_run* step = find_step(key.occurrence, key.step);
    const workload::step& spec =
        m_job->steps[static_cast<std::size_t>(key.step)];
    if (spec.long_running) {
        return false;
    }
    auto& runs = m_progress.failed_runs[failure_key(key)];
    if (runs.insert(run).second) {
        m_version++;
    }
    int count = static_cast<int>(runs.size());
    if (spec.gang) {
        for (task_run& task : step->tasks) {
            task.failures = count;
        }
    } else {
        find_task(key)->failures = count;
    }
    return count >= m_job->queue.max_attempts;
}

void job_run::finish(workload::job_state state, const std::string& reason) {
    m_progress.state = state;
    m_progress.failure_reason = reason;
    m_progress.placements.clear();
    m_version++;
}

bool job_run::all_complete() const {
    int total = std::max(1, m_job->repeat_count);
    if (m_next_occurrence < total) {
        return false;
    }
    return std::all_of(m_occurrences.begin(), m_occurrences.end(),
                       [](const auto& row) { return row.second.complete(); });
}

} // namespace eelgrasslever::cluster
