#include "eelgrasslever/node/job_coordinator.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/membership/rendezvous.hpp"
#include "eelgrasslever/node/intent_recorder.hpp"
#include "eelgrasslever/node/request_handler.hpp"
#include "eelgrasslever/node/task_runner.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::node {

using base::outcome;

namespace {

// Maximum number of tasks of one job that are queued or running at a time.
constexpr std::size_t release_window = 256;
constexpr base::milliseconds save_period{2000};
constexpr base::milliseconds takeover_scan_period{15000};

const char* const gang_suffix = "gang";

int index_of(const std::string& task_id) {
    return std::atoi(task_id.substr(task_id.rfind('/') + 1).c_str());
}

} // namespace

void job_coordinator::start(const request_entry_ptr& entry) {
    const std::string id = entry->request.id;
    entry->stage = request_stage::job;
    job_state& job = m_jobs[id];
    job.entry = entry;
    job.finished.assign(static_cast<std::size_t>(entry->request.tasks), false);
    job.next_save = m_context.now + save_period;
    for (caller_token caller : entry->callers) {
        m_context.effects.send_accepted(caller, id);
    }
    entry->callers.clear();
    m_context.effects.log(
        {"job_accepted",
         {{"id", id}, {"tasks", std::to_string(entry->request.tasks)}}});
    release_tasks(id);
}

std::vector<int> job_coordinator::take_releasable_tasks(job_state& job) {
    std::vector<int> indices;
    const admission::request& request = job.entry->request;
    if (admission::find_policy(request.kind)->is_gang_scheduled()) {
        if (job.in_flight.empty()) {
            indices.push_back(0);
        }
        return indices;
    }
    auto window_left = [&] {
        return job.in_flight.size() + indices.size() < release_window;
    };
    while (window_left() && !job.to_retry.empty()) {
        indices.push_back(*job.to_retry.begin());
        job.to_retry.erase(job.to_retry.begin());
    }
    while (window_left() && job.next_index < request.tasks) {
        int index = job.next_index++;
        if (!job.finished[static_cast<std::size_t>(index)]) {
            indices.push_back(index);
        }
    }
    return indices;
}

// A task may be settled while it is being submitted, which may finish the job
// and erase its state.
void job_coordinator::release_tasks(const std::string& id) {
    for (int index : take_releasable_tasks(m_jobs.at(id))) {
        auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            return;
        }
        submit_task(id, found->second, index);
    }
}

void job_coordinator::submit_task(const std::string& id, job_state& job,
                                  int index) {
    const admission::policy& kind =
        *admission::find_policy(job.entry->request.kind);
    admission::request task = job.entry->request;
    task.attempt = job.taken_over ? admission::attempt_kind::retry
                                  : admission::attempt_kind::first;
    if (kind.is_gang_scheduled()) {
        task.id = id + "/" + gang_suffix;
    } else {
        task.id = id + "/" + std::to_string(index);
        task.tasks = 1;
    }
    job.in_flight.insert(index);
    m_context.request_handler->submit_job_task(task, id, job.entry->deadline);
}

void job_coordinator::on_task_settled(const std::string& job_id,
                                      const std::string& task_id,
                                      const base::answer& answer) {
    auto found = m_jobs.find(job_id);
    if (found == m_jobs.end()) {
        return;
    }
    job_state& job = found->second;
    const admission::request& request = job.entry->request;
    const admission::policy& kind = *admission::find_policy(request.kind);
    int index = kind.is_gang_scheduled() ? 0 : index_of(task_id);
    job.in_flight.erase(index);
    bool can_retry = request.repeatable || answer.result == outcome::not_run;
    bool is_unsettled =
        answer.result == outcome::not_run || answer.result == outcome::unknown;
    bool must_restart = kind.is_long_running() && !job.entry->cancelled;
    if (!job.entry->cancelled &&
        ((is_unsettled && can_retry) || must_restart)) {
        job.to_retry.insert(index);
        return;
    }
    if (kind.is_gang_scheduled()) {
        job.finished_count = request.tasks;
        std::fill(job.finished.begin(), job.finished.end(), true);
    } else if (!job.finished[static_cast<std::size_t>(index)]) {
        job.finished[static_cast<std::size_t>(index)] = true;
        job.finished_count++;
    }
    if (answer.result != outcome::completed) {
        job.failed_count++;
    }
    job.has_unsaved_progress = true;
    if (job.finished_count == request.tasks ||
        (job.entry->cancelled && job.in_flight.empty())) {
        finish_job(job_id, job);
        return;
    }
    // The job's state replaces the task's own entry, which is not needed again.
    m_context.requests.erase(task_id);
}

void job_coordinator::finish_job(const std::string& id, job_state& job) {
    const int total = job.entry->request.tasks;
    bool all_completed = job.failed_count == 0 && job.finished_count == total;
    std::string progress_text =
        std::to_string(job.finished_count) + " of " + std::to_string(total) +
        " tasks ended, " + std::to_string(job.failed_count) + " not completed";
    if (job.entry->cancelled) {
        progress_text = "cancelled: " + progress_text;
    }
    request_entry_ptr entry = job.entry;
    bool is_late = m_context.now > entry->deadline;
    m_jobs.erase(id);
    auto answer = make_answer(
        all_completed ? outcome::completed : outcome::failed, progress_text);
    if (is_late) {
        answer.detail += "; after its deadline";
    }
    entry->recorded = true;
    entry->ever_sent = true;
    m_context.request_handler->settle(entry, answer);
}

void job_coordinator::cancel(const request_entry_ptr& entry) {
    auto found = m_jobs.find(entry->request.id);
    if (found == m_jobs.end()) {
        return;
    }
    entry->cancelled = true;
    job_state& job = found->second;
    job.to_retry.clear();
    job.next_index = entry->request.tasks;
    const std::string id = entry->request.id;
    auto in_flight = job.in_flight;
    bool is_gang =
        admission::find_policy(entry->request.kind)->is_gang_scheduled();
    for (int index : in_flight) {
        m_context.request_handler->cancel(
            id + "/" + (is_gang ? gang_suffix : std::to_string(index)));
    }
    found = m_jobs.find(id);
    if (found != m_jobs.end() && found->second.in_flight.empty()) {
        finish_job(id, found->second);
    }
}

// Returns a journal change that writes the progress if the journal still names
// this member as the owner.
std::function<std::optional<journal::entry>(const journal::entry*)>
job_coordinator::progress_change(const job_state& job,
                                 bool keep_ownership) const {
    return [this, keep_ownership, ranges = journal::to_ranges(job.finished),
            failed = job.failed_count](
               const journal::entry* present) -> std::optional<journal::entry> {
        bool is_owner = present != nullptr && !present->final_answer &&
                        present->owner == m_context.config.id;
        if (!is_owner) {
            return std::nullopt;
        }
        journal::entry next = *present;
        next.finished = ranges;
        next.failed_tasks = failed;
        if (!keep_ownership) {
            next.owner.clear();
        }
        return next;
    };
}

void job_coordinator::save_progress(const std::string& id, job_state& job) {
    job.has_unsaved_progress = false;
    job.next_save = m_context.now + save_period;
    journal::operation op;
    op.id = id;
    op.change = progress_change(job, true);
    op.on_done = [this, id](journal::commit_result result,
                            const journal::entry* present) {
        auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            return;
        }
        if (result == journal::commit_result::unavailable) {
            found->second.has_unsaved_progress = true;
            return;
        }
        bool was_taken_over = result == journal::commit_result::refused &&
                              present != nullptr &&
                              present->owner != m_context.config.id;
        if (was_taken_over) {
            // Another member took the job over while this one was unreachable.
            m_context.effects.log(
                {"job_yielded", {{"id", id}, {"home", present->owner}}});
            request_entry_ptr entry = found->second.entry;
            m_jobs.erase(found);
            entry->stage = request_stage::remote;
            entry->owner = present->owner;
            entry->next_check = m_context.now;
            m_context.request_handler->schedule_check(id, m_context.now);
        }
    };
    m_context.intent_recorder->submit(std::move(op));
}

void job_coordinator::advance() {
    std::vector<std::string> ids;
    for (const auto& [id, job] : m_jobs) {
        ids.push_back(id);
    }
    for (const std::string& id : ids) {
        auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        job_state& job = found->second;
        if (!job.entry->cancelled && !m_context.draining) {
            release_tasks(id);
        }
        found = m_jobs.find(id);
        bool is_save_due = found != m_jobs.end() &&
                           found->second.has_unsaved_progress &&
                           m_context.now >= found->second.next_save;
        if (is_save_due) {
            save_progress(id, found->second);
        }
    }
    if (m_context.now >= m_next_scan && !m_context.draining &&
        m_context.active_bundle) {
        m_next_scan = m_context.now + takeover_scan_period;
        m_context.intent_recorder->scan(
            [this](const journal::entries& shard_entries) {
                for (const auto& [id, stored] : shard_entries) {
                    consider_takeover(id, stored);
                }
            });
    }
}

// An owner without a membership record counts as gone once every member is
// reachable, because the tasks that it ran are then in the inventory of a
// reachable member.
bool job_coordinator::is_owner_gone(const std::string& owner) const {
    if (owner.empty()) {
        return true;
    }
    const membership::member* member = m_context.membership_view.find(owner);
    if (member != nullptr) {
        return member->gone || member->left;
    }
    return !m_context.membership_view.any_member_suspected("", m_context.now) &&
           m_context.membership_view.vms_without_contact().empty();
}

// Rendezvous hashing selects one member of the FD to take over a job whose
// owner is gone.
void job_coordinator::consider_takeover(const std::string& id,
                                        const journal::entry& stored) {
    bool is_open_job = !stored.request_text.empty() && !stored.final_answer &&
                       stored.failure_domain == m_context.config.failure_domain;
    if (!is_open_job || m_jobs.contains(id) ||
        m_takeovers_in_flight.contains(id) || m_context.draining) {
        return;
    }
    if (!is_owner_gone(stored.owner)) {
        return;
    }
    auto candidates =
        m_context.membership_view.eligible_members(false, m_context.now);
    std::string chosen = membership::rendezvous_choice(id, candidates);
    if (chosen == m_context.config.id) {
        m_takeovers_in_flight.insert(id);
        take_over(id);
    }
}

void job_coordinator::take_over(const std::string& id) {
    journal::operation op;
    op.id = id;
    op.change =
        [this](const journal::entry* present) -> std::optional<journal::entry> {
        if (present == nullptr || present->final_answer ||
            present->request_text.empty()) {
            return std::nullopt;
        }
        if (!is_owner_gone(present->owner)) {
            return std::nullopt;
        }
        journal::entry next = *present;
        next.owner = m_context.config.id;
        return next;
    };
    op.on_done = [this, id](journal::commit_result result,
                            const journal::entry* present) {
        m_takeovers_in_flight.erase(id);
        if (result == journal::commit_result::recorded) {
            resume(id, *present);
        }
    };
    m_context.intent_recorder->submit(std::move(op));
}

void job_coordinator::resume(const std::string& id,
                             const journal::entry& stored) {
    auto body = base::parse_object(stored.request_text, "job.resume", id);
    if (!body) {
        return;
    }
    auto request = admission::parse_request(*body, id);
    if (!request) {
        m_context.effects.log(
            {"job_unreadable",
             {{"id", id}, {"why", request.error().message()}}});
        return;
    }
    request_entry_ptr entry = m_context.requests.find(id);
    if (!entry || entry->stage == request_stage::answered) {
        entry = m_context.requests.add(id);
    }
    entry->request = *request;
    entry->has_request = true;
    entry->recorded = true;
    entry->stage = request_stage::job;
    entry->received_at = m_context.now;
    entry->deadline =
        m_context.now +
        base::milliseconds(stored.deadline_unix_ms - m_context.unix_now_ms());
    m_context.request_handler->schedule_check(id, entry->deadline);
    job_state& job = m_jobs[id];
    job.entry = entry;
    job.taken_over = true;
    job.finished.assign(static_cast<std::size_t>(request->tasks), false);
    journal::apply_ranges(stored.finished, job.finished);
    job.finished_count = static_cast<int>(
        std::count(job.finished.begin(), job.finished.end(), true));
    job.failed_count = stored.failed_tasks;
    m_context.effects.log(
        {"job_taken_over",
         {{"id", id}, {"finished", std::to_string(job.finished_count)}}});
    release_tasks(id);
}

void job_coordinator::release_all_jobs() {
    auto all_jobs = m_jobs;
    for (auto& [id, job] : all_jobs) {
        journal::operation op;
        op.id = id;
        op.change = progress_change(job, false);
        op.on_done = [](journal::commit_result, const journal::entry*) {};
        m_context.intent_recorder->submit(std::move(op));
    }
    m_jobs.clear();
}

std::string job_coordinator::describe_progress(const std::string& id) const {
    auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return {};
    }
    const job_state& job = found->second;
    return std::to_string(job.finished_count) + " of " +
           std::to_string(job.entry->request.tasks) + " tasks ended, " +
           std::to_string(job.in_flight.size()) + " queued or running";
}

} // namespace eelgrasslever::node
