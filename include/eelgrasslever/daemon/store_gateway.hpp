/// @file
/// Task that sends calls to the platform's key-value service over HTTP.
#pragma once

#include "eelgrasslever/daemon/messages.hpp"
#include "eelgrasslever/http/client.hpp"
#include "eelgrasslever/kernel/mailbox.hpp"

namespace eelgrasslever::daemon {

/// Sends each store call and returns the reply to the scheduler.
class store_gateway {
  public:
    /// @param timeout limit per call; the wait of a watching read is added to
    /// it.
    store_gateway(kernel::loop& event_loop, std::string url,
                  base::milliseconds timeout,
                  kernel::mailbox<scheduler_message>& scheduler);
    [[nodiscard]] kernel::mailbox<store::call>& inbox() { return m_inbox; }
    [[nodiscard]] const http::client& client() const { return m_client; }
    [[nodiscard]] std::uint64_t reads() const { return m_reads; }
    [[nodiscard]] std::uint64_t writes() const { return m_writes; }

  private:
    void send(const store::call& call);
    std::string m_url;
    base::milliseconds m_timeout;
    kernel::mailbox<scheduler_message>& m_scheduler;
    http::client m_client;
    kernel::mailbox<store::call> m_inbox;
    std::uint64_t m_reads{0};
    std::uint64_t m_writes{0};
};

} // namespace eelgrasslever::daemon
