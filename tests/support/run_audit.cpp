#include "run_audit.hpp"

namespace test_support {

using kind = standins::endpoint::audit_event::event_kind;

void run_audit::add_violation(const std::string& description) {
    m_violations.push_back(description);
}

void run_audit::on_endpoint_event(
    const std::string& endpoint, const standins::endpoint::audit_event& event) {
    std::set<std::string>& endpoints = m_endpoints_by_task[event.task];
    if (event.kind == kind::over_capacity) {
        add_violation("endpoint over capacity: " + event.task + " at " +
                      endpoint);
        return;
    }
    if (event.kind == kind::end) {
        endpoints.erase(endpoint);
        return;
    }
    m_late_starts += event.kind == kind::late_start ? 1 : 0;
    m_starts++;
    int starts = ++m_starts_by_task[event.task];
    if (!endpoints.empty()) {
        add_violation("task runs at two endpoints: " + event.task + " at " +
                      endpoint + " and " + *endpoints.begin());
    }
    if (!event.repeatable && starts > 1) {
        add_violation("unrepeatable task ran " + std::to_string(starts) +
                      " times: " + event.task);
    }
    endpoints.insert(endpoint);
}

void run_audit::on_endpoint_killed(const std::string& endpoint) {
    for (auto& [task, endpoints] : m_endpoints_by_task) {
        endpoints.erase(endpoint);
    }
}

void run_audit::on_answer(const std::string& id, const base::answer& value) {
    m_answers++;
    m_answers_by_outcome[value.result]++;
    bool is_own_result = value.body.starts_with("done:" + id + ":");
    bool is_job_answer = value.detail.find("tasks ended") != std::string::npos;
    if (value.result == base::outcome::completed && !is_own_result &&
        !is_job_answer) {
        add_violation("result of another request: " + id + " got " +
                      value.body);
    }
    m_last_answer[id] = value;
}

bool run_audit::has_started(const std::string& id) const {
    if (m_starts_by_task.contains(id)) {
        return true;
    }
    auto next = m_starts_by_task.lower_bound(id + "/");
    return next != m_starts_by_task.end() && next->first.starts_with(id + "/");
}

void run_audit::check_final_answers() {
    for (const auto& [id, value] : m_last_answer) {
        bool was_started = has_started(id);
        if (value.result == base::outcome::not_run && was_started) {
            add_violation("answered not_run but ran: " + id + " (" +
                          value.detail + ")");
        }
        if (value.result == base::outcome::completed && !was_started) {
            add_violation("answered completed but never ran: " + id);
        }
    }
}

std::size_t run_audit::answers_of(base::outcome result) const {
    auto found = m_answers_by_outcome.find(result);
    return found == m_answers_by_outcome.end() ? 0 : found->second;
}

} // namespace test_support
