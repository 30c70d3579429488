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
    /// @param is_admissible whether the limit would admit the step if nothing
    /// else of its workspace ran.
    void insert(const std::string& workspace, const step_rank& rank,
                bool is_admissible);
    void erase(const std::string& workspace, const step_rank& rank);
    /// @return whether a step that is not urgent has to let an earlier one of
    /// its workspace go first: otherwise narrow steps would use up the limit
    /// whenever a wide gang waits for it. Inadmissible steps hold up no others.
    [[nodiscard]] bool must_follow(const std::string& workspace,
                                   const step_rank& rank) const;
    /// What a workspace's limit leaves for its steps.
    struct limit {
        /// Takes what the step needs; false if that isn't left.
        std::function<bool(const step_rank&)> admits;
        /// Whether the step could be admitted if nothing else ran.
        std::function<bool(const step_rank&)> is_admissible;
    };
    /// Removes the steps that may go on.
    /// @return them in their order: urgent ones, and the others up to the first
    /// that has to wait.
    [[nodiscard]] std::vector<step_rank> release(const std::string& workspace,
                                                 const limit& left);
    [[nodiscard]] std::vector<std::string> workspaces() const;
    [[nodiscard]] std::size_t count(const std::string& workspace) const;
    /// Calls @p visit with each step.
    void for_each(const std::function<void(const step_rank&)>& visit) const;

  private:
    struct steps {
        std::set<step_rank> waiting;
        std::set<step_rank> inadmissible; ///< until the limit is raised
    };
    std::map<std::string, steps> m_steps; ///< by workspace
};

} // namespace eelgrasslever::cluster
