/// @file
/// Scheduling policies: one plug-in for each kind of work sets its queue rank,
/// what it may preempt and how it can be preempted itself.
#pragma once

#include "eelgrasslever/bundle/document.hpp"
#include "eelgrasslever/kernel/registry.hpp"

#include <string>

namespace eelgrasslever::admission {

/// Orders work by how readily it is preempted. For a waiting task, the level
/// is the highest class of running tasks that may be stopped for it. For a
/// running task, it is the class the task belongs to. Each level includes the
/// lower ones.
enum class reclaim_level : int {
    none = 0,          ///< use free capacity only
    trial = 1,         ///< stop tasks of trial teams, except services
    trial_service = 2, ///< also stop services of trial teams
    paying_batch = 3,  ///< also stop batch tasks of paying teams
};
inline constexpr int reclaim_level_count = 4;

/// The scheduling rules for one kind of work.
class policy {
  public:
    virtual ~policy() = default;

    /// @return the queue rank of this kind of work for a paying team, from 0
    /// to `trial_rank_offset - 1`; lower ranks are placed first.
    [[nodiscard]] virtual int paying_rank() const = 0;
    /// @return the highest class of running work that may be stopped for this
    /// kind of work when a paying team submits it.
    [[nodiscard]] virtual reclaim_level paying_reclaim_level() const = 0;
    /// @return the class that running work of a team of @p team_tier belongs
    /// to; `none` if it is never stopped for other work.
    [[nodiscard]] virtual reclaim_level
    reclaimed_as(bundle::tier team_tier) const = 0;
    /// @return whether a job is journaled before it is accepted.
    [[nodiscard]] virtual bool is_durable() const { return false; }
    /// @return whether all tasks of a job must start together.
    [[nodiscard]] virtual bool is_gang_scheduled() const { return false; }
    /// @return whether a task runs until it is cancelled.
    [[nodiscard]] virtual bool is_long_running() const { return false; }
};

/// @return the policy registered as @p kind, or nullptr if there is none.
[[nodiscard]] const policy* find_policy(const std::string& kind);

/// Added to a policy's rank for trial teams, so that all of their work ranks
/// after that of paying teams.
inline constexpr int trial_rank_offset = 4;
inline constexpr int rank_count = 2 * trial_rank_offset;

/// @return the queue rank, from 0 to `rank_count - 1`, of work under
/// @p kind_policy that a team of @p team_tier submits.
[[nodiscard]] int queue_rank(const policy& kind_policy, bundle::tier team_tier);

/// @return the highest class of running work that may be stopped for work
/// under @p kind_policy that a team of @p team_tier submits; `none` for trial
/// teams.
[[nodiscard]] reclaim_level allowed_reclaim_level(const policy& kind_policy,
                                                  bundle::tier team_tier);

} // namespace eelgrasslever::admission
