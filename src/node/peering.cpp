#include "eelgrasslever/node/peering.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/membership/rendezvous.hpp"
#include "eelgrasslever/node/configurator.hpp"
#include "eelgrasslever/node/job_coordinator.hpp"
#include "eelgrasslever/node/locator.hpp"
#include "eelgrasslever/node/request_handler.hpp"
#include "eelgrasslever/node/task_runner.hpp"

#include <utility>

namespace eelgrasslever::node {

namespace {

constexpr base::milliseconds member_retention{600 * 1000};
constexpr std::size_t max_remembered_heartbeats = 64;
constexpr base::milliseconds review_period{50};

} // namespace

wire::heartbeat peering::make_heartbeat(const std::string& member) {
    wire::heartbeat heartbeat;
    heartbeat.failure_domain = m_context.config.failure_domain;
    heartbeat.http_address = m_context.config.http_address;
    heartbeat.peer_address = m_context.config.peer_address;
    heartbeat.sequence = m_sequence;
    const membership::member* peer = m_context.membership_view.find(member);
    heartbeat.echo = peer != nullptr ? peer->last_sequence : 0;
    heartbeat.holdings_seen = peer != nullptr ? peer->holdings_revision : 0;
    heartbeat.draining = m_context.draining;
    heartbeat.left = m_departure_announced;
    heartbeat.bundle_version = m_context.bundle_version();
    heartbeat.list_version = m_context.configurator->vms().version;
    heartbeat.platform_reached = m_context.configurator->platform_reached();
    auto totals = m_context.endpoint_pool.totals();
    bool has_spare_capacity =
        m_context.queue.size() == 0 && !m_context.draining;
    heartbeat.free_slots =
        has_spare_capacity ? totals.capacity.slots - totals.committed.slots : 0;
    heartbeat.largest = totals.largest;
    heartbeat.capacity_slots = totals.capacity.slots;
    heartbeat.alive =
        m_context.membership_view.alive_members_in_fd(m_context.now);
    heartbeat.all_endpoints_held =
        m_context.membership_view.all_endpoints_held();
    return heartbeat;
}

void peering::on_message(const std::string& from,
                         const wire::message& message) {
    if (m_context.membership_view.on_any_message(from, m_context.now)) {
        recheck_queued_requests();
    }
    if (const auto* heartbeat = std::get_if<wire::heartbeat>(&message)) {
        on_heartbeat(from, *heartbeat);
    } else if (const auto* held = std::get_if<wire::holdings>(&message)) {
        m_context.membership_view.on_holdings(from, *held);
    } else if (const auto* document = std::get_if<wire::document>(&message)) {
        m_context.configurator->on_document(*document);
    } else if (const auto* question =
                   std::get_if<wire::locate_request>(&message)) {
        m_context.locator->on_locate(from, *question);
    } else if (const auto* reply =
                   std::get_if<wire::locate_response>(&message)) {
        m_context.locator->on_located(from, *reply);
    } else if (const auto* settled =
                   std::get_if<wire::request_result>(&message)) {
        on_settled(from, *settled);
    } else if (const auto* work = std::get_if<wire::forward>(&message)) {
        on_forward(from, *work);
    } else if (const auto* stop = std::get_if<wire::cancel>(&message)) {
        m_context.request_handler->cancel(stop->request_id);
    }
}

void peering::on_heartbeat(const std::string& from,
                           const wire::heartbeat& heartbeat) {
    bool was_known = m_context.membership_view.find(from) != nullptr;
    bool is_back =
        m_context.membership_view.on_heartbeat(from, heartbeat, m_context.now);
    m_context.configurator->send_missing_documents(
        from, heartbeat.bundle_version, heartbeat.list_version);
    if (heartbeat.holdings_seen != m_holdings_revision &&
        heartbeat.failure_domain == m_context.config.failure_domain) {
        send_holdings(from);
    }
    if (!is_back) {
        return;
    }
    m_context.effects.log(
        {"member_reachable",
         {{"member", from}, {"fd", heartbeat.failure_domain}}});
    if (was_known) {
        recheck_queued_requests();
    }
}

// A member that could not reach this VM may have started requests that are
// queued here, so the members are queried about each of them before it starts.
void peering::recheck_queued_requests() {
    m_context.distrust_first_marks();
    for (const admission::work_item* work : m_context.queue.all()) {
        request_entry_ptr entry = m_context.requests.find(work->request_id);
        if (entry && !entry->recorded) {
            entry->needs_locate = true;
        }
    }
}

void peering::on_settled(const std::string& from,
                         const wire::request_result& settled) {
    request_entry_ptr entry = m_context.requests.find(settled.request_id);
    bool awaits_member = entry && (entry->stage == request_stage::remote ||
                                   entry->stage == request_stage::locating);
    if (!awaits_member) {
        return;
    }
    bool is_from_owner = entry->owner.empty() || entry->owner == from;
    bool has_final_answer = settled.answer.result == base::outcome::completed ||
                            settled.answer.result == base::outcome::failed;
    if (!has_final_answer && !is_from_owner) {
        return;
    }
    entry->forward_pending = false;
    bool was_stopped = settled.kind == wire::request_result_kind::stopped;
    bool can_run_again = settled.kind != wire::request_result_kind::answered;
    if (!can_run_again || !entry->has_request) {
        m_context.request_handler->settle(entry, settled.answer);
        return;
    }
    if (was_stopped && !entry->request.repeatable) {
        m_context.request_handler->settle(
            entry, make_answer(base::outcome::failed, "it was stopped"));
        return;
    }
    if (was_stopped) {
        entry->has_started = true;
        entry->ever_sent = true;
    }
    entry->already_forwarded = true; // A request is forwarded only once.
    entry->needs_locate =
        entry->needs_locate || was_stopped ||
        m_context.locator->was_queried_by_other(settled.request_id);
    m_context.request_handler->enqueue(entry);
}

void peering::on_forward(const std::string& from, const wire::forward& work) {
    auto body = base::parse_object(work.request_text, "peer.forward", from);
    auto request =
        body ? admission::parse_request(*body, work.request_id)
             : base::result<admission::request>(tl::unexpected(body.error()));
    if (!request) {
        m_context.effects.log(
            {"peer_message_invalid",
             {{"peer", from}, {"why", request.error().message()}}});
        return;
    }
    request->timeout = work.remaining;
    m_context.request_handler->submit_forwarded(*request, from,
                                                was_sent_recently(work.echo));
}

bool peering::was_sent_recently(std::uint64_t sequence) const {
    auto found = m_heartbeat_times.find(sequence);
    return found != m_heartbeat_times.end() &&
           m_context.now - found->second <
               m_context.config.membership_timing.suspect_after;
}

void peering::send_holdings(const std::string& member) {
    wire::holdings held;
    held.revision = m_holdings_revision;
    held.endpoints = {m_last_holdings.begin(), m_last_holdings.end()};
    m_context.effects.send_to_peer(member, held);
}

void peering::update_ownership() {
    auto candidates = m_context.membership_view.eligible_members(
        m_context.draining, m_context.now);
    std::set<std::string> held;
    for (const auto& [name, session] : m_context.endpoint_pool.sessions()) {
        if (session->has_claim()) {
            held.insert(name);
        }
    }
    const auto& endpoints = m_context.configurator->domain_endpoints();
    if (candidates != m_candidates || endpoints != m_assigned_endpoints) {
        m_owners = membership::balanced_assignment(endpoints, candidates);
        m_candidates = candidates;
        m_assigned_endpoints = endpoints;
    }
    for (const std::string& name : endpoints) {
        // A draining VM keeps its claims until its work has finished.
        bool keeps_claim = m_context.draining && !m_context.releasing_claims &&
                           held.contains(name);
        auto owner = m_owners.find(name);
        bool is_own =
            owner != m_owners.end() && owner->second == m_context.config.id;
        m_context.endpoint_pool.set_claim_desired(name, is_own || keeps_claim);
    }
    if (held == m_last_holdings) {
        return;
    }
    m_last_holdings = held;
    m_holdings_revision++;
    for (const membership::member* member :
         m_context.membership_view.possible_owners()) {
        bool is_local =
            member->failure_domain == m_context.config.failure_domain;
        if (is_local &&
            m_context.membership_view.is_alive(*member, m_context.now)) {
            send_holdings(member->id);
        }
    }
}

void peering::advance() {
    if (m_context.now >= m_next_review) {
        m_next_review = m_context.now + review_period;
        review_members();
    }
    send_heartbeats();
}

void peering::review_members() {
    update_ownership();
    auto is_held_here = [this](const std::string& name) {
        return m_last_holdings.contains(name);
    };
    auto gone = m_context.membership_view.detect_gone_members(
        m_context.configurator->domain_endpoints(), is_held_here,
        m_context.now);
    for (const std::string& id : gone) {
        m_context.effects.log({"member_gone", {{"member", id}}});
        m_context.job_coordinator->request_scan();
    }
    m_context.membership_view.erase_departed_members(m_context.now,
                                                     member_retention);
    m_context.configurator->redistribute_quotas();
}

void peering::send_heartbeats() {
    if (m_context.now < m_next_heartbeat) {
        return;
    }
    m_next_heartbeat = m_context.now + m_context.config.heartbeat_period;
    m_sequence++;
    m_heartbeat_times[m_sequence] = m_context.now;
    while (m_heartbeat_times.size() > max_remembered_heartbeats) {
        m_heartbeat_times.erase(m_heartbeat_times.begin());
    }
    for (const auto& [id, member] : m_context.membership_view.members()) {
        if (!member.left) {
            m_context.effects.send_to_peer(id, make_heartbeat(id));
        }
    }
}

void peering::announce_departure() {
    m_departure_announced = true;
    m_sequence++;
    for (const auto& [id, member] : m_context.membership_view.members()) {
        m_context.effects.send_to_peer(id, make_heartbeat(id));
    }
}

} // namespace eelgrasslever::node
