#include "eelgrasslever/cluster/job_view.hpp"

#include "eelgrasslever/cluster/ended_jobs.hpp"
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/workload/codec.hpp"

namespace eelgrasslever::cluster {

namespace {

/// @return the part of @p key after @p prefix, or nothing if @p key does not
/// start with it.
std::optional<std::string> strip_prefix(const std::string& key,
                                        const char* prefix) {
    std::string_view prefix_view = prefix;
    if (!key.starts_with(prefix_view)) {
        return std::nullopt;
    }
    return key.substr(prefix_view.size());
}

void report_unreadable(const std::string& key, const base::error& why) {
    observe::log_error("record_unreadable",
                       {{"key", key}, {"why", why.message()}});
}

/// @return whether the job has been accepted and none of its tasks started.
bool is_pending(const job_entry& entry) {
    return entry.job && entry.progress.state == workload::job_state::queued;
}

} // namespace

template <typename Change>
void job_view::modify(const std::string& id, Change change) {
    job_entry& entry = m_jobs[id];
    if (is_pending(entry)) {
        auto row = m_pending.find(entry.job->queue.name);
        if (--row->second == 0) {
            m_pending.erase(row);
        }
    }
    change(entry);
    if (is_pending(entry)) {
        m_pending[entry.job->queue.name]++;
    }
}

job_view::change job_view::apply(const coordination::key_value& record,
                                 base::instant now) {
    remove_expired_ends(now);
    if (auto id = strip_prefix(record.key, keys::job)) {
        return apply_job(*id, record);
    }
    if (auto id = strip_prefix(record.key, keys::progress)) {
        return apply_progress(*id, record, now);
    }
    if (auto id = strip_prefix(record.key, keys::cancel)) {
        return apply_cancel(*id, record, now);
    }
    return {};
}

job_view::change job_view::apply_job(const std::string& id,
                                     const coordination::key_value& record) {
    if (record.deleted) {
        modify(id, [](job_entry& entry) {
            entry.job.reset();
            entry.job_revision = coordination::absent;
        });
        erase_if_empty(id);
        return {};
    }
    auto decoded = workload::decode_job(record.value, id);
    if (!decoded) {
        report_unreadable(record.key, decoded.error());
        return {};
    }
    modify(id, [&](job_entry& entry) {
        entry.job = std::make_shared<const workload::job>(*std::move(decoded));
        entry.job_revision = record.revision;
    });
    return {job_change_kind::accepted, id};
}

job_view::change job_view::apply_progress(const std::string& id,
                                          const coordination::key_value& record,
                                          base::instant now) {
    if (record.deleted) {
        modify(id, [](job_entry& entry) {
            entry.progress = {};
            entry.progress_revision = coordination::absent;
        });
        erase_if_empty(id);
        return {job_change_kind::removed, id};
    }
    auto decoded = workload::decode_progress(record.value, id);
    if (!decoded) {
        report_unreadable(record.key, decoded.error());
        return {};
    }
    modify(id, [&](job_entry& entry) {
        if (workload::is_terminal(decoded->state) &&
            !workload::is_terminal(entry.progress.state)) {
            entry.ended_at = now;
        }
        entry.progress_revision = record.revision;
        // The watch may deliver a record from before a final state that was
        // already applied.
        bool is_outdated = workload::is_terminal(entry.progress.state) &&
                           !workload::is_terminal(decoded->state);
        if (!is_outdated) {
            entry.progress = *std::move(decoded);
        }
    });
    return {job_change_kind::progressed, id};
}

void job_view::apply_final_state(const std::string& id,
                                 workload::job_state state, base::instant now) {
    remove_expired_ends(now);
    modify(id, [&](job_entry& entry) {
        if (!workload::is_terminal(entry.progress.state)) {
            entry.progress.state = state;
            entry.ended_at = now;
            m_announced_ends.emplace_back(now, id);
        }
    });
}

void job_view::note_reported_running(const std::string& id) {
    auto found = m_jobs.find(id);
    if (found != m_jobs.end()) {
        found->second.reported_running = true;
    }
}

job_view::change job_view::apply_cancel(const std::string& id,
                                        const coordination::key_value& record,
                                        base::instant now) {
    if (record.deleted) {
        auto found = m_jobs.find(id);
        if (found != m_jobs.end()) {
            found->second.cancel_requested = false;
        }
        erase_if_empty(id);
        return {};
    }
    job_entry& entry = m_jobs[id];
    entry.cancel_seen_at = entry.cancel_requested ? entry.cancel_seen_at : now;
    entry.cancel_requested = true;
    return {job_change_kind::cancel_requested, id};
}

void job_view::erase_if_empty(const std::string& id) {
    auto found = m_jobs.find(id);
    if (found != m_jobs.end() && !found->second.job &&
        found->second.progress_revision == coordination::absent &&
        !found->second.cancel_requested) {
        m_jobs.erase(found);
    }
}

void job_view::remove_expired_ends(base::instant now) {
    while (!m_announced_ends.empty() &&
           m_announced_ends.front().first + ended_jobs::retention <= now) {
        auto [announced_at, id] = std::move(m_announced_ends.front());
        m_announced_ends.pop_front();
        auto found = m_jobs.find(id);
        if (found != m_jobs.end() && found->second.ended_at == announced_at) {
            erase_if_empty(id);
        }
    }
}

const job_entry* job_view::find(const std::string& id) const {
    auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::size_t job_view::pending(const std::string& queue) const {
    auto found = m_pending.find(queue);
    return found == m_pending.end() ? 0 : found->second;
}

} // namespace eelgrasslever::cluster
