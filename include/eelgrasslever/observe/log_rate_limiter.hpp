/// @file
/// Limits the number of log lines per second and counts the dropped ones.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace eelgrasslever::observe {

/// Limits on log lines per second.
struct log_rate_limits {
    /// Limit for one kind of event: twice the rate at which a leader starts
    /// tasks in current deployments, to allow for bursts.
    int max_lines_per_event{400};
    /// Limit for all events together: about 200 KB/s at 200 bytes per line.
    int max_lines{1000};
    /// Share of `max_lines` reserved for rare events, such as refusals,
    /// suspected endpoints and leadership changes. Without it, the up to four
    /// kinds of routine events could together use up `max_lines`.
    int lines_reserved_for_rare{200};
};

/// Decides which log lines are written, in windows of one second.
class log_rate_limiter {
  public:
    /// The first lines of an event kind in each second count as rare. At a
    /// tenth of `log_rate_limits::lines_reserved_for_rare`, ten rare kinds fit.
    static constexpr int max_rare_event_lines = 20;

    explicit log_rate_limiter(log_rate_limits limits = {}) : m_limits(limits) {}

    /// @return whether a line for @p event may be written at @p now.
    bool admit(const std::string& event, base::instant now);
    /// @return the number of dropped lines per event in the windows completed
    /// before @p now. Each dropped line is reported once.
    std::vector<std::pair<std::string, int>>
    take_dropped_counts(base::instant now);

  private:
    void advance_window(base::instant now);
    log_rate_limits m_limits;
    base::instant m_window_start{};
    int m_line_count{0};
    std::map<std::string, int> m_line_count_by_event;
    std::map<std::string, int> m_dropped_by_event;
    std::vector<std::pair<std::string, int>> m_reportable;
};

} // namespace eelgrasslever::observe
