#include "eelgrasslever/coordination/monitored_store.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <utility>

namespace eelgrasslever::coordination {

bool monitored_store::reachable(base::instant now) const {
    if (m_last_failure > m_last_success) {
        return false;
    }
    auto first_unanswered = m_open_calls.upper_bound(m_last_success);
    return first_unanswered == m_open_calls.end() ||
           now - *first_unanswered < max_silence;
}

base::milliseconds monitored_store::unreachable_for(base::instant now) const {
    return reachable(now) ? base::milliseconds(0) : now - m_last_success;
}

void monitored_store::record_result(base::instant sent, status result) {
    m_open_calls.erase(m_open_calls.find(sent));
    auto now = base::monotonic_now();
    // A call that was sent before the latest successful reply timed out because
    // of an outage that has ended.
    if (result == status::unreachable && sent <= m_last_success) {
        return;
    }
    bool failed = result == status::unreachable || result == status::refused;
    bool was_reachable = m_last_success >= m_last_failure;
    if (failed) {
        m_last_failure = now;
    } else {
        m_last_success = now;
    }
    if (!was_reachable && !failed) {
        m_recovered_at = now;
    }
    if (was_reachable == failed) {
        observe::log_event(failed ? "store_lost" : "store_regained",
                           {{"why", to_string(result)},
                            {"took_ms", std::to_string((now - sent).count())}});
    }
}

template <typename Reply>
std::function<void(const Reply&)>
monitored_store::track(std::function<void(const Reply&)> done) {
    auto sent = base::monotonic_now();
    m_open_calls.insert(sent);
    return [this, sent, done = std::move(done)](const Reply& reply) {
        record_result(sent, reply.status);
        done(reply);
    };
}

void monitored_store::read(const std::string& key,
                           std::function<void(const read_reply&)> done) {
    m_inner.read(key, track(std::move(done)));
}

void monitored_store::read_page(const std::string& prefix,
                                const std::string& after,
                                std::function<void(const page_reply&)> done) {
    m_inner.read_page(prefix, after, track(std::move(done)));
}

// A watch stays open without a reply until a change occurs or it times out, so
// it is not tracked.
void monitored_store::watch(const std::string& prefix, revision after,
                            base::milliseconds wait,
                            std::function<void(const watch_reply&)> done) {
    m_inner.watch(prefix, after, wait, std::move(done));
}

void monitored_store::commit(const transaction& change,
                             std::function<void(const commit_reply&)> done) {
    m_inner.commit(change, track(std::move(done)));
}

void monitored_store::grant(base::milliseconds time_to_live,
                            std::function<void(const lease_reply&)> done) {
    m_inner.grant(time_to_live, track(std::move(done)));
}

void monitored_store::renew(lease_id lease, std::function<void(status)> done) {
    auto sent = base::monotonic_now();
    m_open_calls.insert(sent);
    m_inner.renew(lease, [this, sent, done = std::move(done)](status result) {
        record_result(sent, result);
        done(result);
    });
}

void monitored_store::revoke(lease_id lease) {
    m_inner.revoke(lease);
}

} // namespace eelgrasslever::coordination
