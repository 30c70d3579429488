#include "eelgrasslever/placement/planner.hpp"

#include <utility>

namespace eelgrasslever::placement {

namespace {

// First fit fills endpoints one after the other. A few random candidates give
// the score a choice without looking at every endpoint.
constexpr int random_candidates = 3;

capacity_by_level subtract(const capacity_by_level& capacity,
                           const base::resources& need) {
    capacity_by_level remaining = capacity;
    for (base::resources& available : remaining) {
        available -= need;
    }
    return remaining;
}

} // namespace

double planner::score(const endpoint_quality& quality) const {
    return m_weights.packing * quality.slot_utilization -
           m_weights.waiting * (quality.slowness - 1.0);
}

std::optional<assignment>
planner::choose_endpoint(const admission::work_item& item,
                         const capacity_tree& tree,
                         const quality_source& quality) {
    auto highest_level = static_cast<int>(item.level);
    for (int i = 0; i <= highest_level; ++i) {
        auto level = static_cast<admission::reclaim_level>(i);
        auto best = tree.find(item.need, level);
        if (!best) {
            continue;
        }
        double best_score = score(quality(*best));
        for (int j = 0; j < random_candidates; ++j) {
            auto candidate = tree.find(item.need, level, m_random());
            if (!candidate || *candidate == *best) {
                continue;
            }
            double candidate_score = score(quality(*candidate));
            if (candidate_score > best_score) {
                best = std::move(candidate);
                best_score = candidate_score;
            }
        }
        return assignment{*best, level};
    }
    return std::nullopt;
}

std::optional<std::vector<assignment>>
planner::plan(const admission::work_item& item, capacity_tree& tree,
              const quality_source& quality) {
    std::vector<assignment> assignments;
    std::vector<std::pair<std::string, capacity_by_level>> replaced;
    for (int i = 0; i < item.count; ++i) {
        auto chosen = choose_endpoint(item, tree, quality);
        if (!chosen) {
            break;
        }
        const capacity_by_level capacity =
            *tree.find_capacity(chosen->endpoint);
        replaced.emplace_back(chosen->endpoint, capacity);
        tree.set(chosen->endpoint, subtract(capacity, item.need));
        assignments.push_back(*chosen);
    }
    // In reverse order, since an endpoint may have been chosen more than once.
    for (auto saved = replaced.rbegin(); saved != replaced.rend(); ++saved) {
        tree.set(saved->first, saved->second);
    }
    if (assignments.size() != static_cast<std::size_t>(item.count)) {
        return std::nullopt;
    }
    return assignments;
}

} // namespace eelgrasslever::placement
