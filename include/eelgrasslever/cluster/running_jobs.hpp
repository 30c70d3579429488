/// @file
/// Jobs that clients were told to be running, and when that was so. A job never
/// returns to `queued`, so a view or a read from before that time is outdated.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace eelgrasslever::cluster {

class running_jobs {
  public:
    /// Anything told later than this is more recent than the job's start: a
    /// view is at most 1.85 s old when it is asked, and a client waits for 3 s
    /// unless it asks for another time.
    static constexpr base::milliseconds retention{5000};

    /// @param time when the job is known to have been running.
    void put(const std::string& id, base::instant time, base::instant now);
    /// @return whether the job is known to have been running at @p as_of or
    /// later.
    [[nodiscard]] bool ran_since(const std::string& id,
                                 base::instant as_of) const;
    [[nodiscard]] std::size_t size() const { return m_times.size(); }

  private:
    std::unordered_map<std::string, base::instant> m_times; ///< the latest
    /// Each job once, by a time that may be earlier than its latest.
    std::deque<std::pair<base::instant, std::string>> m_oldest_first;
};

} // namespace eelgrasslever::cluster
