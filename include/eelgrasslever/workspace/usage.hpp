/// @file
/// What each workspace has running, and how much more it may start.
#pragma once

#include "eelgrasslever/workspace/directory.hpp"

#include <map>
#include <memory>
#include <string>

namespace eelgrasslever::workspace {

/// Tasks of one step that wait for a part of their workspace's limit.
struct demand {
    base::resources need; ///< of one task
    int count{1};
    bool at_once{false}; ///< all of them start together, or none
};

/// Counts the runs that are or may be alive, and decides what may be started
/// beside them. Work without a workspace, and work of a workspace that the
/// configuration doesn't name, has no limit.
///
/// What never fits within the limit, because that was lowered after the job was
/// accepted, is admitted while less than half of the limit is in use, if all of
/// its tasks but one keep within the limit and the overage.
class usage {
  public:
    /// @param overage share of a limit, at least 0.
    explicit usage(double overage = 0.0) : m_overage(overage) {}

    /// Replaces the limits. Work that is already counted stays.
    void set_limits(std::shared_ptr<const directory> limits) {
        m_limits = std::move(limits);
    }

    void add(const std::string& workspace, const base::resources& amount);
    void remove(const std::string& workspace, const base::resources& amount);
    [[nodiscard]] base::resources running(const std::string& workspace) const;

    /// @return whether work of @p workspace has a limit at all.
    [[nodiscard]] bool is_limited(const std::string& workspace) const {
        return cap_of(workspace) != nullptr;
    }
    /// @return how many of @p wanted tasks of @p need may be started beside
    /// what runs.
    [[nodiscard]] int tasks_allowed(const std::string& workspace,
                                    const base::resources& need,
                                    int wanted) const;
    /// @return whether @p asked may be started beside what runs: all of it if
    /// its tasks start together, else at least one task.
    [[nodiscard]] bool admits(const std::string& workspace,
                              const demand& asked) const;
    /// Likewise for tasks that have been placed, and so are counted already,
    /// but whose starts have not been sent. The limit may have been lowered.
    [[nodiscard]] bool admits_placed(const std::string& workspace,
                                     const demand& placed) const;
    /// @return whether the limit would admit @p asked if nothing else ran.
    [[nodiscard]] bool is_admissible(const std::string& workspace,
                                     const demand& asked) const;

  private:
    /// @return the workspace's limits, or nullptr if it has none.
    [[nodiscard]] const base::resources*
    cap_of(const std::string& workspace) const;

    /// @return whether @p asked may be started beside @p running; a component
    /// of 0 in @p cap does not limit.
    [[nodiscard]] bool is_within(const base::resources& cap,
                                 const base::resources& running,
                                 const demand& asked) const;

    double m_overage{0.0};
    std::shared_ptr<const directory> m_limits;
    std::map<std::string, base::resources> m_running;
};

} // namespace eelgrasslever::workspace
