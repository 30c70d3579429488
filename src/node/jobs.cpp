#include "eelgrasslever/node/jobs.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/membership/rendezvous.hpp"
#include "eelgrasslever/node/intake.hpp"
#include "eelgrasslever/node/recorder.hpp"
#include "eelgrasslever/node/runner.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::node {

using base::outcome;

namespace {

// Tasks of one job that are in the queue or running at a time.
constexpr std::size_t release_window = 256;
constexpr base::milliseconds save_period{2000};
constexpr base::milliseconds scan_period{15000};

const char* const gang_suffix = "gang";

int index_of(const std::string& task_id) {
    return std::atoi(task_id.substr(task_id.rfind('/') + 1).c_str());
}

} // namespace

void jobs::start(const entry_ptr& item) {
    const std::string id = item->request.id;
    item->at = stage::job;
    job& at = m_jobs[id];
    at.item = item;
    at.finished.assign(static_cast<std::size_t>(item->request.tasks), false);
    at.next_save = m_context.now + save_period;
    for (caller_token caller : item->callers) {
        m_context.out.accept(caller, id);
    }
    item->callers.clear();
    m_context.out.log(
        {"job_accepted",
         {{"id", id}, {"tasks", std::to_string(item->request.tasks)}}});
    release(id);
}

std::vector<int> jobs::take_releasable(job& at) {
    std::vector<int> out;
    const admission::request& request = at.item->request;
    if (admission::find_policy(request.kind)->all_at_once()) {
        if (at.under_way.empty()) {
            out.push_back(0);
        }
        return out;
    }
    auto window_left = [&] {
        return at.under_way.size() + out.size() < release_window;
    };
    while (window_left() && !at.again.empty()) {
        out.push_back(*at.again.begin());
        at.again.erase(at.again.begin());
    }
    while (window_left() && at.released < request.tasks) {
        int index = at.released++;
        if (!at.finished[static_cast<std::size_t>(index)]) {
            out.push_back(index);
        }
    }
    return out;
}

// A task may be settled within its submission, which may end the job.
void jobs::release(const std::string& id) {
    for (int index : take_releasable(m_jobs.at(id))) {
        auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            return;
        }
        submit_task(id, found->second, index);
    }
}

void jobs::submit_task(const std::string& id, job& at, int index) {
    const admission::policy& kind =
        *admission::find_policy(at.item->request.kind);
    admission::request task = at.item->request;
    task.attempt = at.recovered ? admission::attempt_mark::retry
                                : admission::attempt_mark::first;
    if (kind.all_at_once()) {
        task.id = id + "/" + gang_suffix;
    } else {
        task.id = id + "/" + std::to_string(index);
        task.tasks = 1;
    }
    at.under_way.insert(index);
    m_context.intake->submit_job_task(task, id, at.item->deadline);
}

void jobs::on_task_settled(const std::string& job_id,
                           const std::string& task_id,
                           const base::answer& value) {
    auto found = m_jobs.find(job_id);
    if (found == m_jobs.end()) {
        return;
    }
    job& at = found->second;
    const admission::request& request = at.item->request;
    const admission::policy& kind = *admission::find_policy(request.kind);
    int index = kind.all_at_once() ? 0 : index_of(task_id);
    at.under_way.erase(index);
    bool may_repeat = request.repeatable || value.result == outcome::not_run;
    bool unsettled =
        value.result == outcome::not_run || value.result == outcome::unknown;
    bool restart = kind.long_running() && !at.item->cancelled;
    if (!at.item->cancelled && ((unsettled && may_repeat) || restart)) {
        at.again.insert(index);
        return;
    }
    if (kind.all_at_once()) {
        at.finished_count = request.tasks;
        std::fill(at.finished.begin(), at.finished.end(), true);
    } else if (!at.finished[static_cast<std::size_t>(index)]) {
        at.finished[static_cast<std::size_t>(index)] = true;
        at.finished_count++;
    }
    if (value.result != outcome::completed) {
        at.failed++;
    }
    at.dirty = true;
    if (at.finished_count == request.tasks ||
        (at.item->cancelled && at.under_way.empty())) {
        complete(job_id, at);
        return;
    }
    // The task's own entry is not asked for again.
    m_context.book.erase(task_id);
}

void jobs::complete(const std::string& id, job& at) {
    const int total = at.item->request.tasks;
    bool whole = at.failed == 0 && at.finished_count == total;
    std::string progress_text = std::to_string(at.finished_count) + " of " +
                                std::to_string(total) + " tasks ended, " +
                                std::to_string(at.failed) + " not completed";
    if (at.item->cancelled) {
        progress_text = "cancelled: " + progress_text;
    }
    entry_ptr item = at.item;
    bool late = m_context.now > item->deadline;
    m_jobs.erase(id);
    auto value = make_answer(whole ? outcome::completed : outcome::failed,
                             progress_text);
    if (late) {
        value.detail += "; after its deadline";
    }
    item->recorded = true;
    item->ever_sent = true;
    m_context.intake->settle(item, value);
}

void jobs::cancel(const entry_ptr& item) {
    auto found = m_jobs.find(item->request.id);
    if (found == m_jobs.end()) {
        return;
    }
    item->cancelled = true;
    job& at = found->second;
    at.again.clear();
    at.released = item->request.tasks;
    const std::string id = item->request.id;
    auto under_way = at.under_way;
    bool gang = admission::find_policy(item->request.kind)->all_at_once();
    for (int index : under_way) {
        m_context.intake->cancel(id + "/" +
                                 (gang ? gang_suffix : std::to_string(index)));
    }
    found = m_jobs.find(id);
    if (found != m_jobs.end() && found->second.under_way.empty()) {
        complete(id, found->second);
    }
}

// Writes progress while the journal still names this member as the home.
std::function<std::optional<journal::entry>(const journal::entry*)>
jobs::progress_change(const job& at, bool stay_home) const {
    return [this, stay_home, ranges = journal::to_ranges(at.finished),
            failed = at.failed](
               const journal::entry* present) -> std::optional<journal::entry> {
        bool mine = present != nullptr && !present->final_answer &&
                    present->owner == m_context.config.id;
        if (!mine) {
            return std::nullopt;
        }
        journal::entry next = *present;
        next.finished = ranges;
        next.failed_tasks = failed;
        if (!stay_home) {
            next.owner.clear();
        }
        return next;
    };
}

void jobs::save(const std::string& id, job& at) {
    at.dirty = false;
    at.next_save = m_context.now + save_period;
    journal::operation op;
    op.id = id;
    op.change = progress_change(at, true);
    op.on_done = [this, id](journal::commit_result result,
                            const journal::entry* present) {
        auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            return;
        }
        if (result == journal::commit_result::unavailable) {
            found->second.dirty = true;
            return;
        }
        bool lost = result == journal::commit_result::refused &&
                    present != nullptr && present->owner != m_context.config.id;
        if (lost) {
            // Another member took the job over while this one was away.
            m_context.out.log(
                {"job_yielded", {{"id", id}, {"home", present->owner}}});
            entry_ptr item = found->second.item;
            m_jobs.erase(found);
            item->at = stage::remote;
            item->home = present->owner;
            item->next_check = m_context.now;
            m_context.intake->wake_at(id, m_context.now);
        }
    };
    m_context.recorder->submit(std::move(op));
}

void jobs::advance() {
    std::vector<std::string> ids;
    for (const auto& [id, at] : m_jobs) {
        ids.push_back(id);
    }
    for (const std::string& id : ids) {
        auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        job& at = found->second;
        if (!at.item->cancelled && !m_context.draining) {
            release(id);
        }
        found = m_jobs.find(id);
        bool due = found != m_jobs.end() && found->second.dirty &&
                   m_context.now >= found->second.next_save;
        if (due) {
            save(id, found->second);
        }
    }
    if (m_context.now >= m_next_scan && !m_context.draining &&
        m_context.bundle_in_force) {
        m_next_scan = m_context.now + scan_period;
        m_context.recorder->scan([this](const journal::entries& all) {
            for (const auto& [id, found] : all) {
                consider(id, found);
            }
        });
    }
}

// A home that this VM never heard of is over once nobody is silent: whatever
// it ran is then in some heard member's inventory.
bool jobs::home_is_over(const std::string& home) const {
    if (home.empty()) {
        return true;
    }
    const membership::member* who = m_context.roster.find(home);
    if (who != nullptr) {
        return who->gone || who->left;
    }
    return !m_context.roster.any_member_suspected("", m_context.now) &&
           m_context.roster.vms_without_contact().empty();
}

// A job without a living home is taken over by one member of its FD.
void jobs::consider(const std::string& id, const journal::entry& found) {
    bool job_entry = !found.request_text.empty() && !found.final_answer &&
                     found.failure_domain == m_context.config.failure_domain;
    if (!job_entry || m_jobs.contains(id) || m_taking.contains(id) ||
        m_context.draining) {
        return;
    }
    if (!home_is_over(found.owner)) {
        return;
    }
    auto candidates = m_context.roster.eligible_members(false, m_context.now);
    std::string chosen = membership::rendezvous_choice(id, candidates);
    if (chosen == m_context.config.id) {
        m_taking.insert(id);
        take_over(id);
    }
}

void jobs::take_over(const std::string& id) {
    journal::operation op;
    op.id = id;
    op.change =
        [this](const journal::entry* present) -> std::optional<journal::entry> {
        if (present == nullptr || present->final_answer ||
            present->request_text.empty()) {
            return std::nullopt;
        }
        if (!home_is_over(present->owner)) {
            return std::nullopt;
        }
        journal::entry next = *present;
        next.owner = m_context.config.id;
        return next;
    };
    op.on_done = [this, id](journal::commit_result result,
                            const journal::entry* present) {
        m_taking.erase(id);
        if (result == journal::commit_result::recorded) {
            resume(id, *present);
        }
    };
    m_context.recorder->submit(std::move(op));
}

void jobs::resume(const std::string& id, const journal::entry& taken) {
    auto body = base::parse_object(taken.request_text, "job.resume", id);
    if (!body) {
        return;
    }
    auto request = admission::parse_request(*body, id);
    if (!request) {
        m_context.out.log({"job_unreadable",
                           {{"id", id}, {"why", request.error().message()}}});
        return;
    }
    entry_ptr item = m_context.book.find(id);
    if (!item || item->at == stage::answered) {
        item = m_context.book.add(id);
    }
    item->request = *request;
    item->has_request = true;
    item->recorded = true;
    item->at = stage::job;
    item->received = m_context.now;
    item->deadline =
        m_context.now +
        base::milliseconds(taken.deadline_unix_ms - m_context.unix_now_ms());
    m_context.intake->wake_at(id, item->deadline);
    job& at = m_jobs[id];
    at.item = item;
    at.recovered = true;
    at.finished.assign(static_cast<std::size_t>(request->tasks), false);
    journal::apply_ranges(taken.finished, at.finished);
    at.finished_count = static_cast<int>(
        std::count(at.finished.begin(), at.finished.end(), true));
    at.failed = taken.failed_tasks;
    m_context.out.log(
        {"job_taken_over",
         {{"id", id}, {"finished", std::to_string(at.finished_count)}}});
    release(id);
}

void jobs::hand_over_all() {
    auto all = m_jobs;
    for (auto& [id, at] : all) {
        journal::operation op;
        op.id = id;
        op.change = progress_change(at, false);
        op.on_done = [](journal::commit_result, const journal::entry*) {};
        m_context.recorder->submit(std::move(op));
    }
    m_jobs.clear();
}

std::string jobs::progress(const std::string& id) const {
    auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return {};
    }
    const job& at = found->second;
    return std::to_string(at.finished_count) + " of " +
           std::to_string(at.item->request.tasks) + " tasks ended, " +
           std::to_string(at.under_way.size()) + " queued or running";
}

} // namespace eelgrasslever::node
