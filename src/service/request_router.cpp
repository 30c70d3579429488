#include "eelgrasslever/service/request_router.hpp"

#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <utility>

namespace eelgrasslever::service {

using cluster::cancel_result;
using cluster::state_result;
using cluster::submit_result;
using wire::desk_kind;
using wire::desk_outcome;

namespace {

/// A peer that does not reach the store either is left alone for so long, and
/// one that is silent for longer; where all of them are, a request is refused
/// at once.
constexpr base::milliseconds refusing_peer_rest{300};
constexpr base::milliseconds silent_peer_rest{1500};

} // namespace

/// One question to a peer.
struct request_router::relay {
    relay(kernel::loop& owner, std::function<void()> on_timeout)
        : timer(owner, std::move(on_timeout)) {}
    kernel::timer timer;
    std::string address;
    wire::desk_request request;
    int tries_left{0};
    relay_callback done;
};

/// One job on its way in, here and through a peer at once.
struct request_router::submission {
    submission(kernel::loop& owner, std::function<void()> on_timeout)
        : timer(owner, std::move(on_timeout)) {}
    kernel::timer timer;
    bool answered{false};
    bool local_open{false};
    bool relay_open{false};
    bool relayed{false};
    bool may_be_stored{false};
    std::function<void(submit_result)> done;

    void finish(submit_result result) {
        if (!std::exchange(answered, true)) {
            timer.cancel();
            done(result);
        }
    }
    void finish_if_failed() {
        if (!local_open && !relay_open) {
            finish(may_be_stored ? submit_result::uncertain
                                 : submit_result::refused);
        }
    }
};

request_router::request_router(kernel::loop& owner, cluster::job_service& desk,
                               const cluster::job_view& book,
                               const coordination::monitored_store& store,
                               send_function send)
    : m_owner(owner), m_desk(desk), m_book(book), m_store(store),
      m_send(std::move(send)) {}

void request_router::set_peers(std::map<std::string, std::string> peers) {
    m_peers = std::move(peers);
}

std::string request_router::next_peer(base::instant now) {
    if (m_peers.empty()) {
        return {};
    }
    auto it = m_peers.upper_bound(m_last_peer);
    for (std::size_t i = 0; i < m_peers.size(); ++i, ++it) {
        if (it == m_peers.end()) {
            it = m_peers.begin();
        }
        auto rest = m_rest_until.find(it->second);
        if (rest == m_rest_until.end() || rest->second <= now) {
            m_last_peer = it->first;
            return it->second;
        }
    }
    return {};
}

void request_router::ask_peers(wire::desk_request request, int tries,
                               relay_callback done) {
    std::string address =
        tries > 0 ? next_peer(base::monotonic_now()) : std::string();
    if (address.empty()) {
        done(false, {});
        return;
    }
    std::uint64_t query = m_next_query++;
    request.query = query;
    auto open = std::make_shared<relay>(m_owner, [this, query] {
        wire::desk_response silent;
        silent.query = query;
        silent.outcome = desk_outcome::uncertain;
        on_response(silent);
    });
    open->address = address;
    open->request = request;
    open->tries_left = tries - 1;
    open->done = std::move(done);
    open->timer.start_once(peer_timeout);
    m_open[query] = open;
    m_send(address, std::move(request));
}

void request_router::on_response(const wire::desk_response& response) {
    auto found = m_open.find(response.query);
    if (found == m_open.end()) {
        return;
    }
    auto open = std::move(found->second);
    m_open.erase(found);
    // The timer must outlive its own callback.
    m_owner.defer([open] {});
    bool helped = response.outcome != desk_outcome::refused &&
                  response.outcome != desk_outcome::uncertain;
    if (helped) {
        open->done(true, response);
        return;
    }
    bool unsure = response.outcome == desk_outcome::uncertain;
    m_rest_until[open->address] =
        base::monotonic_now() +
        (unsure ? silent_peer_rest : refusing_peer_rest);
    ask_peers(open->request, open->tries_left,
              [done = std::move(open->done),
               unsure](bool answered, const wire::desk_response& next) {
                  wire::desk_response out = next;
                  if (!answered && unsure) {
                      out.outcome = desk_outcome::uncertain;
                  }
                  done(answered, out);
              });
}

void request_router::submit(const workload::job& job, base::instant deadline,
                            std::function<void(submit_result)> done) {
    auto now = base::monotonic_now();
    wire::desk_request request;
    request.kind = desk_kind::submit;
    request.id = job.id;
    request.job = workload::encode(job);
    request.wait = std::max(base::milliseconds(1), deadline - now);
    auto held = std::make_shared<std::shared_ptr<submission>>();
    auto relay_now = [self = shared_from_this(), request, held] {
        auto state = *held;
        if (!state || state->answered || std::exchange(state->relayed, true)) {
            return;
        }
        state->relay_open = true;
        self->ask_peers(
            request, most_peers,
            [state](bool answered, const wire::desk_response& response) {
                state->relay_open = false;
                if (answered) {
                    state->finish(submit_result::accepted);
                    return;
                }
                state->may_be_stored =
                    state->may_be_stored ||
                    response.outcome == desk_outcome::uncertain;
                state->finish_if_failed();
            });
    };
    auto state = std::make_shared<submission>(m_owner, relay_now);
    *held = state;
    state->done = [held, done = std::move(done)](submit_result result) {
        done(result);
        held->reset();
    };
    if (!m_store.reachable(now)) {
        relay_now();
        return;
    }
    state->local_open = true;
    state->timer.start_once(patience);
    // An attempt of ours that is still open then says nothing more in time.
    auto local_until = std::min(deadline, now + 2 * patience);
    m_desk.submit(job, local_until, [state, relay_now](submit_result result) {
        state->local_open = false;
        if (result == submit_result::accepted) {
            state->finish(result);
            return;
        }
        state->may_be_stored =
            state->may_be_stored || result == submit_result::uncertain;
        relay_now();
        state->finish_if_failed();
    });
}

void request_router::cancel(const std::string& id, base::instant deadline,
                            std::function<void(cancel_result)> done) {
    auto now = base::monotonic_now();
    if (m_store.reachable(now)) {
        m_desk.cancel(id, deadline, done);
        return;
    }
    wire::desk_request request;
    request.kind = desk_kind::cancel;
    request.id = id;
    request.wait = std::max(base::milliseconds(1), deadline - now);
    ask_peers(request, most_peers,
              [done = std::move(done)](bool answered,
                                       const wire::desk_response& response) {
                  if (!answered) {
                      done(cancel_result::unavailable);
                  } else {
                      done(response.outcome == desk_outcome::unknown_job
                               ? cancel_result::unknown_job
                               : cancel_result::cancelled);
                  }
              });
}

void request_router::state(const std::string& id, base::instant deadline,
                           std::function<void(const state_result&)> done) {
    const cluster::job_entry* known = m_book.find(id);
    bool ended =
        known != nullptr && workload::is_terminal(known->progress.state);
    auto now = base::monotonic_now();
    if (ended || m_store.reachable(now)) {
        m_desk.state(id, done);
        return;
    }
    wire::desk_request request;
    request.kind = desk_kind::state;
    request.id = id;
    request.wait = std::max(base::milliseconds(1), deadline - now);
    ask_peers(request, most_peers,
              [self = shared_from_this(), id, done = std::move(done)](
                  bool answered, const wire::desk_response& response) {
                  if (!answered) {
                      // An older state is better than none.
                      self->m_desk.state(id, done);
                      return;
                  }
                  state_result out;
                  out.unknown_job =
                      response.outcome == desk_outcome::unknown_job;
                  if (!out.unknown_job) {
                      out.state =
                          static_cast<workload::job_state>(response.state);
                  }
                  done(out);
              });
}

void request_router::respond(const std::string& to, std::uint64_t query,
                             desk_outcome outcome, int state) {
    wire::desk_response out;
    out.query = query;
    out.outcome = outcome;
    out.state = state;
    m_send(to, out);
}

void request_router::on_request(const std::string& from,
                                const wire::desk_request& request) {
    auto now = base::monotonic_now();
    if (!m_store.reachable(now)) {
        respond(from, request.query, desk_outcome::refused);
        return;
    }
    auto self = shared_from_this();
    std::uint64_t query = request.query;
    switch (request.kind) {
    case desk_kind::submit: {
        auto job = workload::decode_job(request.job, request.id);
        if (!job) {
            observe::log_error("relayed_job_unreadable",
                               {{"why", job.error().message()}});
            respond(from, query, desk_outcome::refused);
            return;
        }
        m_desk.submit(*job, now + request.wait,
                      [self, from, query](submit_result result) {
                          auto outcome = desk_outcome::uncertain;
                          if (result == submit_result::accepted) {
                              outcome = desk_outcome::accepted;
                          } else if (result == submit_result::refused) {
                              outcome = desk_outcome::refused;
                          }
                          self->respond(from, query, outcome);
                      });
        return;
    }
    case desk_kind::cancel:
        m_desk.cancel(request.id, now + request.wait,
                      [self, from, query](cancel_result result) {
                          auto outcome = desk_outcome::uncertain;
                          if (result == cancel_result::cancelled) {
                              outcome = desk_outcome::accepted;
                          } else if (result == cancel_result::unknown_job) {
                              outcome = desk_outcome::unknown_job;
                          }
                          self->respond(from, query, outcome);
                      });
        return;
    case desk_kind::state:
        m_desk.state(
            request.id, [self, from, query](const state_result& result) {
                if (result.unknown_job) {
                    self->respond(from, query, desk_outcome::unknown_job);
                } else if (!result.state) {
                    self->respond(from, query, desk_outcome::refused);
                } else {
                    self->respond(from, query, desk_outcome::accepted,
                                  static_cast<int>(*result.state));
                }
            });
        return;
    }
}

} // namespace eelgrasslever::service
