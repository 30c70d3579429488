/// @file
/// Chooses endpoints for a work item: a pure decision without I/O or clock.
#pragma once

#include "eelgrasslever/admission/queue.hpp"
#include "eelgrasslever/bundle/document.hpp"
#include "eelgrasslever/placement/capacity_tree.hpp"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace eelgrasslever::placement {

/// One task's endpoint. A level above `none` means that running work must be
/// stopped there first.
struct assignment {
    std::string endpoint;
    admission::reclaim_level level{admission::reclaim_level::none};
};

/// What the planner knows of an endpoint beside its room.
struct endpoint_quality {
    double slowness{1.0};         ///< observed over expected run time
    double slot_utilization{0.0}; ///< of slots
};

class planner {
  public:
    using quality_source =
        std::function<endpoint_quality(const std::string& endpoint)>;

    explicit planner(std::uint64_t seed) : m_random(seed) {}

    void set_weights(const bundle::placement_weights& weights) {
        m_weights = weights;
    }

    /// Plans every task of @p item, lowest reclaim level first.
    /// @param tree is left as it was found.
    /// @return one assignment for each task, or nothing where not all fit.
    [[nodiscard]] std::optional<std::vector<assignment>>
    plan(const admission::work_item& item, capacity_tree& tree,
         const quality_source& quality);

  private:
    [[nodiscard]] std::optional<assignment>
    choose(const admission::work_item& item, const capacity_tree& tree,
           const quality_source& quality);
    [[nodiscard]] double score(const endpoint_quality& quality) const;

    bundle::placement_weights m_weights;
    std::mt19937_64 m_random;
};

} // namespace eelgrasslever::placement
