/// @file
/// Chooses the one VM that may order endpoints. Leadership is a key under the
/// winner's lease; each win raises a term, which fences earlier leaders.
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

/// What a leader presents: its term, and the condition that ties each of its
/// writes to it.
struct leadership {
    coordination::term term{0};
    condition guard;
    /// When this VM first saw that nobody led.
    base::instant vacant_since{};
};

class election : public std::enable_shared_from_this<election> {
  public:
    struct handlers {
        std::function<void(const leadership&)> on_won;
        std::function<void(const char* why)> on_lost;
    };
    /// @param self value that no other bid carries; names this incarnation.
    election(kernel::loop& owner, store& at, lease_session& lease,
             std::string leader_key, std::string term_key, std::string self,
             handlers call);

    /// Feeds changes of the two keys as the follower sees them.
    void on_change(const key_value& change);
    /// The followed view is complete; bidding may begin.
    void on_view_loaded();
    void on_lease_expired();
    /// Another leader has been seen at an endpoint.
    void on_fenced();
    /// Lets VMs that are fitter to lead bid first.
    void set_low_priority(bool low_priority) { m_low_priority = low_priority; }
    /// Gives leadership up to another VM; where none takes it, this one bids
    /// again. Leadership is kept if the store does not confirm.
    void hand_over();
    /// Gives leadership up and bids no more.
    void resign();

    [[nodiscard]] bool leading() const { return m_leading.has_value(); }
    /// @return the latest term known.
    [[nodiscard]] coordination::term known_term() const { return m_term; }
    /// @return the value of the present leader's key; empty where unknown.
    [[nodiscard]] const std::string& leader() const { return m_leader; }

  private:
    void consider();
    void bid();
    void on_bid(const commit_reply& reply);
    void settle_bid();
    void adopt_late_bid();
    void win(revision at);
    void lose(const char* why);

    kernel::loop& m_owner;
    store& m_store;
    lease_session& m_session;
    std::string m_leader_key;
    std::string m_term_key;
    std::string m_self;
    handlers m_call;
    kernel::timer m_timer;
    std::optional<leadership> m_leading;
    std::string m_leader;
    revision m_leader_revision{absent};
    lease_id m_leader_lease{no_lease};
    revision m_last_won{absent};
    base::instant m_vacant_since{};
    revision m_term_revision{absent};
    term m_term{0};
    lease_id m_bid_lease{no_lease};
    bool m_loaded{false};
    bool m_bidding{false};
    bool m_resigned{false};
    bool m_low_priority{false};
    bool m_led_before{false};
    bool m_handing_over{false};
};

} // namespace eelgrasslever::coordination
