// Implementation of scheduler_effects: orders, advice calls and job records.
#include "eelgrasslever/service/cluster_service.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/cluster/expired_records.hpp"
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::service {

using coordination::status;

namespace {

/// How long a write of the leader is retried. A longer outage of the store ends
/// the leadership, and the next leader reads the state from the endpoints.
constexpr base::milliseconds record_timeout{10'000};

} // namespace

void cluster_service::start(const cluster::endpoint_listing& endpoint,
                            cluster::fencing_token token,
                            const cluster::start_order& order) {
    if (!has_order_authority()) {
        // The process may have been suspended after the scheduler decided on
        // this order.
        m_owner.defer([this, id = endpoint.id, order,
                       generation = m_leadership_generation, alive = m_alive] {
            if (*alive) {
                with_scheduler(generation, activities::orders,
                               [&](auto& scheduler, auto now) {
                                   scheduler.on_started(
                                       id, order,
                                       {cluster::order_status::not_sent, {}},
                                       now);
                               });
            }
        });
        return;
    }
    m_metrics.add("starts_ordered");
    m_orders.start(
        endpoint, token, order,
        [this, id = endpoint.id, order, generation = m_leadership_generation,
         sent_at = base::monotonic_now()](const cluster::order_reply& reply) {
            record_order_latency("start", sent_at, reply.status);
            with_scheduler(generation, activities::orders,
                           [&](auto& scheduler, auto now) {
                               scheduler.on_started(id, order, reply, now);
                           });
        });
}

void cluster_service::stop(const cluster::endpoint_listing& endpoint,
                           cluster::fencing_token token,
                           const cluster::stop_order& order) {
    m_metrics.add("stops_ordered");
    m_orders.stop(
        endpoint, token, order,
        [this, id = endpoint.id, order, generation = m_leadership_generation,
         sent_at = base::monotonic_now()](const cluster::order_reply& reply) {
            record_order_latency("stop", sent_at, reply.status);
            with_scheduler(generation, activities::orders,
                           [&](auto& scheduler, auto now) {
                               scheduler.on_stopped(id, order, reply, now);
                           });
        });
}

void cluster_service::record_order_latency(const char* kind,
                                           base::instant sent_at,
                                           cluster::order_status outcome) {
    m_metrics.observe_latency("order_seconds",
                              std::string("kind=\"") + kind + "\",outcome=\"" +
                                  cluster::to_string(outcome) + "\"",
                              base::monotonic_now() - sent_at);
}

void cluster_service::renew(const cluster::endpoint_listing& endpoint,
                            cluster::fencing_token token,
                            const cluster::renew_order& order,
                            bool fresh_connection) {
    m_orders.renew(
        endpoint, token, order, fresh_connection,
        [this, id = endpoint.id, generation = m_leadership_generation](
            const cluster::renew_reply& reply) {
            with_scheduler(generation, activities::renewals,
                           [&](auto& scheduler, auto now) {
                               scheduler.on_renewed(id, reply, now);
                           });
        });
}

void cluster_service::ask_advice(const std::string& channel,
                                 const cluster::advice_call& call) {
    m_metrics.add("advice_calls");
    if (channel == m_options.vm) {
        m_advice.ask(call, [this, query = call.query,
                            generation = m_leadership_generation](
                               const cluster::advice_reply& reply) {
            with_scheduler(generation, activities::advice,
                           [&](auto& scheduler, auto now) {
                               scheduler.on_advice(query, reply, now);
                           });
        });
        return;
    }
    if (!m_leadership) {
        return; // the scheduler is about to be destroyed
    }
    wire::advice_request request;
    // The term in the upper half prevents a response to an earlier leadership
    // from being accepted, also of an earlier process at the same address.
    request.query = (m_leadership->term << 32) | call.query;
    request.job = call.step.job;
    request.occurrence = call.step.occurrence;
    request.step = call.step.step;
    request.candidates = call.candidates;
    request.timeout = call.timeout;
    if (const member* peer = m_members.find(channel)) {
        send_to_peer(peer->peer_address, std::move(request));
    }
}

void cluster_service::record_progress(const std::string& job,
                                      std::uint64_t version,
                                      const std::string& progress,
                                      bool terminal) {
    auto now = base::monotonic_now();
    const cluster::job_entry* entry = m_job_view.find(job);
    auto written = m_progress_revisions.find(job);
    coordination::revision base_revision = coordination::absent;
    if (written != m_progress_revisions.end()) {
        base_revision = written->second;
    } else if (entry != nullptr) {
        base_revision = entry->progress_revision;
    }
    coordination::proposal next;
    next.change.conditions.push_back(
        {cluster::keys::progress + job, base_revision});
    next.change.puts.push_back(
        {cluster::keys::progress + job, progress, coordination::no_lease});
    if (terminal) {
        next.change.removals.push_back(cluster::keys::job + job);
    }
    next.deadline = now + record_timeout;
    coordination::proposal attempt = next;
    next.done = [this, job, version, progress, attempt = std::move(attempt),
                 generation = m_leadership_generation,
                 alive = m_alive](const coordination::commit_outcome& outcome) {
        if (*alive && m_leadership_generation == generation && m_scheduler) {
            on_recorded(job, version, progress, attempt, outcome);
        }
    };
    m_progress_committer->submit(std::move(next));
}

void cluster_service::on_recorded(const std::string& job, std::uint64_t version,
                                  const std::string& progress,
                                  const coordination::proposal& attempt,
                                  const coordination::commit_outcome& outcome) {
    kernel::activity measured(m_owner, activities::records);
    auto now = base::monotonic_now();
    if (outcome.status == status::ok) {
        m_progress_revisions[job] = outcome.revision;
        if (!attempt.change.removals.empty()) {
            auto finished = workload::decode_progress(progress, job);
            m_job_view.apply_final_state(job, finished->state, now);
            if (m_pending_completions.ids.empty()) {
                m_completion_timer.start_once(m_members.notice_interval());
            }
            m_pending_completions.ids.push_back(job);
            m_pending_completions.states.push_back(
                static_cast<int>(finished->state));
        }
        m_scheduler->on_recorded(job, version, now);
        schedule_tick();
        return;
    }
    if (outcome.status != status::conflict) {
        observe::log_event(
            "record_failed",
            {{"job", job}, {"why", coordination::to_string(outcome.status)}});
        m_scheduler->on_record_failed(job, now);
        return;
    }
    const coordination::condition& expected = attempt.change.conditions.front();
    coordination::key_value current;
    for (const coordination::key_value& candidate : outcome.current) {
        if (candidate.key == expected.key) {
            current = candidate;
        }
    }
    if (current.revision == expected.revision) {
        // The progress record is unchanged, so the condition on the leadership
        // key must have failed.
        m_election->on_fenced();
        return;
    }
    m_progress_revisions[job] = current.revision;
    if (current.value == progress) {
        m_scheduler->on_recorded(job, version, now);
    } else {
        m_scheduler->on_record_failed(job, now);
    }
    schedule_tick();
}

const workload::progress*
cluster_service::find_ended_job(const std::string& job) const {
    const cluster::job_entry* entry = m_job_view.find(job);
    return entry != nullptr && workload::is_terminal(entry->progress.state)
               ? &entry->progress
               : nullptr;
}

void cluster_service::on_measured(cluster::latency_kind kind,
                                  const std::string& queue,
                                  base::milliseconds latency) {
    const char* name = kind == cluster::latency_kind::advice
                           ? "advice_seconds"
                           : "wait_to_start_seconds";
    m_metrics.observe_latency(name, "queue=\"" + queue + "\"", latency);
}

void cluster_service::on_fenced(const std::string& endpoint) {
    observe::log_event("fenced", {{"endpoint", endpoint}});
    m_owner.defer(
        [this, generation = m_leadership_generation, alive = m_alive] {
            if (*alive && m_leadership_generation == generation) {
                m_election->on_fenced();
            }
        });
}

void cluster_service::remove_expired_jobs() {
    auto now = base::monotonic_now();
    m_job_view.remove_expired_ends(now);
    if (!m_scheduler) {
        return;
    }
    // The records that the pass before is about to remove are still in the
    // view.
    if (m_removals_pending > 0) {
        return;
    }
    for (auto& keys : cluster::find_expired_records(m_job_view, now)) {
        coordination::proposal next;
        next.change.removals = std::move(keys);
        next.deadline = now + record_timeout;
        next.done = [this, generation = m_leadership_generation,
                     alive = m_alive](const coordination::commit_outcome&) {
            if (*alive && m_leadership_generation == generation) {
                m_removals_pending--;
            }
        };
        m_removals_pending++;
        m_removal_committer->submit(std::move(next));
    }
}

} // namespace eelgrasslever::service
