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
struct log_limits {
    /// Of one kind of event. Source: a leader's starts at the present
    /// deployments, doubled for bursts.
    int per_event{400};
    /// In all; at 200 bytes each, 200 KB a second.
    int in_all{1000};
    /// Part of `in_all` that only rare events get, such as refusals and changes
    /// of belief. Source: a fifth, so that routine events, which come in four
    /// kinds at most, can't use up a second together.
    int for_rare{200};
};

class log_budget {
  public:
    /// An event is rare up to this many lines in a second. Source: a tenth of
    /// `log_limits::for_rare`, so that ten kinds fit.
    static constexpr int rare_lines = 20;

    explicit log_budget(log_limits limits = {}) : m_limits(limits) {}

    /// @return whether a line of @p event may be written at @p now.
    bool admit(const std::string& event, base::instant now);
    /// @return what was left out in the seconds before @p now, by event; each
    /// is returned once.
    std::vector<std::pair<std::string, int>> take_dropped(base::instant now);

  private:
    void roll(base::instant now);
    log_limits m_limits;
    base::instant m_second{};
    int m_lines{0};
    std::map<std::string, int> m_by_event;
    std::map<std::string, int> m_dropped;
    std::vector<std::pair<std::string, int>> m_ready;
};

} // namespace eelgrasslever::observe
