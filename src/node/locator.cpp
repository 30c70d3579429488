#include "eelgrasslever/node/locator.hpp"

#include "eelgrasslever/node/configurator.hpp"
#include "eelgrasslever/node/intake.hpp"

namespace eelgrasslever::node {

namespace {

constexpr base::milliseconds round_limit{800};
constexpr base::milliseconds question_memory{120 * 1000};

bool worth_attaching(const entry& item) {
    if (item.lookup) {
        return false;
    }
    if (item.at != stage::answered) {
        return true;
    }
    if (item.final_answer.result == base::outcome::not_run) {
        return false;
    }
    // A repeatable request that ended in doubt may be tried again.
    bool again = item.final_answer.result == base::outcome::unknown &&
                 item.request.repeatable && item.open_tasks.empty();
    return !again;
}

bool may_have_run(const entry& item) {
    bool open_answer = item.at == stage::answered &&
                       item.final_answer.result == base::outcome::unknown;
    return item.ever_sent || item.in_doubt || item.handed_over || open_answer;
}

} // namespace

void locator::start(const entry_ptr& item) {
    const std::string id = item->request.id;
    item->at = stage::locating;
    item->home.clear();
    round next;
    next.query = m_next_query++;
    next.give_up = m_context.now + round_limit;
    if (!m_context.configurator->has_list() ||
        !m_context.roster.vms_without_contact().empty()) {
        next.undecided = true;
        next.local_doubt = !m_context.configurator->has_list();
    }
    if (m_context.book.has_open_tasks_under(id)) {
        next.undecided = true;
        next.local_doubt = true;
    }
    for (const membership::member* who : m_context.roster.possible_owners()) {
        if (!m_context.roster.is_alive(*who, m_context.now)) {
            next.undecided = true;
            next.local_doubt |=
                who->failure_domain == m_context.roster.failure_domain();
            continue;
        }
        next.waiting.insert(who->id);
    }
    auto asked = next.waiting;
    std::uint64_t query = next.query;
    m_rounds[id] = std::move(next);
    for (const std::string& member : asked) {
        m_context.out.send_peer(member, wire::locate{query, id, true, true});
    }
    finish_if_complete(id);
}

void locator::ask_home(const entry_ptr& item) {
    round single;
    single.query = m_next_query++;
    single.waiting.insert(item->home);
    single.give_up = m_context.now + round_limit;
    std::uint64_t query = single.query;
    m_rounds[item->request.id] = std::move(single);
    m_context.out.send_peer(item->home,
                            wire::locate{query, item->request.id, true, false});
}

bool locator::goes_first(const std::string& id,
                         const std::string& other) const {
    auto own = m_rounds.find(id);
    if (own == m_rounds.end()) {
        return false;
    }
    bool other_gave_way = !own->second.waiting.contains(other);
    return other_gave_way || m_context.roster.self_id() < other;
}

void locator::on_locate(const std::string& from, const wire::locate& question) {
    const std::string& id = question.request_id;
    wire::located reply{question.query, id, wire::verdict::unknown, false};
    entry_ptr item = m_context.book.find(id);
    bool known = item && worth_attaching(*item);
    bool gives_way = known && item->at == stage::locating && !item->ever_sent &&
                     !goes_first(id, from);
    // What waits for another member is not here: that member answers for
    // itself, and pointers that are followed could lead in a circle.
    bool elsewhere = known && item->at == stage::remote;
    if (known && !gives_way && !elsewhere) {
        reply.found = wire::verdict::mine;
        if (item->at == stage::answered) {
            m_context.out.send_peer(from, reply);
            m_context.out.send_peer(
                from, wire::settled{id, wire::settled_kind::answered,
                                    item->final_answer});
            return;
        }
        if (question.attach) {
            item->attached_members.insert(from);
        }
        m_context.out.send_peer(from, reply);
        return;
    }
    m_asked[id] = m_context.now + question_memory;
    auto own = m_rounds.find(id);
    if (gives_way && own != m_rounds.end()) {
        own->second.gave_way = true;
    }
    bool silent_member =
        question.cell_wide &&
        m_context.roster.any_member_suspected(from, m_context.now);
    if (silent_member || m_context.book.has_open_tasks_under(id)) {
        reply.found = wire::verdict::undecided;
    }
    reply.ran_before = item && may_have_run(*item);
    m_context.out.send_peer(from, reply);
}

void locator::on_located(const std::string& from, const wire::located& reply) {
    auto found = m_rounds.find(reply.request_id);
    if (found == m_rounds.end() || found->second.query != reply.query ||
        found->second.waiting.erase(from) == 0) {
        return;
    }
    entry_ptr item = m_context.book.find(reply.request_id);
    if (item && reply.ran_before) {
        item->in_doubt = true;
        item->proven_new = false;
    }
    if (reply.found == wire::verdict::mine) {
        finish(reply.request_id, wire::verdict::mine, from);
        return;
    }
    if (reply.found == wire::verdict::undecided) {
        found->second.undecided = true;
        const membership::member* who = m_context.roster.find(from);
        found->second.local_doubt |=
            who != nullptr &&
            who->failure_domain == m_context.roster.failure_domain();
    }
    finish_if_complete(reply.request_id);
}

void locator::finish_if_complete(const std::string& id) {
    auto found = m_rounds.find(id);
    if (found == m_rounds.end() || !found->second.waiting.empty()) {
        return;
    }
    if (found->second.gave_way && !found->second.undecided) {
        entry_ptr item = m_context.book.find(id);
        m_rounds.erase(found);
        if (item && item->at == stage::locating) {
            start(item);
        }
        return;
    }
    finish(id,
           found->second.undecided ? wire::verdict::undecided
                                   : wire::verdict::unknown,
           "");
}

void locator::finish(const std::string& id, wire::verdict found,
                     const std::string& home) {
    bool local_doubt = m_rounds[id].local_doubt;
    m_rounds.erase(id);
    entry_ptr item = m_context.book.find(id);
    if (!item) {
        return;
    }
    bool lost_there = item->at == stage::remote &&
                      found == wire::verdict::unknown &&
                      m_context.now >= item->doubt_until;
    if (lost_there) {
        // The home lost it, by a restart or a message that never arrived.
        item->needs_locate = true;
        start(item);
        return;
    }
    m_context.intake->on_located(item, found, home, local_doubt);
}

void locator::advance() {
    std::vector<std::string> late;
    for (auto& [id, at] : m_rounds) {
        if (m_context.now >= at.give_up) {
            late.push_back(id);
        }
    }
    for (const std::string& id : late) {
        round& at = m_rounds[id];
        for (const std::string& member : at.waiting) {
            const membership::member* who = m_context.roster.find(member);
            at.local_doubt |=
                who != nullptr &&
                who->failure_domain == m_context.roster.failure_domain();
        }
        at.undecided = true;
        at.waiting.clear();
        finish_if_complete(id);
    }
    std::erase_if(m_asked, [this](const auto& item) {
        return item.second < m_context.now;
    });
}

bool locator::asked_by_other(const std::string& id) const {
    return m_asked.contains(id);
}

} // namespace eelgrasslever::node
