#include "eelgrasslever/observe/log_budget.hpp"

#include <utility>

namespace eelgrasslever::observe {

namespace {

constexpr base::milliseconds period{1000};

} // namespace

void log_budget::roll(base::instant now) {
    if (now - m_second < period && m_second != base::instant{}) {
        return;
    }
    m_second = now;
    m_lines = 0;
    m_by_event.clear();
    m_ready.insert(m_ready.end(), m_dropped.begin(), m_dropped.end());
    m_dropped.clear();
}

bool log_budget::admit(const std::string& event, base::instant now) {
    roll(now);
    int& lines = m_by_event[event];
    int room = lines < rare_lines ? m_limits.in_all
                                  : m_limits.in_all - m_limits.for_rare;
    if (m_lines < room && lines < m_limits.per_event) {
        m_lines++;
        lines++;
        return true;
    }
    m_dropped[event]++;
    return false;
}

std::vector<std::pair<std::string, int>>
log_budget::take_dropped(base::instant now) {
    roll(now);
    return std::exchange(m_ready, {});
}

} // namespace eelgrasslever::observe
