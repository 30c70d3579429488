#include "eelgrasslever/service/order_carrier.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <utility>

namespace eelgrasslever::service {

namespace {

constexpr const char* carrier_activity = "order_carrier";

} // namespace

void send_to_endpoint(endpoint_gateway& through,
                      const wire::relayed_order& order,
                      endpoint_gateway::renew_callback done) {
    cluster::endpoint_listing endpoint;
    endpoint.id = order.endpoint;
    endpoint.address = order.address;
    if (const auto* renewal = std::get_if<cluster::renew_order>(&order.order)) {
        through.renew(endpoint, order.token, *renewal, false, std::move(done));
        return;
    }
    auto done_order = [done =
                           std::move(done)](const cluster::order_reply& reply) {
        cluster::renew_reply whole;
        whole.status = reply.status;
        whole.clock = reply.clock;
        done(whole);
    };
    if (const auto* start = std::get_if<cluster::start_order>(&order.order)) {
        through.start(endpoint, order.token, *start, std::move(done_order));
        return;
    }
    through.stop(endpoint, order.token,
                 std::get<cluster::stop_order>(order.order),
                 std::move(done_order));
}

order_carrier::order_carrier(kernel::loop& owner, endpoint_gateway& endpoints,
                             send_function send, const pause_detector& pauses,
                             observe::metrics& metrics)
    : m_owner(owner), m_endpoints(endpoints), m_send(std::move(send)),
      m_pauses(pauses), m_metrics(metrics),
      m_reply_timer(owner, [this] { send_replies(); }) {}

order_carrier::~order_carrier() {
    *m_alive = false;
}

void order_carrier::on_orders(const std::string& leader,
                              const wire::order_batch& batch) {
    kernel::activity measured(m_owner, carrier_activity);
    // The leader has sent old orders itself meanwhile.
    bool is_refused = m_pauses.may_be_old();
    if (is_refused) {
        observe::log_event(
            "orders_not_passed_on",
            {{"leader", leader},
             {"orders", std::to_string(batch.orders.size())},
             {"paused_ms", std::to_string(m_pauses.since_awake().count())}});
    }
    session& from = m_sessions[leader];
    from.received = std::max(from.received, batch.sequence);
    from.has_news = true;
    schedule_replies();
    for (const wire::relayed_order& order : batch.orders) {
        if (is_refused || m_under_way >= max_under_way) {
            wire::relayed_reply refusal;
            refusal.id = order.id;
            refusal.reply.status = cluster::order_status::not_sent;
            add_reply(leader, std::move(refusal));
            continue;
        }
        pass_on(leader, order);
    }
}

void order_carrier::pass_on(const std::string& leader,
                            const wire::relayed_order& order) {
    m_under_way++;
    m_metrics.add("orders_carried");
    send_to_endpoint(m_endpoints, order,
                     [this, leader, id = order.id,
                      alive = m_alive](const cluster::renew_reply& reply) {
                         if (*alive) {
                             m_under_way--;
                             add_reply(leader, {id, reply});
                         }
                     });
}

void order_carrier::add_reply(const std::string& leader,
                              wire::relayed_reply&& reply) {
    session& to = m_sessions[leader];
    to.replies.push_back(std::move(reply));
    to.has_news = true;
    schedule_replies();
}

void order_carrier::schedule_replies() {
    if (!std::exchange(m_replies_scheduled, true)) {
        m_reply_timer.start_once(reply_delay);
    }
}

void order_carrier::send_replies() {
    kernel::activity measured(m_owner, carrier_activity);
    m_replies_scheduled = false;
    for (auto& [leader, to] : m_sessions) {
        if (std::exchange(to.has_news, false)) {
            m_send(leader, wire::reply_batch{to.received,
                                             std::exchange(to.replies, {})});
        }
    }
}

} // namespace eelgrasslever::service
