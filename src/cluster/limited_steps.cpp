#include "eelgrasslever/cluster/limited_steps.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

void limited_steps::insert(const std::string& workspace,
                           const step_rank& rank) {
    m_steps[workspace].insert(rank);
}

void limited_steps::erase(const std::string& workspace, const step_rank& rank) {
    auto found = m_steps.find(workspace);
    if (found != m_steps.end()) {
        found->second.erase(rank);
    }
}

bool limited_steps::must_follow(const std::string& workspace,
                                const step_rank& rank) const {
    auto found = m_steps.find(workspace);
    if (rank.priority == 0 || found == m_steps.end()) {
        return false;
    }
    const auto& steps = found->second;
    auto first =
        std::find_if(steps.begin(), steps.end(),
                     [](const step_rank& it) { return it.priority > 0; });
    return first != steps.end() && *first < rank;
}

std::vector<step_rank>
limited_steps::release(const std::string& workspace,
                       const std::function<bool(const step_rank&)>& admits) {
    std::vector<step_rank> result;
    auto found = m_steps.find(workspace);
    if (found == m_steps.end()) {
        return result;
    }
    bool is_blocked = false;
    for (int pass = 0; pass < 2; ++pass) {
        bool urgent = pass == 0;
        for (const step_rank& rank : found->second) {
            bool in_turn = (rank.priority == 0) == urgent && !is_blocked;
            if (!in_turn) {
                continue;
            }
            if (admits(rank)) {
                result.push_back(rank);
            } else {
                is_blocked = !urgent;
            }
        }
    }
    for (const step_rank& rank : result) {
        found->second.erase(rank);
    }
    if (found->second.empty()) {
        m_steps.erase(found);
    }
    return result;
}

std::vector<std::string> limited_steps::workspaces() const {
    std::vector<std::string> names;
    for (const auto& [name, steps] : m_steps) {
        names.push_back(name);
    }
    return names;
}

std::size_t limited_steps::count(const std::string& workspace) const {
    auto found = m_steps.find(workspace);
    return found == m_steps.end() ? 0 : found->second.size();
}

void limited_steps::for_each(
    const std::function<void(const step_rank&)>& visit) const {
    for (const auto& [name, steps] : m_steps) {
        std::for_each(steps.begin(), steps.end(), visit);
    }
}

} // namespace eelgrasslever::cluster
