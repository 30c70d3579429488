#include "eelgrasslever/node/locator.hpp"

#include "eelgrasslever/node/configurator.hpp"
#include "eelgrasslever/node/request_handler.hpp"

namespace eelgrasslever::node {

namespace {

constexpr base::milliseconds round_timeout{800};
constexpr base::milliseconds query_retention{120 * 1000};

bool can_be_attached_to(const request_entry& entry) {
    if (entry.is_lookup) {
        return false;
    }
    if (entry.stage != request_stage::answered) {
        return true;
    }
    if (entry.final_answer.result == base::outcome::not_run) {
        return false;
    }
    // A repeatable request with an uncertain outcome may be run again.
    bool can_retry = entry.final_answer.result == base::outcome::unknown &&
                     entry.request.repeatable && entry.open_tasks.empty();
    return !can_retry;
}

bool may_have_run(const request_entry& entry) {
    bool has_uncertain_answer =
        entry.stage == request_stage::answered &&
        entry.final_answer.result == base::outcome::unknown;
    return entry.ever_sent || entry.in_doubt || entry.forward_pending ||
           has_uncertain_answer;
}

} // namespace

void locator::start_round(const request_entry_ptr& entry) {
    const std::string id = entry->request.id;
    entry->stage = request_stage::locating;
    entry->owner.clear();
    query_round round;
    round.query = m_next_query++;
    round.times_out_at = m_context.now + round_timeout;
    if (!m_context.configurator->has_vm_list() ||
        !m_context.membership_view.vms_without_contact().empty()) {
        round.undecided = true;
        round.local_doubt = !m_context.configurator->has_vm_list();
    }
    if (m_context.requests.has_open_subtasks(id)) {
        round.undecided = true;
        round.local_doubt = true;
    }
    for (const membership::member* member :
         m_context.membership_view.possible_owners()) {
        if (!m_context.membership_view.is_alive(*member, m_context.now)) {
            round.undecided = true;
            round.local_doubt |= member->failure_domain ==
                                 m_context.membership_view.failure_domain();
            continue;
        }
        round.awaited.insert(member->id);
    }
    auto members = round.awaited;
    std::uint64_t query = round.query;
    m_rounds[id] = std::move(round);
    for (const std::string& member : members) {
        m_context.effects.send_to_peer(
            member, wire::locate_request{query, id, true, true});
    }
    finish_round_if_complete(id);
}

void locator::query_owner(const request_entry_ptr& entry) {
    query_round round;
    round.query = m_next_query++;
    round.awaited.insert(entry->owner);
    round.times_out_at = m_context.now + round_timeout;
    std::uint64_t query = round.query;
    m_rounds[entry->request.id] = std::move(round);
    m_context.effects.send_to_peer(
        entry->owner,
        wire::locate_request{query, entry->request.id, true, false});
}

bool locator::has_priority_over(const std::string& id,
                                const std::string& other) const {
    auto own_round = m_rounds.find(id);
    if (own_round == m_rounds.end()) {
        return false;
    }
    bool other_answered_unknown = !own_round->second.awaited.contains(other);
    return other_answered_unknown ||
           m_context.membership_view.self_id() < other;
}

void locator::on_locate(const std::string& from,
                        const wire::locate_request& question) {
    const std::string& id = question.request_id;
    wire::locate_response reply{question.query, id,
                                wire::locate_result::unknown, false};
    request_entry_ptr entry = m_context.requests.find(id);
    bool is_known = entry && can_be_attached_to(*entry);
    bool yields = is_known && entry->stage == request_stage::locating &&
                  !entry->ever_sent && !has_priority_over(id, from);
    // A request that is owned by another member is not reported as known: that
    // member answers for itself, and following such references could lead in a
    // circle.
    bool is_remote = is_known && entry->stage == request_stage::remote;
    if (is_known && !yields && !is_remote) {
        reply.result = wire::locate_result::known;
        if (entry->stage == request_stage::answered) {
            m_context.effects.send_to_peer(from, reply);
            m_context.effects.send_to_peer(
                from,
                wire::request_result{id, wire::request_result_kind::answered,
                                     entry->final_answer});
            return;
        }
        if (question.attach) {
            entry->attached_members.insert(from);
        }
        m_context.effects.send_to_peer(from, reply);
        return;
    }
    m_queries_by_others[id] = m_context.now + query_retention;
    auto own_round = m_rounds.find(id);
    if (yields && own_round != m_rounds.end()) {
        own_round->second.yielded = true;
    }
    bool is_member_silent =
        question.cell_wide &&
        m_context.membership_view.any_member_suspected(from, m_context.now);
    if (is_member_silent || m_context.requests.has_open_subtasks(id)) {
        reply.result = wire::locate_result::undecided;
    }
    reply.ran_before = entry && may_have_run(*entry);
    m_context.effects.send_to_peer(from, reply);
}

void locator::on_located(const std::string& from,
                         const wire::locate_response& reply) {
    auto found = m_rounds.find(reply.request_id);
    if (found == m_rounds.end() || found->second.query != reply.query ||
        found->second.awaited.erase(from) == 0) {
        return;
    }
    request_entry_ptr entry = m_context.requests.find(reply.request_id);
    if (entry && reply.ran_before) {
        entry->in_doubt = true;
        entry->proven_new = false;
    }
    if (reply.result == wire::locate_result::known) {
        finish_round(reply.request_id, wire::locate_result::known, from);
        return;
    }
    if (reply.result == wire::locate_result::undecided) {
        found->second.undecided = true;
        const membership::member* member = m_context.membership_view.find(from);
        found->second.local_doubt |=
            member != nullptr && member->failure_domain ==
                                     m_context.membership_view.failure_domain();
    }
    finish_round_if_complete(reply.request_id);
}

void locator::finish_round_if_complete(const std::string& id) {
    auto found = m_rounds.find(id);
    if (found == m_rounds.end() || !found->second.awaited.empty()) {
        return;
    }
    if (found->second.yielded && !found->second.undecided) {
        request_entry_ptr entry = m_context.requests.find(id);
        m_rounds.erase(found);
        if (entry && entry->stage == request_stage::locating) {
            start_round(entry);
        }
        return;
    }
    finish_round(id,
                 found->second.undecided ? wire::locate_result::undecided
                                         : wire::locate_result::unknown,
                 "");
}

void locator::finish_round(const std::string& id, wire::locate_result verdict,
                           const std::string& owner) {
    bool local_doubt = m_rounds[id].local_doubt;
    m_rounds.erase(id);
    request_entry_ptr entry = m_context.requests.find(id);
    if (!entry) {
        return;
    }
    bool lost_by_owner = entry->stage == request_stage::remote &&
                         verdict == wire::locate_result::unknown &&
                         m_context.now >= entry->doubt_until;
    if (lost_by_owner) {
        // The owner no longer has the request, because it restarted or the
        // message that forwarded the request was lost.
        entry->needs_locate = true;
        start_round(entry);
        return;
    }
    m_context.request_handler->on_located(entry, verdict, owner, local_doubt);
}

void locator::advance() {
    std::vector<std::string> timed_out;
    for (auto& [id, round] : m_rounds) {
        if (m_context.now >= round.times_out_at) {
            timed_out.push_back(id);
        }
    }
    for (const std::string& id : timed_out) {
        query_round& round = m_rounds[id];
        for (const std::string& member_id : round.awaited) {
            const membership::member* member =
                m_context.membership_view.find(member_id);
            round.local_doubt |= member != nullptr &&
                                 member->failure_domain ==
                                     m_context.membership_view.failure_domain();
        }
        round.undecided = true;
        round.awaited.clear();
        finish_round_if_complete(id);
    }
    std::erase_if(m_queries_by_others, [this](const auto& question) {
        return question.second < m_context.now;
    });
}

bool locator::was_queried_by_other(const std::string& id) const {
    return m_queries_by_others.contains(id);
}

} // namespace eelgrasslever::node
