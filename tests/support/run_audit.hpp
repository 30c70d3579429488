/// @file
/// Compares the tasks that endpoints ran with the answers that callers
/// received.
#pragma once

#include "eelgrasslever/base/answer.hpp"
#include "endpoint/endpoint_state.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace test_support {

namespace base = eelgrasslever::base;

/// Collects violations of the scheduler's invariants during a run: no task runs
/// at two endpoints at once, unrepeatable work runs at most once, and answers
/// agree with what ran.
class run_audit {
  public:
    void on_endpoint_event(const std::string& endpoint,
                           const standins::endpoint::audit_event& event);
    /// Records that the endpoint's process and all of its tasks were killed.
    void on_endpoint_killed(const std::string& endpoint);
    /// Checks and records an answer that a caller received.
    void on_answer(const std::string& id, const base::answer& value);
    /// Records that a caller retries @p id, so that its last answer is no
    /// longer final.
    void on_retry(const std::string& id) { m_last_answer.erase(id); }
    /// Records a broken invariant.
    void add_violation(const std::string& description);
    /// Checks each request's last answer against its starts, once the run is
    /// over.
    void check_final_answers();

    [[nodiscard]] const std::vector<std::string>& violations() const {
        return m_violations;
    }
    [[nodiscard]] std::size_t late_starts() const { return m_late_starts; }
    [[nodiscard]] std::size_t starts() const { return m_starts; }
    [[nodiscard]] std::size_t answers() const { return m_answers; }
    [[nodiscard]] std::size_t answers_of(base::outcome result) const;

  private:
    [[nodiscard]] bool has_started(const std::string& id) const;

    std::map<std::string, std::set<std::string>> m_endpoints_by_task;
    std::map<std::string, int> m_starts_by_task;
    std::map<std::string, base::answer> m_last_answer;
    std::map<base::outcome, std::size_t> m_answers_by_outcome;
    std::vector<std::string> m_violations;
    std::size_t m_starts{0};
    std::size_t m_late_starts{0}; ///< at endpoints that were leaving
    std::size_t m_answers{0};
};

} // namespace test_support
