#include "eelgrasslever/dispatch/endpoint_session.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace eelgrasslever::dispatch {

using endpoint::call_kind;
using endpoint::task_state;

namespace {

constexpr std::size_t max_starts_per_call = 64;

bool occupies_endpoint(task_phase phase) {
    return phase != task_phase::reserved;
}

endpoint::task_report make_report(const local_task& task, std::string reason) {
    endpoint::task_report report;
    report.id = task.spec.id;
    report.reason = std::move(reason);
    report.repeatable = task.spec.repeatable;
    return report;
}

} // namespace

endpoint_session::endpoint_session(std::string endpoint, std::string holder,
                                   const timing& times)
    : m_name(std::move(endpoint)), m_holder(std::move(holder)), m_times(times) {
}

void endpoint_session::set_phase(local_task& task, task_phase next) {
    bool occupied_before = occupies_endpoint(task.phase);
    bool occupies_after = occupies_endpoint(next);
    if (occupies_after && !occupied_before) {
        m_occupied += task.spec.need;
    }
    if (occupied_before && !occupies_after) {
        m_occupied -= task.spec.need;
    }
    task.phase = next;
}

bool endpoint_session::was_sent(const local_task& task) const {
    return task.phase != task_phase::reserved &&
           std::find(m_pending_starts.begin(), m_pending_starts.end(),
                     task.spec.id) == m_pending_starts.end();
}

std::vector<std::string> endpoint_session::task_ids() const {
    std::vector<std::string> ids;
    for (const auto& [id, task] : m_tasks) {
        ids.push_back(id);
    }
    return ids;
}

void endpoint_session::reserve_task(local_task task) {
    task.phase = task_phase::reserved;
    m_committed += task.spec.need;
    std::string id = task.spec.id;
    m_tasks[id] = std::move(task);
}

void endpoint_session::start_task(const std::string& task_id) {
    set_phase(m_tasks.at(task_id), task_phase::starting);
    m_pending_starts.push_back(task_id);
}

void endpoint_session::stop_task(const std::string& task_id,
                                 std::vector<event>& events) {
    auto found = m_tasks.find(task_id);
    if (found == m_tasks.end()) {
        return;
    }
    bool pending = std::erase(m_pending_starts, task_id) > 0;
    if (pending || found->second.phase == task_phase::reserved) {
        auto report = make_report(
            found->second, "the task was stopped before its start was sent");
        finish_task(task_id, event_kind::not_started, report, events);
        return;
    }
    if (found->second.phase == task_phase::stopping) {
        return;
    }
    // `advance` sends the stop after any start call in flight is answered.
    set_phase(found->second, task_phase::stopping);
    m_pending_stops.push_back(task_id);
}

void endpoint_session::finish_task(const std::string& task_id, event_kind kind,
                                   const endpoint::task_report& report,
                                   std::vector<event>& events) {
    auto found = m_tasks.find(task_id);
    if (found == m_tasks.end()) {
        return;
    }
    set_phase(found->second, task_phase::reserved);
    m_committed -= found->second.spec.need;
    m_tasks.erase(found);
    std::erase(m_pending_starts, task_id);
    std::erase(m_pending_stops, task_id);
    events.push_back({kind, m_name, task_id, report, {}, {}});
}

endpoint::call endpoint_session::make_call(call_kind kind) const {
    endpoint::call call;
    call.kind = kind;
    call.holder = m_holder;
    call.epoch = m_epoch;
    call.claim_ttl = m_times.claim_ttl;
    call.timeout = m_times.call_timeout;
    return call;
}

void endpoint_session::advance(base::instant now,
                               std::vector<outgoing_call>& calls,
                               std::vector<event>& events) {
    detect_lost_tasks(now, events);
    if (m_phase == phase::idle && m_claim_desired && !m_control_in_flight &&
        now >= m_next_claim_attempt) {
        m_phase = phase::claiming;
        m_control_in_flight = true;
        endpoint::call claim = make_call(call_kind::claim);
        claim.epoch = 0;
        claim.acknowledged = m_acknowledged;
        claim.fresh_connection = m_use_fresh_connection;
        calls.push_back({m_name, claim});
        return;
    }
    if (m_phase != phase::claimed) {
        return;
    }
    bool release_claim =
        m_force_release || (!m_claim_desired && m_tasks.empty());
    if (release_claim && !m_start_in_flight && !m_control_in_flight) {
        m_phase = phase::releasing;
        m_control_in_flight = true;
        calls.push_back({m_name, make_call(call_kind::release)});
        return;
    }
    if (!m_control_in_flight) {
        m_control_in_flight = true;
        endpoint::call poll = make_call(call_kind::poll);
        poll.wait = release_claim ? base::milliseconds(0) : m_times.poll_wait;
        poll.acknowledged = m_acknowledged;
        poll.timeout = m_times.poll_wait + m_times.call_timeout;
        calls.push_back({m_name, poll});
    }
    if (!m_pending_starts.empty() && !m_start_in_flight && !m_force_release) {
        m_start_in_flight = true;
        endpoint::call start = make_call(call_kind::start);
        std::size_t count =
            std::min(max_starts_per_call, m_pending_starts.size());
        for (std::size_t i = 0; i < count; ++i) {
            start.starts.push_back(m_tasks.at(m_pending_starts[i]).spec);
        }
        m_pending_starts.erase(m_pending_starts.begin(),
                               m_pending_starts.begin() +
                                   static_cast<std::ptrdiff_t>(count));
        calls.push_back({m_name, start});
    }
    if (!m_pending_stops.empty() && !m_stop_in_flight && !m_start_in_flight) {
        m_stop_in_flight = true;
        endpoint::call stop = make_call(call_kind::stop);
        stop.stops.swap(m_pending_stops);
        calls.push_back({m_name, stop});
    }
}

void endpoint_session::on_reply(const endpoint::call& call,
                                const endpoint::reply& reply, base::instant now,
                                std::vector<event>& events) {
    switch (call.kind) {
    case call_kind::claim:
        m_control_in_flight = false;
        on_claim(reply, now, events);
        return;
    case call_kind::release:
        m_control_in_flight = false;
        on_release(reply, now, events);
        return;
    case call_kind::poll:
        m_control_in_flight = false;
        break;
    case call_kind::start:
        m_start_in_flight = false;
        break;
    case call_kind::stop:
        m_stop_in_flight = false;
        break;
    }
    bool is_current = m_phase == phase::claimed && call.epoch == m_epoch;
    if (!is_current) {
        return;
    }
    if (!reply.reached) {
        on_unreachable(now);
        return;
    }
    if (call.kind == call_kind::start) {
        on_start(call, reply, events);
    }
    if (!reply.accepted) {
        on_claim_lost(reply.holder, now, events);
        return;
    }
    if (call.kind == call_kind::poll) {
        on_poll(reply, now, events);
    }
}

void endpoint_session::on_claim(const endpoint::reply& reply, base::instant now,
                                std::vector<event>& events) {
    m_phase = phase::idle;
    m_next_claim_attempt = now + m_times.claim_retry_interval;
    if (!reply.reached) {
        m_use_fresh_connection = true;
        return;
    }
    m_use_fresh_connection = false;
    if (!reply.accepted) {
        m_other_holder = reply.holder;
        on_claim_lost(reply.holder, now, events);
        // The other holder's claim expires no sooner than this.
        auto wait = std::clamp(reply.claim_remaining, base::milliseconds(20),
                               m_times.claim_retry_interval);
        m_next_claim_attempt = now + wait;
        return;
    }
    m_phase = phase::claimed;
    m_other_holder.clear();
    m_epoch = reply.epoch;
    m_capacity = reply.capacity;
    m_reported_leaving = reply.leaving;
    m_last_renewal = now;
    reconcile(reply, events);
    m_boot_id = reply.boot;
    events.push_back({event_kind::gained, m_name, {}, {}, {}, {}});
}

void endpoint_session::reconcile(const endpoint::reply& reply,
                                 std::vector<event>& events) {
    bool restarted = m_boot_id != 0 && m_boot_id != reply.boot;
    if (restarted) {
        m_acknowledged = 0;
    }
    std::set<std::string> reported;
    std::set<std::string> running;
    for (const endpoint::task_report& report : reply.reports) {
        reported.insert(report.id);
        if (report.state == task_state::running) {
            running.insert(report.id);
        }
    }
    // A report on a finished run must not finish a later run of the same id.
    for (const endpoint::task_report& report : reply.reports) {
        bool superseded =
            report.state != task_state::running && running.contains(report.id);
        if (superseded) {
            m_acknowledged = std::max(m_acknowledged, report.sequence);
            continue;
        }
        apply_report(report, events);
    }
    std::vector<std::string> absent;
    for (const auto& [id, task] : m_tasks) {
        if (was_sent(task) && !reported.contains(id)) {
            absent.push_back(id);
        }
    }
    for (const std::string& id : absent) {
        const local_task& task = m_tasks.at(id);
        bool never_received = task.phase == task_phase::starting && !restarted;
        auto report = make_report(
            task, never_received ? "the endpoint never received the start"
                                 : "the endpoint restarted");
        finish_task(id,
                    never_received ? event_kind::not_started : event_kind::lost,
                    report, events);
    }
}

void endpoint_session::apply_report(const endpoint::task_report& report,
                                    std::vector<event>& events) {
    m_acknowledged = std::max(m_acknowledged, report.sequence);
    auto found = m_tasks.find(report.id);
    if (report.state == task_state::running) {
        if (found == m_tasks.end()) {
            local_task adopted;
            adopted.spec.id = report.id;
            adopted.spec.need = report.need;
            adopted.spec.kind = report.kind;
            adopted.spec.tier = report.tier;
            adopted.spec.repeatable = report.repeatable;
            reserve_task(adopted);
            set_phase(m_tasks.at(report.id), task_phase::running);
            events.push_back(
                {event_kind::adopted, m_name, report.id, report, {}, {}});
            return;
        }
        if (found->second.phase == task_phase::stopping) {
            // The stop call may have been lost with the connection.
            m_pending_stops.push_back(report.id);
        }
        if (found->second.phase == task_phase::starting) {
            set_phase(found->second, task_phase::running);
            events.push_back(
                {event_kind::started, m_name, report.id, report, {}, {}});
        }
        return;
    }
    if (report.state == task_state::refused) {
        finish_task(report.id, event_kind::not_started, report, events);
        return;
    }
    if (found == m_tasks.end()) {
        events.push_back(
            {event_kind::ended, m_name, report.id, report, {}, {}});
        return;
    }
    finish_task(report.id, event_kind::ended, report, events);
}

void endpoint_session::on_poll(const endpoint::reply& reply, base::instant now,
                               std::vector<event>& events) {
    m_last_renewal = now;
    m_reported_leaving = reply.leaving;
    for (const endpoint::task_report& report : reply.reports) {
        apply_report(report, events);
    }
}

void endpoint_session::on_start(const endpoint::call& call,
                                const endpoint::reply& reply,
                                std::vector<event>& events) {
    if (reply.accepted) {
        for (const endpoint::task_report& report : reply.reports) {
            // A poll on another connection may have reported the completion
            // first; applying the start then would adopt a finished task.
            if (m_tasks.contains(report.id)) {
                apply_report(report, events);
            }
        }
        return;
    }
    // The endpoint refuses the whole call if the claim has expired or was
    // superseded, so it started none of the tasks.
    for (const endpoint::task_spec& spec : call.starts) {
        auto found = m_tasks.find(spec.id);
        if (found != m_tasks.end()) {
            auto report = make_report(found->second, "the claim had expired");
            finish_task(spec.id, event_kind::not_started, report, events);
        }
    }
}

void endpoint_session::on_release(const endpoint::reply& reply,
                                  base::instant now,
                                  std::vector<event>& events) {
    m_phase = phase::idle;
    m_force_release = false;
    m_next_claim_attempt = now + m_times.claim_retry_interval;
    if (!reply.reached) {
        m_use_fresh_connection = true;
    }
    on_claim_lost("", now, events);
    events.push_back({event_kind::dropped, m_name, {}, {}, {}, {}});
}

void endpoint_session::on_unreachable(base::instant now) {
    m_phase = phase::idle;
    m_use_fresh_connection = true;
    m_next_claim_attempt = now;
}

void endpoint_session::on_claim_lost(const std::string& holder,
                                     base::instant now,
                                     std::vector<event>& events) {
    bool had_claim = m_phase == phase::claimed;
    m_phase = phase::idle;
    m_next_claim_attempt = now;
    bool held_by_other = !holder.empty() && holder != m_holder;
    bool released = holder.empty() && !had_claim;
    // If the claim merely expired, this VM claims the endpoint again and keeps
    // its tasks.
    if (!held_by_other && !released) {
        return;
    }
    for (const std::string& id : task_ids()) {
        const local_task& task = m_tasks.at(id);
        auto report =
            make_report(task, "another VM took the claim on the endpoint");
        finish_task(
            id, was_sent(task) ? event_kind::moved : event_kind::not_started,
            report, events);
        events.back().holder = holder;
        events.back().lease_expires_at = m_last_renewal + m_times.lost_after();
    }
    if (had_claim) {
        events.push_back({event_kind::dropped, m_name, {}, {}, holder, {}});
    }
}

void endpoint_session::detect_lost_tasks(base::instant now,
                                         std::vector<event>& events) {
    bool unreachable = m_phase == phase::idle || m_phase == phase::claiming;
    if (!unreachable || m_tasks.empty() ||
        now < m_last_renewal + m_times.lost_after()) {
        return;
    }
    for (const std::string& id : task_ids()) {
        const local_task& task = m_tasks.at(id);
        auto report = make_report(task, "the endpoint is unreachable");
        finish_task(id,
                    was_sent(task) ? event_kind::lost : event_kind::not_started,
                    report, events);
    }
    events.push_back({event_kind::dropped, m_name, {}, {}, {}, {}});
}

} // namespace eelgrasslever::dispatch
