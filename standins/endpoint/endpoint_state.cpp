#include "endpoint_state.hpp"

#include "eelgrasslever/base/json.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace standins::endpoint {

using protocol::call_kind;
using protocol::task_state;

namespace {

constexpr std::size_t kept_reports = 4000;
constexpr base::milliseconds failing_run{5};

// A payload may say what the task really does:
// {"actual_ms": 20, "fail": true, "result": "text"}.
struct behaviour {
    base::milliseconds run{0};
    bool fails{false};
    std::string result;
};

behaviour read_behaviour(const protocol::task_spec& spec) {
    behaviour out;
    out.run = spec.declared_run;
    auto parsed = base::parse_object(spec.payload, "payload", spec.id);
    if (!parsed) {
        out.result = spec.payload;
        return out;
    }
    out.run = base::milliseconds(
        parsed->value("actual_ms", spec.declared_run.count()));
    out.fails = parsed->value("fail", false);
    out.result = parsed->value("result", "");
    return out;
}

} // namespace

endpoint_state::endpoint_state(endpoint_config config, auditor on_event)
    : m_config(std::move(config)), m_on_event(std::move(on_event)),
      m_epoch(m_config.first_epoch), m_next_sequence(m_config.first_sequence) {}

bool endpoint_state::claim_valid(const protocol::call& call,
                                 base::instant now) const {
    return call.epoch == m_epoch && call.holder == m_holder &&
           now < m_claim_until;
}

protocol::reply endpoint_state::refuse(base::instant now) const {
    protocol::reply out;
    out.epoch = m_epoch;
    if (now < m_claim_until) {
        out.holder = m_holder;
        out.claim_remaining = m_claim_until - now;
    }
    out.failure = "the claim is not held with this epoch";
    return out;
}

protocol::reply endpoint_state::accept() const {
    protocol::reply out;
    out.accepted = true;
    out.epoch = m_epoch;
    out.leaving = m_faults.leaving;
    return out;
}

protocol::reply endpoint_state::handle(const protocol::call& call,
                                       base::instant now) {
    // Leases that ran out while this process was paused end first.
    advance(now);
    protocol::reply out;
    switch (call.kind) {
    case call_kind::claim:
        out = on_claim(call, now);
        break;
    case call_kind::poll:
        out = on_poll(call, now);
        break;
    case call_kind::start:
        out = on_start(call, now);
        break;
    case call_kind::stop:
        out = on_stop(call, now);
        break;
    case call_kind::release:
        out = claim_valid(call, now) ? accept() : refuse(now);
        if (out.accepted) {
            m_holder.clear();
            m_claim_until = now;
        }
        break;
    }
    out.reached = true;
    return out;
}

protocol::reply endpoint_state::on_claim(const protocol::call& call,
                                         base::instant now) {
    bool other = now < m_claim_until && m_holder != call.holder;
    if (other) {
        return refuse(now);
    }
    m_epoch++;
    m_holder = call.holder;
    m_claim_until = now + call.claim_ttl;
    protocol::reply out = accept();
    out.boot = m_config.boot;
    out.capacity = m_config.capacity;
    for (const auto& [id, task] : m_running) {
        protocol::task_report report;
        report.id = id;
        report.state = task_state::running;
        report.need = task.spec.need;
        report.kind = task.spec.kind;
        report.tier = task.spec.tier;
        report.repeatable = task.spec.repeatable;
        out.reports.push_back(std::move(report));
    }
    bool stale = call.acknowledged >= m_next_sequence;
    append_ended(stale ? 0 : call.acknowledged, out);
    return out;
}

protocol::reply endpoint_state::on_poll(const protocol::call& call,
                                        base::instant now) {
    if (!claim_valid(call, now)) {
        return refuse(now);
    }
    m_claim_until = now + call.claim_ttl;
    for (auto& [id, task] : m_running) {
        task.lease_until = now + m_config.task_lease;
    }
    protocol::reply out = accept();
    append_ended(call.acknowledged, out);
    return out;
}

protocol::reply endpoint_state::on_start(const protocol::call& call,
                                         base::instant now) {
    if (!claim_valid(call, now)) {
        return refuse(now);
    }
    protocol::reply out = accept();
    for (const protocol::task_spec& spec : call.starts) {
        out.reports.push_back(start_one(spec, now));
    }
    return out;
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
    behaviour what = read_behaviour(spec);
    running_task task;
    task.spec = spec;
    task.started = now;
    task.lease_until = now + m_config.task_lease;
    task.fails = what.fails || m_faults.fail_all;
    task.result = what.result;
    auto run = static_cast<std::int64_t>(static_cast<double>(what.run.count()) *
                                         m_faults.slowness);
    bool endless = spec.kind == "service";
    task.ends = endless ? base::instant::max()
                        : now + (m_faults.fail_all ? failing_run
                                                   : base::milliseconds(run));
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
    if (!claim_valid(call, now)) {
        return refuse(now);
    }
    for (const std::string& id : call.stops) {
        end_task(id, task_state::stopped, "stopped on request", now);
    }
    return accept();
}

void endpoint_state::end_task(const std::string& id, task_state state,
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
    report.run_time = at - task.started;
    report.reason = reason;
    report.repeatable = task.spec.repeatable;
    if (state == task_state::completed) {
        report.result = "done:" + id + ":" + task.result;
    }
    m_used -= task.spec.need;
    m_on_event({audit_event::event_kind::end, id, at, state,
                task.spec.repeatable, task.spec.kind, task.spec.tier, m_used});
    m_running.erase(found);
    m_ended.push_back(std::move(report));
    if (m_ended.size() > kept_reports) {
        m_ended.pop_front();
    }
}

void endpoint_state::advance(base::instant now) {
    struct ending {
        std::string id;
        task_state state;
        std::string reason;
        base::instant at;
    };
    std::vector<ending> endings;
    for (const auto& [id, task] : m_running) {
        if (task.ends <= now && task.ends <= task.lease_until) {
            endings.push_back(
                {id, task.fails ? task_state::failed : task_state::completed,
                 task.fails ? "the task failed" : "", task.ends});
        } else if (task.lease_until <= now) {
            endings.push_back({id, task_state::stopped, "its lease ran out",
                               task.lease_until});
        }
    }
    std::sort(endings.begin(), endings.end(),
              [](const ending& a, const ending& b) { return a.at < b.at; });
    for (const ending& item : endings) {
        end_task(item.id, item.state, item.reason, item.at);
    }
}

bool endpoint_state::has_report_after(std::uint64_t acknowledged) const {
    return !m_ended.empty() && m_ended.back().sequence > acknowledged;
}

void endpoint_state::append_ended(std::uint64_t acknowledged,
                                  protocol::reply& to) const {
    for (const protocol::task_report& report : m_ended) {
        if (report.sequence > acknowledged) {
            to.reports.push_back(report);
        }
    }
}

} // namespace standins::endpoint
