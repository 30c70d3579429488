#include "eelgrasslever/daemon/scheduler_task.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <set>
#include <utility>

namespace eelgrasslever::daemon {

namespace {

constexpr base::milliseconds tick_period{20};
constexpr base::milliseconds min_reset_interval{2000};
/// A peer whose echo lags behind by more heartbeats does not receive them.
constexpr std::uint64_t max_unechoed_heartbeats = 6;

std::string rank_label(int rank) {
    static const char* const names[] = {
        "paying_urgent", "paying_service", "paying_gang", "paying_batch",
        "trial_urgent",  "trial_service",  "trial_gang",  "trial_batch"};
    return std::string("class=\"") + names[rank] + "\"";
}

} // namespace

scheduler_task::scheduler_task(kernel::loop& event_loop,
                               const node::node_config& config,
                               std::vector<std::string> seeds,
                               observe::metrics& metrics,
                               observe::tracer& tracer)
    : m_config(config), m_seeds(std::move(seeds)), m_metrics(metrics),
      m_tracer(tracer), m_inbox(event_loop,
                                [this](scheduler_message&& message) {
                                    on_message(std::move(message));
                                }),
      m_node(config, *this), m_tick(event_loop, [this] { on_tick(); }) {}

void scheduler_task::connect(kernel::mailbox<api_message>* api,
                             kernel::mailbox<endpoint_call>* endpoints,
                             kernel::mailbox<store::call>* store,
                             kernel::mailbox<peer_link_message>* links) {
    m_api = api;
    m_endpoints = endpoints;
    m_store = store;
    m_links = links;
    m_tick.start_every(tick_period);
}

void scheduler_task::on_message(scheduler_message&& message) {
    base::instant now = base::monotonic_now();
    if (auto* submission = std::get_if<submit_request>(&message)) {
        m_node.submit(submission->request, submission->caller, now);
    } else if (auto* status_wait = std::get_if<await_request>(&message)) {
        m_node.wait_for_answer(status_wait->id, status_wait->caller, now);
    } else if (auto* cancellation = std::get_if<cancel_request>(&message)) {
        m_node.cancel(cancellation->id, now);
    } else if (auto* detached = std::get_if<detach_caller>(&message)) {
        m_node.detach_caller(detached->id, detached->caller, now);
    } else if (auto* bundle = std::get_if<roll_out_bundle>(&message)) {
        m_node.roll_out(
            bundle->envelope_text,
            [this, caller = bundle->caller](base::result<void> result) {
                m_api->post(rollout_finished{caller, std::move(result)});
            },
            now);
    } else if (auto* endpoint_reply = std::get_if<endpoint_replied>(&message)) {
        m_node.on_endpoint_reply(endpoint_reply->endpoint, endpoint_reply->call,
                                 endpoint_reply->reply, now);
    } else if (auto* store_reply = std::get_if<store_replied>(&message)) {
        m_node.on_store_reply(store_reply->call, store_reply->reply, now);
    } else if (auto* received = std::get_if<peer_message_received>(&message)) {
        if (const auto* heartbeat =
                std::get_if<wire::heartbeat>(&received->content)) {
            reset_one_way_link(received->from, *heartbeat);
        }
        m_node.on_peer_message(received->from, received->content, now);
    }
}

// Heartbeats arrive from the peer, but their echo shows that it does not
// receive ours: a middlebox has lost the state of our connection, so it is
// reopened.
void scheduler_task::reset_one_way_link(const std::string& from,
                                        const wire::heartbeat& heartbeat) {
    std::uint64_t sent = m_node.make_heartbeat(from).sequence;
    bool is_unheard =
        heartbeat.echo != 0 && heartbeat.echo + max_unechoed_heartbeats < sent;
    base::instant now = base::monotonic_now();
    if (!is_unheard || now - m_last_reset[from] < min_reset_interval) {
        return;
    }
    m_last_reset[from] = now;
    observe::log_event("peer_link_reset", {{"member", from}});
    m_links->post(reset_peer_link{heartbeat.peer_address});
}

void scheduler_task::on_tick() {
    m_node.tick(base::monotonic_now());
    contact_unknown_members();
}

// Sends a heartbeat to configured seeds and listed entry VMs that are not
// members yet, so that they learn of this process.
void scheduler_task::contact_unknown_members() {
    base::instant now = base::monotonic_now();
    if (now < m_next_contact) {
        return;
    }
    m_next_contact = now + m_config.heartbeat_period;
    const node::context& state = m_node.state();
    std::set<std::string> addresses(m_seeds.begin(), m_seeds.end());
    for (const auto& [name, record] : state.configurator->vms().vms) {
        if (record.role == membership::vm_role::entry) {
            addresses.insert(record.peer_address);
        }
    }
    for (const auto& [id, member] : state.membership_view.members()) {
        addresses.erase(member.peer_address);
    }
    addresses.erase(m_config.peer_address);
    addresses.erase("");
    if (addresses.empty()) {
        return;
    }
    std::string frame = wire::encode({m_config.id, m_node.make_heartbeat("")});
    for (const std::string& address : addresses) {
        m_links->post(send_peer_frame{address, frame});
    }
}

void scheduler_task::call_endpoint(const std::string& endpoint,
                                   const endpoint::call& call) {
    const auto& vms = m_node.state().configurator->vms().vms;
    auto found = vms.find(endpoint);
    std::string address =
        found == vms.end() ? std::string() : found->second.address;
    m_metrics.add(std::string("endpoint_calls_total{kind=\"") +
                  endpoint::to_string(call.kind) + "\"}");
    m_metrics.add("task_starts_total", static_cast<double>(call.starts.size()));
    m_endpoints->post(endpoint_call{endpoint, address, call});
}

void scheduler_task::call_store(const store::call& call) {
    m_store->post(call);
}

void scheduler_task::send_to_peer(const std::string& member_id,
                                  const wire::message& message) {
    const membership::member* member =
        m_node.state().membership_view.find(member_id);
    if (member == nullptr || member->peer_address.empty()) {
        return;
    }
    m_links->post(send_peer_frame{member->peer_address,
                                  wire::encode({m_config.id, message})});
}

void scheduler_task::send_answer(caller_token caller, const std::string& id,
                                 const base::answer& answer) {
    m_metrics.add(std::string("answers_total{outcome=\"") +
                  base::to_string(answer.result) + "\"}");
    m_api->post(final_answer{caller, id, answer});
}

void scheduler_task::send_accepted(caller_token caller, const std::string& id) {
    m_api->post(job_accepted{caller, id});
}

void scheduler_task::log(const node::log_line& line) {
    observe::log_event(line.event, line.fields);
}

void scheduler_task::record_span(const node::span_record& record) {
    auto parent = observe::parse_traceparent(record.traceparent);
    if (!parent) {
        return;
    }
    observe::span out;
    out.context = m_tracer.child_of(parent);
    out.parent_span_id = parent->span_id;
    out.name = record.name;
    out.process = m_tracer.process();
    out.request_id = record.request_id;
    out.start_unix_ms =
        record.start.time_since_epoch().count() + m_config.unix_offset_ms;
    out.duration = record.end - record.start;
    m_tracer.record(std::move(out));
}

void scheduler_task::observe_queue_wait(int rank, base::milliseconds wait) {
    constexpr double milliseconds_per_second = 1000.0;
    m_metrics.observe("waiting_seconds", rank_label(rank),
                      static_cast<double>(wait.count()) /
                          milliseconds_per_second);
}

} // namespace eelgrasslever::daemon
