/// @file
/// Index of endpoints by room, searched in logarithmic time.
///
/// A binary tree whose inner nodes hold the component-wise maximum of the room
/// below them, for each reclaim level. A search descends only where the maximum
/// admits the need.
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

/// Room at one endpoint: entry L counts what is free plus what work of reclaim
/// class L and lower holds.
using capacity_by_level =
    std::array<base::resources, admission::reclaim_level_count>;

class capacity_tree {
  public:
    /// Adds an endpoint or changes its room.
    void set(const std::string& endpoint, const capacity_by_level& room);
    void erase(const std::string& endpoint);

    /// @return the first endpoint, in order of insertion from @p start on and
    /// round, with room for @p need at @p level.
    [[nodiscard]] std::optional<std::string>
    find(const base::resources& need, admission::reclaim_level level,
         std::size_t start = 0) const;

    [[nodiscard]] const capacity_by_level*
    find_capacity(const std::string& endpoint) const;
    [[nodiscard]] std::size_t size() const { return m_index.size(); }
    /// @return tree nodes looked at since construction; cost in steps.
    [[nodiscard]] std::uint64_t steps() const { return m_steps; }

  private:
    struct range {
        std::size_t low;
        std::size_t high;
    };
    void grow();
    void refresh_path(std::size_t leaf);
    [[nodiscard]] std::optional<std::size_t> search(std::size_t node,
                                                    range covers, range wanted,
                                                    const base::resources& need,
                                                    std::size_t level) const;

    std::size_t m_leaves{0};
    std::vector<capacity_by_level> m_nodes;
    std::vector<std::string> m_names;
    std::vector<std::size_t> m_free_leaves;
    std::unordered_map<std::string, std::size_t> m_index;
    mutable std::uint64_t m_steps{0};
};

} // namespace eelgrasslever::placement
