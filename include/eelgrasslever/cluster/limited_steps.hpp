/// @file
/// Steps that wait until their workspace is below its limit.
#pragma once

#include "eelgrasslever/cluster/step_queue.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrasslever::cluster {

/// Keeps the steps out of the queue of ready steps, so that they take neither
/// room nor advice nor a place in the window from other workspaces.
class limited_steps {
  public:
    void insert(const std::string& workspace, const step_rank& rank);
    void erase(const std::string& workspace, const step_rank& rank);
    /// @return whether a step that is not urgent has to let an earlier one of
    /// its workspace go first: otherwise narrow steps would use up the limit
    /// whenever a wide gang waits for it.
    [[nodiscard]] bool must_follow(const std::string& workspace,
                                   const step_rank& rank) const;
    /// Removes the steps that may go on.
    /// @param admits takes what a step needs from its workspace's limit; false
    /// if that isn't left.
    /// @return them in their order: urgent ones, and the others up to the first
    /// that isn't admitted.
    [[nodiscard]] std::vector<step_rank>
    release(const std::string& workspace,
            const std::function<bool(const step_rank&)>& admits);
    [[nodiscard]] std::vector<std::string> workspaces() const;
    [[nodiscard]] std::size_t count(const std::string& workspace) const;
    /// Calls @p visit with each step.
    void for_each(const std::function<void(const step_rank&)>& visit) const;

  private:
    std::map<std::string, std::set<step_rank>> m_steps; ///< by workspace
};

} // namespace eelgrasslever::cluster
