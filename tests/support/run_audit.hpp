/// @file
/// What endpoints ran against what callers were told.
#pragma once

#include "eelgrasslever/base/answer.hpp"
#include "endpoint/endpoint_state.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace test_support {

namespace base = eelgrasslever::base;

class run_audit {
  public:
    void on_endpoint_event(const std::string& endpoint,
                           const standins::endpoint::audit_event& event);
    /// The endpoint's process was killed: nothing runs there any more.
    void on_endpoint_killed(const std::string& endpoint);
    /// A caller was told @p value about @p id.
    void on_answer(const std::string& id, const base::answer& value);
    /// A caller sent @p id again after an answer.
    void on_retry(const std::string& id) { m_last_answer.erase(id); }
    /// Notes a broken invariant.
    void add_violation(const std::string& description);
    /// Checks what can only be told at the end.
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
    std::size_t m_late_starts{0}; ///< at endpoints already leaving
    std::size_t m_answers{0};
};

} // namespace test_support
