/// @file
/// Task that owns the node and translates its effects into messages to other
/// tasks.
#pragma once

#include "eelgrasslever/daemon/endpoint_gateway.hpp"
#include "eelgrasslever/daemon/messages.hpp"
#include "eelgrasslever/daemon/peer_links.hpp"
#include "eelgrasslever/daemon/store_gateway.hpp"
#include "eelgrasslever/node/node.hpp"
#include "eelgrasslever/observe/metrics.hpp"
#include "eelgrasslever/observe/trace.hpp"

namespace eelgrasslever::daemon {

/// Drives the node with messages and a periodic tick.
class scheduler_task : private node::effects {
  public:
    scheduler_task(kernel::loop& event_loop, const node::node_config& config,
                   std::vector<std::string> seeds, observe::metrics& metrics,
                   observe::tracer& tracer);

    /// Sets the mailboxes of the other tasks and starts the tick. Call it once,
    /// before the event loop runs.
    void connect(kernel::mailbox<api_message>* api,
                 kernel::mailbox<endpoint_call>* endpoints,
                 kernel::mailbox<store::call>* store,
                 kernel::mailbox<peer_link_message>* links);

    [[nodiscard]] kernel::mailbox<scheduler_message>& inbox() {
        return m_inbox;
    }
    [[nodiscard]] const node::node& entry_node() const { return m_node; }
    void drain() { m_node.drain(base::monotonic_now()); }
    [[nodiscard]] bool drained() const { return m_node.drained(); }
    void announce_departure() { m_node.announce_departure(); }

  private:
    void on_message(scheduler_message&& message);
    void on_tick();
    void contact_unknown_members();
    void reset_one_way_link(const std::string& from,
                            const wire::heartbeat& heartbeat);

    void call_endpoint(const std::string& endpoint,
                       const endpoint::call& call) override;
    void call_store(const store::call& call) override;
    void send_to_peer(const std::string& member_id,
                      const wire::message& message) override;
    void send_answer(caller_token caller, const std::string& id,
                     const base::answer& answer) override;
    void send_accepted(caller_token caller, const std::string& id) override;
    void log(const node::log_line& line) override;
    void record_span(const node::span_record& record) override;
    void observe_queue_wait(int rank, base::milliseconds wait) override;

    node::node_config m_config;
    std::vector<std::string> m_seeds;
    observe::metrics& m_metrics;
    observe::tracer& m_tracer;
    kernel::mailbox<scheduler_message> m_inbox;
    kernel::mailbox<api_message>* m_api{nullptr};
    kernel::mailbox<endpoint_call>* m_endpoints{nullptr};
    kernel::mailbox<store::call>* m_store{nullptr};
    kernel::mailbox<peer_link_message>* m_links{nullptr};
    node::node m_node;
    kernel::timer m_tick;
    base::instant m_next_contact{};
    std::map<std::string, base::instant> m_last_reset;
};

} // namespace eelgrasslever::daemon
