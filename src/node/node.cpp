#include "eelgrasslever/node/node.hpp"

#include <utility>

namespace eelgrasslever::node {

namespace {

// A longer gap between events means that the process was paused, and that other
// members may have taken over the requests that wait here.
constexpr base::milliseconds max_tick_gap{1000};

} // namespace

node::node(const node_config& config, effects& effects)
    : m_context(config, effects), m_request_handler(m_context),
      m_task_runner(m_context), m_locator(m_context),
      m_intent_recorder(m_context), m_job_coordinator(m_context),
      m_peering(m_context), m_configurator(m_context) {
    m_context.request_handler = &m_request_handler;
    m_context.task_runner = &m_task_runner;
    m_context.locator = &m_locator;
    m_context.intent_recorder = &m_intent_recorder;
    m_context.job_coordinator = &m_job_coordinator;
    m_context.peering = &m_peering;
    m_context.configurator = &m_configurator;
}

void node::detect_pause(base::instant now) {
    bool was_paused =
        m_context.now != base::instant{} && now - m_context.now > max_tick_gap;
    m_context.now = now;
    if (!was_paused) {
        return;
    }
    m_context.effects.log({"pause_noticed", {}});
    m_context.distrust_first_marks();
    m_context.membership_view.reset_gone_members();
    for (const auto& [id, entry] : m_context.requests.all()) {
        if (entry->stage == request_stage::queued && !entry->recorded) {
            entry->needs_locate = true;
        }
    }
}

// Runs after each event: handles finished tasks, places queued work and sends
// the endpoint calls that are due.
void node::process_changes(bool all_endpoints) {
    m_task_runner.process_events();
    m_task_runner.place_queued_work();
    std::vector<dispatch::outgoing_call> calls;
    if (all_endpoints) {
        m_context.endpoint_pool.advance(m_context.now, calls);
    } else {
        m_context.endpoint_pool.advance_changed(m_context.now, calls);
    }
    m_task_runner.process_events();
    for (const dispatch::outgoing_call& call : calls) {
        m_context.effects.call_endpoint(call.endpoint, call.call);
    }
}

void node::submit(const admission::request& request, caller_token caller,
                  base::instant now) {
    detect_pause(now);
    m_request_handler.submit(request, caller);
    process_changes();
}

void node::wait_for_answer(const std::string& id, caller_token caller,
                           base::instant now) {
    detect_pause(now);
    m_request_handler.wait_for_answer(id, caller);
}

void node::cancel(const std::string& id, base::instant now) {
    detect_pause(now);
    m_request_handler.cancel(id);
    process_changes();
}

void node::detach_caller(const std::string& id, caller_token caller,
                         base::instant now) {
    detect_pause(now);
    m_request_handler.detach_caller(id, caller);
}

void node::roll_out(const std::string& envelope_text,
                    std::function<void(base::result<void>)> done,
                    base::instant now) {
    detect_pause(now);
    m_configurator.roll_out(envelope_text, std::move(done));
}

void node::on_endpoint_reply(const std::string& endpoint,
                             const endpoint::call& call,
                             const endpoint::reply& reply, base::instant now) {
    detect_pause(now);
    m_context.endpoint_pool.on_reply(endpoint, call, reply, now);
    process_changes();
}

void node::on_store_reply(const store::call& call, const store::reply& reply,
                          base::instant now) {
    detect_pause(now);
    if (call.kind != store::call_kind::vm_list &&
        m_intent_recorder.owns_key(call.key)) {
        m_intent_recorder.on_reply(call, reply);
    } else {
        m_configurator.on_reply(call, reply);
    }
    process_changes();
}

void node::on_peer_message(const std::string& from,
                           const wire::message& message, base::instant now) {
    detect_pause(now);
    if (from == m_context.config.id) {
        return;
    }
    m_peering.on_message(from, message);
    process_changes();
}

void node::tick(base::instant now) {
    detect_pause(now);
    m_configurator.advance();
    m_peering.advance();
    m_locator.advance();
    m_request_handler.advance();
    m_job_coordinator.advance();
    m_intent_recorder.advance();
    m_context.requests.expire(now, m_context.config.answer_retention);
    process_changes(true);
    if (m_context.draining && !m_context.releasing_claims) {
        bool has_open_work = false;
        for (const auto& [id, entry] : m_context.requests.all()) {
            bool has_waiters =
                !entry->callers.empty() || !entry->attached_members.empty();
            bool must_be_answered_here =
                entry->stage != request_stage::answered &&
                entry->stage != request_stage::job && !entry->is_lookup;
            has_open_work |= has_waiters && must_be_answered_here;
        }
        if (!has_open_work) {
            m_context.releasing_claims = true;
            m_job_coordinator.release_all_jobs();
            m_context.endpoint_pool.release_all_claims();
        }
    }
}

void node::drain(base::instant now) {
    detect_pause(now);
    m_context.draining = true;
    m_context.effects.log({"drain_started", {}});
}

bool node::drained() const {
    if (!m_context.releasing_claims || !m_intent_recorder.idle()) {
        return false;
    }
    for (const auto& [name, session] : m_context.endpoint_pool.sessions()) {
        if (session->has_claim()) {
            return false;
        }
    }
    return true;
}

bool node::ready() const {
    bool can_place = m_context.endpoint_pool.totals().held_endpoints > 0;
    for (const membership::member* member :
         m_context.membership_view.possible_owners()) {
        can_place |= member->capacity_slots > 0;
    }
    return !m_context.draining && m_context.active_bundle && can_place;
}

std::string node::explain(const std::string& id) const {
    request_entry_ptr entry = m_context.requests.find(id);
    if (!entry) {
        return "not known to this entry VM";
    }
    std::string text = std::string(to_string(entry->stage));
    switch (entry->stage) {
    case request_stage::locating:
        return text + ": asking the other entry VMs whether one has it";
    case request_stage::recording:
        return text + ": waiting for the platform's store to take the intent";
    case request_stage::queued: {
        const admission::work_item* work = m_context.queue.find(id);
        std::int64_t used = m_context.queue.slots_used(work->team);
        return text + ": rank " + std::to_string(work->rank) + ", " +
               std::to_string(m_context.queue.size()) +
               " items wait here, team " + work->team + " uses " +
               std::to_string(used) + " slots of its share on this VM";
    }
    case request_stage::placed: {
        std::string endpoints;
        for (const auto& [task, endpoint] : entry->open_tasks) {
            endpoints += " " + endpoint;
        }
        return text + ": at" + endpoints;
    }
    case request_stage::remote:
        return text + ": at entry VM " + entry->owner;
    case request_stage::job:
        return text + ": " + m_job_coordinator.describe_progress(id);
    case request_stage::held:
        return text + ": stopped " + std::to_string(entry->preemption_count) +
               " times for other work; is queued again soon";
    case request_stage::answered:
        return text + ": " + base::to_string(entry->final_answer.result) + " " +
               entry->final_answer.detail;
    }
    return text;
}

} // namespace eelgrasslever::node
