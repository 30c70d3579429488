// Membership, and the messages that VMs exchange.
#include "eelgrasslever/service/cluster_service.hpp"

#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/service/member_record.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::service {

namespace {

/// A leader that reaches the store but whose view of the jobs is older than
/// this hands over, as behind a narrow link: it starts nothing meanwhile.
constexpr base::milliseconds max_leader_view_age{3000};

/// How long a former leader reports its leases. By then all of them have
/// expired: one lease, and the time for which an earlier leader may have gone
/// on.
constexpr base::milliseconds lease_report_period{13'000};
/// A leader of fewer endpoints calls them itself: a carrier is one more VM that
/// may fail while it holds orders.
constexpr std::size_t min_relayed_endpoints = 100;
/// At two starts a second for each endpoint a carrier makes some 250 calls a
/// second, a fifth of what the smallest VM can make.
constexpr std::size_t endpoints_per_carrier = 48;

} // namespace

std::string cluster_service::member_record() const {
    return encode({m_options.peer_address, m_options.cores,
                   m_options.failure_domain, m_has_loaded_jobs, true});
}

void cluster_service::on_member_change(const coordination::key_value& change) {
    std::string vm =
        change.key.substr(std::string(cluster::keys::member).size());
    auto now = base::monotonic_now();
    if (change.deleted) {
        m_members.remove(vm, now);
    } else if (auto entry = decode_member(change.value, vm)) {
        m_members.put(vm, *std::move(entry), now);
    } else {
        observe::log_error("entry_unreadable",
                           {{"why", entry.error().message()}});
        m_members.remove(vm, now);
    }
    observe::log_event(change.deleted ? "member_left" : "member_seen",
                       {{"vm", vm}});
    update_members();
}

// Notifies the leader of the job directly, as its watch reports it later.
void cluster_service::on_job_stored(const std::string& id,
                                    const std::string& record) {
    wire::accepted_job_notice notice{m_election->known_term(), id, record};
    if (m_scheduler) {
        on_accepted_job_notice(notice);
        return;
    }
    send_to_peer(leader_address(), std::move(notice));
}

std::string cluster_service::leader_address() const {
    const std::string& leader = m_election->leader();
    const std::string name = leader.substr(0, leader.find('@'));
    const member* entry = m_members.find(name);
    return entry == nullptr || name == m_options.vm ? std::string()
                                                    : entry->peer_address;
}

void cluster_service::on_accepted_job_notice(
    const wire::accepted_job_notice& notice) {
    const cluster::job_entry* entry_in_view = m_job_view.find(notice.id);
    bool is_finished = entry_in_view != nullptr &&
                       workload::is_terminal(entry_in_view->progress.state);
    if (!m_scheduler || !m_leadership || m_leadership->term != notice.term ||
        m_progress_revisions.contains(notice.id) || is_finished) {
        return;
    }
    auto job = workload::decode_job(notice.job, notice.id);
    if (!job) {
        observe::log_error("job_notice_unreadable",
                           {{"why", job.error().message()}});
        return;
    }
    cluster::job_entry entry;
    entry.job = std::make_shared<const workload::job>(*std::move(job));
    entry.cancel_requested =
        entry_in_view != nullptr && entry_in_view->cancel_requested;
    m_scheduler->on_job_accepted(entry, base::monotonic_now());
    schedule_tick();
}

void cluster_service::on_completion_notice(
    const wire::completion_notice& notice) {
    std::size_t rows = std::min(notice.ids.size(), notice.states.size());
    for (std::size_t i = 0; i < rows; ++i) {
        auto state = workload::to_job_state(notice.states[i]);
        if (state && workload::is_terminal(*state)) {
            m_job_service->adopt_state(notice.ids[i], *state);
        }
    }
}

void cluster_service::send_completion_notice() {
    kernel::activity measured(m_owner, activities::notices);
    const std::string frame = wire::encode(
        {m_options.peer_address, std::exchange(m_pending_completions, {})});
    for (const auto& [name, address] : m_members.peer_addresses()) {
        if (!address.empty()) {
            m_peer_links->inbox().post(daemon::send_peer_frame{address, frame});
        }
    }
}

// Repeated by the maintenance timer, as a report may be lost.
void cluster_service::send_lease_report() {
    auto now = base::monotonic_now();
    if (!m_former_leases || m_leadership ||
        now - m_led_until > lease_report_period) {
        return;
    }
    wire::lease_report report;
    report.term = m_former_leases->token;
    report.others_left = m_former_leases->other_expiry - now;
    for (const auto& [endpoint, expiry] : m_former_leases->expiries) {
        report.endpoints.push_back(endpoint);
        report.left.push_back(expiry - now);
    }
    const std::string frame =
        wire::encode({m_options.peer_address, std::move(report)});
    const std::string& leader = m_election->leader();
    const std::string successor = leader.substr(0, leader.find('@'));
    // A VM that the store turns away still sees itself as the leader.
    bool is_known =
        m_members.find(successor) != nullptr && successor != m_options.vm;
    for (const auto& [name, address] : m_members.peer_addresses()) {
        if (!address.empty() && name != m_options.vm &&
            (!is_known || name == successor)) {
            m_peer_links->inbox().post(daemon::send_peer_frame{address, frame});
        }
    }
}

void cluster_service::on_lease_report(const wire::lease_report& report) {
    if (!m_leadership) {
        return;
    }
    auto now = base::monotonic_now();
    cluster::lease_table leases;
    leases.token = report.term;
    leases.other_expiry = now + report.others_left;
    std::size_t rows = std::min(report.endpoints.size(), report.left.size());
    for (std::size_t i = 0; i < rows; ++i) {
        leases.expiries[report.endpoints[i]] = now + report.left[i];
    }
    if (m_scheduler) {
        m_scheduler->on_predecessor_leases(leases, now);
    } else {
        m_reported_leases = std::move(leases);
    }
}

void cluster_service::update_members() {
    auto now = base::monotonic_now();
    m_router->set_peers(m_members.peer_addresses());
    m_job_service->set_members(m_members.size());
    m_election->set_low_priority(m_members.is_outranked(now));
    m_following_timer.start_once(base::milliseconds(0));
    if (m_scheduler) {
        m_scheduler->set_channels(m_members.vm_names(), now);
        update_carriers();
    }
}

void cluster_service::update_carriers() {
    if (!m_scheduler) {
        return;
    }
    std::size_t endpoints = m_endpoint_listings.size();
    std::size_t count =
        endpoints < min_relayed_endpoints
            ? 0
            : (endpoints + endpoints_per_carrier - 1) / endpoints_per_carrier;
    m_orders.set_carriers(m_members.carriers(count));
}

void cluster_service::evaluate_handover() {
    auto now = base::monotonic_now();
    m_election->set_low_priority(m_members.is_outranked(now));
    if (m_scheduler && m_members.should_hand_over(now)) {
        std::string successor = m_members.preferred_successor(now);
        m_members.record_handover(now);
        m_election->hand_over(successor);
        return;
    }
    base::milliseconds view_age = now - m_cluster_watcher->current_as_of();
    if (m_scheduler && view_age > max_leader_view_age &&
        m_store.reachable(now) && m_members.has_loaded_peer()) {
        observe::log_event("leader_outdated",
                           {{"view_age_ms", std::to_string(view_age.count())}});
        m_election->hand_over("");
    }
}

void cluster_service::send_to_peer(const std::string& address,
                                   wire::message content) {
    if (address.empty()) {
        return;
    }
    // The envelope carries this VM's peer address, to which replies are sent.
    m_peer_links->inbox().post(daemon::send_peer_frame{
        address, wire::encode({m_options.peer_address, std::move(content)})});
}

void cluster_service::on_peer_message(daemon::peer_message_received&& message) {
    if (auto* replies = std::get_if<wire::reply_batch>(&message.content)) {
        m_orders.on_replies(message.from, std::move(*replies));
        return;
    }
    if (const auto* orders = std::get_if<wire::order_batch>(&message.content)) {
        m_carrier.on_orders(message.from, *orders);
        return;
    }
    kernel::activity measured(m_owner, activities::peers);
    if (const auto* advice_request =
            std::get_if<wire::advice_request>(&message.content)) {
        handle_advice_request(message.from, *advice_request);
        return;
    }
    if (const auto* accepted_job =
            std::get_if<wire::accepted_job_notice>(&message.content)) {
        on_accepted_job_notice(*accepted_job);
        return;
    }
    if (const auto* completion =
            std::get_if<wire::completion_notice>(&message.content)) {
        on_completion_notice(*completion);
        return;
    }
    if (const auto* lease_report =
            std::get_if<wire::lease_report>(&message.content)) {
        on_lease_report(*lease_report);
        return;
    }
    if (const auto* forwarded_request =
            std::get_if<wire::job_request>(&message.content)) {
        m_router->on_request(message.from, *forwarded_request);
        return;
    }
    if (const auto* forwarded_response =
            std::get_if<wire::job_response>(&message.content)) {
        m_router->on_response(*forwarded_response);
        return;
    }
    const auto* response = std::get_if<wire::advice_response>(&message.content);
    if (response == nullptr) {
        observe::log_event("peer_message_ignored", {{"from", message.from}});
        return;
    }
    constexpr std::uint64_t query_mask = 0xFFFFFFFF;
    if (!m_leadership || m_leadership->term != response->query >> 32) {
        observe::log_event("advice_reply_ignored", {{"from", message.from}});
        return;
    }
    cluster::advice_reply reply;
    reply.answered = response->answered;
    std::size_t rows =
        std::min(response->endpoints.size(), response->tickets.size());
    for (std::size_t i = 0; i < rows; ++i) {
        reply.admitted.emplace_back(response->endpoints[i],
                                    response->tickets[i]);
    }
    with_scheduler(m_leadership_generation, activities::advice,
                   [&](auto& scheduler, auto now) {
                       scheduler.on_advice(response->query & query_mask, reply,
                                           now);
                   });
}

void cluster_service::handle_advice_request(
    const std::string& reply_address, const wire::advice_request& request) {
    cluster::advice_call call;
    call.query = request.query;
    call.step = {request.job, request.occurrence, request.step, 0};
    call.candidates = request.candidates;
    call.timeout = request.timeout;
    m_advice.ask(call, [this, reply_address, query = request.query,
                        alive = m_alive](const cluster::advice_reply& reply) {
        if (!*alive) {
            return;
        }
        wire::advice_response response;
        response.query = query;
        response.answered = reply.answered;
        for (const auto& [endpoint, ticket] : reply.admitted) {
            response.endpoints.push_back(endpoint);
            response.tickets.push_back(ticket);
        }
        send_to_peer(reply_address, std::move(response));
    });
}

} // namespace eelgrasslever::service
