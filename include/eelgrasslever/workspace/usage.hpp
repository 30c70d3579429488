/// @file
/// What each workspace has running, and how much more it may start.
#pragma once

#include "eelgrasslever/workspace/directory.hpp"

#include <map>
#include <memory>
#include <string>

namespace eelgrasslever::workspace {

/// Counts the runs that are or may be alive. Work without a workspace, and work
/// of a workspace that the configuration doesn't name, has no limit.
class usage {
  public:
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
    /// @return whether more runs than the limit admits. It may after the limit
    /// has been lowered.
    [[nodiscard]] bool exceeds_limit(const std::string& workspace) const;

  private:
    /// @return the workspace's limits, or nullptr if it has none.
    [[nodiscard]] const base::resources*
    cap_of(const std::string& workspace) const;

    std::shared_ptr<const directory> m_limits;
    std::map<std::string, base::resources> m_running;
};

/// @return how many of @p wanted tasks of @p need fit in @p cap beside
/// @p running; a component of 0 in @p cap does not limit.
[[nodiscard]] int tasks_within(const base::resources& cap,
                               const base::resources& running,
                               const base::resources& need, int wanted);

} // namespace eelgrasslever::workspace
