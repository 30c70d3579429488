// What the scheduler orders and records.
#include "eelgrasslever/service/cluster_service.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::service {

using coordination::status;

namespace {

/// How long the end of a job is kept. Source: clients may ask for 120 s.
constexpr base::milliseconds ended_kept{180'000};
/// Jobs removed in one round; bounds a round's writes to four transactions.
constexpr std::size_t garbage_batch = 40;
/// How long a write of the leader is retried. Source: longer outages of the
/// store end leadership, and the next leader reads the endpoints instead.
constexpr base::milliseconds record_patience{10'000};
/// Ends gather for this long before they are told to the other VMs.
constexpr base::milliseconds notice_spacing{10};

} // namespace

void cluster_service::start(const cluster::endpoint_listing& at,
                            cluster::fencing_token token,
                            const cluster::start_order& order) {
    if (!may_order()) {
        // The process may have been stopped since the decision was made.
        m_owner.defer([this, id = at.id, order, reign = m_reign,
                       alive = m_alive] {
            if (*alive) {
                with_scheduler(reign, [&](auto& to, auto now) {
                    to.on_started(id, order,
                                  {cluster::order_status::not_sent, {}}, now);
                });
            }
        });
        return;
    }
    m_metrics.add("starts_ordered");
    m_endpoints.start(
        at, token, order,
        [this, id = at.id, order, reign = m_reign,
         sent = base::monotonic_now()](const cluster::order_reply& reply) {
            observe_order("start", sent, reply.status);
            with_scheduler(reign, [&](auto& to, auto now) {
                to.on_started(id, order, reply, now);
            });
        });
}

void cluster_service::stop(const cluster::endpoint_listing& at,
                           cluster::fencing_token token,
                           const cluster::stop_order& order) {
    m_metrics.add("stops_ordered");
    m_endpoints.stop(
        at, token, order,
        [this, id = at.id, order, reign = m_reign,
         sent = base::monotonic_now()](const cluster::order_reply& reply) {
            observe_order("stop", sent, reply.status);
            with_scheduler(reign, [&](auto& to, auto now) {
                to.on_stopped(id, order, reply, now);
            });
        });
}

void cluster_service::observe_order(const char* kind, base::instant sent,
                                    cluster::order_status outcome) {
    m_metrics.observe_latency("order_seconds",
                              std::string("kind=\"") + kind + "\",outcome=\"" +
                                  cluster::to_string(outcome) + "\"",
                              base::monotonic_now() - sent);
}

void cluster_service::hold(const cluster::endpoint_listing& at,
                           cluster::fencing_token token,
                           const cluster::hold_order& order,
                           bool fresh_connection) {
    m_endpoints.hold(
        at, token, order, fresh_connection,
        [this, id = at.id, reign = m_reign](const cluster::hold_reply& reply) {
            with_scheduler(
                reign, [&](auto& to, auto now) { to.on_held(id, reply, now); });
        });
}

void cluster_service::ask_advice(const std::string& channel,
                                 const cluster::advice_call& call) {
    m_metrics.add("advice_calls");
    if (channel == m_options.vm) {
        m_advice.ask(call, [this, query = call.query, reign = m_reign](
                               const cluster::advice_reply& reply) {
            with_scheduler(reign, [&](auto& to, auto now) {
                to.on_advice(query, reply, now);
            });
        });
        return;
    }
    wire::advice_request request;
    // The reign keeps an answer to an earlier one from being taken.
    request.query = (m_reign << 32) | call.query;
    request.job = call.step.job;
    request.occurrence = call.step.occurrence;
    request.step = call.step.step;
    request.candidates = call.candidates;
    request.timeout = call.timeout;
    if (const member* peer = m_members.find(channel)) {
        send(peer->peer_address, std::move(request));
    }
}

void cluster_service::record(const std::string& job, std::uint64_t version,
                             const std::string& progress, bool terminal) {
    auto now = base::monotonic_now();
    const cluster::job_entry* entry = m_book.find(job);
    auto known = m_progress_at.find(job);
    coordination::revision at = coordination::absent;
    if (known != m_progress_at.end()) {
        at = known->second;
    } else if (entry != nullptr) {
        at = entry->progress_revision;
    }
    coordination::proposal next;
    next.change.conditions.push_back({cluster::keys::progress + job, at});
    next.change.puts.push_back(
        {cluster::keys::progress + job, progress, coordination::no_lease});
    if (terminal) {
        next.change.removals.push_back(cluster::keys::job + job);
    }
    next.deadline = now + record_patience;
    coordination::proposal attempt = next;
    next.done = [this, job, version, progress, attempt = std::move(attempt),
                 reign = m_reign,
                 alive = m_alive](const coordination::commit_outcome& outcome) {
        if (*alive && m_reign == reign && m_scheduler) {
            on_recorded(job, version, progress, attempt, outcome);
        }
    };
    m_recorder->submit(std::move(next));
}

void cluster_service::on_recorded(const std::string& job, std::uint64_t version,
                                  const std::string& progress,
                                  const coordination::proposal& attempt,
                                  const coordination::commit_outcome& outcome) {
    auto now = base::monotonic_now();
    if (outcome.status == status::ok) {
        m_progress_at[job] = outcome.revision;
        if (!attempt.change.removals.empty()) {
            auto ended = workload::decode_progress(progress, job);
            m_book.note_end(job, ended->state, now);
            if (m_ended.ids.empty()) {
                m_notice_timer.start_once(notice_spacing);
            }
            m_ended.ids.push_back(job);
            m_ended.states.push_back(static_cast<int>(ended->state));
        }
        m_scheduler->on_recorded(job, version, now);
        tick_soon();
        return;
    }
    if (outcome.status != status::conflict) {
        observe::log_event(
            "record_failed",
            {{"job", job}, {"why", coordination::to_string(outcome.status)}});
        m_scheduler->on_record_failed(job, now);
        return;
    }
    const coordination::condition& wanted = attempt.change.conditions.front();
    coordination::key_value current;
    for (const coordination::key_value& it : outcome.current) {
        if (it.key == wanted.key) {
            current = it;
        }
    }
    if (current.revision == wanted.revision) {
        // Only the leadership's own condition can have failed.
        m_election->on_fenced();
        return;
    }
    m_progress_at[job] = current.revision;
    if (current.value == progress) {
        m_scheduler->on_recorded(job, version, now);
    } else {
        m_scheduler->on_record_failed(job, now);
    }
    tick_soon();
}

void cluster_service::on_measured(cluster::latency_kind what,
                                  const std::string& queue,
                                  base::milliseconds took) {
    const char* name = what == cluster::latency_kind::advice
                           ? "advice_seconds"
                           : "wait_to_start_seconds";
    m_metrics.observe_latency(name, "queue=\"" + queue + "\"", took);
}

void cluster_service::on_fenced(const std::string& endpoint) {
    observe::log_event("fenced", {{"endpoint", endpoint}});
    m_owner.defer([this, reign = m_reign, alive = m_alive] {
        if (*alive && m_reign == reign) {
            m_election->on_fenced();
        }
    });
}

void cluster_service::collect_garbage() {
    if (!m_scheduler) {
        return;
    }
    auto now = base::monotonic_now();
    std::size_t removed = 0;
    for (const auto& [id, entry] : m_book.all()) {
        if (!workload::is_terminal(entry.progress.state) ||
            now - entry.ended_at < ended_kept) {
            continue;
        }
        coordination::proposal next;
        next.change.removals.push_back(cluster::keys::progress + id);
        if (entry.cancel_requested) {
            next.change.removals.push_back(cluster::keys::cancel + id);
        }
        next.deadline = now + record_patience;
        next.done = [](const coordination::commit_outcome&) {};
        m_recorder->submit(std::move(next));
        if (++removed >= garbage_batch) {
            return;
        }
    }
}

} // namespace eelgrasslever::service
