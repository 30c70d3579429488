#include "eelgrasslever/placement/capacity_tree.hpp"

#include <algorithm>

namespace eelgrasslever::placement {

namespace {

// Negative amounts, so that not even a need of zero fits an unused leaf.
constexpr base::resources no_resources{-1, -1, -1, -1};
constexpr capacity_by_level no_capacity{no_resources, no_resources,
                                        no_resources, no_resources};
constexpr std::size_t initial_leaves = 8; // a power of two

} // namespace

void capacity_tree::grow() {
    std::size_t old_leaves = m_leaves;
    std::size_t new_leaves = old_leaves == 0 ? initial_leaves : old_leaves * 2;
    std::vector<capacity_by_level> nodes(2 * new_leaves, no_capacity);
    for (std::size_t i = 0; i < old_leaves; ++i) {
        nodes[new_leaves + i] = m_nodes[old_leaves + i];
    }
    m_nodes = std::move(nodes);
    m_leaves = new_leaves;
    m_names.resize(new_leaves);
    for (std::size_t i = new_leaves; i > old_leaves; --i) {
        m_free_leaves.push_back(i - 1);
    }
    for (std::size_t node = new_leaves - 1; node >= 1; --node) {
        for (std::size_t level = 0; level < no_capacity.size(); ++level) {
            m_nodes[node][level] = base::component_max(
                m_nodes[2 * node][level], m_nodes[2 * node + 1][level]);
        }
    }
}

void capacity_tree::update_ancestors(std::size_t leaf) {
    for (std::size_t node = (m_leaves + leaf) / 2; node >= 1; node /= 2) {
        m_steps++;
        for (std::size_t level = 0; level < no_capacity.size(); ++level) {
            m_nodes[node][level] = base::component_max(
                m_nodes[2 * node][level], m_nodes[2 * node + 1][level]);
        }
    }
}

void capacity_tree::set(const std::string& endpoint,
                        const capacity_by_level& capacity) {
    auto found = m_index.find(endpoint);
    if (found == m_index.end()) {
        if (m_free_leaves.empty()) {
            grow();
        }
        std::size_t leaf = m_free_leaves.back();
        m_free_leaves.pop_back();
        m_names[leaf] = endpoint;
        found = m_index.emplace(endpoint, leaf).first;
    }
    m_nodes[m_leaves + found->second] = capacity;
    update_ancestors(found->second);
}

void capacity_tree::erase(const std::string& endpoint) {
    auto found = m_index.find(endpoint);
    if (found == m_index.end()) {
        return;
    }
    std::size_t leaf = found->second;
    m_index.erase(found);
    m_nodes[m_leaves + leaf] = no_capacity;
    update_ancestors(leaf);
    m_free_leaves.push_back(leaf);
}

std::optional<std::size_t>
capacity_tree::search(std::size_t node, leaf_range covered, leaf_range searched,
                      const base::resources& need, std::size_t level) const {
    if (covered.high <= searched.low || searched.high <= covered.low) {
        return std::nullopt;
    }
    m_steps++;
    if (!base::fits(need, m_nodes[node][level])) {
        return std::nullopt;
    }
    if (node >= m_leaves) {
        return node - m_leaves;
    }
    std::size_t middle = (covered.low + covered.high) / 2;
    auto left = search(2 * node, {covered.low, middle}, searched, need, level);
    if (left) {
        return left;
    }
    return search(2 * node + 1, {middle, covered.high}, searched, need, level);
}

std::optional<std::string> capacity_tree::find(const base::resources& need,
                                               admission::reclaim_level level,
                                               std::size_t start) const {
    if (m_index.empty()) {
        return std::nullopt;
    }
    std::size_t first = start % m_leaves;
    auto level_index = static_cast<std::size_t>(level);
    leaf_range all{0, m_leaves};
    auto found = search(1, all, {first, m_leaves}, need, level_index);
    if (!found && first > 0) {
        found = search(1, all, {0, first}, need, level_index);
    }
    if (!found) {
        return std::nullopt;
    }
    return m_names[*found];
}

const capacity_by_level*
capacity_tree::find_capacity(const std::string& endpoint) const {
    auto found = m_index.find(endpoint);
    return found == m_index.end() ? nullptr
                                  : &m_nodes[m_leaves + found->second];
}

} // namespace eelgrasslever::placement
