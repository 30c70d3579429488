/// @file
/// Orders the steps that have waiting tasks, and selects the ones that a
/// placement pass works on.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace eelgrasslever::cluster {

/// Identifies a step and determines its place among the steps of its group.
struct step_rank {
    /// Work that its workspace sent beyond its rate comes after all other work
    /// that is still in time.
    bool is_surplus{false};
    /// Steps are selected in the order of this time: the latest start, less the
    /// time that the step needs to gather its room.
    base::instant preferred_start{};
    /// Latest start with which the job can still meet its objective. A step
    /// that is selected later is overdue.
    base::instant latest_start{};
    int priority{0}; ///< of the queue; 0 is urgent
    base::instant since{};
    std::string job;
    int occurrence{0};
    int step{0};
    /// Latest start with which an end is still of use to the caller, though
    /// late. Later the step is hopeless.
    base::instant latest_useful_start{base::instant::max()};
    auto operator<=>(const step_rank&) const = default;
};

/// The order is: urgent steps, steps that can still meet their objective or
/// that have begun (earliest preferred start first), overdue steps, hopeless
/// steps. The latter two keep a small share, so that none waits forever.
///
/// Steps that are not urgent are selected only as far as the window reaches: as
/// much work as can be expected to find room soon. Each selected step may ask
/// for advice and claim room; selecting more of them would make them compete
/// for the same room.
class step_queue {
  public:
    /// @param begun whether some task of the step runs or is done.
    void insert(const step_rank& rank, bool begun);
    void erase(const step_rank& rank);
    /// Keeps a step out of the selection until @p until. `insert` and `erase`
    /// end the deferral.
    void defer(const step_rank& rank, base::instant until);
    /// Lets no present deferral last beyond @p until.
    void shorten_deferrals(base::instant until);
    /// Ends all deferrals, as further endpoints have become usable.
    void resume_all();
    [[nodiscard]] std::size_t size() const;

    /// @return the share of the fleet that the waiting tasks of a step need.
    using share_function = std::function<double(const step_rank&)>;
    /// @param window selected work, as a share of the fleet.
    [[nodiscard]] std::vector<step_rank>
    select(base::instant now, double window, const share_function& share);
    /// @return the steps that were overdue for the first time in a selection
    /// since the previous call, without those that had begun.
    [[nodiscard]] std::vector<step_rank> take_newly_overdue();
    /// Calls @p visit with each step.
    void for_each(const std::function<void(const step_rank&)>& visit) const;

  private:
    using ranks = std::set<step_rank>;
    using timed_ranks = std::set<std::pair<base::instant, step_rank>>;
    /// Steps that become overdue as time passes.
    struct group {
        ranks in_time;
        ranks overdue;
        timed_ranks latest_starts; ///< of the steps in time
        void insert(const step_rank& rank);
        void erase(const step_rank& rank);
        /// @return the steps that have become overdue.
        std::vector<step_rank> advance(base::instant now);
    };
    struct deferral {
        base::instant until{};
        bool begun{false};
    };
    void resume_deferred(base::instant now);
    /// Puts steps off that are of no use to their callers any more.
    void separate_hopeless(base::instant now);

    group m_urgent;
    group m_waiting;
    ranks m_hopeless;          ///< of those in `m_waiting` that were overdue
    timed_ranks m_useful_ends; ///< of the overdue steps in `m_waiting`
    std::vector<step_rank> m_newly_overdue;
    ranks m_begun;
    std::map<step_rank, deferral> m_deferred;
    timed_ranks m_resumptions;
};

} // namespace eelgrasslever::cluster
