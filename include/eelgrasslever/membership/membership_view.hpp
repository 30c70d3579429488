/// @file
/// The entry VMs as this one knows them: who is heard, who is silent, and who
/// is proved unable to start anything.
#pragma once

#include "eelgrasslever/base/time.hpp"
#include "eelgrasslever/membership/vm_list.hpp"
#include "eelgrasslever/wire/message.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrasslever::membership {

struct membership_timing {
    base::milliseconds suspect_after{1500}; ///< silence before a peer is silent
    base::milliseconds departed_after{60000}; ///< off the list and silent: gone
};

/// One process of an entry VM. A restarted process is another member.
struct member {
    std::string id; ///< "VM@incarnation"
    std::string name;
    std::string failure_domain;
    std::string http_address;
    std::string peer_address;
    base::instant last_message_at{};
    base::instant unlisted_since{};
    bool listed{true};
    bool draining{false};
    bool left{false};
    bool gone{false};
    std::uint64_t last_sequence{0};
    std::uint64_t bundle_version{0};
    std::uint64_t list_version{0};
    bool platform_reached{false};
    std::int64_t free_slots{0};
    base::resources largest;
    std::int64_t capacity_slots{0};
    std::set<std::string> holdings;
    std::uint64_t holdings_revision{0};
};

/// @return the VM name of a member id.
[[nodiscard]] std::string vm_name_of(const std::string& member_id);

class membership_view {
  public:
    /// The roster starts with one silent member: whatever process ran under
    /// this VM's name before, whose tasks may still be running.
    membership_view(std::string self_id, std::string failure_domain,
                    const membership_timing& timing);

    /// @return true where the member had been silent or was unknown.
    bool on_heartbeat(const std::string& from, const wire::heartbeat& beat,
                      base::instant now);
    void on_holdings(const std::string& from, const wire::holdings& holdings);
    /// Any message shows that its sender is not gone.
    /// @return true where the member had been silent or taken for gone.
    bool on_any_message(const std::string& from, base::instant now);
    void on_vm_list(const vm_list& list, base::instant now);

    /// Looks for members of our FD that are silent and held_endpoints at every
    /// endpoint: each is held by us or by a member that is heard.
    /// @param held_by_self says whether this process holds an endpoint.
    /// @return ids newly proved gone.
    std::vector<std::string> detect_gone_members(
        const std::set<std::string>& endpoints,
        const std::function<bool(const std::string&)>& held_by_self,
        base::instant now);

    /// After a pause of this process nothing proved before it holds: others may
    /// have taken endpoints meanwhile.
    void reset_gone_members();

    [[nodiscard]] bool is_alive(const member& peer, base::instant now) const;
    [[nodiscard]] const member* find(const std::string& id) const;
    [[nodiscard]] const std::map<std::string, member>& members() const {
        return m_members;
    }
    /// @return members that may know or run a request: neither left nor gone.
    [[nodiscard]] std::vector<const member*> possible_owners() const;
    /// @return VM names of listed entry VMs that were never heard.
    [[nodiscard]] std::vector<std::string> vms_without_contact() const;
    /// @return ids of the members of our FD, this one included, that may own
    /// endpoints.
    [[nodiscard]] std::vector<std::string>
    eligible_members(bool self_draining, base::instant now) const;
    /// @return number of members of our FD not proved gone, this one included.
    [[nodiscard]] int member_count_in_fd() const;
    /// @return this process's place among them, by id.
    [[nodiscard]] int member_index_in_fd() const;
    /// @return ids of the members of our FD that are heard, this one included.
    [[nodiscard]] std::vector<std::string>
    alive_members_in_fd(base::instant now) const;
    /// @return whether the last `detect_gone_members` found every endpoint in
    /// safe hands.
    [[nodiscard]] bool all_endpoints_held() const {
        return m_all_endpoints_held;
    }
    [[nodiscard]] const std::string& self_id() const { return m_self; }
    [[nodiscard]] const std::string& failure_domain() const { return m_fd; }
    /// Lowers the noted room of a peer after work was handed to it.
    void reduce_free_slots(const std::string& id, std::int64_t slots);
    /// Forgets members that left or are gone after @p age of silence.
    void erase_departed_members(base::instant now, base::milliseconds age);
    /// @return whether some possible home in our FD other than @p asker is
    /// silent. Each FD speaks for its own members alone.
    [[nodiscard]] bool any_member_suspected(const std::string& asker,
                                            base::instant now) const;

  private:
    [[nodiscard]] bool is_departed(const member& peer, base::instant now) const;
    std::string m_self;
    std::string m_fd;
    membership_timing m_timing;
    std::map<std::string, member> m_members;
    bool m_all_endpoints_held{false};
    std::set<std::string> m_listed_names;
    std::set<std::string> m_contacted_names;
};

} // namespace eelgrasslever::membership
