/// @file
/// What the cluster service needs of the outside, behind interfaces.
#pragma once

#include "eelgrasslever/cluster/orders.hpp"

#include <functional>

namespace eelgrasslever::service {

/// Sends orders to endpoints. Each callback runs once, never within the call.
class endpoint_gateway {
  public:
    using order_callback = std::function<void(const cluster::order_reply&)>;
    using hold_callback = std::function<void(const cluster::renew_reply&)>;

    virtual ~endpoint_gateway() = default;
    virtual void start(const cluster::endpoint_listing& at,
                       cluster::fencing_token token,
                       const cluster::start_order& order,
                       order_callback done) = 0;
    virtual void stop(const cluster::endpoint_listing& at,
                      cluster::fencing_token token,
                      const cluster::stop_order& order,
                      order_callback done) = 0;
    virtual void hold(const cluster::endpoint_listing& at,
                      cluster::fencing_token token,
                      const cluster::renew_order& order, bool fresh_connection,
                      hold_callback done) = 0;
};

/// Calls the advice service from this VM.
class advice_gateway {
  public:
    virtual ~advice_gateway() = default;
    virtual void
    ask(const cluster::advice_call& call,
        std::function<void(const cluster::advice_reply&)> done) = 0;
};

} // namespace eelgrasslever::service
