/// @file
/// Plug-ins that say how each kind of work waits, runs and gives way.
#pragma once

#include "eelgrasslever/bundle/document.hpp"
#include "eelgrasslever/kernel/registry.hpp"

#include <string>

namespace eelgrasslever::admission {

/// How far running work may be stopped to make room. A waiting task of a level
/// may stop running tasks of that class or a lower one.
enum class reclaim_level : int {
    none = 0,          ///< free room only
    trial = 1,         ///< stop trial tasks that are not services
    trial_service = 2, ///< stop trial services too
    paying_batch = 3,  ///< stop paying batch tasks too
};
inline constexpr int reclaim_level_count = 4;

/// One kind of work.
class policy {
  public:
    virtual ~policy() = default;

    /// @return the queue rank of paying work of this kind; lower goes first.
    [[nodiscard]] virtual int paying_rank() const = 0;
    /// @return how far paying work of this kind may stop running work.
    [[nodiscard]] virtual reclaim_level paying_reclaim_level() const = 0;
    /// @return the class in which running work of @p owner is stopped;
    /// `none` means never.
    [[nodiscard]] virtual reclaim_level
    reclaimed_as(bundle::tier owner) const = 0;
    /// @return whether a job is journaled before it is accepted.
    [[nodiscard]] virtual bool is_durable() const { return false; }
    /// @return whether all tasks must start together.
    [[nodiscard]] virtual bool is_gang_scheduled() const { return false; }
    /// @return whether the task runs until it is cancelled.
    [[nodiscard]] virtual bool is_long_running() const { return false; }
};

/// @return the policy named @p kind, or nullptr.
[[nodiscard]] const policy* find_policy(const std::string& kind);

/// Trial ranks all come after paying ranks.
inline constexpr int trial_rank_offset = 4;
inline constexpr int rank_count = 2 * trial_rank_offset;

/// @return the queue rank of work of @p kind for a team of @p owner.
[[nodiscard]] int queue_rank(const policy& kind, bundle::tier owner);

/// @return how far work of @p kind for a team of @p owner may reclaim.
[[nodiscard]] reclaim_level allowed_reclaim_level(const policy& kind,
                                                  bundle::tier owner);

} // namespace eelgrasslever::admission
