/// @file
/// The entry VM processes as seen by this one: which are alive, which are
/// suspected to have failed, and which can no longer start any task.
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
    /// A member without a message for this long is suspected.
    base::milliseconds suspect_after{1500};
    /// A member without a message and off the VM list for this long is
    /// departed; 0 turns the rule off.
    base::milliseconds departed_after{60000};
};

/// One process of an entry VM. After a restart the process is a new member.
struct member {
    std::string id;   ///< "VM@incarnation"
    std::string name; ///< VM name
    std::string failure_domain;
    std::string http_address;
    std::string peer_address;
    base::instant last_message_at{};
    base::instant unlisted_since{}; ///< valid if not `listed`
    bool listed{true};              ///< whether the VM list contains the VM
    bool draining{false};
    bool left{false}; ///< whether it announced that it leaves
    /// Whether it can no longer start tasks: live members hold every endpoint
    /// of its FD, or it is departed.
    bool gone{false};
    std::uint64_t last_sequence{0}; ///< of its heartbeats
    std::uint64_t bundle_version{0};
    std::uint64_t list_version{0};
    bool platform_reached{false};
    std::int64_t free_slots{0};
    base::resources largest; ///< component-wise, of one of its endpoints
    std::int64_t capacity_slots{0};
    std::set<std::string> holdings; ///< endpoints whose claim it holds
    std::uint64_t holdings_revision{0};
};

/// @return the VM name in a member id: the part before "@".
[[nodiscard]] std::string vm_name_of(const std::string& member_id);

/// Tracks the members by their heartbeats, holdings and the VM list.
class membership_view {
  public:
    /// Starts with one suspected member, "VM@predecessor". It stands for any
    /// earlier process of this VM, whose tasks may still be running.
    /// @param self_id "VM@incarnation" of this process.
    membership_view(std::string self_id, std::string failure_domain,
                    const membership_timing& timing);

    /// @return whether the member was unknown, suspected or gone before.
    bool on_heartbeat(const std::string& from, const wire::heartbeat& beat,
                      base::instant now);
    void on_holdings(const std::string& from, const wire::holdings& holdings);
    /// Any message proves that its sender is alive.
    /// @return whether the member is known and was suspected or gone before.
    bool on_any_message(const std::string& from, base::instant now);
    void on_vm_list(const vm_list& list, base::instant now);

    /// Marks suspected members of this FD as gone if every endpoint of the FD
    /// is held by this process or by a live member. Marks departed members of
    /// any FD as gone.
    /// @param endpoints names of all endpoints of this FD.
    /// @param held_by_self returns whether this process holds an endpoint.
    /// @return ids of the members newly marked as gone.
    std::vector<std::string> detect_gone_members(
        const std::set<std::string>& endpoints,
        const std::function<bool(const std::string&)>& held_by_self,
        base::instant now);

    /// Clears all `gone` marks. They are invalid after a pause of this process,
    /// because other members may have claimed endpoints meanwhile.
    void reset_gone_members();

    /// @return whether a message of the member arrived within `suspect_after`.
    [[nodiscard]] bool is_alive(const member& peer, base::instant now) const;
    /// @return the member, or nullptr.
    [[nodiscard]] const member* find(const std::string& id) const;
    [[nodiscard]] const std::map<std::string, member>& members() const {
        return m_members;
    }
    /// @return the members that may still know or run a request: those that
    /// neither left nor are gone, suspected ones included.
    [[nodiscard]] std::vector<const member*> possible_owners() const;
    /// @return names of the listed entry VMs that never sent a heartbeat.
    [[nodiscard]] std::vector<std::string> vms_without_contact() const;
    /// @return ids of the members of this FD that may claim endpoints or take
    /// over jobs: alive, neither draining nor left. This process is included
    /// unless @p self_draining.
    [[nodiscard]] std::vector<std::string>
    eligible_members(bool self_draining, base::instant now) const;
    /// @return number of members of this FD that neither left nor are gone,
    /// this process included.
    [[nodiscard]] int member_count_in_fd() const;
    /// @return index of this process among those members, ordered by id, from
    /// 0 up to `member_count_in_fd()`.
    [[nodiscard]] int member_index_in_fd() const;
    /// @return ids of the live members of this FD, this process included.
    [[nodiscard]] std::vector<std::string>
    alive_members_in_fd(base::instant now) const;
    /// @return whether the last `detect_gone_members` found every endpoint of
    /// this FD held by this process or a live member.
    [[nodiscard]] bool all_endpoints_held() const {
        return m_all_endpoints_held;
    }
    [[nodiscard]] const std::string& self_id() const { return m_self; }
    [[nodiscard]] const std::string& failure_domain() const { return m_fd; }
    /// Lowers the known free slots of a member after work was forwarded to it.
    void reduce_free_slots(const std::string& id, std::int64_t slots);
    /// Drops members that left or are gone and sent nothing for @p age.
    void erase_departed_members(base::instant now, base::milliseconds age);
    /// @return whether a member of this FD other than @p asker is suspected but
    /// neither left nor gone. Each FD reports only on its own members.
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
