/// @file
/// Leader election: chooses the one VM that may send orders to endpoints.
/// Leadership is a key in the store, attached to the winner's lease. Each win
/// increments the term, which fences earlier leaders.
#pragma once

#include "eelgrasslever/coordination/lease_session.hpp"
#include "eelgrasslever/coordination/store.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace eelgrasslever::coordination {

using term = std::uint64_t;

/// The credentials of a leader.
struct leadership {
    coordination::term term{0};
    /// Must be a condition of each write by the leader, so that the store
    /// rejects writes after leadership has been lost.
    condition guard;
    /// When this VM first saw that there was no leader.
    base::instant vacant_since{};
};

/// How far a VM's view of the watched keys can be relied on.
struct view_state {
    bool loaded{false};
    /// Latest time at which the view was known to contain all changes.
    base::instant current_as_of{};
};

/// Keys in the store that an election uses.
struct election_keys {
    std::string leader; ///< candidate id of the leader
    std::string term;   ///< latest term as a decimal number
    /// Name of the VM that the last leader to hand over wants to follow it.
    std::string successor;
};

class election : public std::enable_shared_from_this<election> {
  public:
    /// A VM with an older view bids only if no other VM does. Counts served to
    /// clients may be 2 s old; a view that is held by two watches (0.5 s each)
    /// of a store that takes 300 ms to answer stays below it.
    static constexpr base::milliseconds max_view_age{2000};

    /// A winner that doesn't lead within this time gives leadership up. A
    /// takeover may take 3 s, so that half of it is left for the next winner.
    static constexpr base::milliseconds takeover_limit{1500};
    /// How long such a winner leaves the vacancy to others: the outdated-view
    /// delay (1 s) of the last of them, and two calls to a slow store.
    static constexpr base::milliseconds give_up_pause{1600};

    struct handlers {
        /// @return the state of the view from which the winner would lead.
        std::function<view_state()> view;
        std::function<void(const leadership&)> on_won;
        std::function<void(const char* reason)> on_lost;
    };
    /// @param lease_session provides the lease of the leader key.
    /// @param name of this VM.
    /// @param candidate_id identifies this incarnation of the VM; must be
    /// unique among all bids.
    election(kernel::loop& owner, store& store, lease_session& lease_session,
             election_keys keys, std::string name, std::string candidate_id,
             handlers handlers);

    /// Processes a change of one of the election's keys; other keys are
    /// ignored.
    void on_change(const key_value& change);
    /// The view or the lease has changed, so this VM may be able to bid now.
    void consider_bid();
    /// The winner has begun to lead, that is to give orders.
    void on_leading() { m_takeover_timer.cancel(); }
    void on_lease_expired();
    /// An endpoint has rejected an order because it knows of a later term.
    void on_fenced();
    /// Delays the bids of this VM, so that VMs that are better suited to lead
    /// bid first.
    void set_low_priority(bool low_priority) { m_low_priority = low_priority; }
    /// Releases leadership to another VM. This VM bids again if no other does.
    /// Leadership is kept if the store does not confirm the release.
    /// @param successor name of the VM that bids first; empty: none is named.
    void hand_over(const std::string& successor);
    /// Releases leadership and stops bidding.
    /// @param successor like that of `hand_over`.
    void resign(const std::string& successor);

    [[nodiscard]] bool leading() const { return m_leadership.has_value(); }
    /// @return the latest term seen.
    [[nodiscard]] coordination::term known_term() const { return m_term; }
    /// @return the candidate id of the current leader; empty if there is none
    /// or it is unknown.
    [[nodiscard]] const std::string& leader() const { return m_leader; }

  private:
    /// @return whether there is no leader and this VM could lead. A VM whose
    /// view has not been loaded does not bid: if no VM's view is loaded, the
    /// first one to finish loading leads soonest.
    [[nodiscard]] bool may_bid() const;
    /// @return when this VM bids if no other VM does until then.
    [[nodiscard]] base::instant bid_due(base::instant now) const;
    /// @return the transaction that removes the leader key.
    [[nodiscard]] transaction make_release(const condition& guard,
                                           const std::string& successor) const;
    [[nodiscard]] bool is_view_current(base::instant now) const;
    /// Schedules a bid if `may_bid`.
    void schedule_bid();
    void retry_bid();
    void bid();
    void on_bid_reply(const commit_reply& reply);
    void resolve_uncertain_bid();
    void adopt_late_win();
    void become_leader(revision leader_revision);
    void lose_leadership(const char* reason);
    /// Gives leadership up, and removes the leader key however often the store
    /// has to be asked: while the lease is renewed, no other VM can win.
    void release_leadership(const char* reason, const std::string& successor);
    void send_release();
    void give_up();

    kernel::loop& m_owner;
    store& m_store;
    lease_session& m_session;
    election_keys m_keys;
    std::string m_name;
    std::string m_candidate_id;
    handlers m_handlers;
    kernel::timer m_timer;
    kernel::timer m_takeover_timer;
    kernel::timer m_release_timer;
    std::optional<transaction> m_release; ///< until the store has confirmed it
    revision m_release_revision{absent};  ///< of the leader key it removes
    std::optional<leadership> m_leadership; ///< set while this VM leads
    std::string m_leader;
    revision m_leader_revision{absent};
    lease_id m_leader_lease{no_lease};
    revision m_last_won_revision{absent};
    base::instant m_vacant_since{};
    revision m_vacant_revision{absent}; ///< of the leader key's removal
    std::string m_successor;            ///< named last
    revision m_successor_revision{absent};
    revision m_term_revision{absent};
    term m_term{0};
    lease_id m_bid_lease{no_lease};
    term m_bid_term{0}; ///< the term that the latest bid would begin
    base::instant m_no_bid_before{};
    bool m_bid_in_flight{false};
    bool m_resigned{false};
    bool m_low_priority{false};
    bool m_led_before{false}; ///< cleared when leadership is handed over
    bool m_handing_over{false};
};

} // namespace eelgrasslever::coordination
