#include "eelgrasslever/coordination/monitored_store.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <utility>

namespace eelgrasslever::coordination {

bool monitored_store::reachable(base::instant now) const {
    if (m_last_bad > m_last_good) {
        return false;
    }
    auto unanswered = m_pending.upper_bound(m_last_good);
    return unanswered == m_pending.end() || now - *unanswered < max_silence;
}

base::milliseconds monitored_store::unreachable_for(base::instant now) const {
    return reachable(now) ? base::milliseconds(0) : now - m_last_good;
}

void monitored_store::take(base::instant sent, status result) {
    m_pending.erase(m_pending.find(sent));
    auto now = base::monotonic_now();
    // The time-out of a call that is older than the latest reply tells of an
    // outage that has ended.
    if (result == status::unreachable && sent <= m_last_good) {
        return;
    }
    bool bad = result == status::unreachable || result == status::refused;
    bool was_good = m_last_good >= m_last_bad;
    if (bad) {
        m_last_bad = now;
    } else {
        m_last_good = now;
    }
    if (!was_good && !bad) {
        m_recovered_at = now;
    }
    if (was_good == bad) {
        observe::log_event(bad ? "store_lost" : "store_regained",
                           {{"why", to_string(result)},
                            {"took_ms", std::to_string((now - sent).count())}});
    }
}

template <typename Reply>
std::function<void(const Reply&)>
monitored_store::tracked(std::function<void(const Reply&)> done) {
    auto sent = base::monotonic_now();
    m_pending.insert(sent);
    return [this, sent, done = std::move(done)](const Reply& reply) {
        take(sent, reply.status);
        done(reply);
    };
}

void monitored_store::read(const std::string& key,
                           std::function<void(const read_reply&)> done) {
    m_inner.read(key, tracked(std::move(done)));
}

void monitored_store::read_page(const std::string& prefix,
                                const std::string& after,
                                std::function<void(const page_reply&)> done) {
    m_inner.read_page(prefix, after, tracked(std::move(done)));
}

// A watch that waits says nothing until it ends, and is not counted.
void monitored_store::watch(const std::string& prefix, revision after,
                            base::milliseconds wait,
                            std::function<void(const watch_reply&)> done) {
    m_inner.watch(prefix, after, wait, std::move(done));
}

void monitored_store::commit(const transaction& change,
                             std::function<void(const commit_reply&)> done) {
    m_inner.commit(change, tracked(std::move(done)));
}

void monitored_store::grant(base::milliseconds time_to_live,
                            std::function<void(const lease_reply&)> done) {
    m_inner.grant(time_to_live, tracked(std::move(done)));
}

void monitored_store::renew(lease_id lease, std::function<void(status)> done) {
    auto sent = base::monotonic_now();
    m_pending.insert(sent);
    m_inner.renew(lease, [this, sent, done = std::move(done)](status result) {
        take(sent, result);
        done(result);
    });
}

void monitored_store::revoke(lease_id lease) {
    m_inner.revoke(lease);
}

} // namespace eelgrasslever::coordination
