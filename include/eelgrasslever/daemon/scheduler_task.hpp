/// @file
/// Task that owns the node and turns its effects into messages.
#pragma once

#include "eelgrasslever/daemon/endpoint_gateway.hpp"
#include "eelgrasslever/daemon/messages.hpp"
#include "eelgrasslever/daemon/peer_links.hpp"
#include "eelgrasslever/daemon/store_gateway.hpp"
#include "eelgrasslever/node/node.hpp"
#include "eelgrasslever/observe/metrics.hpp"
#include "eelgrasslever/observe/trace.hpp"

namespace eelgrasslever::daemon {

class scheduler_task : private node::effects {
  public:
    scheduler_task(kernel::loop& owner, const node::node_config& config,
                   std::vector<std::string> seeds, observe::metrics& numbers,
                   observe::tracer& spans);

    /// Connects the other tasks; call it once, before the loop runs.
    void connect(kernel::mailbox<to_front>* front,
                 kernel::mailbox<endpoint_call>* endpoints,
                 kernel::mailbox<store::call>* platform,
                 kernel::mailbox<to_links>* links);

    [[nodiscard]] kernel::mailbox<to_scheduler>& inbox() { return m_inbox; }
    [[nodiscard]] const node::node& state() const { return m_node; }
    void drain() { m_node.drain(base::monotonic_now()); }
    [[nodiscard]] bool drained() const { return m_node.drained(); }
    void say_left() { m_node.announce_departure(); }

  private:
    void on_message(to_scheduler&& message);
    void on_tick();
    void introduce();
    void notice_one_way_link(const std::string& from,
                             const wire::heartbeat& beat);

    void call_endpoint(const std::string& endpoint,
                       const endpoint::call& call) override;
    void call_store(const store::call& call) override;
    void send_to_peer(const std::string& member,
                      const wire::message& message) override;
    void send_answer(caller_token caller, const std::string& id,
                     const base::answer& value) override;
    void send_accepted(caller_token caller, const std::string& id) override;
    void log(const node::log_line& line) override;
    void record_span(const node::span_record& record) override;
    void observe_queue_wait(int rank, base::milliseconds wait) override;

    node::node_config m_config;
    std::vector<std::string> m_seeds;
    observe::metrics& m_metrics;
    observe::tracer& m_tracer;
    kernel::mailbox<to_scheduler> m_inbox;
    kernel::mailbox<to_front>* m_front{nullptr};
    kernel::mailbox<endpoint_call>* m_endpoints{nullptr};
    kernel::mailbox<store::call>* m_platform{nullptr};
    kernel::mailbox<to_links>* m_links{nullptr};
    node::node m_node;
    kernel::timer m_tick;
    base::instant m_next_introduction{};
    std::map<std::string, base::instant> m_last_reset;
};

} // namespace eelgrasslever::daemon
