#include "eelgrasslever/coordination/election.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <charconv>
#include <utility>

namespace eelgrasslever::coordination {

namespace {

/// Pause before a bid of a VM that did not lead last. A former leader that is
/// still alive keeps its view of the endpoints, so it goes first.
constexpr base::milliseconds newcomer_pause{60};
/// Pause of a VM that knows of a fitter one, so that it leads only where the
/// fitter ones are gone.
constexpr base::milliseconds reluctant_pause{400};
/// Pause before bidding again after a bid without a reply.
constexpr base::milliseconds rebid_pause{150};

term parse_term(const std::string& text) {
    term out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

election::election(kernel::loop& owner, store& at, lease_session& lease,
                   std::string leader_key, std::string term_key,
                   std::string self, handlers call)
    : m_owner(owner), m_store(at), m_session(lease),
      m_leader_key(std::move(leader_key)), m_term_key(std::move(term_key)),
      m_self(std::move(self)), m_call(std::move(call)),
      m_timer(owner, [this] { bid(); }) {}

void election::on_change(const key_value& change) {
    if (change.key == m_term_key && !change.deleted) {
        m_term_revision = change.revision;
        m_term = parse_term(change.value);
        adopt_late_bid();
        return;
    }
    if (change.key != m_leader_key) {
        return;
    }
    m_leader = change.deleted ? std::string() : change.value;
    m_leader_revision = change.deleted ? absent : change.revision;
    m_leader_lease = change.lease;
    if (change.deleted) {
        m_vacant_since = base::monotonic_now();
    }
    observe::log_event("leader_seen",
                       {{"leader", m_leader.empty() ? "none" : m_leader},
                        {"revision", std::to_string(change.revision)}});
    if (m_leading && change.revision > m_leading->guard.revision) {
        lose(change.deleted ? "key removed" : "another leader");
        return;
    }
    adopt_late_bid();
    consider();
}

// The store may carry a bid out long after its reply was given up.
void election::adopt_late_bid() {
    if (m_leading || m_bidding || m_leader != m_self ||
        m_leader_revision != m_term_revision ||
        m_leader_revision <= m_last_won || m_leader_lease == no_lease ||
        m_leader_lease != m_session.lease()) {
        return;
    }
    m_bid_lease = m_leader_lease;
    win(m_leader_revision);
}

void election::on_view_loaded() {
    m_loaded = true;
    if (m_vacant_since == base::instant{}) {
        m_vacant_since = base::monotonic_now();
    }
    consider();
}

void election::on_lease_expired() {
    if (m_leading) {
        lose("lease expired");
    }
}

void election::on_fenced() {
    if (m_leading) {
        lose("fenced by an endpoint");
    }
}

void election::hand_over() {
    if (!m_leading || m_handing_over) {
        return;
    }
    m_handing_over = true;
    transaction change;
    change.conditions.push_back(m_leading->guard);
    change.removals.push_back(m_leader_key);
    m_store.commit(change, [self = shared_from_this(),
                            term = m_leading->term](const commit_reply& reply) {
        self->m_handing_over = false;
        if (reply.status == status::ok && self->m_leading &&
            self->m_leading->term == term) {
            self->m_led_before = false;
            self->lose("handed over");
        }
    });
}

void election::resign() {
    m_resigned = true;
    m_timer.cancel();
    if (!m_leading) {
        return;
    }
    transaction change;
    change.conditions.push_back(m_leading->guard);
    change.removals.push_back(m_leader_key);
    m_store.commit(change, [](const commit_reply&) {});
    lose("resigned");
}

void election::consider() {
    if (!m_loaded || m_resigned || m_leading || m_bidding ||
        m_leader_revision != absent || m_session.lease() == no_lease) {
        return;
    }
    if (m_low_priority) {
        m_timer.start_once(reluctant_pause);
        return;
    }
    m_timer.start_once(m_led_before ? base::milliseconds(0) : newcomer_pause);
}

void election::bid() {
    if (m_resigned || m_leading || m_bidding || m_leader_revision != absent ||
        m_session.lease() == no_lease) {
        return;
    }
    m_bidding = true;
    m_bid_lease = m_session.lease();
    transaction change;
    change.conditions.push_back({m_leader_key, absent});
    change.conditions.push_back({m_term_key, m_term_revision});
    change.puts.push_back({m_leader_key, m_self, m_bid_lease});
    change.puts.push_back({m_term_key, std::to_string(m_term + 1), no_lease});
    m_store.commit(change,
                   [self = shared_from_this()](const commit_reply& reply) {
                       self->on_bid(reply);
                   });
}

void election::on_bid(const commit_reply& reply) {
    if (reply.status == status::ok) {
        m_bidding = false;
        m_term++;
        m_term_revision = reply.revision;
        win(reply.revision);
        return;
    }
    if (reply.status == status::unreachable ||
        reply.status == status::conflict) {
        settle_bid();
        return;
    }
    m_bidding = false;
    m_timer.start_once(rebid_pause);
}

// A bid without a reply may have won: the key's value tells.
void election::settle_bid() {
    m_store.read(m_term_key, [self =
                                  shared_from_this()](const read_reply& reply) {
        if (reply.status == status::ok) {
            self->on_change(reply.entry);
        }
        self->m_store.read(self->m_leader_key, [self](const read_reply& now) {
            self->m_bidding = false;
            bool ours = now.status == status::ok &&
                        now.entry.value == self->m_self &&
                        now.entry.lease == self->m_bid_lease;
            if (ours && now.entry.revision == self->m_term_revision) {
                self->win(now.entry.revision);
                return;
            }
            if (now.status == status::ok) {
                self->on_change(now.entry);
                return;
            }
            self->m_timer.start_once(rebid_pause);
        });
    });
}

void election::win(revision at) {
    if (m_resigned || m_session.lease() != m_bid_lease) {
        m_timer.start_once(rebid_pause);
        return;
    }
    m_led_before = true;
    m_leader = m_self;
    m_leader_revision = at;
    m_last_won = at;
    m_leading = leadership{m_term, {m_leader_key, at}, m_vacant_since};
    observe::log_event("leadership_won", {{"term", std::to_string(m_term)},
                                          {"revision", std::to_string(at)}});
    m_call.on_won(*m_leading);
}

void election::lose(const char* why) {
    observe::log_event(
        "leadership_lost",
        {{"term", std::to_string(m_leading->term)}, {"why", why}});
    m_leading.reset();
    m_call.on_lost(why);
    consider();
}

} // namespace eelgrasslever::coordination
