// Numbers of waiting jobs, from a view that is recent enough.
#include "eelgrasslever/service/request_router.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::service {

using cluster::job_service;
using wire::job_request_kind;
using wire::job_request_outcome;

/// A client that waits for the answer of a peer.
struct request_router::count_waiter {
    count_waiter(kernel::loop& owner, std::function<void()> on_timeout)
        : timer(owner, std::move(on_timeout)) {}
    kernel::timer timer;
    std::string queue;
    count_callback done;
};

void request_router::count_pending(const std::string& queue,
                                   base::instant deadline,
                                   count_callback done) {
    auto now = base::monotonic_now();
    if (m_job_service.is_view_current(now)) {
        auto count = m_job_view.pending(queue);
        log_count(queue, "view", count, m_job_service.view_time());
        done(count);
        return;
    }
    bool may_fetch = now >= m_next_count_fetch;
    auto fetched = may_fetch ? std::nullopt : fetched_count(queue, now);
    bool has_just_failed =
        !may_fetch && !m_is_fetching_counts && m_has_count_fetch_failed;
    if (fetched || has_just_failed || deadline <= now) {
        log_count(queue, fetched ? "reused" : "none", fetched,
                  m_fetched_counts_time);
        done(fetched);
        return;
    }
    std::uint64_t id = m_next_query++;
    auto waiter = std::make_shared<count_waiter>(
        m_owner, [this, id] { answer_count_waiter(id); });
    waiter->queue = queue;
    waiter->done = std::move(done);
    waiter->timer.start_once((deadline - now) / 2);
    m_count_waiters[id] = std::move(waiter);
    if (m_is_fetching_counts) {
        return;
    }
    if (may_fetch) {
        fetch_counts();
    } else {
        m_count_timer.start_once(m_next_count_fetch - now);
    }
}

void request_router::answer_count_waiter(std::uint64_t id) {
    auto found = m_count_waiters.find(id);
    if (found == m_count_waiters.end()) {
        return;
    }
    auto waiter = std::move(found->second);
    m_count_waiters.erase(found);
    // This may run in the timer's callback, which the timer must outlive.
    m_owner.defer([waiter] {});
    auto fetched = fetched_count(waiter->queue, base::monotonic_now());
    log_count(waiter->queue, fetched ? "peer" : "none", fetched,
              m_fetched_counts_time);
    waiter->done(fetched);
}

std::vector<std::string> request_router::choose_count_peers() {
    std::vector<std::string> chosen;
    auto add = [&chosen](const std::string& address) {
        bool is_new =
            std::find(chosen.begin(), chosen.end(), address) == chosen.end();
        if (!address.empty() && is_new && chosen.size() < max_count_peers) {
            chosen.push_back(address);
        }
    };
    add(m_leader());
    bool is_source_listed =
        std::any_of(m_peers.begin(), m_peers.end(), [this](const auto& row) {
            return row.second == m_last_count_source;
        });
    if (is_source_listed) {
        add(m_last_count_source);
    }
    auto it = m_peers.upper_bound(m_last_count_peer);
    for (std::size_t i = 0;
         i < m_peers.size() && chosen.size() < max_count_peers; ++i, ++it) {
        if (it == m_peers.end()) {
            it = m_peers.begin();
        }
        m_last_count_peer = it->first;
        add(it->second);
    }
    return chosen;
}

void request_router::fetch_counts() {
    m_is_fetching_counts = true;
    m_next_count_fetch = base::monotonic_now() + count_interval;
    m_count_queries.clear();
    m_count_peers = choose_count_peers();
    ask_next_count_peer();
}

void request_router::ask_next_count_peer() {
    if (m_count_peers.empty()) {
        finish_count_fetch(false);
        return;
    }
    std::string address = m_count_peers.front();
    m_count_peers.erase(m_count_peers.begin());
    wire::job_request request;
    request.query = m_next_query++;
    request.kind = job_request_kind::count;
    m_count_queries[request.query] = {address, base::monotonic_now()};
    m_count_timer.start_once(m_count_peers.empty() ? peer_timeout
                                                   : count_peer_interval);
    m_send(address, std::move(request));
}

void request_router::on_count_response(const wire::job_response& response) {
    auto found = m_count_queries.find(response.query);
    count_query query = std::move(found->second);
    m_count_queries.erase(found);
    // The peer counted after the question was sent, so its view is at least as
    // recent as this.
    auto time = query.sent_at - response.age;
    bool is_recent = response.outcome == job_request_outcome::accepted &&
                     base::monotonic_now() - time <= job_service::max_view_age;
    // Replies may overtake one another, and views differ in age.
    bool is_latest = !m_fetched_counts_time || *m_fetched_counts_time < time;
    if (is_recent && is_latest) {
        m_fetched_counts = response.pending;
        m_fetched_counts_time = time;
        m_last_count_source = query.address;
    }
    if (!m_is_fetching_counts) {
        return;
    }
    if (is_recent) {
        finish_count_fetch(true);
    } else if (!m_count_peers.empty()) {
        ask_next_count_peer();
    } else if (m_count_queries.empty()) {
        finish_count_fetch(false);
    }
}

void request_router::finish_count_fetch(bool succeeded) {
    m_is_fetching_counts = false;
    m_has_count_fetch_failed = !succeeded;
    m_count_timer.cancel();
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, waiter] : m_count_waiters) {
        waiting.push_back(id);
    }
    for (std::uint64_t id : waiting) {
        answer_count_waiter(id);
    }
}

std::optional<std::size_t>
request_router::fetched_count(const std::string& queue,
                              base::instant now) const {
    if (!m_fetched_counts_time ||
        now - *m_fetched_counts_time > job_service::max_view_age) {
        return std::nullopt;
    }
    auto found = m_fetched_counts.find(queue);
    return found == m_fetched_counts.end() ? 0 : found->second;
}

void request_router::respond_counts(const std::string& to,
                                    std::uint64_t query) {
    auto now = base::monotonic_now();
    wire::job_response response;
    response.query = query;
    if (m_job_service.is_view_current(now)) {
        response.outcome = job_request_outcome::accepted;
        response.age = now - *m_job_service.view_time();
        const auto& counts = m_job_view.pending_by_queue();
        response.pending.insert(counts.begin(), counts.end());
    }
    m_send(to, std::move(response));
}

void request_router::log_count(const std::string& queue, const char* source,
                               std::optional<std::size_t> count,
                               std::optional<base::instant> time) const {
    auto now = base::monotonic_now();
    auto view_time = m_job_service.view_time();
    auto age = [now](std::optional<base::instant> since) {
        return since ? std::to_string((now - *since).count()) : std::string();
    };
    observe::log_event("pending_counted",
                       {{"queue", queue},
                        {"count", count ? std::to_string(*count) : ""},
                        {"source", source},
                        {"age_ms", count ? age(time) : ""},
                        {"peer", m_last_count_source},
                        {"view_loaded", view_time ? "1" : "0"},
                        {"view_age_ms", age(view_time)}});
}

} // namespace eelgrasslever::service
