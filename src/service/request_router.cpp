#include "eelgrasslever/service/request_router.hpp"

#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <random>
#include <utility>

namespace eelgrasslever::service {

using cluster::cancel_result;
using cluster::state_result;
using cluster::submit_result;
using wire::job_request_kind;
using wire::job_request_outcome;

namespace {

/// Back-off of a peer that can't reach the store either. While all peers are
/// backed off, requests that need one fail at once.
constexpr base::milliseconds refusal_backoff{300};
/// Back-off of a peer that did not respond in time or could not determine the
/// outcome.
constexpr base::milliseconds timeout_backoff{1500};

job_request_outcome to_wire(submit_result result) {
    switch (result) {
    case submit_result::accepted:
        return job_request_outcome::accepted;
    case submit_result::refused:
        return job_request_outcome::refused;
    case submit_result::cancelled:
        return job_request_outcome::cancelled;
    case submit_result::uncertain:
        break;
    }
    return job_request_outcome::uncertain;
}

job_request_outcome to_wire(cancel_result result) {
    switch (result) {
    case cancel_result::cancelled:
        return job_request_outcome::accepted;
    case cancel_result::unknown_job:
        return job_request_outcome::unknown_job;
    case cancel_result::rejected:
        return job_request_outcome::rejected;
    case cancel_result::unavailable:
        break;
    }
    return job_request_outcome::uncertain;
}

/// @param outcome of a peer that has carried out or rejected the request.
cancel_result to_cancel_result(job_request_outcome outcome) {
    switch (outcome) {
    case job_request_outcome::unknown_job:
        return cancel_result::unknown_job;
    case job_request_outcome::rejected:
        return cancel_result::rejected;
    default:
        return cancel_result::cancelled;
    }
}

/// @return a random number, so that responses to questions of an earlier
/// process at the same address match none of this one.
std::uint64_t choose_first_query() {
    std::random_device entropy;
    return (std::uint64_t{entropy()} << 32) | entropy();
}

} // namespace

/// A request sent to a peer whose response is pending.
struct request_router::peer_query {
    peer_query(kernel::loop& owner, std::function<void()> on_timeout)
        : timer(owner, std::move(on_timeout)) {}
    kernel::timer timer;
    std::string address;
    wire::job_request request;
    int attempts_left{0};
    peer_query_callback done;
};

/// A job submission in progress, both on this VM and through a peer.
struct request_router::submission {
    submission(kernel::loop& owner, std::function<void()> on_timeout)
        : timer(owner, std::move(on_timeout)) {}
    kernel::timer timer;
    bool answered{false};
    bool local_pending{false};
    bool relay_pending{false};
    bool relay_started{false};
    bool may_be_stored{false};
    std::function<void(submit_result)> done;

    void finish(submit_result result) {
        if (!std::exchange(answered, true)) {
            timer.cancel();
            done(result);
        }
    }
    void finish_if_failed() {
        if (!local_pending && !relay_pending) {
            finish(may_be_stored ? submit_result::uncertain
                                 : submit_result::refused);
        }
    }
};

request_router::request_router(kernel::loop& owner,
                               cluster::job_service& job_service,
                               const cluster::job_view& job_view,
                               const coordination::monitored_store& store,
                               const pause_detector& pauses, send_function send,
                               leader_function leader)
    : m_owner(owner), m_job_service(job_service), m_job_view(job_view),
      m_store(store), m_pauses(pauses), m_send(std::move(send)),
      m_next_query(choose_first_query()), m_leader(std::move(leader)),
      m_count_timer(owner, [this] {
          if (m_is_fetching_counts) {
              ask_next_count_peer();
          } else {
              fetch_counts();
          }
      }) {}

request_router::~request_router() = default;

void request_router::set_peers(std::map<std::string, std::string> peers) {
    m_peers = std::move(peers);
}

std::string request_router::choose_peer(base::instant now) {
    if (m_peers.empty()) {
        return {};
    }
    auto it = m_peers.upper_bound(m_last_peer);
    for (std::size_t i = 0; i < m_peers.size(); ++i, ++it) {
        if (it == m_peers.end()) {
            it = m_peers.begin();
        }
        auto backoff = m_backoff_until.find(it->second);
        if (backoff == m_backoff_until.end() || backoff->second <= now) {
            m_last_peer = it->first;
            return it->second;
        }
    }
    return {};
}

void request_router::query_peers(wire::job_request request, int attempts,
                                 peer_query_callback done) {
    std::string address =
        attempts > 0 ? choose_peer(base::monotonic_now()) : std::string();
    if (address.empty()) {
        done(false, {});
        return;
    }
    std::uint64_t query = m_next_query++;
    request.query = query;
    auto pending = std::make_shared<peer_query>(m_owner, [this, query] {
        wire::job_response timed_out;
        timed_out.query = query;
        timed_out.outcome = job_request_outcome::uncertain;
        on_response(timed_out);
    });
    pending->address = address;
    pending->request = request;
    pending->attempts_left = attempts - 1;
    pending->done = std::move(done);
    pending->timer.start_once(peer_timeout);
    m_pending_queries[query] = pending;
    m_send(address, std::move(request));
}

void request_router::on_response(const wire::job_response& response) {
    if (m_count_queries.contains(response.query)) {
        on_count_response(response);
        return;
    }
    auto found = m_pending_queries.find(response.query);
    if (found == m_pending_queries.end()) {
        return;
    }
    auto pending = std::move(found->second);
    m_pending_queries.erase(found);
    // This may run in the timer's callback, which the timer must outlive.
    m_owner.defer([pending] {});
    bool has_result = response.outcome != job_request_outcome::refused &&
                      response.outcome != job_request_outcome::uncertain;
    if (has_result) {
        pending->done(true, response);
        return;
    }
    bool is_uncertain = response.outcome == job_request_outcome::uncertain;
    m_backoff_until[pending->address] =
        base::monotonic_now() +
        (is_uncertain ? timeout_backoff : refusal_backoff);
    query_peers(pending->request, pending->attempts_left,
                [done = std::move(pending->done),
                 is_uncertain](bool answered, const wire::job_response& next) {
                    wire::job_response result = next;
                    if (!answered && is_uncertain) {
                        result.outcome = job_request_outcome::uncertain;
                    }
                    done(answered, result);
                });
}

void request_router::submit_job(const workload::job& job,
                                base::instant deadline,
                                std::function<void(submit_result)> done) {
    auto now = base::monotonic_now();
    wire::job_request request;
    request.kind = job_request_kind::submit;
    request.id = job.id;
    request.job = workload::encode(job);
    request.wait = std::max(base::milliseconds(1), deadline - now);
    auto submission_slot = std::make_shared<std::shared_ptr<submission>>();
    auto start_relay = [self = shared_from_this(), request, submission_slot] {
        auto state = *submission_slot;
        if (!state || state->answered ||
            std::exchange(state->relay_started, true)) {
            return;
        }
        state->relay_pending = true;
        self->query_peers(
            request, max_peers,
            [state](bool answered, const wire::job_response& response) {
                state->relay_pending = false;
                if (answered) {
                    state->finish(response.outcome ==
                                          job_request_outcome::cancelled
                                      ? submit_result::cancelled
                                      : submit_result::accepted);
                    return;
                }
                state->may_be_stored =
                    state->may_be_stored ||
                    response.outcome == job_request_outcome::uncertain;
                state->finish_if_failed();
            });
    };
    auto state = std::make_shared<submission>(m_owner, start_relay);
    *submission_slot = state;
    state->done = [submission_slot,
                   done = std::move(done)](submit_result result) {
        done(result);
        submission_slot->reset();
    };
    if (!m_store.reachable(now)) {
        start_relay();
        return;
    }
    state->local_pending = true;
    state->timer.start_once(relay_delay);
    // A local attempt that is still pending after that is unlikely to produce
    // an outcome in time.
    auto local_deadline = std::min(deadline, now + 2 * relay_delay);
    m_job_service.submit(
        job, local_deadline, [state, start_relay](submit_result result) {
            state->local_pending = false;
            if (result == submit_result::accepted ||
                result == submit_result::cancelled) {
                state->finish(result);
                return;
            }
            state->may_be_stored =
                state->may_be_stored || result == submit_result::uncertain;
            start_relay();
            state->finish_if_failed();
        });
}

void request_router::cancel_job(const std::string& id, base::instant deadline,
                                std::function<void(cancel_result)> done) {
    auto now = base::monotonic_now();
    if (m_store.reachable(now)) {
        m_job_service.cancel(id, deadline, done);
        return;
    }
    wire::job_request request;
    request.kind = job_request_kind::cancel;
    request.id = id;
    request.wait = std::max(base::milliseconds(1), deadline - now);
    query_peers(request, max_peers,
                [done = std::move(done)](bool answered,
                                         const wire::job_response& response) {
                    done(answered ? to_cancel_result(response.outcome)
                                  : cancel_result::unavailable);
                });
}

void request_router::get_job_state(
    const std::string& id, base::instant deadline,
    std::function<void(const state_result&)> done) {
    auto now = base::monotonic_now();
    if (!m_job_service.is_state_known(id, now) && !m_store.reachable(now)) {
        query_state(id, deadline, std::move(done));
        return;
    }
    m_job_service.state(id,
                        [self = shared_from_this(), id, deadline,
                         done = std::move(done)](const state_result& found) {
                            if (found.state || found.unknown_job) {
                                done(found);
                            } else {
                                self->query_state(id, deadline, done);
                            }
                        });
}

void request_router::query_state(
    const std::string& id, base::instant deadline,
    std::function<void(const state_result&)> done) {
    wire::job_request request;
    request.kind = job_request_kind::state;
    request.id = id;
    auto asked_at = base::monotonic_now();
    request.wait = std::max(base::milliseconds(1), deadline - asked_at);
    query_peers(
        request, max_peers,
        [self = shared_from_this(), id, asked_at, done = std::move(done)](
            bool answered, const wire::job_response& response) {
            state_result result;
            if (answered) {
                result.unknown_job =
                    response.outcome == job_request_outcome::unknown_job;
            }
            if (answered && !result.unknown_job) {
                result.state = workload::to_job_state(response.state);
            }
            if (result.state) {
                self->m_job_service.adopt_state(id, *result.state);
            }
            done(self->m_job_service.correct(
                id, result, asked_at - cluster::job_service::max_view_age));
        });
}

void request_router::respond(const std::string& to, std::uint64_t query,
                             job_request_outcome outcome, int state) {
    wire::job_response response;
    response.query = query;
    response.outcome = outcome;
    response.state = state;
    m_send(to, response);
}

void request_router::on_request(const std::string& from,
                                const wire::job_request& request) {
    if (request.kind == job_request_kind::count) {
        respond_counts(from, request.query);
        return;
    }
    auto now = base::monotonic_now();
    if (!m_store.reachable(now)) {
        respond(from, request.query, job_request_outcome::refused);
        return;
    }
    auto self = shared_from_this();
    std::uint64_t query = request.query;
    switch (request.kind) {
    case job_request_kind::submit: {
        // The sender has given up a submission that waited for this process,
        // and its client may have left.
        if (m_pauses.may_be_old()) {
            observe::log_event("relayed_job_refused",
                               {{"job", request.id}, {"why", "paused"}});
            respond(from, query, job_request_outcome::refused);
            return;
        }
        auto job = workload::decode_job(request.job, request.id);
        if (!job) {
            observe::log_error("relayed_job_unreadable",
                               {{"why", job.error().message()}});
            respond(from, query, job_request_outcome::refused);
            return;
        }
        m_job_service.submit(*job, now + request.wait,
                             [self, from, query](submit_result result) {
                                 self->respond(from, query, to_wire(result));
                             });
        return;
    }
    case job_request_kind::cancel:
        m_job_service.cancel(request.id, now + request.wait,
                             [self, from, query](cancel_result result) {
                                 self->respond(from, query, to_wire(result));
                             });
        return;
    case job_request_kind::state:
        m_job_service.state(request.id, [self, from,
                                         query](const state_result& result) {
            if (result.unknown_job) {
                self->respond(from, query, job_request_outcome::unknown_job);
            } else if (!result.state) {
                self->respond(from, query, job_request_outcome::refused);
            } else {
                self->respond(from, query, job_request_outcome::accepted,
                              static_cast<int>(*result.state));
            }
        });
        return;
    case job_request_kind::count: // handled above, as it needs no store
        return;
    }
}

} // namespace eelgrasslever::service
