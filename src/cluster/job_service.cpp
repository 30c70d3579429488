#include "eelgrasslever/cluster/job_service.hpp"

#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::cluster {

using coordination::status;

namespace {

/// @return whether a submission of @p id has failed as the id was cancelled,
/// with no job stored under it.
bool is_cancelled_only(const coordination::commit_outcome& outcome,
                       const std::string& id) {
    auto exists = [&](const char* prefix) {
        return std::any_of(outcome.current.begin(), outcome.current.end(),
                           [key = prefix + id](const auto& entry) {
                               return entry.key == key &&
                                      entry.revision != coordination::absent;
                           });
    };
    return exists(keys::cancel) && !exists(keys::job) &&
           !exists(keys::progress);
}

submit_result to_submit_result(const coordination::commit_outcome& outcome,
                               const std::string& id) {
    switch (outcome.status) {
    case status::ok:
        return submit_result::accepted;
    case status::conflict:
        if (is_cancelled_only(outcome, id)) {
            observe::log_event("job_cancelled_before_stored", {{"job", id}});
            return submit_result::cancelled;
        }
        // An earlier attempt has stored the id.
        observe::log_event("job_deduplicated",
                           {{"job", id}, {"known_from", "store"}});
        return submit_result::accepted;
    case status::not_found:
    case status::refused:
        return outcome.uncertain ? submit_result::uncertain
                                 : submit_result::refused;
    case status::history_lost:
    case status::unreachable:
        break;
    }
    return submit_result::uncertain;
}

} // namespace

const char* to_string(submit_result value) {
    switch (value) {
    case submit_result::accepted:
        return "accepted";
    case submit_result::refused:
        return "refused";
    case submit_result::uncertain:
        return "uncertain";
    case submit_result::cancelled:
        return "cancelled";
    }
    return "unknown";
}

const char* to_string(cancel_result value) {
    switch (value) {
    case cancel_result::cancelled:
        return "cancelled";
    case cancel_result::unknown_job:
        return "unknown_job";
    case cancel_result::unavailable:
        return "unavailable";
    case cancel_result::rejected:
        return "rejected";
    }
    return "unknown";
}

job_service::job_service(coordination::store& store, job_view& view,
                         view_time_function view_time,
                         std::shared_ptr<coordination::committer> committer,
                         stored_handler on_stored)
    : m_store(store), m_view(view), m_view_time(std::move(view_time)),
      m_committer(std::move(committer)), m_on_stored(std::move(on_stored)) {}

bool job_service::is_view_current(base::instant now) const {
    auto time = m_view_time();
    return time && now - *time <= max_view_age;
}

std::optional<workload::job_state>
job_service::state_in_view(const std::string& id, base::instant now) const {
    const job_entry* known = m_view.find(id);
    auto time = m_view_time();
    if (known == nullptr || !known->is_known() || !is_view_current(now)) {
        return std::nullopt;
    }
    bool is_behind =
        known->progress.state == workload::job_state::queued &&
        (known->reported_running || m_running_jobs.ran_since(id, *time));
    return is_behind ? workload::job_state::running : known->progress.state;
}

std::optional<workload::job_state>
job_service::known_final_state(const std::string& id, base::instant now) const {
    const job_entry* known = m_view.find(id);
    if (known != nullptr && workload::is_terminal(known->progress.state)) {
        return known->progress.state;
    }
    return m_ended_jobs.find(id, now);
}

bool job_service::is_state_known(const std::string& id,
                                 base::instant now) const {
    return known_final_state(id, now) || state_in_view(id, now);
}

state_result job_service::correct(const std::string& id, state_result found,
                                  base::instant as_of) const {
    if (auto final_state = known_final_state(id, base::monotonic_now())) {
        found.state = final_state;
        found.unknown_job = false;
    } else if (found.state == workload::job_state::queued) {
        const job_entry* known = m_view.find(id);
        bool has_run = known != nullptr &&
                       known->progress.state == workload::job_state::running;
        if (has_run || m_running_jobs.ran_since(id, as_of)) {
            found.state = workload::job_state::running;
        }
    }
    return found;
}

void job_service::adopt_state(const std::string& id,
                              workload::job_state state) {
    auto now = base::monotonic_now();
    bool has_view = m_view_time().has_value();
    if (workload::is_terminal(state) && has_view) {
        m_view.apply_final_state(id, state, now);
    } else if (workload::is_terminal(state)) {
        m_ended_jobs.put(id, state, now);
    } else if (state == workload::job_state::running) {
        m_running_jobs.put(id, now, now);
        if (has_view) {
            m_view.note_reported_running(id);
        }
    }
}

void job_service::submit(const workload::job& job, base::instant deadline,
                         const std::function<void(submit_result)>& done) {
    const std::string id = job.id;
    if (is_state_known(id, base::monotonic_now())) {
        observe::log_event("job_deduplicated",
                           {{"job", id}, {"known_from", "view"}});
        done(submit_result::accepted);
        return;
    }
    coordination::proposal write;
    // The conditions deduplicate attempts with the same id across all VMs. The
    // progress record outlives the job's record, so it also catches an attempt
    // that arrives after the job has ended. The store orders a submission and a
    // cancellation of its id, whichever VMs they reach.
    write.change.conditions.push_back({keys::job + id, coordination::absent});
    write.change.conditions.push_back(
        {keys::progress + id, coordination::absent});
    write.change.conditions.push_back(
        {keys::cancel + id, coordination::absent});
    std::string record = workload::encode(job);
    write.change.puts.push_back(
        {keys::job + id, record, coordination::no_lease});
    write.deadline = deadline - response_margin;
    write.done = [self = shared_from_this(), id, record = std::move(record),
                  done](const coordination::commit_outcome& outcome) {
        if (outcome.status == status::ok && self->m_on_stored) {
            self->m_on_stored(id, record);
        }
        done(to_submit_result(outcome, id));
    };
    m_committer->submit(std::move(write));
}

void job_service::cancel(const std::string& id, base::instant deadline,
                         const std::function<void(cancel_result)>& done) {
    auto now = base::monotonic_now();
    if (known_final_state(id, now)) {
        done(cancel_result::cancelled);
        return;
    }
    if (state_in_view(id, now)) {
        write_cancel(id, deadline, done);
        return;
    }
    look_up_state(id, [self = shared_from_this(), id, deadline,
                       done](const state_result& found) {
        bool is_unknown = found.unknown_job;
        if (is_unknown &&
            !self->m_unmet_cancellations.admit(base::monotonic_now())) {
            done(cancel_result::rejected);
        } else if (is_unknown) {
            // An attempt to submit the job may still be under way. The store
            // rejects it once the mark exists.
            self->write_cancel(id, deadline, [done](cancel_result marked) {
                done(marked == cancel_result::cancelled
                         ? cancel_result::unknown_job
                         : marked);
            });
        } else if (!found.state) {
            done(cancel_result::unavailable);
        } else if (workload::is_terminal(*found.state)) {
            done(cancel_result::cancelled);
        } else {
            self->write_cancel(id, deadline, done);
        }
    });
}

void job_service::write_cancel(const std::string& id, base::instant deadline,
                               const std::function<void(cancel_result)>& done) {
    coordination::proposal write;
    write.change.conditions.push_back(
        {keys::cancel + id, coordination::absent});
    write.change.puts.push_back(
        {keys::cancel + id, "1", coordination::no_lease});
    write.deadline = deadline - response_margin;
    write.done = [done](const coordination::commit_outcome& outcome) {
        bool stored =
            outcome.status == status::ok || outcome.status == status::conflict;
        done(stored ? cancel_result::cancelled : cancel_result::unavailable);
    };
    m_committer->submit(std::move(write));
}

void job_service::state(const std::string& id,
                        const std::function<void(const state_result&)>& done) {
    auto now = base::monotonic_now();
    state_result result;
    result.state = known_final_state(id, now);
    if (!result.state) {
        result.state = state_in_view(id, now);
    }
    if (result.state == workload::job_state::running) {
        // The view may be dropped, and a peer with an older one be asked.
        m_running_jobs.put(id, *m_view_time(), now);
    }
    if (result.state) {
        done(result);
        return;
    }
    look_up_state(id, done);
}

void job_service::look_up_state(const std::string& id,
                                const state_handler& done) {
    auto [found, inserted] = m_look_ups.try_emplace(id);
    if (!inserted) {
        found->second.next.push_back(done);
        return;
    }
    found->second.waiting.push_back(done);
    found->second.started_at = base::monotonic_now();
    read_progress(id, false);
}

// One transaction stores the final progress and removes the job's record. A job
// that is kept therefore has a progress record, or a job's record and, if that
// has gone since the first read, a progress record by then.
void job_service::read_progress(const std::string& id, bool is_repeated) {
    m_store.read(
        keys::progress + id, [self = shared_from_this(), id, is_repeated](
                                 const coordination::read_reply& reply) {
            if (reply.status == status::not_found && !is_repeated) {
                self->read_job(id);
                return;
            }
            state_result result;
            result.unknown_job = reply.status == status::not_found;
            if (reply.status == status::ok) {
                auto progress =
                    workload::decode_progress(reply.entry.value, id);
                if (progress) {
                    result.state = progress->state;
                    self->adopt_state(id, progress->state);
                } else {
                    observe::log_error("record_unreadable",
                                       {{"key", reply.entry.key},
                                        {"why", progress.error().message()}});
                }
            }
            self->finish_look_up(id, result);
        });
}

void job_service::read_job(const std::string& id) {
    m_store.read(keys::job + id, [self = shared_from_this(),
                                  id](const coordination::read_reply& reply) {
        if (reply.status == status::not_found) {
            self->read_progress(id, true);
            return;
        }
        state_result result;
        if (reply.status == status::ok) {
            result.state = workload::job_state::queued;
        }
        self->finish_look_up(id, result);
    });
}

void job_service::finish_look_up(const std::string& id,
                                 const state_result& result) {
    auto found = m_look_ups.find(id);
    auto waiting = std::exchange(found->second.waiting, {});
    auto started_at = found->second.started_at;
    if (found->second.next.empty()) {
        m_look_ups.erase(found);
    } else {
        found->second.waiting = std::exchange(found->second.next, {});
        found->second.started_at = base::monotonic_now();
        read_progress(id, false);
    }
    state_result latest = correct(id, result, started_at);
    for (const state_handler& done : waiting) {
        done(latest);
    }
}

} // namespace eelgrasslever::cluster
