#include "eelgrasslever/placement/capacity_tree.hpp"

#include <algorithm>

namespace eelgrasslever::placement {

namespace {

constexpr base::resources nothing{-1, -1, -1, -1};
constexpr capacity_by_level empty_room{nothing, nothing, nothing, nothing};
constexpr std::size_t first_size = 8;

} // namespace

void capacity_tree::grow() {
    std::size_t old = m_leaves;
    std::size_t wanted = old == 0 ? first_size : old * 2;
    std::vector<capacity_by_level> nodes(2 * wanted, empty_room);
    for (std::size_t i = 0; i < old; ++i) {
        nodes[wanted + i] = m_nodes[old + i];
    }
    m_nodes = std::move(nodes);
    m_leaves = wanted;
    m_names.resize(wanted);
    for (std::size_t i = wanted; i > old; --i) {
        m_free_leaves.push_back(i - 1);
    }
    for (std::size_t node = wanted - 1; node >= 1; --node) {
        for (std::size_t level = 0; level < empty_room.size(); ++level) {
            m_nodes[node][level] = base::component_max(
                m_nodes[2 * node][level], m_nodes[2 * node + 1][level]);
        }
    }
}

void capacity_tree::refresh_path(std::size_t leaf) {
    for (std::size_t node = (m_leaves + leaf) / 2; node >= 1; node /= 2) {
        m_steps++;
        for (std::size_t level = 0; level < empty_room.size(); ++level) {
            m_nodes[node][level] = base::component_max(
                m_nodes[2 * node][level], m_nodes[2 * node + 1][level]);
        }
    }
}

void capacity_tree::set(const std::string& endpoint,
                        const capacity_by_level& room) {
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
    m_nodes[m_leaves + found->second] = room;
    refresh_path(found->second);
}

void capacity_tree::erase(const std::string& endpoint) {
    auto found = m_index.find(endpoint);
    if (found == m_index.end()) {
        return;
    }
    std::size_t leaf = found->second;
    m_index.erase(found);
    m_nodes[m_leaves + leaf] = empty_room;
    refresh_path(leaf);
    m_free_leaves.push_back(leaf);
}

std::optional<std::size_t> capacity_tree::search(std::size_t node, range covers,
                                                 range wanted,
                                                 const base::resources& need,
                                                 std::size_t level) const {
    if (covers.high <= wanted.low || wanted.high <= covers.low) {
        return std::nullopt;
    }
    m_steps++;
    if (!base::fits(need, m_nodes[node][level])) {
        return std::nullopt;
    }
    if (node >= m_leaves) {
        return node - m_leaves;
    }
    std::size_t middle = (covers.low + covers.high) / 2;
    auto left = search(2 * node, {covers.low, middle}, wanted, need, level);
    if (left) {
        return left;
    }
    return search(2 * node + 1, {middle, covers.high}, wanted, need, level);
}

std::optional<std::string> capacity_tree::find(const base::resources& need,
                                               admission::reclaim_level level,
                                               std::size_t start) const {
    if (m_index.empty()) {
        return std::nullopt;
    }
    std::size_t from = start % m_leaves;
    auto at = static_cast<std::size_t>(level);
    range all{0, m_leaves};
    auto found = search(1, all, {from, m_leaves}, need, at);
    if (!found && from > 0) {
        found = search(1, all, {0, from}, need, at);
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
