#include "eelgrasslever/cluster/job_execution.hpp"

#include "eelgrasslever/workload/objective.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace eelgrasslever::cluster {

namespace {

/// Allowance for endpoints that are slower than the estimates assume.
constexpr int chain_margin_percent = 15;
/// From the end of the last task until clients can see the final state.
constexpr base::milliseconds completion_delay{150};

/// A task under which two endpoints have crashed may be given up, and one that
/// crashes them may be started twice more after the third crash. Such a task is
/// started apart from other work.
constexpr std::ptrdiff_t suspect_crashes = 3;
constexpr std::ptrdiff_t max_last_starts = 2;
/// Likewise, of runs that were lost before the endpoint reported them once;
/// then the task is given up at once.
constexpr int unreported_crash_limit = 3;
/// A task that crashes its endpoints does so at about the same age. What is
/// seen of it varies by the age of the report and by the 1.5 s that the start
/// may take.
constexpr base::milliseconds crash_age_spread{2500};

/// Runs that may have crashed at the same age.
struct similar_runs {
    base::milliseconds from{0}; ///< least time that one of them was seen
    std::ptrdiff_t count{0};

    [[nodiscard]] bool contains(base::milliseconds age) const {
        return age >= from && age <= from + crash_age_spread;
    }
};

/// @return the largest number of runs that may have crashed at the same age.
similar_runs find_similar(const std::map<int, base::milliseconds>& seen_alive) {
    std::vector<base::milliseconds> ages;
    for (const auto& [run, age] : seen_alive) {
        ages.push_back(age);
    }
    std::sort(ages.begin(), ages.end());
    similar_runs result;
    for (auto it = ages.begin(); it != ages.end(); ++it) {
        auto end = std::upper_bound(it, ages.end(), *it + crash_age_spread);
        if (end - it > result.count) {
            result = {*it, end - it};
        }
    }
    return result;
}

/// @return the number of the run whose crash made the task a suspect.
int last_free_run(const std::map<int, base::milliseconds>& seen_alive,
                  const similar_runs& similar) {
    std::ptrdiff_t count = 0;
    for (const auto& [run, age] : seen_alive) {
        if (similar.contains(age) && ++count == suspect_crashes) {
            return run;
        }
    }
    return std::numeric_limits<int>::max();
}

int count_unreported(const std::map<int, base::milliseconds>& seen_alive) {
    return static_cast<int>(std::count_if(
        seen_alive.begin(), seen_alive.end(),
        [](const auto& row) { return row.second == base::milliseconds(0); }));
}

std::string task_name(const task_key& key) {
    return std::to_string(key.occurrence) + "." + std::to_string(key.step) +
           "." + std::to_string(key.index);
}

} // namespace

void step_execution::forget_search() {
    advice = {};
    room = {};
    fruitless_since.reset();
    beside_room_since.reset();
    deferral = {};
}

bool occurrence_execution::is_complete() const {
    return std::all_of(steps.begin(), steps.end(),
                       [](const step_execution& s) { return s.is_complete(); });
}

job_execution::job_execution(std::shared_ptr<const workload::job> job,
                             const workload::progress& recorded, int run_base,
                             base::instant now, base::milliseconds age)
    : m_job(std::move(job)), m_queue(m_job->queue), m_progress(recorded),
      m_run_base(run_base), m_first_seen_at(now), m_age_when_seen(age),
      m_chain_durations(workload::remaining_chain_durations(*m_job)),
      m_objective(workload::latency_objective(*m_job, m_chain_durations)) {
    m_progress.queue = m_job->queue.name;
}

void job_execution::set_queue(workload::queue_policy policy) {
    m_queue = std::move(policy);
    m_chain_durations =
        workload::remaining_chain_durations(m_job->steps, m_queue.advice);
}

bool job_execution::open_due_occurrences(
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

void job_execution::open_occurrence(int number, base::instant now) {
    occurrence_execution& occurrence = m_occurrences[number];
    occurrence.due_at =
        m_job->repeat_count > 0 ? now : m_first_seen_at - m_age_when_seen;
    for (std::size_t s = 0; s < m_job->steps.size(); ++s) {
        const workload::step& spec = m_job->steps[s];
        step_execution step;
        step.tasks.resize(static_cast<std::size_t>(spec.count));
        step.waiting_count = spec.count;
        step.advice.next_call_at = now;
        auto recorded =
            m_progress.completed.find({number, static_cast<int>(s)});
        for (int i = 0; i < spec.count; ++i) {
            task_execution& task = step.tasks[static_cast<std::size_t>(i)];
            task_key key{m_job->id, number, static_cast<int>(s), i};
            auto failed = m_progress.failed_runs.find(failure_key(key));
            task.failure_count = failed == m_progress.failed_runs.end()
                                     ? 0
                                     : static_cast<int>(failed->second.size());
            if (recorded != m_progress.completed.end() &&
                static_cast<std::size_t>(i) < recorded->second.size() &&
                recorded->second[static_cast<std::size_t>(i)]) {
                task.phase = task_phase::done;
                step.done_count++;
                step.waiting_count--;
            }
            auto crashed = m_progress.crashed_runs.find(task_name(key));
            task.crash_count = crashed == m_progress.crashed_runs.end()
                                   ? 0
                                   : static_cast<int>(crashed->second.size());
            restore_placement(key, step, task);
        }
        occurrence.steps.push_back(std::move(step));
    }
}

void job_execution::restore_placement(const task_key& key, step_execution& step,
                                      task_execution& task) {
    auto recorded = m_progress.placements.find(task_name(key));
    if (recorded == m_progress.placements.end()) {
        return;
    }
    task.highest_run = recorded->second.run;
    if (task.phase == task_phase::waiting) {
        task.phase = task_phase::active;
        task.active_run = recorded->second.run;
        task.endpoint = recorded->second.endpoint;
        task.address = recorded->second.address;
        step.waiting_count--;
    }
}

base::instant job_execution::latest_start(int occurrence, int step) const {
    auto found = m_occurrences.find(occurrence);
    base::milliseconds chain =
        m_chain_durations[static_cast<std::size_t>(step)];
    base::milliseconds margin =
        chain * chain_margin_percent / 100 + completion_delay;
    return found->second.due_at + m_objective - chain - margin;
}

base::instant job_execution::latest_useful_start(int occurrence,
                                                 int step) const {
    // The platform counts an end as late up to this multiple.
    constexpr int late_factor = 3;
    return latest_start(occurrence, step) + (late_factor - 1) * m_objective;
}

step_execution* job_execution::find_step(int occurrence, int step) {
    auto found = m_occurrences.find(occurrence);
    if (found == m_occurrences.end() || step < 0 ||
        static_cast<std::size_t>(step) >= found->second.steps.size()) {
        return nullptr;
    }
    return &found->second.steps[static_cast<std::size_t>(step)];
}

task_execution* job_execution::find_task(const task_key& key) {
    step_execution* step = find_step(key.occurrence, key.step);
    if (step == nullptr || key.index < 0 ||
        static_cast<std::size_t>(key.index) >= step->tasks.size()) {
        return nullptr;
    }
    return &step->tasks[static_cast<std::size_t>(key.index)];
}

std::vector<workload::step_key> job_execution::unlock_steps(base::instant now) {
    std::vector<workload::step_key> unlocked;
    for (auto& [number, opened] : m_occurrences) {
        occurrence_execution& occurrence = opened;
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
            step_execution& step = occurrence.steps[s];
            const auto& after = m_job->steps[s].predecessors;
            bool ready =
                !step.unlocked &&
                std::all_of(after.begin(), after.end(), [&](int earlier) {
                    return occurrence.steps[static_cast<std::size_t>(earlier)]
                        .is_complete();
                });
            if (ready) {
                step.unlocked = true;
                step.unlocked_at = now;
                unlocked.emplace_back(number, static_cast<int>(s));
            }
        }
    }
    return unlocked;
}

int job_execution::next_run_number(const task_execution& task) const {
    return std::max(task.highest_run, m_run_base) + 1;
}

void job_execution::mark_started() {
    if (m_progress.state == workload::job_state::queued) {
        m_progress.state = workload::job_state::running;
        m_version++;
    }
}

void job_execution::mark_active(const task_key& key,
                                const workload::placement& placed) {
    step_execution* step = find_step(key.occurrence, key.step);
    task_execution* task = find_task(key);
    if (task->phase == task_phase::waiting) {
        step->waiting_count--;
    }
    task->phase = task_phase::active;
    task->active_run = placed.run;
    task->highest_run = std::max(task->highest_run, placed.run);
    task->endpoint = placed.endpoint;
    task->address = placed.address;
    m_progress.placements[task_name(key)] = placed;
    if (m_progress.crashed_runs.contains(task_name(key)) ||
        m_progress.unproved_runs.contains(task_name(key))) {
        m_progress.last_starts[task_name(key)].insert(placed.run);
    }
    m_version++;
}

void job_execution::mark_waiting(const task_key& key) {
    step_execution* step = find_step(key.occurrence, key.step);
    task_execution* task = find_task(key);
    if (task->phase != task_phase::active) {
        return;
    }
    step->waiting_count++;
    task->phase = task_phase::waiting;
    task->endpoint.clear();
    m_progress.placements.erase(task_name(key));
    m_version++;
}

void job_execution::mark_done(const task_key& key) {
    step_execution* step = find_step(key.occurrence, key.step);
    task_execution* task = find_task(key);
    if (task->phase == task_phase::done) {
        return;
    }
    if (task->phase == task_phase::waiting) {
        step->waiting_count--;
    }
    task->phase = task_phase::done;
    task->endpoint.clear();
    clear_crashes(key, base::milliseconds::max());
    m_progress.placements.erase(task_name(key));
    step->done_count++;
    auto& flags = m_progress.completed[{key.occurrence, key.step}];
    flags.resize(step->tasks.size());
    flags[static_cast<std::size_t>(key.index)] = true;
    m_version++;
    if (m_progress.state == workload::job_state::queued) {
        m_progress.state = workload::job_state::running;
    }
}

std::string job_execution::failure_key(const task_key& key) const {
    bool gang = m_job->steps[static_cast<std::size_t>(key.step)].gang;
    return std::to_string(key.occurrence) + "." + std::to_string(key.step) +
           "." + std::to_string(gang ? 0 : key.index);
}

bool job_execution::count_failure(const task_key& key, int run) {
    step_execution* step = find_step(key.occurrence, key.step);
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
        for (task_execution& task : step->tasks) {
            task.failure_count = count;
        }
    } else {
        find_task(key)->failure_count = count;
    }
    return count >= m_queue.max_attempts;
}

void job_execution::count_crash(const task_key& key, int run,
                                base::milliseconds seen_alive) {
    // A run that outlived the earlier ones shows that their crashes had another
    // cause.
    if (seen_alive > longest_crashed_run(key) + crash_age_spread) {
        clear_crashes(key, seen_alive - crash_age_spread);
    }
    auto& runs = m_progress.crashed_runs[task_name(key)];
    if (runs.emplace(run, seen_alive).second) {
        m_version++;
    }
    find_task(key)->crash_count = static_cast<int>(runs.size());
    forget_lost(key, run);
}

void job_execution::note_lost(const task_key& key, int run,
                              const workload::unproved_run& lost) {
    m_progress.unproved_runs[task_name(key)][run] = lost;
    m_version++;
}

bool job_execution::forget_lost(const task_key& key, int run) {
    auto found = m_progress.unproved_runs.find(task_name(key));
    if (found == m_progress.unproved_runs.end() ||
        found->second.erase(run) == 0) {
        return false;
    }
    if (found->second.empty()) {
        m_progress.unproved_runs.erase(found);
        if (!m_progress.crashed_runs.contains(task_name(key))) {
            m_progress.last_starts.erase(task_name(key));
        }
    }
    m_version++;
    return true;
}

bool job_execution::note_survival(const task_key& key,
                                  base::milliseconds seen_alive) {
    task_execution* task = find_task(key);
    if (task->crash_count == 0 ||
        seen_alive < longest_crashed_run(key) + max_report_age) {
        return false;
    }
    clear_crashes(key, seen_alive - max_report_age);
    m_version++;
    return true;
}

bool job_execution::is_crash_limit_reached(const task_key& key) const {
    auto found = m_progress.crashed_runs.find(task_name(key));
    if (found == m_progress.crashed_runs.end()) {
        return false;
    }
    if (count_unreported(found->second) >= unreported_crash_limit) {
        return true;
    }
    // An endpoint that the task crashed may never come back. Once enough
    // crashes are proved, those that may have happened count as well.
    return find_similar(found->second).count >= suspect_crashes &&
           is_start_limit_reached(key, possible_crashes(key));
}

bool job_execution::awaits_proof(const task_key& key) const {
    return m_progress.unproved_runs.contains(task_name(key)) &&
           is_start_limit_reached(key, possible_crashes(key));
}

std::map<int, base::milliseconds>
job_execution::possible_crashes(const task_key& key) const {
    std::map<int, base::milliseconds> result;
    auto crashed = m_progress.crashed_runs.find(task_name(key));
    if (crashed != m_progress.crashed_runs.end()) {
        result = crashed->second;
    }
    auto lost = m_progress.unproved_runs.find(task_name(key));
    if (lost != m_progress.unproved_runs.end()) {
        for (const auto& [run, unproved] : lost->second) {
            result.emplace(run, unproved.seen_alive);
        }
    }
    return result;
}

bool job_execution::is_start_limit_reached(
    const task_key& key,
    const std::map<int, base::milliseconds>& seen_alive) const {
    auto starts = m_progress.last_starts.find(task_name(key));
    if (starts == m_progress.last_starts.end()) {
        return false;
    }
    similar_runs similar = find_similar(seen_alive);
    int last_free = last_free_run(seen_alive, similar);
    auto is_limited = [&](int run) {
        auto crashed = seen_alive.find(run);
        return run > last_free && (crashed == seen_alive.end() ||
                                   similar.contains(crashed->second));
    };
    return std::count_if(starts->second.begin(), starts->second.end(),
                         is_limited) >= max_last_starts;
}

bool job_execution::is_suspect(const task_key& key) const {
    auto found = m_progress.crashed_runs.find(task_name(key));
    return found != m_progress.crashed_runs.end() &&
           (find_similar(found->second).count >= suspect_crashes ||
            count_unreported(found->second) > 0);
}

void job_execution::cancel_start(const task_key& key, int run) {
    auto found = m_progress.last_starts.find(task_name(key));
    if (found != m_progress.last_starts.end() && found->second.erase(run) > 0) {
        m_version++;
    }
}

void job_execution::clear_crashes(const task_key& key,
                                  base::milliseconds outlived) {
    find_task(key)->crash_count = 0;
    m_progress.crashed_runs.erase(task_name(key));
    auto lost = m_progress.unproved_runs.find(task_name(key));
    if (lost != m_progress.unproved_runs.end()) {
        std::erase_if(lost->second, [&](const auto& row) {
            return row.second.seen_alive <= outlived;
        });
        if (!lost->second.empty()) {
            return;
        }
        m_progress.unproved_runs.erase(lost);
    }
    m_progress.last_starts.erase(task_name(key));
}

base::milliseconds
job_execution::longest_crashed_run(const task_key& key) const {
    base::milliseconds longest{0};
    auto found = m_progress.crashed_runs.find(task_name(key));
    if (found != m_progress.crashed_runs.end()) {
        for (const auto& [run, seen_alive] : found->second) {
            longest = std::max(longest, seen_alive);
        }
    }
    return longest;
}

base::milliseconds job_execution::suspect_age(const task_key& key) const {
    auto found = m_progress.crashed_runs.find(task_name(key));
    if (found == m_progress.crashed_runs.end() ||
        find_similar(found->second).count < suspect_crashes) {
        return base::milliseconds(0);
    }
    return longest_crashed_run(key);
}

void job_execution::finish(workload::job_state state,
                           const std::string& reason) {
    m_progress.state = state;
    m_progress.failure_reason = reason;
    m_progress.placements.clear();
    workload::name_owner(m_progress, *m_job);
    m_version++;
}

void job_execution::set_remaining_runs(
    std::map<std::string, workload::placement> runs) {
    m_progress.placements = std::move(runs);
    m_version++;
}

bool job_execution::all_occurrences_complete() const {
    int total = std::max(1, m_job->repeat_count);
    if (m_next_occurrence < total) {
        return false;
    }
    return std::all_of(
        m_occurrences.begin(), m_occurrences.end(),
        [](const auto& row) { return row.second.is_complete(); });
}

} // namespace eelgrasslever::cluster
