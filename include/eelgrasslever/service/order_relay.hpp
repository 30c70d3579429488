/// @file
/// Sends the leader's orders to endpoints through other VMs, so that an order
/// costs the leader a part of a frame rather than a call of its own.
#pragma once

#include "eelgrasslever/kernel/loop.hpp"
#include "eelgrasslever/observe/metrics.hpp"
#include "eelgrasslever/service/gateways.hpp"
#include "eelgrasslever/service/member_table.hpp"
#include "eelgrasslever/wire/message.hpp"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrasslever::service {

/// The leader's side. Each endpoint has one carrier at a time, of its own
/// failure domain if there is one. What a carrier owes a reply to when it falls
/// silent, leaves or says that it didn't send is sent by this VM itself: the
/// endpoints' protocol makes a repeated order harmless, as an order names its
/// run, its token and its deadline.
class order_relay final : public endpoint_gateway {
  public:
    using send_function =
        std::function<void(const std::string& address, wire::message content)>;

    /// How long a carrier may leave a batch unacknowledged. Longer than a lost
    /// packet takes to be sent again, and shorter than the time in which a
    /// start is given up.
    static constexpr base::milliseconds max_silence{300};
    /// A carrier with orders under way that has not been heard of for this long
    /// gets an empty batch.
    static constexpr base::milliseconds probe_after{200};
    /// How long a carrier that fell silent gets no orders.
    static constexpr base::milliseconds suspension{2000};
    /// A carrier replies within the time for which an endpoint may hold the
    /// reply back, the timeout of a call (500 ms) and the way there and back. A
    /// later reply has been lost.
    static constexpr base::milliseconds max_call_time{800};
    /// How long this VM calls an endpoint itself that its carrier didn't reach.
    static constexpr base::milliseconds direct_period{10'000};
    /// Orders in one frame. A frame may have 2 MB, an order's payload 4 KB.
    static constexpr std::size_t max_batch = 128;

    /// @param direct sends orders from this VM.
    /// @param send passes a message to the VM at a peer address.
    order_relay(kernel::loop& owner, endpoint_gateway& direct,
                send_function send, observe::metrics& metrics);
    ~order_relay() override;
    order_relay(const order_relay&) = delete;
    order_relay& operator=(const order_relay&) = delete;

    /// Begins a term as leader.
    void begin_term(std::uint64_t term);
    /// Ends the term. Callbacks of orders that carriers have are not called any
    /// more.
    void end_term();
    /// @param carriers the VMs that pass orders on from now on; if empty, this
    /// VM sends all orders itself.
    void set_carriers(std::vector<carrier> carriers);
    [[nodiscard]] std::size_t carriers() const { return m_carriers.size(); }
    /// Handles a message of the VM at @p address.
    void on_replies(const std::string& address, wire::reply_batch&& batch);

    // endpoint_gateway
    void start(const cluster::endpoint_listing& endpoint,
               cluster::fencing_token token, const cluster::start_order& order,
               order_callback done) override;
    void stop(const cluster::endpoint_listing& endpoint,
              cluster::fencing_token token, const cluster::stop_order& order,
              order_callback done) override;
    void renew(const cluster::endpoint_listing& endpoint,
               cluster::fencing_token token, const cluster::renew_order& order,
               bool fresh_connection, renew_callback done) override;

  private:
    /// An order whose reply is due from a carrier.
    struct pending_order {
        wire::relayed_order content;
        std::string peer_address; ///< of the carrier
        base::instant lost_at{};  ///< when the reply counts as lost
        renew_callback done;
    };
    struct carrier_state {
        carrier vm;
        /// Of the last batch. It begins anew with each term, above those of
        /// earlier terms, which the carrier may still know.
        std::uint64_t sequence{0};
        std::uint64_t received{0}; ///< acknowledged by the carrier
        /// When the oldest batch was sent that is not acknowledged.
        base::instant unacknowledged_since{};
        base::instant heard_at{};
        base::instant suspended_until{};
        /// It was silent for too long at the previous check. After a pause of
        /// this process its messages may just not have been read.
        bool is_overdue{false};
        std::size_t under_way{0}; ///< orders whose reply is due
        std::vector<wire::relayed_order> unsent;
    };

    /// @return the carrier for an endpoint, or nullptr if this VM calls it.
    [[nodiscard]] carrier_state*
    carrier_for(const cluster::endpoint_listing& endpoint, base::instant now);
    /// @param max_wait how long the endpoint may hold its reply back.
    void enqueue(carrier_state& through, wire::relayed_order&& content,
                 base::milliseconds max_wait, renew_callback done);
    void flush();
    void flush(carrier_state& to, base::instant now);
    /// Looks for carriers and replies that are overdue.
    void check();
    [[nodiscard]] bool is_silent(const carrier_state& checked,
                                 base::instant now) const;
    /// Sends the orders from this VM.
    /// @param may_be_repeated whether the carrier may have sent them.
    void send_directly(std::vector<pending_order>&& orders,
                       bool may_be_repeated);
    /// Takes the orders of a carrier out of those under way.
    /// @param overdue_at only those whose reply counts as lost at this time.
    [[nodiscard]] std::vector<pending_order>
    take_orders(const std::string& peer_address, base::instant overdue_at);

    kernel::loop& m_owner;
    endpoint_gateway& m_direct;
    send_function m_send;
    observe::metrics& m_metrics;
    std::uint64_t m_term{0};
    std::uint32_t m_last_id{0}; ///< within the term
    /// By peer address. Those that left keep their place until the term ends,
    /// so that sequences don't repeat.
    std::map<std::string, carrier_state> m_known;
    std::vector<std::string> m_carriers; ///< peer addresses
    /// Endpoint to peer address of its carrier, worked out on first use.
    std::unordered_map<std::string, std::string> m_assignments;
    std::unordered_map<std::string, base::instant> m_direct_until;
    std::unordered_map<std::uint64_t, pending_order> m_pending;
    bool m_flush_scheduled{false};
    kernel::timer m_check_timer;
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace eelgrasslever::service
