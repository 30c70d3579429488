#include "eelgrasslever/service/member_table.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::service {

void member_table::put(const std::string& vm, member entry, base::instant now) {
    m_departed.erase(vm);
    auto [row, inserted] = m_live.try_emplace(vm);
    if (inserted) {
        row->second.listed_at = now;
    }
    row->second.entry = std::move(entry);
}

void member_table::remove(const std::string& vm, base::instant now) {
    auto found = m_live.find(vm);
    if (found == m_live.end()) {
        return;
    }
    m_departed[vm] = {found->second.entry.cores, now + departed_retention};
    m_live.erase(found);
}

bool member_table::is_outranked(base::instant now) const {
    return std::any_of(m_live.begin(), m_live.end(),
                       [&](const auto& row) {
                           return row.second.entry.cores > m_own_cores;
                       }) ||
           std::any_of(m_departed.begin(), m_departed.end(),
                       [&](const auto& row) {
                           return row.second.expires_at > now &&
                                  row.second.cores > m_own_cores;
                       });
}

bool member_table::has_loaded_peer() const {
    return std::any_of(m_live.begin(), m_live.end(), [&](const auto& row) {
        return row.first != m_self && row.second.entry.loaded;
    });
}

bool member_table::should_hand_over(base::instant now) const {
    if (now < m_next_handover) {
        return false;
    }
    return std::any_of(m_live.begin(), m_live.end(), [&](const auto& row) {
        return row.second.entry.loaded &&
               row.second.entry.cores >= min_core_ratio * m_own_cores &&
               now - row.second.listed_at >= min_listed_time;
    });
}

bool member_table::ranks_within(const std::string& name, const member& entry,
                                std::size_t in_cell, std::size_t in_domain,
                                rivals counted) const {
    std::size_t better = 0;
    std::size_t better_in_domain = 0;
    for (const auto& [vm, row] : m_live) {
        bool is_better = row.entry.cores > entry.cores ||
                         (row.entry.cores == entry.cores && vm < name);
        bool is_counted = counted == rivals::listed || row.entry.loaded;
        if (!is_better || !is_counted) {
            continue;
        }
        better++;
        if (row.entry.failure_domain == entry.failure_domain) {
            better_in_domain++;
        }
    }
    return better < in_cell || better_in_domain < in_domain;
}

bool member_table::ranks_within_multiple(std::size_t factor,
                                         rivals counted) const {
    return ranks_within(m_self, {"", m_own_cores, m_own_domain},
                        factor * followers, factor * followers_per_domain,
                        counted);
}

bool member_table::update_following(base::instant now, bool may_stop) {
    if (!m_has_decided) {
        m_has_decided = m_live.contains(m_self);
        m_follows = m_has_decided && ranks_within_multiple(1, rivals::listed);
        return m_follows;
    }
    if (m_follows) {
        m_follows =
            !may_stop ||
            ranks_within_multiple(follower_hysteresis, rivals::listed) ||
            ranks_within_multiple(1, rivals::loaded);
        return m_follows;
    }
    if (!ranks_within_multiple(1, rivals::listed)) {
        m_eligible_since.reset();
        return false;
    }
    if (!m_eligible_since) {
        m_eligible_since = now;
    }
    m_follows = now - *m_eligible_since >= follower_settle_time;
    if (m_follows) {
        m_eligible_since.reset();
    }
    return m_follows;
}

std::optional<base::instant> member_table::following_due() const {
    if (!m_eligible_since) {
        return std::nullopt;
    }
    return *m_eligible_since + follower_settle_time;
}

std::string member_table::preferred_successor(base::instant now) const {
    if (!should_hand_over(now)) {
        return {};
    }
    auto best = m_live.end();
    for (auto row = m_live.begin(); row != m_live.end(); ++row) {
        bool is_eligible = row->second.entry.loaded &&
                           now - row->second.listed_at >= min_listed_time;
        if (is_eligible &&
            (best == m_live.end() ||
             row->second.entry.cores > best->second.entry.cores)) {
            best = row;
        }
    }
    return best->first;
}

std::string member_table::restarted_successor(base::instant now) const {
    auto self = m_live.find(m_self);
    if (self == m_live.end()) {
        return {};
    }
    double most_cores = 0.0;
    for (const auto& [vm, row] : m_live) {
        most_cores = std::max(most_cores, row.entry.cores);
    }
    auto latest = m_live.end();
    for (auto row = m_live.begin(); row != m_live.end(); ++row) {
        const live_member& other = row->second;
        bool is_eligible =
            other.entry.loaded && other.entry.cores == most_cores &&
            ranks_within(row->first, other.entry, followers,
                         followers_per_domain, rivals::listed) &&
            now - other.listed_at >= min_listed_time &&
            other.listed_at - self->second.listed_at >= min_listed_time;
        if (is_eligible && (latest == m_live.end() ||
                            other.listed_at > latest->second.listed_at)) {
            latest = row;
        }
    }
    return latest == m_live.end() ? std::string() : latest->first;
}

const member* member_table::find(const std::string& vm) const {
    auto found = m_live.find(vm);
    return found == m_live.end() ? nullptr : &found->second.entry;
}

std::vector<std::string> member_table::vm_names() const {
    std::vector<std::string> names;
    for (const auto& [vm, row] : m_live) {
        names.push_back(vm);
    }
    return names;
}

std::vector<carrier> member_table::carriers(std::size_t count) const {
    using row = std::pair<const std::string, live_member>;
    std::vector<const row*> able;
    for (const row& each : m_live) {
        const member& entry = each.second.entry;
        if (each.first != m_self && entry.carries_orders &&
            !entry.peer_address.empty()) {
            able.push_back(&each);
        }
    }
    std::stable_sort(able.begin(), able.end(), [](const row* a, const row* b) {
        return a->second.entry.cores > b->second.entry.cores;
    });
    std::map<std::string, std::size_t> in_domain;
    std::multimap<std::size_t, const row*> by_rank;
    for (const row* each : able) {
        by_rank.emplace(in_domain[each->second.entry.failure_domain]++, each);
    }
    std::vector<carrier> result;
    for (const auto& [rank, each] : by_rank) {
        if (result.size() == count) {
            break;
        }
        const member& entry = each->second.entry;
        result.push_back(
            {each->first, entry.peer_address, entry.failure_domain});
    }
    return result;
}

base::milliseconds member_table::notice_interval() const {
    constexpr std::size_t milliseconds_per_second = 1000;
    base::milliseconds spread(m_live.size() * milliseconds_per_second /
                              max_notices_per_second);
    return std::clamp(spread, min_notice_interval, max_notice_interval);
}

std::map<std::string, std::string> member_table::peer_addresses() const {
    std::map<std::string, std::string> addresses;
    for (const auto& [vm, row] : m_live) {
        if (vm != m_self) {
            addresses[vm] = row.entry.peer_address;
        }
    }
    return addresses;
}

} // namespace eelgrasslever::service
