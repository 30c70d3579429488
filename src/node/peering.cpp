#include "eelgrasslever/node/peering.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/membership/rendezvous.hpp"
#include "eelgrasslever/node/configurator.hpp"
#include "eelgrasslever/node/intake.hpp"
#include "eelgrasslever/node/jobs.hpp"
#include "eelgrasslever/node/locator.hpp"
#include "eelgrasslever/node/runner.hpp"

#include <utility>

namespace eelgrasslever::node {

namespace {

constexpr base::milliseconds member_memory{600 * 1000};
constexpr std::size_t remembered_beats = 64;
constexpr base::milliseconds review_period{50};

} // namespace

wire::heartbeat peering::make_heartbeat(const std::string& member) {
    wire::heartbeat beat;
    beat.failure_domain = m_context.config.failure_domain;
    beat.http_address = m_context.config.http_address;
    beat.peer_address = m_context.config.peer_address;
    beat.sequence = m_sequence;
    const membership::member* who = m_context.roster.find(member);
    beat.echo = who != nullptr ? who->last_sequence : 0;
    beat.holdings_seen = who != nullptr ? who->holdings_revision : 0;
    beat.draining = m_context.draining;
    beat.left = m_said_left;
    beat.bundle_version = m_context.bundle_version();
    beat.list_version = m_context.configurator->vms().version;
    beat.platform_reached = m_context.configurator->platform_reached();
    auto totals = m_context.fleet.totals();
    bool spare = m_context.queue.size() == 0 && !m_context.draining;
    beat.free_slots =
        spare ? totals.capacity.slots - totals.committed.slots : 0;
    beat.largest = totals.largest;
    beat.capacity_slots = totals.capacity.slots;
    beat.alive = m_context.roster.alive_members_in_fd(m_context.now);
    beat.settled = m_context.roster.all_endpoints_held();
    return beat;
}

void peering::on_message(const std::string& from,
                         const wire::message& message) {
    if (m_context.roster.on_any_message(from, m_context.now)) {
        on_doubtful_past();
    }
    if (const auto* beat = std::get_if<wire::heartbeat>(&message)) {
        on_heartbeat(from, *beat);
    } else if (const auto* held = std::get_if<wire::holdings>(&message)) {
        m_context.roster.on_holdings(from, *held);
    } else if (const auto* document = std::get_if<wire::document>(&message)) {
        m_context.configurator->on_document(*document);
    } else if (const auto* question = std::get_if<wire::locate>(&message)) {
        m_context.locator->on_locate(from, *question);
    } else if (const auto* reply = std::get_if<wire::located>(&message)) {
        m_context.locator->on_located(from, *reply);
    } else if (const auto* ended = std::get_if<wire::settled>(&message)) {
        on_settled(from, *ended);
    } else if (const auto* work = std::get_if<wire::forward>(&message)) {
        on_forward(from, *work);
    } else if (const auto* stop = std::get_if<wire::cancel>(&message)) {
        m_context.intake->cancel(stop->request_id);
    }
}

void peering::on_heartbeat(const std::string& from,
                           const wire::heartbeat& beat) {
    bool known = m_context.roster.find(from) != nullptr;
    bool back = m_context.roster.on_heartbeat(from, beat, m_context.now);
    m_context.configurator->relay_to(from, beat.bundle_version,
                                     beat.list_version);
    if (beat.holdings_seen != m_holdings_revision &&
        beat.failure_domain == m_context.config.failure_domain) {
        send_holdings(from);
    }
    if (!back) {
        return;
    }
    m_context.out.log(
        {"member_heard", {{"member", from}, {"fd", beat.failure_domain}}});
    if (known) {
        on_doubtful_past();
    }
}

// While a member could not hear us it may have taken up requests that wait
// here; each is asked about again before it starts.
void peering::on_doubtful_past() {
    m_context.distrust_first_marks();
    for (const admission::work_item* work : m_context.queue.all()) {
        entry_ptr item = m_context.book.find(work->request_id);
        if (item && !item->recorded) {
            item->needs_locate = true;
        }
    }
}

void peering::on_settled(const std::string& from, const wire::settled& ended) {
    entry_ptr item = m_context.book.find(ended.request_id);
    bool waits =
        item && (item->at == stage::remote || item->at == stage::locating);
    if (!waits) {
        return;
    }
    bool from_home = item->home.empty() || item->home == from;
    bool final_here = ended.answer.result == base::outcome::completed ||
                      ended.answer.result == base::outcome::failed;
    if (!final_here && !from_home) {
        return;
    }
    item->handed_over = false;
    bool stopped = ended.kind == wire::settled_kind::stopped;
    bool again = ended.kind != wire::settled_kind::answered;
    if (!again || !item->has_request) {
        m_context.intake->settle(item, ended.answer);
        return;
    }
    if (stopped && !item->request.repeatable) {
        m_context.intake->settle(
            item, make_answer(base::outcome::failed, "it was stopped"));
        return;
    }
    if (stopped) {
        item->ran = true;
        item->ever_sent = true;
    }
    item->forwarded_here = true; // It is not handed over a second time.
    item->needs_locate = item->needs_locate || stopped ||
                         m_context.locator->asked_by_other(ended.request_id);
    m_context.intake->enqueue(item);
}

void peering::on_forward(const std::string& from, const wire::forward& work) {
    auto body = base::parse_object(work.request_text, "peer.forward", from);
    auto request =
        body ? admission::parse_request(*body, work.request_id)
             : base::result<admission::request>(tl::unexpected(body.error()));
    if (!request) {
        m_context.out.log(
            {"peer_message_invalid",
             {{"peer", from}, {"why", request.error().message()}}});
        return;
    }
    request->timeout = work.remaining;
    m_context.intake->submit_forwarded(*request, from, sent_lately(work.echo));
}

bool peering::sent_lately(std::uint64_t sequence) const {
    auto found = m_sent_at.find(sequence);
    return found != m_sent_at.end() &&
           m_context.now - found->second <
               m_context.config.membership_timing.suspect_after;
}

void peering::send_holdings(const std::string& member) {
    wire::holdings held;
    held.revision = m_holdings_revision;
    held.endpoints = {m_last_holdings.begin(), m_last_holdings.end()};
    m_context.out.send_peer(member, held);
}

void peering::update_ownership() {
    auto candidates =
        m_context.roster.eligible_members(m_context.draining, m_context.now);
    std::set<std::string> held;
    for (const auto& [name, at] : m_context.fleet.sessions()) {
        if (at->has_claim()) {
            held.insert(name);
        }
    }
    const auto& endpoints = m_context.configurator->endpoints_here();
    if (candidates != m_candidates || endpoints != m_assigned_endpoints) {
        m_owners = membership::balanced_assignment(endpoints, candidates);
        m_candidates = candidates;
        m_assigned_endpoints = endpoints;
    }
    for (const std::string& name : endpoints) {
        // With work in flight a stopping VM keeps what it holds.
        bool keep =
            m_context.draining && !m_context.releasing && held.contains(name);
        auto owner = m_owners.find(name);
        bool ours =
            owner != m_owners.end() && owner->second == m_context.config.id;
        m_context.fleet.set_claim_desired(name, ours || keep);
    }
    if (held == m_last_holdings) {
        return;
    }
    m_last_holdings = held;
    m_holdings_revision++;
    for (const membership::member* who : m_context.roster.possible_owners()) {
        bool here = who->failure_domain == m_context.config.failure_domain;
        if (here && m_context.roster.is_alive(*who, m_context.now)) {
            send_holdings(who->id);
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
    auto held_here = [this](const std::string& name) {
        return m_last_holdings.contains(name);
    };
    auto gone = m_context.roster.detect_gone_members(
        m_context.configurator->endpoints_here(), held_here, m_context.now);
    for (const std::string& id : gone) {
        m_context.out.log({"member_gone", {{"member", id}}});
        m_context.jobs->scan_soon();
    }
    m_context.roster.erase_departed_members(m_context.now, member_memory);
    m_context.configurator->apply_quotas();
}

void peering::send_heartbeats() {
    if (m_context.now < m_next_beat) {
        return;
    }
    m_next_beat = m_context.now + m_context.config.heartbeat_period;
    m_sequence++;
    m_sent_at[m_sequence] = m_context.now;
    while (m_sent_at.size() > remembered_beats) {
        m_sent_at.erase(m_sent_at.begin());
    }
    for (const auto& [id, who] : m_context.roster.members()) {
        if (!who.left) {
            m_context.out.send_peer(id, make_heartbeat(id));
        }
    }
}

void peering::say_left() {
    m_said_left = true;
    m_sequence++;
    for (const auto& [id, who] : m_context.roster.members()) {
        m_context.out.send_peer(id, make_heartbeat(id));
    }
}

} // namespace eelgrasslever::node
