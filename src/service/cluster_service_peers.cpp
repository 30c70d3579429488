// What VMs tell one another.
#include "eelgrasslever/service/cluster_service.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::service {

void cluster_service::on_member_item(const coordination::key_value& change) {
    std::string vm =
        change.key.substr(std::string(cluster::keys::member).size());
    auto now = base::monotonic_now();
    auto entry = change.deleted
                     ? base::result<nlohmann::json>()
                     : base::parse_object(change.value, "member.read", vm);
    if (!change.deleted && entry) {
        m_members.put(
            vm, {entry->value("peer", ""), entry->value("cores", 0.0)}, now);
    } else {
        m_members.remove(vm, now);
    }
    observe::log_event(change.deleted ? "member_left" : "member_seen",
                       {{"vm", vm}});
    refresh_peers();
}

// The leader learns of a job at once; the watch would tell it later.
void cluster_service::on_stored(const std::string& id,
                                const std::string& record) {
    wire::job_notice notice{m_election->known_term(), id, record};
    if (m_scheduler) {
        on_job_notice(notice);
        return;
    }
    const std::string& leader = m_election->leader();
    if (const member* at = m_members.find(leader.substr(0, leader.find('@')))) {
        send(at->peer_address, std::move(notice));
    }
}

void cluster_service::on_job_notice(const wire::job_notice& notice) {
    const cluster::job_entry* known = m_book.find(notice.id);
    bool ended =
        known != nullptr && workload::is_terminal(known->progress.state);
    if (!m_scheduler || !m_mandate || m_mandate->term != notice.term ||
        m_progress_at.contains(notice.id) || ended) {
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
    entry.cancel_requested = known != nullptr && known->cancel_requested;
    m_scheduler->on_job(entry, base::monotonic_now());
    tick_soon();
}

void cluster_service::on_end_notice(const wire::end_notice& notice) {
    auto now = base::monotonic_now();
    std::size_t rows = std::min(notice.ids.size(), notice.states.size());
    for (std::size_t i = 0; i < rows; ++i) {
        auto state = static_cast<workload::job_state>(notice.states[i]);
        bool valid = notice.states[i] >= 0 &&
                     notice.states[i] <=
                         static_cast<int>(workload::job_state::cancelled);
        if (valid && workload::is_terminal(state)) {
            m_book.note_end(notice.ids[i], state, now);
        }
    }
}

void cluster_service::send_end_notices() {
    wire::end_notice notice = std::exchange(m_ended, {});
    for (const auto& [name, address] : m_members.peers()) {
        send(address, notice);
    }
}

void cluster_service::refresh_peers() {
    auto now = base::monotonic_now();
    m_router->set_peers(m_members.peers());
    m_election->set_low_priority(m_members.outranked(now));
    if (m_scheduler) {
        m_scheduler->set_channels(m_members.names(), now);
    }
}

void cluster_service::consider_handover() {
    auto now = base::monotonic_now();
    m_election->set_low_priority(m_members.outranked(now));
    if (m_scheduler && m_members.should_hand_over(now)) {
        m_members.note_handover(now);
        m_election->hand_over();
    }
}

void cluster_service::send(const std::string& address, wire::message content) {
    if (address.empty()) {
        return;
    }
    // Replies go to the sender's own peer address.
    m_links->inbox().post(daemon::peer_send{
        address, wire::encode({m_options.peer_address, std::move(content)})});
}

void cluster_service::on_peer(daemon::peer_spoke&& message) {
    if (const auto* request =
            std::get_if<wire::advice_request>(&message.content)) {
        answer_advice(message.from, *request);
        return;
    }
    if (const auto* stored = std::get_if<wire::job_notice>(&message.content)) {
        on_job_notice(*stored);
        return;
    }
    if (const auto* ended = std::get_if<wire::end_notice>(&message.content)) {
        on_end_notice(*ended);
        return;
    }
    if (const auto* asked = std::get_if<wire::desk_request>(&message.content)) {
        m_router->on_request(message.from, *asked);
        return;
    }
    if (const auto* answer =
            std::get_if<wire::desk_response>(&message.content)) {
        m_router->on_response(*answer);
        return;
    }
    const auto* response = std::get_if<wire::advice_response>(&message.content);
    if (response == nullptr) {
        observe::log_event("peer_message_ignored", {{"from", message.from}});
        return;
    }
    constexpr std::uint64_t query_mask = 0xFFFFFFFF;
    cluster::advice_reply reply;
    reply.answered = response->answered;
    std::size_t rows =
        std::min(response->endpoints.size(), response->tickets.size());
    for (std::size_t i = 0; i < rows; ++i) {
        reply.admitted.emplace_back(response->endpoints[i],
                                    response->tickets[i]);
    }
    with_scheduler(response->query >> 32, [&](auto& to, auto now) {
        to.on_advice(response->query & query_mask, reply, now);
    });
}

void cluster_service::answer_advice(const std::string& reply_to,
                                    const wire::advice_request& request) {
    cluster::advice_call call;
    call.query = request.query;
    call.step = {request.job, request.occurrence, request.step, 0};
    call.candidates = request.candidates;
    call.timeout = request.timeout;
    m_advice.ask(call, [this, reply_to, query = request.query,
                        alive = m_alive](const cluster::advice_reply& reply) {
        if (!*alive) {
            return;
        }
        wire::advice_response out;
        out.query = query;
        out.answered = reply.answered;
        for (const auto& [endpoint, ticket] : reply.admitted) {
            out.endpoints.push_back(endpoint);
            out.tickets.push_back(ticket);
        }
        send(reply_to, std::move(out));
    });
}

} // namespace eelgrasslever::service
