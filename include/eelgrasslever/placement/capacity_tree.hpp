/// @file
/// Index of endpoints by available capacity, searched in logarithmic time.
///
/// A binary tree with one leaf for each endpoint. Its inner nodes hold, for
/// each reclaim level, the component-wise maximum of the capacities below them.
/// A search descends only into subtrees whose maximum fits the need.
#pragma once

#include "eelgrasslever/admission/policy.hpp"
#include "eelgrasslever/base/resources.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrasslever::placement {

/// Available capacity of one endpoint: entry L is the free capacity plus that
/// used by work of reclaim class L and lower.
using capacity_by_level =
    std::array<base::resources, admission::reclaim_level_count>;

class capacity_tree {
  public:
    /// Adds an endpoint or replaces its capacity.
    void set(const std::string& endpoint, const capacity_by_level& capacity);
    void erase(const std::string& endpoint);

    /// Searches the leaves from index @p start (modulo their number) onwards,
    /// then wraps around.
    /// @return the first endpoint whose capacity at @p level fits @p need, or
    /// nothing if none does.
    [[nodiscard]] std::optional<std::string>
    find(const base::resources& need, admission::reclaim_level level,
         std::size_t start = 0) const;

    /// @return the capacity of @p endpoint, or nullptr if it isn't indexed. The
    /// pointer is valid until the next set() or erase().
    [[nodiscard]] const capacity_by_level*
    find_capacity(const std::string& endpoint) const;
    [[nodiscard]] std::size_t size() const { return m_index.size(); }
    /// @return the number of tree nodes visited or updated since construction,
    /// a measure of cost that doesn't depend on the machine.
    [[nodiscard]] std::uint64_t steps() const { return m_steps; }

  private:
    /// Half-open range of leaf indexes.
    struct leaf_range {
        std::size_t low;
        std::size_t high;
    };
    void grow();
    void update_ancestors(std::size_t leaf);
    [[nodiscard]] std::optional<std::size_t>
    search(std::size_t node, leaf_range covered, leaf_range searched,
           const base::resources& need, std::size_t level) const;

    std::size_t m_leaves{0}; ///< 0 or a power of two
    /// The root is at index 1, the children of node N are at 2N and 2N + 1, and
    /// leaf L is at m_leaves + L.
    std::vector<capacity_by_level> m_nodes;
    std::vector<std::string> m_names; ///< endpoint by leaf
    std::vector<std::size_t> m_free_leaves;
    std::unordered_map<std::string, std::size_t> m_index; ///< endpoint to leaf
    mutable std::uint64_t m_steps{0};
};

} // namespace eelgrasslever::placement
