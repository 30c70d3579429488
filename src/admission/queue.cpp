#include "eelgrasslever/admission/queue.hpp"

#include <algorithm>
#include <queue>
#include <utility>

namespace eelgrasslever::admission {

std::int64_t queue::load_of(const work_item& item) {
    return item.expected_run.count() * item.need.slots * item.count;
}

bool queue::is_below_quota(const std::string& team) const {
    auto found = m_usage.find(team);
    return found != m_usage.end() && found->second.used < found->second.quota;
}

// Restores the invariant that `ready` contains exactly the first item of each
// team that is below its quota. `old_first` is the first item before a change
// of the team's items, or nullptr if only the quota or its use has changed.
void queue::refresh_head(int rank, const std::string& team,
                         const order_key* old_first) {
    rank_queue& rank_state = m_ranks[static_cast<std::size_t>(rank)];
    if (old_first != nullptr) {
        rank_state.ready.erase(team_head{*old_first, team});
    }
    auto found = rank_state.teams.find(team);
    if (found == rank_state.teams.end()) {
        return;
    }
    if (found->second.empty()) {
        rank_state.teams.erase(found);
        return;
    }
    team_head first{found->second.begin()->first, team};
    if (is_below_quota(team)) {
        rank_state.ready.insert(first);
    } else {
        rank_state.ready.erase(first);
    }
}

void queue::refresh_team(const std::string& team) {
    for (int rank = 0; rank < rank_count; ++rank) {
        refresh_head(rank, team, nullptr);
    }
}

void queue::push(work_item item) {
    item.sequence = m_next_sequence++;
    rank_queue& rank_state = m_ranks[static_cast<std::size_t>(item.rank)];
    team_queue& team_items = rank_state.teams[item.team];
    std::optional<order_key> old_first;
    if (!team_items.empty()) {
        old_first = team_items.begin()->first;
    }
    team_items.emplace(order_key{item.latest_start, item.sequence},
                       item.request_id);
    rank_state.load += load_of(item);
    rank_state.count++;
    refresh_head(item.rank, item.team, old_first ? &*old_first : nullptr);
    if (item.expires_at) {
        m_expiries.emplace(*item.expires_at, item.request_id);
    }
    m_items[item.request_id] = std::move(item);
}

std::optional<work_item> queue::remove(const std::string& request_id) {
    auto found = m_items.find(request_id);
    if (found == m_items.end()) {
        return std::nullopt;
    }
    work_item item = std::move(found->second);
    m_items.erase(found);
    rank_queue& rank_state = m_ranks[static_cast<std::size_t>(item.rank)];
    team_queue& team_items = rank_state.teams[item.team];
    order_key old_first = team_items.begin()->first;
    team_items.erase(order_key{item.latest_start, item.sequence});
    rank_state.load -= load_of(item);
    rank_state.count--;
    refresh_head(item.rank, item.team, &old_first);
    if (item.expires_at) {
        m_expiries.erase({*item.expires_at, request_id});
    }
    return item;
}

const work_item* queue::find(const std::string& request_id) const {
    auto found = m_items.find(request_id);
    return found == m_items.end() ? nullptr : &found->second;
}

void queue::visit_ready(
    std::size_t limit,
    const std::function<visit_result(const work_item&)>& visitor) {
    struct cursor {
        order_key key;
        std::string team;
        bool operator>(const cursor& other) const {
            return std::tie(key, team) > std::tie(other.key, other.team);
        }
    };
    std::size_t visited = 0;
    for (int rank = 0; rank < rank_count; ++rank) {
        rank_queue& rank_state = m_ranks[static_cast<std::size_t>(rank)];
        std::priority_queue<cursor, std::vector<cursor>, std::greater<>> next;
        std::size_t teams_considered = 0;
        for (const team_head& first : rank_state.ready) {
            if (teams_considered++ >= limit) {
                break;
            }
            next.push({first.first, first.team});
        }
        while (!next.empty() && visited < limit) {
            cursor current = next.top();
            next.pop();
            // Items taken since may have used up the quota of the team.
            if (!is_below_quota(current.team)) {
                continue;
            }
            auto team = rank_state.teams.find(current.team);
            if (team == rank_state.teams.end()) {
                continue;
            }
            auto position = team->second.find(current.key);
            if (position == team->second.end()) {
                continue;
            }
            auto following = std::next(position);
            if (following != team->second.end()) {
                next.push({following->first, current.team});
            }
            visited++;
            const work_item& item = m_items.at(position->second);
            visit_result result = visitor(item);
            if (result == visit_result::stop) {
                return;
            }
            if (result == visit_result::take) {
                std::string id = item.request_id;
                std::int64_t slots = item.need.slots * item.count;
                auto removed = remove(id);
                charge_slots(removed->team, slots);
            }
        }
    }
}

void queue::set_quota(const std::string& team, std::int64_t slots) {
    m_usage[team].quota = slots;
    refresh_team(team);
}

void queue::charge_slots(const std::string& team, std::int64_t slots) {
    m_usage[team].used += slots;
    refresh_team(team);
}

void queue::release_slots(const std::string& team, std::int64_t slots) {
    m_usage[team].used -= slots;
    refresh_team(team);
}

std::int64_t queue::slots_used(const std::string& team) const {
    auto found = m_usage.find(team);
    return found == m_usage.end() ? 0 : found->second.used;
}

std::vector<work_item> queue::take_expired(base::instant now) {
    std::vector<work_item> expired;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        std::string id = m_expiries.begin()->second;
        expired.push_back(*remove(id));
    }
    return expired;
}

std::int64_t queue::load_up_to(int rank) const {
    std::int64_t load = 0;
    for (int i = 0; i <= rank; ++i) {
        load += m_ranks[static_cast<std::size_t>(i)].load;
    }
    return load;
}

std::size_t queue::size_of_rank(int rank) const {
    return m_ranks[static_cast<std::size_t>(rank)].count;
}

std::vector<const work_item*> queue::all() const {
    std::vector<const work_item*> items;
    items.reserve(m_items.size());
    for (const auto& [id, item] : m_items) {
        items.push_back(&item);
    }
    std::sort(items.begin(), items.end(), [](const auto* a, const auto* b) {
        return std::tie(a->rank, a->latest_start, a->sequence) <
               std::tie(b->rank, b->latest_start, b->sequence);
    });
    return items;
}

} // namespace eelgrasslever::admission
