#include "eelgrasslever/observe/log_rate_limiter.hpp"

#include <utility>

namespace eelgrasslever::observe {

namespace {

constexpr base::milliseconds window{1000};

} // namespace

void log_rate_limiter::advance_window(base::instant now) {
    if (now - m_window_start < window && m_window_start != base::instant{}) {
        return;
    }
    m_window_start = now;
    m_line_count = 0;
    m_line_count_by_event.clear();
    m_reportable.insert(m_reportable.end(), m_dropped_by_event.begin(),
                        m_dropped_by_event.end());
    m_dropped_by_event.clear();
}

bool log_rate_limiter::admit(const std::string& event, base::instant now) {
    advance_window(now);
    int& lines = m_line_count_by_event[event];
    int line_limit =
        lines < max_rare_event_lines
            ? m_limits.max_lines
            : m_limits.max_lines - m_limits.lines_reserved_for_rare;
    if (m_line_count < line_limit && lines < m_limits.max_lines_per_event) {
        m_line_count++;
        lines++;
        return true;
    }
    m_dropped_by_event[event]++;
    return false;
}

std::vector<std::pair<std::string, int>>
log_rate_limiter::take_dropped_counts(base::instant now) {
    advance_window(now);
    return std::exchange(m_reportable, {});
}

} // namespace eelgrasslever::observe
