/// @file
/// Interfaces through which the cluster service reaches endpoints and the
/// advice service.
#pragma once

#include "eelgrasslever/cluster/orders.hpp"

#include <functional>

namespace eelgrasslever::service {

/// Sends orders to endpoints. Each callback is called exactly once, and never
/// before the function that took it has returned.
class endpoint_gateway {
  public:
    using order_callback = std::function<void(const cluster::order_reply&)>;
    using renew_callback = std::function<void(const cluster::renew_reply&)>;

    virtual ~endpoint_gateway() = default;
    virtual void start(const cluster::endpoint_listing& endpoint,
                       cluster::fencing_token token,
                       const cluster::start_order& order,
                       order_callback done) = 0;
    virtual void stop(const cluster::endpoint_listing& endpoint,
                      cluster::fencing_token token,
                      const cluster::stop_order& order,
                      order_callback done) = 0;
    /// Renews the lease of the endpoint's tasks and reads its state.
    /// @param fresh_connection whether to open a new connection, because the
    /// existing one may be dead.
    virtual void renew(const cluster::endpoint_listing& endpoint,
                       cluster::fencing_token token,
                       const cluster::renew_order& order, bool fresh_connection,
                       renew_callback done) = 0;
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
