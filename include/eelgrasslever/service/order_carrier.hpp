/// @file
/// Passes orders of the leader on to endpoints, and gathers the replies.
#pragma once

#include "eelgrasslever/kernel/loop.hpp"
#include "eelgrasslever/observe/metrics.hpp"
#include "eelgrasslever/service/gateways.hpp"
#include "eelgrasslever/service/pause_detector.hpp"
#include "eelgrasslever/wire/message.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace eelgrasslever::service {

/// Sends a relayed order to its endpoint.
/// @param done receives the reply; one to a start or a stop has no lists.
void send_to_endpoint(endpoint_gateway& through,
                      const wire::relayed_order& order,
                      endpoint_gateway::renew_callback done);

/// The side of the VM that carries orders. It keeps nothing that must outlive
/// it: the leader sends what it has no reply to itself.
class order_carrier {
  public:
    using send_function =
        std::function<void(const std::string& address, wire::message content)>;

    /// Replies are gathered for this long, a small part of the time in which
    /// urgent work is due to start.
    static constexpr base::milliseconds reply_delay{5};
    /// Orders whose replies are due. Further ones are not passed on.
    static constexpr std::size_t max_under_way = 2000;

    /// @param send passes a message to the VM at a peer address.
    order_carrier(kernel::loop& owner, endpoint_gateway& endpoints,
                  send_function send, const pause_detector& pauses,
                  observe::metrics& metrics);
    ~order_carrier();
    order_carrier(const order_carrier&) = delete;
    order_carrier& operator=(const order_carrier&) = delete;

    /// @param leader peer address of the VM that sent the batch.
    void on_orders(const std::string& leader, const wire::order_batch& batch);

  private:
    /// What a leader is owed.
    struct session {
        std::uint64_t received{0}; ///< highest sequence of a batch
        std::vector<wire::relayed_reply> replies;
        bool has_news{false};
    };
    void pass_on(const std::string& leader, const wire::relayed_order& order);
    void add_reply(const std::string& leader, wire::relayed_reply&& reply);
    void schedule_replies();
    void send_replies();

    kernel::loop& m_owner;
    endpoint_gateway& m_endpoints;
    send_function m_send;
    const pause_detector& m_pauses;
    observe::metrics& m_metrics;
    std::map<std::string, session> m_sessions; ///< by peer address
    std::size_t m_under_way{0};
    bool m_replies_scheduled{false};
    kernel::timer m_reply_timer;
    /// Callbacks share the flag and return early once it is false.
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace eelgrasslever::service
