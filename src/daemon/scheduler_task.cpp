#include "eelgrasslever/daemon/scheduler_task.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <set>
#include <utility>

namespace eelgrasslever::daemon {

namespace {

constexpr base::milliseconds tick_period{20};
constexpr base::milliseconds reset_period{2000};
constexpr std::uint64_t unheard_beats_limit = 6;

std::string rank_label(int rank) {
    static const char* const names[] = {
        "paying_urgent", "paying_service", "paying_gang", "paying_batch",
        "trial_urgent",  "trial_service",  "trial_gang",  "trial_batch"};
    return std::string("class=\"") + names[rank] + "\"";
}

} // namespace

scheduler_task::scheduler_task(kernel::loop& owner,
                               const node::node_config& config,
                               std::vector<std::string> seeds,
                               observe::metrics& numbers,
                               observe::tracer& spans)
    : m_config(config), m_seeds(std::move(seeds)), m_metrics(numbers),
      m_tracer(spans), m_inbox(owner,
                               [this](to_scheduler&& message) {
                                   on_message(std::move(message));
                               }),
      m_node(config, *this), m_tick(owner, [this] { on_tick(); }) {}

void scheduler_task::connect(kernel::mailbox<to_front>* front,
                             kernel::mailbox<endpoint_call>* endpoints,
                             kernel::mailbox<store::call>* platform,
                             kernel::mailbox<to_links>* links) {
    m_front = front;
    m_endpoints = endpoints;
    m_platform = platform;
    m_links = links;
    m_tick.start_every(tick_period);
}

void scheduler_task::on_message(to_scheduler&& message) {
    base::instant now = base::monotonic_now();
    if (auto* work = std::get_if<submit_request>(&message)) {
        m_node.submit(work->request, work->caller, now);
    } else if (auto* wait = std::get_if<await_request>(&message)) {
        m_node.wait_for_answer(wait->id, wait->caller, now);
    } else if (auto* stop = std::get_if<cancel_request>(&message)) {
        m_node.cancel(stop->id, now);
    } else if (auto* left = std::get_if<caller_left>(&message)) {
        m_node.detach_caller(left->id, left->caller, now);
    } else if (auto* bundle = std::get_if<roll_out_bundle>(&message)) {
        m_node.roll_out(
            bundle->envelope_text,
            [this, caller = bundle->caller](base::result<void> result) {
                m_front->post(rollout_ended{caller, std::move(result)});
            },
            now);
    } else if (auto* reply = std::get_if<endpoint_replied>(&message)) {
        m_node.on_endpoint_reply(reply->endpoint, reply->call, reply->reply,
                                 now);
    } else if (auto* stored = std::get_if<store_replied>(&message)) {
        m_node.on_store_reply(stored->call, stored->reply, now);
    } else if (auto* spoke = std::get_if<peer_spoke>(&message)) {
        if (const auto* beat = std::get_if<wire::heartbeat>(&spoke->content)) {
            notice_one_way_link(spoke->from, *beat);
        }
        m_node.on_peer_message(spoke->from, spoke->content, now);
    }
}

// The peer is heard but does not hear us: something between the two ends has
// lost track of our connection.
void scheduler_task::notice_one_way_link(const std::string& from,
                                         const wire::heartbeat& beat) {
    std::uint64_t sent = m_node.make_heartbeat(from).sequence;
    bool unheard = beat.echo != 0 && beat.echo + unheard_beats_limit < sent;
    base::instant now = base::monotonic_now();
    if (!unheard || now - m_last_reset[from] < reset_period) {
        return;
    }
    m_last_reset[from] = now;
    observe::log_event("peer_link_reset", {{"member", from}});
    m_links->post(peer_reset{beat.peer_address});
}

void scheduler_task::on_tick() {
    m_node.tick(base::monotonic_now());
    introduce();
}

// Peers that are known by address only get a heartbeat too.
void scheduler_task::introduce() {
    base::instant now = base::monotonic_now();
    if (now < m_next_introduction) {
        return;
    }
    m_next_introduction = now + m_config.heartbeat_period;
    const node::context& state = m_node.state();
    std::set<std::string> addresses(m_seeds.begin(), m_seeds.end());
    for (const auto& [name, record] : state.configurator->vms().vms) {
        if (record.role == membership::vm_role::entry) {
            addresses.insert(record.peer_address);
        }
    }
    for (const auto& [id, who] : state.membership_view.members()) {
        addresses.erase(who.peer_address);
    }
    addresses.erase(m_config.peer_address);
    addresses.erase("");
    if (addresses.empty()) {
        return;
    }
    std::string frame = wire::encode({m_config.id, m_node.make_heartbeat("")});
    for (const std::string& address : addresses) {
        m_links->post(peer_send{address, frame});
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
    m_platform->post(call);
}

void scheduler_task::send_to_peer(const std::string& member,
                                  const wire::message& message) {
    const membership::member* who = m_node.state().membership_view.find(member);
    if (who == nullptr || who->peer_address.empty()) {
        return;
    }
    m_links->post(
        peer_send{who->peer_address, wire::encode({m_config.id, message})});
}

void scheduler_task::send_answer(caller_token caller, const std::string& id,
                                 const base::answer& value) {
    m_metrics.add(std::string("answers_total{outcome=\"") +
                  base::to_string(value.result) + "\"}");
    m_front->post(final_answer{caller, id, value});
}

void scheduler_task::send_accepted(caller_token caller, const std::string& id) {
    m_front->post(job_accepted{caller, id});
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
