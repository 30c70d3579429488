#include "eelgrasslever/coordination/lease_session.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <utility>

namespace eelgrasslever::coordination {

lease_session::lease_session(kernel::loop& owner, store& store,
                             std::string member_key, std::string member_value,
                             handlers handlers)
    : m_owner(owner), m_store(store), m_member_key(std::move(member_key)),
      m_member_value(std::move(member_value)), m_handlers(std::move(handlers)),
      m_timer(owner, [this] { renew(); }) {}

void lease_session::start() {
    m_timer.start_every(renewal_period);
    renew();
}

void lease_session::stop() {
    m_stopped = true;
    m_timer.cancel();
    if (m_lease != no_lease) {
        m_store.revoke(m_lease);
    }
}

void lease_session::set_member_value(std::string value) {
    if (value == m_member_value) {
        return;
    }
    m_member_value = std::move(value);
    m_member_key_written = false;
    if (m_lease != no_lease && !m_writing_member_key && !m_stopped) {
        write_member_key();
    }
}

void lease_session::renew() {
    if (m_stopped) {
        return;
    }
    if (m_lease == no_lease) {
        acquire();
        return;
    }
    auto sent = base::uptime_now();
    m_store.renew(m_lease, [self = shared_from_this(), lease = m_lease,
                            sent](status result) {
        if (self->m_lease != lease || self->m_stopped) {
            return;
        }
        if (result == status::ok) {
            self->m_renewal_sent_at = std::max(self->m_renewal_sent_at, sent);
            // Peers only send work to VMs whose member key they see.
            if (!self->m_member_key_written && !self->m_writing_member_key) {
                self->write_member_key();
            }
        } else if (result == status::not_found) {
            self->on_expired();
        }
    });
}

void lease_session::on_expired() {
    observe::log_event("lease_expired", {{"lease", std::to_string(m_lease)}});
    m_lease = no_lease;
    m_handlers.on_expired();
    acquire();
}

void lease_session::acquire() {
    if (m_acquiring || m_stopped) {
        return;
    }
    m_acquiring = true;
    auto sent = base::uptime_now();
    m_store.grant(time_to_live, [self = shared_from_this(),
                                 sent](const lease_reply& reply) {
        self->m_acquiring = false;
        if (reply.status != status::ok || self->m_stopped) {
            return;
        }
        self->m_lease = reply.lease;
        self->m_renewal_sent_at = sent;
        observe::log_event("lease_granted",
                           {{"lease", std::to_string(reply.lease)}});
        self->write_member_key();
        self->m_handlers.on_granted();
    });
}

void lease_session::write_member_key() {
    m_member_key_written = false;
    m_writing_member_key = true;
    transaction change;
    change.puts.push_back({m_member_key, m_member_value, m_lease});
    m_store.commit(change, [self = shared_from_this(), lease = m_lease,
                            value = m_member_value](const commit_reply& reply) {
        if (self->m_lease == lease) {
            self->m_member_key_written =
                reply.status == status::ok && value == self->m_member_value;
            self->m_writing_member_key = false;
        }
    });
}

} // namespace eelgrasslever::coordination
