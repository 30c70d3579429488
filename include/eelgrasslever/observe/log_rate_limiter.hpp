/// @file
/// Bounds how many lines a process logs in a second, and counts what it leaves
/// out.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace eelgrasslever::observe {

/// Lines that a process may write in a second.
struct log_rate_limits {
    /// Of one kind of event. Source: a leader's starts at the present
    /// deployments, doubled for bursts.
    int max_lines_per_event{400};
    /// In all; at 200 bytes each, 200 KB a second.
    int max_lines{1000};
    /// Part of `max_lines` that only rare events get, such as refusals and
    /// changes of belief. Source: a fifth, so that routine events, which come
    /// in four kinds at most, can't use up a second together.
    int lines_reserved_for_rare{200};
};

class log_rate_limiter {
  public:
    /// An event is rare up to this many lines in a second. Source: a tenth of
    /// `log_rate_limits::lines_reserved_for_rare`, so that ten kinds fit.
    static constexpr int max_rare_event_lines = 20;

    explicit log_rate_limiter(log_rate_limits limits = {}) : m_limits(limits) {}

    /// @return whether a line of @p event may be written at @p now.
    bool admit(const std::string& event, base::instant now);
    /// @return what was left out in the seconds before @p now, by event; each
    /// is returned once.
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
