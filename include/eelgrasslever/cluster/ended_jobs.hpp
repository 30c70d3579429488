/// @file
/// Final states of jobs that other VMs have reported, for a VM that does not
/// follow all jobs.
#pragma once

#include "eelgrasslever/base/time.hpp"
#include "eelgrasslever/workload/progress.hpp"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace eelgrasslever::cluster {

/// Keeps each state for as long as the store keeps the record, within a limit
/// of entries.
class ended_jobs {
  public:
    /// The leader removes the record of an ended job after this time. Clients
    /// may read its state for 120 s.
    static constexpr base::milliseconds retention{180'000};
    /// Most jobs that a cell is built for. A VM of 160 MB holds as many
    /// entries of about 150 bytes in 5% of its memory.
    static constexpr std::size_t max_entries = 50'000;

    /// @param state a terminal state; the first one of a job is kept.
    void put(const std::string& id, workload::job_state state,
             base::instant now);
    /// @return the final state, or nothing if it is not known at @p now.
    [[nodiscard]] std::optional<workload::job_state>
    find(const std::string& id, base::instant now) const;
    [[nodiscard]] std::size_t size() const { return m_states.size(); }

  private:
    struct entry {
        workload::job_state state{workload::job_state::completed};
        base::instant expires_at{};
    };

    std::unordered_map<std::string, entry> m_states;
    std::deque<std::string> m_oldest_first;
};

} // namespace eelgrasslever::cluster
