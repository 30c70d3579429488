#include "eelgrasslever/coordination/lease_session.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <utility>

namespace eelgrasslever::coordination {

lease_session::lease_session(kernel::loop& owner, store& at, std::string member_key,
                 std::string member_value, handlers call)
    : m_owner(owner), m_store(at), m_key(std::move(member_key)),
      m_value(std::move(member_value)), m_call(std::move(call)),
      m_timer(owner, [this] { tick(); }) {}

void lease_session::start() {
    m_timer.start_every(renewal_period);
    tick();
}

void lease_session::stop() {
    m_stopped = true;
    m_timer.cancel();
    if (m_lease != no_lease) {
        m_store.revoke(m_lease);
    }
}

void lease_session::tick() {
    if (m_stopped) {
        return;
    }
    if (m_lease == no_lease) {
        grant();
        return;
    }
    auto sent = base::uptime_now();
    m_store.renew(m_lease, [self = shared_from_this(), lease = m_lease,
                            sent](status result) {
        if (self->m_lease != lease || self->m_stopped) {
            return;
        }
        if (result == status::ok) {
            self->m_confirmed_at = std::max(self->m_confirmed_at, sent);
            // Peers send no work here unless the entry is written.
            if (!self->m_published && !self->m_publishing) {
                self->publish();
            }
        } else if (result == status::not_found) {
            self->expire();
        }
    });
}

void lease_session::expire() {
    observe::log_event("lease_expired", {{"lease", std::to_string(m_lease)}});
    m_lease = no_lease;
    m_call.on_expired();
    grant();
}

void lease_session::grant() {
    if (m_granting || m_stopped) {
        return;
    }
    m_granting = true;
    auto sent = base::uptime_now();
    m_store.grant(time_to_live, [self = shared_from_this(),
                                 sent](const lease_reply& reply) {
        self->m_granting = false;
        if (reply.status != status::ok || self->m_stopped) {
            return;
        }
        self->m_lease = reply.lease;
        self->m_confirmed_at = sent;
        observe::log_event("lease_granted",
                           {{"lease", std::to_string(reply.lease)}});
        self->publish();
        self->m_call.on_granted();
    });
}

void lease_session::publish() {
    m_published = false;
    m_publishing = true;
    transaction change;
    change.puts.push_back({m_key, m_value, m_lease});
    m_store.commit(change, [self = shared_from_this(),
                            lease = m_lease](const commit_reply& reply) {
        if (self->m_lease == lease) {
            self->m_published = reply.status == status::ok;
            self->m_publishing = false;
        }
    });
}

} // namespace eelgrasslever::coordination
