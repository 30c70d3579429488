#include "run_audit.hpp"

namespace test_support {

using kind = standins::endpoint::audit_event::kind;

void run_audit::violate(const std::string& what) {
    m_violations.push_back(what);
}

void run_audit::on_endpoint_event(
    const std::string& endpoint, const standins::endpoint::audit_event& event) {
    std::set<std::string>& where = m_running_at[event.task];
    if (event.what == kind::over_capacity) {
        violate("over capacity: " + event.task + " at " + endpoint);
        return;
    }
    if (event.what == kind::end) {
        where.erase(endpoint);
        return;
    }
    m_late_starts += event.what == kind::late_start ? 1 : 0;
    m_starts++;
    int starts = ++m_starts_of[event.task];
    if (!where.empty()) {
        violate("two places at once: " + event.task + " at " + endpoint +
                " and " + *where.begin());
    }
    if (!event.repeatable && starts > 1) {
        violate("unrepeatable ran " + std::to_string(starts) +
                " times: " + event.task);
    }
    where.insert(endpoint);
}

void run_audit::on_endpoint_killed(const std::string& endpoint) {
    for (auto& [task, where] : m_running_at) {
        where.erase(endpoint);
    }
}

void run_audit::on_answer(const std::string& id, const base::answer& value) {
    m_answers++;
    m_by_outcome[value.result]++;
    bool whole = value.body.starts_with("done:" + id + ":");
    bool job = value.detail.find("tasks ended") != std::string::npos;
    if (value.result == base::outcome::completed && !whole && !job) {
        violate("answer of another request: " + id + " got " + value.body);
    }
    m_last_answer[id] = value;
}

bool run_audit::ever_started(const std::string& id) const {
    if (m_starts_of.contains(id)) {
        return true;
    }
    auto next = m_starts_of.lower_bound(id + "/");
    return next != m_starts_of.end() && next->first.starts_with(id + "/");
}

void run_audit::finish() {
    for (const auto& [id, value] : m_last_answer) {
        bool started = ever_started(id);
        if (value.result == base::outcome::not_run && started) {
            violate("answered not_run but ran: " + id + " (" + value.detail +
                    ")");
        }
        if (value.result == base::outcome::completed && !started) {
            violate("answered completed but never ran: " + id);
        }
    }
}

std::size_t run_audit::answers_of(base::outcome result) const {
    auto found = m_by_outcome.find(result);
    return found == m_by_outcome.end() ? 0 : found->second;
}

} // namespace test_support
