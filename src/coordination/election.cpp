#include "eelgrasslever/coordination/election.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace eelgrasslever::coordination {

namespace {

/// Delay before the bid of a VM that has not led before. A former leader still
/// has its view of the endpoints, so it bids without a delay.
constexpr base::milliseconds new_candidate_delay{60};
/// Delay before the bid of a VM that knows of a better-suited one, so that it
/// only wins if the better-suited VMs are unavailable.
constexpr base::milliseconds low_priority_delay{400};
/// How much later the other VMs bid if a successor is named: it may learn of
/// the vacancy later than they do by a batch of changes (300 ms), and its bid
/// takes half a call to a slow store.
constexpr base::milliseconds successor_head_start{400};
/// Delay before the bid of a VM whose view is older than `max_view_age`. It
/// leaves the low-priority VMs with current views time for two calls of 300 ms
/// to a slow store.
constexpr base::milliseconds outdated_view_delay{1000};
/// Delay before the next bid if the outcome of a bid could not be read, the
/// store refused it, or the lease has changed meanwhile.
constexpr base::milliseconds bid_retry_delay{150};

/// Delay before the release of a leader key is repeated: the store has lost or
/// refused it.
constexpr base::milliseconds release_retry_delay = bid_retry_delay;

term parse_term(const std::string& text) {
    term parsed = 0;
    std::from_chars(text.data(), text.data() + text.size(), parsed);
    return parsed;
}

} // namespace

election::election(kernel::loop& owner, store& store,
                   lease_session& lease_session, election_keys keys,
                   std::string name, std::string candidate_id,
                   handlers handlers)
    : m_owner(owner), m_store(store), m_session(lease_session),
      m_keys(std::move(keys)), m_name(std::move(name)),
      m_candidate_id(std::move(candidate_id)), m_handlers(std::move(handlers)),
      m_timer(owner, [this] { bid(); }),
      m_takeover_timer(owner, [this] { give_up(); }),
      m_release_timer(owner, [this] { send_release(); }) {}

void election::on_change(const key_value& change) {
    if (change.key == m_keys.term && !change.deleted) {
        m_term_revision = change.revision;
        m_term = parse_term(change.value);
        adopt_late_win();
        return;
    }
    if (change.key == m_keys.successor) {
        m_successor = change.value;
        m_successor_revision = change.revision;
        return;
    }
    if (change.key != m_keys.leader) {
        return;
    }
    m_leader = change.deleted ? std::string() : change.value;
    m_leader_revision = change.deleted ? absent : change.revision;
    m_leader_lease = change.lease;
    if (change.deleted) {
        m_vacant_since = base::monotonic_now();
        m_vacant_revision = change.revision;
    }
    observe::log_event("leader_seen",
                       {{"leader", m_leader.empty() ? "none" : m_leader},
                        {"revision", std::to_string(change.revision)}});
    if (m_leadership && change.revision > m_leadership->guard.revision) {
        lose_leadership(change.deleted ? "leader key deleted"
                                       : "another leader took the key");
        return;
    }
    adopt_late_win();
    schedule_bid();
}

// A bid whose call has timed out may still take effect in the store, long after
// it was reported as unreachable.
void election::adopt_late_win() {
    if (m_leadership || m_bid_in_flight || m_leader != m_candidate_id ||
        m_leader_revision != m_term_revision ||
        m_leader_revision <= m_last_won_revision ||
        m_leader_lease == no_lease || m_leader_lease != m_session.lease()) {
        return;
    }
    m_bid_lease = m_leader_lease;
    become_leader(m_leader_revision);
}

void election::consider_bid() {
    if (m_vacant_since == base::instant{} && m_handlers.view().loaded) {
        m_vacant_since = base::monotonic_now();
    }
    schedule_bid();
}

void election::on_lease_expired() {
    if (m_leadership) {
        lose_leadership("lease expired");
    }
}

void election::on_fenced() {
    if (m_leadership) {
        lose_leadership("fenced by an endpoint");
    }
}

void election::hand_over(const std::string& successor) {
    if (!m_leadership || m_handing_over) {
        return;
    }
    m_handing_over = true;
    m_store.commit(make_release(m_leadership->guard, successor),
                   [self = shared_from_this(),
                    term = m_leadership->term](const commit_reply& reply) {
                       self->m_handing_over = false;
                       if (reply.status == status::ok && self->m_leadership &&
                           self->m_leadership->term == term) {
                           self->m_led_before = false;
                           self->lose_leadership("handed over");
                       }
                   });
}

void election::resign(const std::string& successor) {
    m_resigned = true;
    m_timer.cancel();
    if (m_leadership) {
        release_leadership("resigned", successor);
    }
}

transaction election::make_release(const condition& guard,
                                   const std::string& successor) const {
    transaction change;
    change.conditions.push_back(guard);
    change.removals.push_back(m_keys.leader);
    if (!successor.empty()) {
        change.puts.push_back({m_keys.successor, successor, no_lease});
    }
    return change;
}

void election::release_leadership(const char* reason,
                                  const std::string& successor) {
    m_release = make_release(m_leadership->guard, successor);
    m_release_revision = m_leadership->guard.revision;
    send_release();
    lose_leadership(reason);
}

void election::give_up() {
    if (!m_leadership) {
        return;
    }
    m_no_bid_before = base::monotonic_now() + give_up_pause;
    m_led_before = false;
    release_leadership("not leading in time", "");
}

void election::send_release() {
    if (!m_release) {
        return;
    }
    m_store.commit(
        *m_release, [self = shared_from_this(),
                     revision = m_release_revision](const commit_reply& reply) {
            if (!self->m_release || self->m_release_revision != revision) {
                return;
            }
            bool is_gone =
                reply.status == status::ok || reply.status == status::conflict;
            if (is_gone) {
                self->m_release.reset();
                return;
            }
            self->m_release_timer.start_once(release_retry_delay);
        });
}

bool election::may_bid() const {
    return !m_resigned && !m_leadership && !m_bid_in_flight &&
           m_leader_revision == absent && m_session.lease() != no_lease &&
           m_handlers.view().loaded;
}

bool election::is_view_current(base::instant now) const {
    return now - m_handlers.view().current_as_of <= max_view_age;
}

base::instant election::bid_due(base::instant now) const {
    base::milliseconds delay = new_candidate_delay;
    if (!is_view_current(now)) {
        delay = outdated_view_delay;
    } else if (m_low_priority) {
        delay = low_priority_delay;
    } else if (m_led_before) {
        delay = base::milliseconds(0);
    }
    bool is_successor_named =
        !m_successor.empty() && m_successor_revision == m_vacant_revision;
    if (is_successor_named && m_successor != m_name) {
        delay += successor_head_start;
    } else if (is_successor_named && is_view_current(now)) {
        delay = base::milliseconds(0);
    }
    return std::max(m_vacant_since + delay, m_no_bid_before);
}

// The delay counts from the start of the vacancy, so that frequent changes of
// the view don't put the bid off.
void election::schedule_bid() {
    if (!may_bid()) {
        return;
    }
    auto now = base::monotonic_now();
    m_timer.start_once(std::max(base::milliseconds(0), bid_due(now) - now));
}

void election::retry_bid() {
    m_no_bid_before =
        std::max(m_no_bid_before, base::monotonic_now() + bid_retry_delay);
    schedule_bid();
}

void election::bid() {
    if (!may_bid()) {
        return;
    }
    auto now = base::monotonic_now();
    if (bid_due(now) > now) {
        schedule_bid();
        return;
    }
    auto view_age = now - m_handlers.view().current_as_of;
    observe::log_event(
        "bid", {{"term", std::to_string(m_term + 1)},
                {"vacant_ms", std::to_string((now - m_vacant_since).count())},
                {"view", is_view_current(now) ? "current" : "outdated"},
                {"view_age_ms", std::to_string(view_age.count())},
                {"rank", m_low_priority ? "outranked" : "preferred"}});
    m_bid_in_flight = true;
    m_bid_lease = m_session.lease();
    m_bid_term = m_term + 1;
    transaction change;
    change.conditions.push_back({m_keys.leader, absent});
    change.conditions.push_back({m_keys.term, m_term_revision});
    change.puts.push_back({m_keys.leader, m_candidate_id, m_bid_lease});
    change.puts.push_back({m_keys.term, std::to_string(m_bid_term), no_lease});
    m_store.commit(change,
                   [self = shared_from_this()](const commit_reply& reply) {
                       self->on_bid_reply(reply);
                   });
}

void election::on_bid_reply(const commit_reply& reply) {
    if (reply.status == status::ok) {
        m_bid_in_flight = false;
        m_term = m_bid_term;
        m_term_revision = reply.revision;
        become_leader(reply.revision);
        return;
    }
    if (reply.status == status::unreachable ||
        reply.status == status::conflict) {
        resolve_uncertain_bid();
        return;
    }
    m_bid_in_flight = false;
    retry_bid();
}

// A bid without a reply may have won, and after a conflict the view is out of
// date. Reads both keys to find out.
void election::resolve_uncertain_bid() {
    m_store.read(m_keys.term, [self = shared_from_this()](
                                  const read_reply& term_reply) {
        if (term_reply.status == status::ok) {
            self->on_change(term_reply.entry);
        }
        self->m_store.read(
            self->m_keys.leader, [self](const read_reply& leader_reply) {
                self->m_bid_in_flight = false;
                bool won = leader_reply.status == status::ok &&
                           leader_reply.entry.value == self->m_candidate_id &&
                           leader_reply.entry.lease == self->m_bid_lease;
                if (won &&
                    leader_reply.entry.revision == self->m_term_revision) {
                    self->become_leader(leader_reply.entry.revision);
                    return;
                }
                if (leader_reply.status == status::ok) {
                    self->on_change(leader_reply.entry);
                    return;
                }
                self->retry_bid();
            });
    });
}

void election::become_leader(revision leader_revision) {
    if (m_resigned || m_session.lease() != m_bid_lease) {
        retry_bid();
        return;
    }
    m_led_before = true;
    m_leader = m_candidate_id;
    m_leader_revision = leader_revision;
    m_last_won_revision = leader_revision;
    m_leadership =
        leadership{m_term, {m_keys.leader, leader_revision}, m_vacant_since};
    observe::log_event("leadership_won",
                       {{"term", std::to_string(m_term)},
                        {"revision", std::to_string(leader_revision)}});
    m_takeover_timer.start_once(takeover_limit);
    m_handlers.on_won(*m_leadership);
}

void election::lose_leadership(const char* reason) {
    observe::log_event(
        "leadership_lost",
        {{"term", std::to_string(m_leadership->term)}, {"why", reason}});
    m_leadership.reset();
    m_takeover_timer.cancel();
    m_handlers.on_lost(reason);
    schedule_bid();
}

} // namespace eelgrasslever::coordination
