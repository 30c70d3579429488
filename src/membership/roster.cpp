#include "eelgrasslever/membership/roster.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::membership {

std::string vm_name_of(const std::string& member_id) {
    return member_id.substr(0, member_id.find('@'));
}

roster::roster(std::string self_id, std::string failure_domain,
               const roster_times& times)
    : m_self(std::move(self_id)), m_fd(std::move(failure_domain)),
      m_times(times) {
    member predecessor;
    predecessor.name = vm_name_of(m_self);
    predecessor.id = predecessor.name + "@predecessor";
    predecessor.failure_domain = m_fd;
    predecessor.last_heard =
        base::instant(base::instant::min().time_since_epoch() / 2);
    m_members[predecessor.id] = predecessor;
}

bool roster::on_heartbeat(const std::string& from, const wire::heartbeat& beat,
                          base::instant now) {
    auto found = m_members.find(from);
    bool known = found != m_members.end();
    bool back = !known || found->second.gone || !heard(found->second, now);
    member& who = m_members[from];
    who.id = from;
    who.name = vm_name_of(from);
    who.failure_domain = beat.failure_domain;
    who.http_address = beat.http_address;
    who.peer_address = beat.peer_address;
    who.last_heard = now;
    who.draining = beat.draining;
    who.left = beat.left;
    who.gone = false;
    who.last_sequence = beat.sequence;
    who.bundle_version = beat.bundle_version;
    who.list_version = beat.list_version;
    who.free_slots = beat.free_slots;
    who.platform_reached = beat.platform_reached;
    who.largest = beat.largest;
    who.capacity_slots = beat.capacity_slots;
    m_heard_names.insert(who.name);
    // Members of another FD are proved gone by that FD alone.
    if (beat.settled && beat.failure_domain != m_fd) {
        std::set<std::string> alive(beat.alive.begin(), beat.alive.end());
        for (auto& [id, other] : m_members) {
            bool fenced = other.failure_domain == beat.failure_domain &&
                          !heard(other, now) && !alive.contains(id);
            other.gone = other.gone || fenced;
        }
    }
    return back;
}

void roster::on_holdings(const std::string& from, const wire::holdings& held) {
    auto found = m_members.find(from);
    if (found == m_members.end()) {
        return;
    }
    found->second.holdings_revision = held.revision;
    found->second.holdings = {held.endpoints.begin(), held.endpoints.end()};
}

bool roster::on_any_message(const std::string& from, base::instant now) {
    auto found = m_members.find(from);
    if (found == m_members.end()) {
        return false;
    }
    member& who = found->second;
    bool back = who.gone || !heard(who, now);
    who.gone = false;
    who.last_heard = now;
    return back;
}

void roster::on_vm_list(const vm_list& list, base::instant now) {
    m_listed_names.clear();
    for (const auto& [name, record] : list.vms) {
        if (record.role == vm_role::entry) {
            m_listed_names.insert(name);
        }
    }
    for (auto& [id, who] : m_members) {
        bool listed = m_listed_names.contains(who.name);
        if (who.listed && !listed) {
            who.unlisted_since = now;
        }
        who.listed = listed;
    }
}

void roster::forget_proofs() {
    m_settled = false;
    for (auto& [id, who] : m_members) {
        who.gone = false;
    }
}

bool roster::heard(const member& who, base::instant now) const {
    return now - who.last_heard < m_times.suspect_after;
}

bool roster::off_list_for_long(const member& who, base::instant now) const {
    if (who.listed || m_times.departed_after.count() == 0) {
        return false;
    }
    return now - who.unlisted_since >= m_times.departed_after &&
           now - who.last_heard >= m_times.departed_after;
}

std::vector<std::string>
roster::prove_gone(const std::set<std::string>& endpoints,
                   const std::function<bool(const std::string&)>& held_here,
                   base::instant now) {
    std::set<std::string> fenced;
    for (const std::string& name : endpoints) {
        if (held_here(name)) {
            fenced.insert(name);
        }
    }
    for (const auto& [id, who] : m_members) {
        if (who.failure_domain == m_fd && heard(who, now)) {
            fenced.insert(who.holdings.begin(), who.holdings.end());
        }
    }
    bool all_fenced =
        !endpoints.empty() && std::includes(fenced.begin(), fenced.end(),
                                            endpoints.begin(), endpoints.end());
    m_settled = all_fenced;
    std::vector<std::string> out;
    for (auto& [id, who] : m_members) {
        if (who.gone || who.left || heard(who, now)) {
            continue;
        }
        bool proved = who.failure_domain == m_fd && all_fenced;
        if (proved || off_list_for_long(who, now)) {
            who.gone = true;
            out.push_back(id);
        }
    }
    return out;
}

const member* roster::find(const std::string& id) const {
    auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

std::vector<const member*> roster::possible_homes() const {
    std::vector<const member*> out;
    for (const auto& [id, who] : m_members) {
        if (!who.gone && !who.left) {
            out.push_back(&who);
        }
    }
    return out;
}

std::vector<std::string> roster::never_heard() const {
    std::vector<std::string> out;
    std::string self_name = vm_name_of(m_self);
    for (const std::string& name : m_listed_names) {
        if (name != self_name && !m_heard_names.contains(name)) {
            out.push_back(name);
        }
    }
    return out;
}

std::vector<std::string> roster::owner_candidates(bool self_draining,
                                                  base::instant now) const {
    std::vector<std::string> out;
    if (!self_draining) {
        out.push_back(m_self);
    }
    for (const auto& [id, who] : m_members) {
        bool usable = who.failure_domain == m_fd && heard(who, now) &&
                      !who.draining && !who.left;
        if (usable) {
            out.push_back(id);
        }
    }
    return out;
}

int roster::share_count() const {
    int out = 1;
    for (const auto& [id, who] : m_members) {
        if (who.failure_domain == m_fd && !who.gone && !who.left) {
            out++;
        }
    }
    return out;
}

int roster::share_index() const {
    int out = 0;
    for (const auto& [id, who] : m_members) {
        bool counted = who.failure_domain == m_fd && !who.gone && !who.left;
        if (counted && id < m_self) {
            out++;
        }
    }
    return out;
}

std::vector<std::string> roster::alive_here(base::instant now) const {
    std::vector<std::string> out{m_self};
    for (const auto& [id, who] : m_members) {
        if (who.failure_domain == m_fd && heard(who, now)) {
            out.push_back(id);
        }
    }
    return out;
}

bool roster::any_silent(const std::string& asker, base::instant now) const {
    for (const member* who : possible_homes()) {
        if (who->failure_domain == m_fd && who->id != asker &&
            !heard(*who, now)) {
            return true;
        }
    }
    return false;
}

void roster::note_handed(const std::string& id, std::int64_t slots) {
    auto found = m_members.find(id);
    if (found != m_members.end()) {
        found->second.free_slots -= slots;
    }
}

void roster::forget_old(base::instant now, base::milliseconds age) {
    std::erase_if(m_members, [&](const auto& item) {
        const member& who = item.second;
        return (who.gone || who.left) && now - who.last_heard > age;
    });
}

} // namespace eelgrasslever::membership
