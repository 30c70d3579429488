/// @file
/// Which jobs a workspace has sent beyond its share.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <map>
#include <set>
#include <string>

namespace eelgrasslever::workspace {

/// Counts the jobs of each workspace by the time of their acceptance, so that a
/// new leader, which learns of the open jobs in any order, judges them much as
/// its predecessor did.
class arrivals {
  public:
    /// Time over which a workspace may use its rate unevenly.
    static constexpr base::milliseconds window{5000};

    using time = std::chrono::sys_time<base::milliseconds>;

    /// Notes a job.
    /// @param weight jobs per second of the workspace; 0: no limit.
    /// @return whether the workspace had used up its rate when the job came.
    bool add(const std::string& workspace, time accepted_at, double weight);

  private:
    /// Jobs within the rate by the time of acceptance.
    std::map<std::string, std::multiset<time>> m_within_rate;
};

} // namespace eelgrasslever::workspace
