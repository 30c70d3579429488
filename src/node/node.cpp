#include "eelgrasslever/node/node.hpp"

#include <utility>

namespace eelgrasslever::node {

namespace {

// Without a tick for so long the process was paused, and others may have
// taken over what waits here.
constexpr base::milliseconds pause_limit{1000};

} // namespace

node::node(const node_config& config, effects& out)
    : m_context(config, out), m_intake(m_context), m_runner(m_context),
      m_locator(m_context), m_recorder(m_context), m_jobs(m_context),
      m_peering(m_context), m_configurator(m_context) {
    m_context.intake = &m_intake;
    m_context.runner = &m_runner;
    m_context.locator = &m_locator;
    m_context.recorder = &m_recorder;
    m_context.jobs = &m_jobs;
    m_context.peering = &m_peering;
    m_context.configurator = &m_configurator;
}

void node::notice_pause(base::instant now) {
    bool paused =
        m_context.now != base::instant{} && now - m_context.now > pause_limit;
    m_context.now = now;
    if (!paused) {
        return;
    }
    m_context.out.log({"pause_noticed", {}});
    m_context.distrust_first_marks();
    m_context.roster.reset_gone_members();
    for (const auto& [id, item] : m_context.book.all()) {
        if (item->at == stage::queued && !item->recorded) {
            item->needs_locate = true;
        }
    }
}

// After each event: what ended, what can be placed, what must be sent.
void node::settle_step(bool all_endpoints) {
    m_runner.absorb_events();
    m_runner.pump();
    std::vector<dispatch::outgoing_call> calls;
    if (all_endpoints) {
        m_context.fleet.advance(m_context.now, calls);
    } else {
        m_context.fleet.advance_changed(m_context.now, calls);
    }
    m_runner.absorb_events();
    for (const dispatch::outgoing_call& call : calls) {
        m_context.out.call_endpoint(call.endpoint, call.call);
    }
}

void node::submit(const admission::request& request, caller_token caller,
                  base::instant now) {
    notice_pause(now);
    m_intake.submit(request, caller);
    settle_step();
}

void node::wait_for(const std::string& id, caller_token caller,
                    base::instant now) {
    notice_pause(now);
    m_intake.wait_for(id, caller);
}

void node::cancel(const std::string& id, base::instant now) {
    notice_pause(now);
    m_intake.cancel(id);
    settle_step();
}

void node::forget_caller(const std::string& id, caller_token caller,
                         base::instant now) {
    notice_pause(now);
    m_intake.forget_caller(id, caller);
}

void node::roll_out(const std::string& envelope_text,
                    std::function<void(base::result<void>)> done,
                    base::instant now) {
    notice_pause(now);
    m_configurator.roll_out(envelope_text, std::move(done));
}

void node::on_endpoint_reply(const std::string& endpoint,
                             const endpoint::call& call,
                             const endpoint::reply& reply, base::instant now) {
    notice_pause(now);
    m_context.fleet.on_reply(endpoint, call, reply, now);
    settle_step();
}

void node::on_store_reply(const store::call& call, const store::reply& reply,
                          base::instant now) {
    notice_pause(now);
    if (call.kind != store::call_kind::vm_list &&
        m_recorder.owns_key(call.key)) {
        m_recorder.on_reply(call, reply);
    } else {
        m_configurator.on_reply(call, reply);
    }
    settle_step();
}

void node::on_peer_message(const std::string& from,
                           const wire::message& message, base::instant now) {
    notice_pause(now);
    if (from == m_context.config.id) {
        return;
    }
    m_peering.on_message(from, message);
    settle_step();
}

void node::tick(base::instant now) {
    notice_pause(now);
    m_configurator.advance();
    m_peering.advance();
    m_locator.advance();
    m_intake.advance();
    m_jobs.advance();
    m_recorder.advance();
    m_context.book.expire(now, m_context.config.answer_retention);
    settle_step(true);
    if (m_context.draining && !m_context.releasing) {
        bool busy = false;
        for (const auto& [id, item] : m_context.book.all()) {
            bool waits =
                !item->callers.empty() || !item->attached_members.empty();
            bool ends_here = item->at != stage::answered &&
                             item->at != stage::job && !item->lookup;
            busy |= waits && ends_here;
        }
        if (!busy) {
            m_context.releasing = true;
            m_jobs.hand_over_all();
            m_context.fleet.release_all_claims();
        }
    }
}

void node::drain(base::instant now) {
    notice_pause(now);
    m_context.draining = true;
    m_context.out.log({"drain_started", {}});
}

bool node::drained() const {
    if (!m_context.releasing || !m_recorder.idle()) {
        return false;
    }
    for (const auto& [name, at] : m_context.fleet.sessions()) {
        if (at->has_claim()) {
            return false;
        }
    }
    return true;
}

bool node::ready() const {
    bool can_place = m_context.fleet.totals().held_endpoints > 0;
    for (const membership::member* who : m_context.roster.possible_owners()) {
        can_place |= who->capacity_slots > 0;
    }
    return !m_context.draining && m_context.bundle_in_force && can_place;
}

std::string node::explain(const std::string& id) const {
    entry_ptr item = m_context.book.find(id);
    if (!item) {
        return "not known to this entry VM";
    }
    std::string out = std::string(to_string(item->at));
    switch (item->at) {
    case stage::locating:
        return out + ": asking the other entry VMs whether one has it";
    case stage::recording:
        return out + ": waiting for the platform's store to take the intent";
    case stage::queued: {
        const admission::work_item* work = m_context.queue.find(id);
        std::int64_t used = m_context.queue.slots_used(work->team);
        return out + ": rank " + std::to_string(work->rank) + ", " +
               std::to_string(m_context.queue.size()) +
               " items wait here, team " + work->team + " uses " +
               std::to_string(used) + " slots of its share on this VM";
    }
    case stage::placed: {
        std::string where;
        for (const auto& [task, endpoint] : item->open_tasks) {
            where += " " + endpoint;
        }
        return out + ": at" + where;
    }
    case stage::remote:
        return out + ": at entry VM " + item->home;
    case stage::job:
        return out + ": " + m_jobs.progress(id);
    case stage::held:
        return out + ": stopped " + std::to_string(item->times_stopped) +
               " times for other work; is queued again soon";
    case stage::answered:
        return out + ": " + base::to_string(item->final_answer.result) + " " +
               item->final_answer.detail;
    }
    return out;
}

} // namespace eelgrasslever::node
