/// @file
/// Chooses endpoints for a work item. Does no I/O and reads no clock, and its
/// random numbers come from a seed, so that decisions are reproducible.
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

/// The endpoint chosen for one task. A level above `none` means that running
/// work of this class and lower ones must be stopped there first.
struct assignment {
    std::string endpoint;
    admission::reclaim_level level{admission::reclaim_level::none};
};

/// Properties of an endpoint, other than its capacity, that affect its score.
struct endpoint_quality {
    double slowness{1.0};         ///< observed over expected run time
    double slot_utilization{0.0}; ///< committed over total slots
};

class planner {
  public:
    using quality_source =
        std::function<endpoint_quality(const std::string& endpoint)>;

    /// @param seed for the choice of random candidates.
    explicit planner(std::uint64_t seed) : m_random(seed) {}

    void set_weights(const bundle::placement_weights& weights) {
        m_weights = weights;
    }

    /// Chooses an endpoint for every task of @p item, each at the lowest
    /// reclaim level that has enough capacity.
    /// @param tree is changed while planning and restored before the return.
    /// @param quality returns the properties of an endpoint in @p tree.
    /// @return one assignment for each task, or nothing if not all of them
    /// fit.
    [[nodiscard]] std::optional<std::vector<assignment>>
    plan(const admission::work_item& item, capacity_tree& tree,
         const quality_source& quality);

  private:
    [[nodiscard]] std::optional<assignment>
    choose_endpoint(const admission::work_item& item, const capacity_tree& tree,
                    const quality_source& quality);
    /// @return the score of an endpoint; the highest is chosen.
    [[nodiscard]] double score(const endpoint_quality& quality) const;

    bundle::placement_weights m_weights;
    std::mt19937_64 m_random;
};

} // namespace eelgrasslever::placement
