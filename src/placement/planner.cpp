#include "eelgrasslever/placement/planner.hpp"

#include <utility>

namespace eelgrasslever::placement {

namespace {

// The first fit packs; a few random candidates let the score choose among
// endpoints without looking at all of them.
constexpr int random_candidates = 3;

capacity_by_level minus(const capacity_by_level& room,
                        const base::resources& need) {
    capacity_by_level out = room;
    for (base::resources& at : out) {
        at -= need;
    }
    return out;
}

} // namespace

double planner::score(const endpoint_quality& quality) const {
    return m_weights.packing * quality.slot_utilization -
           m_weights.waiting * (quality.slowness - 1.0);
}

std::optional<assignment> planner::choose(const admission::work_item& item,
                                          const capacity_tree& tree,
                                          const quality_source& quality) {
    auto highest = static_cast<int>(item.level);
    for (int at = 0; at <= highest; ++at) {
        auto level = static_cast<admission::reclaim_level>(at);
        auto best = tree.find(item.need, level);
        if (!best) {
            continue;
        }
        double best_score = score(quality(*best));
        for (int i = 0; i < random_candidates; ++i) {
            auto other = tree.find(item.need, level, m_random());
            if (!other || *other == *best) {
                continue;
            }
            double other_score = score(quality(*other));
            if (other_score > best_score) {
                best = std::move(other);
                best_score = other_score;
            }
        }
        return assignment{*best, level};
    }
    return std::nullopt;
}

std::optional<std::vector<assignment>>
planner::plan(const admission::work_item& item, capacity_tree& tree,
              const quality_source& quality) {
    std::vector<assignment> out;
    std::vector<std::pair<std::string, capacity_by_level>> before;
    for (int i = 0; i < item.count; ++i) {
        auto chosen = choose(item, tree, quality);
        if (!chosen) {
            break;
        }
        const capacity_by_level room = *tree.find_capacity(chosen->endpoint);
        before.emplace_back(chosen->endpoint, room);
        tree.set(chosen->endpoint, minus(room, item.need));
        out.push_back(*chosen);
    }
    for (auto saved = before.rbegin(); saved != before.rend(); ++saved) {
        tree.set(saved->first, saved->second);
    }
    if (out.size() != static_cast<std::size_t>(item.count)) {
        return std::nullopt;
    }
    return out;
}

} // namespace eelgrasslever::placement
