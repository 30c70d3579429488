#include "eelgrasslever/service/member_table.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::service {

void member_table::put(const std::string& vm, member entry, base::instant now) {
    m_former.erase(vm);
    auto [row, fresh] = m_live.try_emplace(vm);
    if (fresh) {
        row->second.since = now;
    }
    row->second.entry = std::move(entry);
}

void member_table::remove(const std::string& vm, base::instant now) {
    auto found = m_live.find(vm);
    if (found == m_live.end()) {
        return;
    }
    m_former[vm] = {found->second.entry.cores, now + memory};
    m_live.erase(found);
}

bool member_table::outranked(base::instant now) const {
    return std::any_of(m_live.begin(), m_live.end(),
                       [&](const auto& row) {
                           return row.second.entry.cores > m_own_cores;
                       }) ||
           std::any_of(m_former.begin(), m_former.end(), [&](const auto& row) {
               return row.second.until > now && row.second.cores > m_own_cores;
           });
}

bool member_table::should_hand_over(base::instant now) const {
    if (now < m_next_handover) {
        return false;
    }
    return std::any_of(m_live.begin(), m_live.end(), [&](const auto& row) {
        return row.second.entry.cores >= handover_ratio * m_own_cores &&
               now - row.second.since >= settling_time;
    });
}

const member* member_table::find(const std::string& vm) const {
    auto found = m_live.find(vm);
    return found == m_live.end() ? nullptr : &found->second.entry;
}

std::vector<std::string> member_table::names() const {
    std::vector<std::string> out;
    for (const auto& [vm, row] : m_live) {
        out.push_back(vm);
    }
    return out;
}

std::map<std::string, std::string> member_table::peers() const {
    std::map<std::string, std::string> out;
    for (const auto& [vm, row] : m_live) {
        if (vm != m_self) {
            out[vm] = row.entry.peer_address;
        }
    }
    return out;
}

} // namespace eelgrasslever::service
