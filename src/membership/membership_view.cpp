#include "eelgrasslever/membership/membership_view.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::membership {

std::string vm_name_of(const std::string& member_id) {
    return member_id.substr(0, member_id.find('@'));
}

membership_view::membership_view(std::string self_id,
                                 std::string failure_domain,
                                 const membership_timing& timing)
    : m_self(std::move(self_id)), m_fd(std::move(failure_domain)),
      m_timing(timing) {
    member predecessor;
    predecessor.name = vm_name_of(m_self);
    predecessor.id = predecessor.name + "@predecessor";
    predecessor.failure_domain = m_fd;
    predecessor.last_message_at =
        base::instant(base::instant::min().time_since_epoch() / 2);
    m_members[predecessor.id] = predecessor;
}

bool membership_view::on_heartbeat(const std::string& from,
                                   const wire::heartbeat& beat,
                                   base::instant now) {
    auto found = m_members.find(from);
    bool known = found != m_members.end();
    bool was_unavailable =
        !known || found->second.gone || !is_alive(found->second, now);
    member& peer = m_members[from];
    peer.id = from;
    peer.name = vm_name_of(from);
    peer.failure_domain = beat.failure_domain;
    peer.http_address = beat.http_address;
    peer.peer_address = beat.peer_address;
    peer.last_message_at = now;
    peer.draining = beat.draining;
    peer.left = beat.left;
    peer.gone = false;
    peer.last_sequence = beat.sequence;
    peer.bundle_version = beat.bundle_version;
    peer.list_version = beat.list_version;
    peer.free_slots = beat.free_slots;
    peer.platform_reached = beat.platform_reached;
    peer.largest = beat.largest;
    peer.capacity_slots = beat.capacity_slots;
    m_contacted_names.insert(peer.name);
    // Only an FD itself can tell which of its members are gone.
    if (beat.all_endpoints_held && beat.failure_domain != m_fd) {
        std::set<std::string> alive(beat.alive.begin(), beat.alive.end());
        for (auto& [id, other] : m_members) {
            bool fenced = other.failure_domain == beat.failure_domain &&
                          !is_alive(other, now) && !alive.contains(id);
            other.gone = other.gone || fenced;
        }
    }
    return was_unavailable;
}

void membership_view::on_holdings(const std::string& from,
                                  const wire::holdings& holdings) {
    auto found = m_members.find(from);
    if (found == m_members.end()) {
        return;
    }
    found->second.holdings_revision = holdings.revision;
    found->second.holdings = {holdings.endpoints.begin(),
                              holdings.endpoints.end()};
}

bool membership_view::on_any_message(const std::string& from,
                                     base::instant now) {
    auto found = m_members.find(from);
    if (found == m_members.end()) {
        return false;
    }
    member& peer = found->second;
    bool was_unavailable = peer.gone || !is_alive(peer, now);
    peer.gone = false;
    peer.last_message_at = now;
    return was_unavailable;
}

void membership_view::on_vm_list(const vm_list& list, base::instant now) {
    m_listed_names.clear();
    for (const auto& [name, record] : list.vms) {
        if (record.role == vm_role::entry) {
            m_listed_names.insert(name);
        }
    }
    for (auto& [id, peer] : m_members) {
        bool listed = m_listed_names.contains(peer.name);
        if (peer.listed && !listed) {
            peer.unlisted_since = now;
        }
        peer.listed = listed;
    }
}

void membership_view::reset_gone_members() {
    m_all_endpoints_held = false;
    for (auto& [id, peer] : m_members) {
        peer.gone = false;
    }
}

bool membership_view::is_alive(const member& peer, base::instant now) const {
    return now - peer.last_message_at < m_timing.suspect_after;
}

bool membership_view::is_departed(const member& peer, base::instant now) const {
    if (peer.listed || m_timing.departed_after.count() == 0) {
        return false;
    }
    return now - peer.unlisted_since >= m_timing.departed_after &&
           now - peer.last_message_at >= m_timing.departed_after;
}

std::vector<std::string> membership_view::detect_gone_members(
    const std::set<std::string>& endpoints,
    const std::function<bool(const std::string&)>& held_by_self,
    base::instant now) {
    std::set<std::string> held_endpoints;
    for (const std::string& name : endpoints) {
        if (held_by_self(name)) {
            held_endpoints.insert(name);
        }
    }
    for (const auto& [id, peer] : m_members) {
        if (peer.failure_domain == m_fd && is_alive(peer, now)) {
            held_endpoints.insert(peer.holdings.begin(), peer.holdings.end());
        }
    }
    bool all_held = !endpoints.empty() &&
                    std::includes(held_endpoints.begin(), held_endpoints.end(),
                                  endpoints.begin(), endpoints.end());
    m_all_endpoints_held = all_held;
    std::vector<std::string> newly_gone;
    for (auto& [id, peer] : m_members) {
        if (peer.gone || peer.left || is_alive(peer, now)) {
            continue;
        }
        bool confirmed = peer.failure_domain == m_fd && all_held;
        if (confirmed || is_departed(peer, now)) {
            peer.gone = true;
            newly_gone.push_back(id);
        }
    }
    return newly_gone;
}

const member* membership_view::find(const std::string& id) const {
    auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

std::vector<const member*> membership_view::possible_owners() const {
    std::vector<const member*> owners;
    for (const auto& [id, peer] : m_members) {
        if (!peer.gone && !peer.left) {
            owners.push_back(&peer);
        }
    }
    return owners;
}

std::vector<std::string> membership_view::vms_without_contact() const {
    std::vector<std::string> vm_names;
    std::string self_name = vm_name_of(m_self);
    for (const std::string& name : m_listed_names) {
        if (name != self_name && !m_contacted_names.contains(name)) {
            vm_names.push_back(name);
        }
    }
    return vm_names;
}

std::vector<std::string>
membership_view::eligible_members(bool self_draining, base::instant now) const {
    std::vector<std::string> ids;
    if (!self_draining) {
        ids.push_back(m_self);
    }
    for (const auto& [id, peer] : m_members) {
        bool eligible = peer.failure_domain == m_fd && is_alive(peer, now) &&
                        !peer.draining && !peer.left;
        if (eligible) {
            ids.push_back(id);
        }
    }
    return ids;
}

int membership_view::member_count_in_fd() const {
    int count = 1;
    for (const auto& [id, peer] : m_members) {
        if (peer.failure_domain == m_fd && !peer.gone && !peer.left) {
            count++;
        }
    }
    return count;
}

int membership_view::member_index_in_fd() const {
    int index = 0;
    for (const auto& [id, peer] : m_members) {
        bool counted = peer.failure_domain == m_fd && !peer.gone && !peer.left;
        if (counted && id < m_self) {
            index++;
        }
    }
    return index;
}

std::vector<std::string>
membership_view::alive_members_in_fd(base::instant now) const {
    std::vector<std::string> ids{m_self};
    for (const auto& [id, peer] : m_members) {
        if (peer.failure_domain == m_fd && is_alive(peer, now)) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool membership_view::any_member_suspected(const std::string& asker,
                                           base::instant now) const {
    for (const member* peer : possible_owners()) {
        if (peer->failure_domain == m_fd && peer->id != asker &&
            !is_alive(*peer, now)) {
            return true;
        }
    }
    return false;
}

void membership_view::reduce_free_slots(const std::string& id,
                                        std::int64_t slots) {
    auto found = m_members.find(id);
    if (found != m_members.end()) {
        found->second.free_slots -= slots;
    }
}

void membership_view::erase_departed_members(base::instant now,
                                             base::milliseconds age) {
    std::erase_if(m_members, [&](const auto& element) {
        const member& peer = element.second;
        return (peer.gone || peer.left) && now - peer.last_message_at > age;
    });
}

} // namespace eelgrasslever::membership
