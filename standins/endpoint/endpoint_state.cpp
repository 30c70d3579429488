#include "endpoint_state.hpp"

#include "eelgrasslever/base/json.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace standins::endpoint {

using protocol::call_kind;
using protocol::task_state;

namespace {

constexpr std::size_t max_kept_reports = 4000;
constexpr base::milliseconds failed_run_time{5};

/// How a task behaves, as its payload describes it:
/// {"actual_ms": 20, "fail": true, "result": "text"}.
struct simulated_run {
    base::milliseconds run_time{0};
    bool fails{false};
    std::string result;
};

simulated_run parse_simulated_run(const protocol::task_spec& spec) {
    simulated_run simulated;
    simulated.run_time = spec.declared_run;
    auto parsed = base::parse_object(spec.payload, "payload", spec.id);
    if (!parsed) {
        simulated.result = spec.payload;
        return simulated;
    }
    simulated.run_time = base::milliseconds(
        parsed->value("actual_ms", spec.declared_run.count()));
    simulated.fails = parsed->value("fail", false);
    simulated.result = parsed->value("result", "");
    return simulated;
}

} // namespace

endpoint_state::endpoint_state(endpoint_config config, audit_callback on_event)
    : m_config(std::move(config)), m_on_event(std::move(on_event)),
      m_epoch(m_config.first_epoch), m_next_sequence(m_config.first_sequence) {}

bool endpoint_state::is_claim_valid(const protocol::call& call,
                                    base::instant now) const {
    return call.epoch == m_epoch && call.holder == m_holder &&
           now < m_claim_expires_at;
}

protocol::reply endpoint_state::refuse(base::instant now) const {
    protocol::reply reply;
    reply.epoch = m_epoch;
    if (now < m_claim_expires_at) {
        reply.holder = m_holder;
        reply.claim_remaining = m_claim_expires_at - now;
    }
    reply.failure = "the claim is not held with this epoch";
    return reply;
}

protocol::reply endpoint_state::accept() const {
    protocol::reply reply;
    reply.accepted = true;
    reply.epoch = m_epoch;
    reply.leaving = m_faults.leaving;
    return reply;
}

protocol::reply endpoint_state::handle(const protocol::call& call,
                                       base::instant now) {
    // Tasks whose lease expired while this process was paused finish first.
    advance(now);
    protocol::reply reply;
    switch (call.kind) {
    case call_kind::claim:
        reply = on_claim(call, now);
        break;
    case call_kind::poll:
        reply = on_poll(call, now);
        break;
    case call_kind::start:
        reply = on_start(call, now);
        break;
    case call_kind::stop:
        reply = on_stop(call, now);
        break;
    case call_kind::release:
        reply = is_claim_valid(call, now) ? accept() : refuse(now);
        if (reply.accepted) {
            m_holder.clear();
            m_claim_expires_at = now;
        }
        break;
    }
    reply.reached = true;
    return reply;
}

protocol::reply endpoint_state::on_claim(const protocol::call& call,
                                         base::instant now) {
    bool is_claimed_by_other =
        now < m_claim_expires_at && m_holder != call.holder;
    if (is_claimed_by_other) {
        return refuse(now);
    }
    m_epoch++;
    m_holder = call.holder;
    m_claim_expires_at = now + call.claim_ttl;
    protocol::reply reply = accept();
    reply.boot = m_config.boot;
    reply.capacity = m_config.capacity;
    for (const auto& [id, task] : m_running) {
        protocol::task_report report;
        report.id = id;
        report.state = task_state::running;
        report.need = task.spec.need;
        report.kind = task.spec.kind;
        report.tier = task.spec.tier;
        report.repeatable = task.spec.repeatable;
        reply.reports.push_back(std::move(report));
    }
    // A higher number was acknowledged before a restart reset the sequence.
    bool is_from_earlier_boot = call.acknowledged >= m_next_sequence;
    append_reports_after(is_from_earlier_boot ? 0 : call.acknowledged, reply);
    return reply;
}

protocol::reply endpoint_state::on_poll(const protocol::call& call,
                                        base::instant now) {
    if (!is_claim_valid(call, now)) {
        return refuse(now);
    }
    m_claim_expires_at = now + call.claim_ttl;
    for (auto& [id, task] : m_running) {
        task.lease_expires_at = now + m_config.task_lease;
    }
    protocol::reply reply = accept();
    append_reports_after(call.acknowledged, reply);
    return reply;
}

protocol::reply endpoint_state::on_start(const protocol::call& call,
                                         base::instant now) {
    if (!is_claim_valid(call, now)) {
        return refuse(now);
    }
    protocol::reply reply = accept();
    for (const protocol::task_spec& spec : call.starts) {
        reply.reports.push_back(start_one(spec, now));
    }
    return reply;
}

protocol::task_report endpoint_state::start_one(const protocol::task_spec& spec,
                                                base::instant now) {
    protocol::task_report report;
    report.id = spec.id;
    report.repeatable = spec.repeatable;
    if (m_running.contains(spec.id)) {
        report.state = task_state::running;
        report.need = spec.need;
        return report;
    }
    if (!base::fits(m_used + spec.need, m_config.capacity)) {
        m_on_event({audit_event::event_kind::over_capacity, spec.id, now,
                    task_state::refused, spec.repeatable, spec.kind, spec.tier,
                    m_used});
        report.state = task_state::refused;
        report.reason = "no room";
        return report;
    }
    simulated_run simulated = parse_simulated_run(spec);
    running_task task;
    task.spec = spec;
    task.started_at = now;
    task.lease_expires_at = now + m_config.task_lease;
    task.fails = simulated.fails || m_faults.fail_all;
    task.result = simulated.result;
    auto run_ms = static_cast<std::int64_t>(
        static_cast<double>(simulated.run_time.count()) * m_faults.slowness);
    bool is_endless = spec.kind == "service";
    task.finishes_at =
        is_endless ? base::instant::max()
                   : now + (m_faults.fail_all ? failed_run_time
                                              : base::milliseconds(run_ms));
    m_used += spec.need;
    m_on_event({m_faults.leaving ? audit_event::event_kind::late_start
                                 : audit_event::event_kind::start,
                spec.id, now, task_state::running, spec.repeatable, spec.kind,
                spec.tier, m_used});
    m_running[spec.id] = std::move(task);
    report.state = task_state::running;
    report.need = spec.need;
    return report;
}

protocol::reply endpoint_state::on_stop(const protocol::call& call,
                                        base::instant now) {
    if (!is_claim_valid(call, now)) {
        return refuse(now);
    }
    for (const std::string& id : call.stops) {
        finish_task(id, task_state::stopped, "stopped on request", now);
    }
    return accept();
}

void endpoint_state::finish_task(const std::string& id, task_state state,
                                 const std::string& reason, base::instant at) {
    auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const running_task& task = found->second;
    protocol::task_report report;
    report.id = id;
    report.state = state;
    report.sequence = m_next_sequence++;
    report.run_time = at - task.started_at;
    report.reason = reason;
    report.repeatable = task.spec.repeatable;
    if (state == task_state::completed) {
        report.result = "done:" + id + ":" + task.result;
    }
    m_used -= task.spec.need;
    m_on_event({audit_event::event_kind::end, id, at, state,
                task.spec.repeatable, task.spec.kind, task.spec.tier, m_used});
    m_running.erase(found);
    m_finished_reports.push_back(std::move(report));
    if (m_finished_reports.size() > max_kept_reports) {
        m_finished_reports.pop_front();
    }
}

void endpoint_state::advance(base::instant now) {
    struct completion {
        std::string id;
        task_state state;
        std::string reason;
        base::instant at;
    };
    std::vector<completion> completions;
    for (const auto& [id, task] : m_running) {
        if (task.finishes_at <= now &&
            task.finishes_at <= task.lease_expires_at) {
            completions.push_back(
                {id, task.fails ? task_state::failed : task_state::completed,
                 task.fails ? "the task failed" : "", task.finishes_at});
        } else if (task.lease_expires_at <= now) {
            completions.push_back({id, task_state::stopped, "its lease ran out",
                                   task.lease_expires_at});
        }
    }
    std::sort(
        completions.begin(), completions.end(),
        [](const completion& a, const completion& b) { return a.at < b.at; });
    for (const completion& each : completions) {
        finish_task(each.id, each.state, each.reason, each.at);
    }
}

bool endpoint_state::has_report_after(std::uint64_t acknowledged) const {
    return !m_finished_reports.empty() &&
           m_finished_reports.back().sequence > acknowledged;
}

void endpoint_state::append_reports_after(std::uint64_t acknowledged,
                                          protocol::reply& reply) const {
    for (const protocol::task_report& report : m_finished_reports) {
        if (report.sequence > acknowledged) {
            reply.reports.push_back(report);
        }
    }
}

} // namespace standins::endpoint
