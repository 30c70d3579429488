#include "eelgrasslever/cluster/limited_steps.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace eelgrasslever::cluster {

void limited_steps::insert(const std::string& workspace, const step_rank& rank,
                           bool is_admissible) {
    steps& of = m_steps[workspace];
    (is_admissible ? of.waiting : of.inadmissible).insert(rank);
}

void limited_steps::erase(const std::string& workspace, const step_rank& rank) {
    auto found = m_steps.find(workspace);
    if (found != m_steps.end()) {
        found->second.waiting.erase(rank);
        found->second.inadmissible.erase(rank);
    }
}

bool limited_steps::must_follow(const std::string& workspace,
                                const step_rank& rank) const {
    auto found = m_steps.find(workspace);
    if (rank.priority == 0 || found == m_steps.end()) {
        return false;
    }
    const auto& waiting = found->second.waiting;
    auto first =
        std::find_if(waiting.begin(), waiting.end(),
                     [](const step_rank& it) { return it.priority > 0; });
    return first != waiting.end() && *first < rank;
}

std::vector<step_rank> limited_steps::release(const std::string& workspace,
                                              const limit& left) {
    std::vector<step_rank> result;
    auto found = m_steps.find(workspace);
    if (found == m_steps.end()) {
        return result;
    }
    auto& [waiting, inadmissible] = found->second;
    // The limit may have been raised.
    for (auto it = inadmissible.begin(); it != inadmissible.end();) {
        auto next = std::next(it);
        if (left.is_admissible(*it)) {
            waiting.insert(inadmissible.extract(it));
        }
        it = next;
    }
    bool is_blocked = false;
    for (int pass = 0; pass < 2; ++pass) {
        bool urgent = pass == 0;
        for (auto it = waiting.begin(); it != waiting.end() && !is_blocked;) {
            auto step = it++;
            if ((step->priority == 0) != urgent) {
                continue;
            }
            if (left.admits(*step)) {
                result.push_back(std::move(waiting.extract(step).value()));
            } else if (!left.is_admissible(*step)) {
                inadmissible.insert(waiting.extract(step));
            } else {
                is_blocked = !urgent;
            }
        }
    }
    if (waiting.empty() && inadmissible.empty()) {
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
    return found == m_steps.end() ? 0
                                  : found->second.waiting.size() +
                                        found->second.inadmissible.size();
}

void limited_steps::for_each(
    const std::function<void(const step_rank&)>& visit) const {
    for (const auto& [name, steps] : m_steps) {
        std::for_each(steps.waiting.begin(), steps.waiting.end(), visit);
        std::for_each(steps.inadmissible.begin(), steps.inadmissible.end(),
                      visit);
    }
}

} // namespace eelgrasslever::cluster
