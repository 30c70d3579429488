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

class log_budget {
  public:
    /// Lines a second of one kind of event. Source: a leader's starts at the
    /// present deployments, doubled for bursts.
    static constexpr int lines_per_event = 400;
    /// Lines a second in all; at 200 bytes each, 200 KB a second.
    static constexpr int lines_in_all = 1000;

    /// @return whether a line of @p event may be written at @p now.
    bool admit(const std::string& event, base::instant now);
    /// @return what was left out in the seconds before @p now, by event; each
    /// is returned once.
    std::vector<std::pair<std::string, int>> take_dropped(base::instant now);

  private:
    void roll(base::instant now);
    base::instant m_second{};
    int m_lines{0};
    std::map<std::string, int> m_by_event;
    std::map<std::string, int> m_dropped;
    std::vector<std::pair<std::string, int>> m_ready;
};

} // namespace eelgrasslever::observe
