#include "eelgrasslever/admission/queue.hpp"

#include <algorithm>
#include <queue>
#include <utility>

namespace eelgrasslever::admission {

std::int64_t queue::load_of(const work_item& item) {
    return item.expected_run.count() * item.need.slots * item.count;
}

bool queue::has_room(const std::string& team) const {
    auto found = m_usage.find(team);
    return found != m_usage.end() && found->second.used < found->second.quota;
}

// Keeps `ready` holding exactly the first item of each team that has room.
void queue::refresh_head(int rank, const std::string& team, const key* old) {
    rank_queue& at = m_ranks[static_cast<std::size_t>(rank)];
    if (old != nullptr) {
        at.ready.erase(head{*old, team});
    }
    auto found = at.teams.find(team);
    if (found == at.teams.end()) {
        return;
    }
    if (found->second.empty()) {
        at.teams.erase(found);
        return;
    }
    head first{found->second.begin()->first, team};
    if (has_room(team)) {
        at.ready.insert(first);
    } else {
        at.ready.erase(first);
    }
}

void queue::refresh_team(const std::string& team) {
    for (int rank = 0; rank < rank_count; ++rank) {
        refresh_head(rank, team, nullptr);
    }
}

void queue::push(work_item item) {
    item.sequence = m_next_sequence++;
    rank_queue& at = m_ranks[static_cast<std::size_t>(item.rank)];
    ordered& waiting = at.teams[item.team];
    std::optional<key> old;
    if (!waiting.empty()) {
        old = waiting.begin()->first;
    }
    waiting.emplace(key{item.latest_start, item.sequence}, item.request_id);
    at.load += load_of(item);
    at.count++;
    refresh_head(item.rank, item.team, old ? &*old : nullptr);
    if (item.expires_at) {
        m_give_up.emplace(*item.expires_at, item.request_id);
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
    rank_queue& at = m_ranks[static_cast<std::size_t>(item.rank)];
    ordered& waiting = at.teams[item.team];
    key old = waiting.begin()->first;
    waiting.erase(key{item.latest_start, item.sequence});
    at.load -= load_of(item);
    at.count--;
    refresh_head(item.rank, item.team, &old);
    if (item.expires_at) {
        m_give_up.erase({*item.expires_at, request_id});
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
        key at;
        std::string team;
        bool operator>(const cursor& other) const {
            return std::tie(at, team) > std::tie(other.at, other.team);
        }
    };
    std::size_t seen = 0;
    for (int rank = 0; rank < rank_count; ++rank) {
        rank_queue& at = m_ranks[static_cast<std::size_t>(rank)];
        std::priority_queue<cursor, std::vector<cursor>, std::greater<>> next;
        std::size_t teams_taken = 0;
        for (const head& first : at.ready) {
            if (teams_taken++ >= limit) {
                break;
            }
            next.push({first.first, first.team});
        }
        while (!next.empty() && seen < limit) {
            cursor current = next.top();
            next.pop();
            if (!has_room(current.team)) {
                continue;
            }
            auto team = at.teams.find(current.team);
            if (team == at.teams.end()) {
                continue;
            }
            auto entry = team->second.find(current.at);
            if (entry == team->second.end()) {
                continue;
            }
            auto following = std::next(entry);
            if (following != team->second.end()) {
                next.push({following->first, current.team});
            }
            seen++;
            const work_item& item = m_items.at(entry->second);
            visit_result wish = visitor(item);
            if (wish == visit_result::stop) {
                return;
            }
            if (wish == visit_result::take) {
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
    std::vector<work_item> out;
    while (!m_give_up.empty() && m_give_up.begin()->first <= now) {
        std::string id = m_give_up.begin()->second;
        out.push_back(*remove(id));
    }
    return out;
}

std::int64_t queue::load_up_to(int rank) const {
    std::int64_t sum = 0;
    for (int at = 0; at <= rank; ++at) {
        sum += m_ranks[static_cast<std::size_t>(at)].load;
    }
    return sum;
}

std::size_t queue::size_of_rank(int rank) const {
    return m_ranks[static_cast<std::size_t>(rank)].count;
}

std::vector<const work_item*> queue::all() const {
    std::vector<const work_item*> out;
    out.reserve(m_items.size());
    for (const auto& [id, item] : m_items) {
        out.push_back(&item);
    }
    std::sort(out.begin(), out.end(), [](const auto* a, const auto* b) {
        return std::tie(a->rank, a->latest_start, a->sequence) <
               std::tie(b->rank, b->latest_start, b->sequence);
    });
    return out;
}

} // namespace eelgrasslever::admission
