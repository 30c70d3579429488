/// @file
/// Task that sends calls to endpoints over HTTP.
#pragma once

#include "eelgrasslever/daemon/messages.hpp"
#include "eelgrasslever/http/client.hpp"
#include "eelgrasslever/kernel/mailbox.hpp"

namespace eelgrasslever::daemon {

/// Sends each `endpoint_call` as a POST and returns the reply to the scheduler.
class endpoint_gateway {
  public:
    endpoint_gateway(kernel::loop& event_loop,
                     kernel::mailbox<scheduler_message>& scheduler);
    [[nodiscard]] kernel::mailbox<endpoint_call>& inbox() { return m_inbox; }
    [[nodiscard]] const http::client& client() const { return m_client; }

  private:
    void send(const endpoint_call& message);
    kernel::mailbox<scheduler_message>& m_scheduler;
    http::client m_client;
    kernel::mailbox<endpoint_call> m_inbox;
};

} // namespace eelgrasslever::daemon
