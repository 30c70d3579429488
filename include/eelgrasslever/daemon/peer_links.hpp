/// @file
/// Task that owns the TCP connections between entry VMs. Connections are used
/// in one direction only: a member sends frames on connections it opened and
/// receives frames on connections it accepted.
#pragma once

#include "eelgrasslever/daemon/messages.hpp"
#include "eelgrasslever/kernel/mailbox.hpp"
#include "eelgrasslever/wire/codec.hpp"

#include <map>
#include <memory>
#include <set>

namespace eelgrasslever::daemon {

class outbound_link;
class inbound_session;

/// Counts over all peer connections since the start.
struct link_totals {
    std::uint64_t bytes_sent{0};
    std::uint64_t bytes_received{0};
    std::uint64_t invalid_frames{0};
};

/// Sends frames to peers and passes received messages to the scheduler.
class peer_links {
  public:
    [[nodiscard]] static base::result<std::unique_ptr<peer_links>>
    listen(kernel::loop& event_loop, const std::string& address,
           kernel::mailbox<scheduler_message>& scheduler);
    ~peer_links();

    [[nodiscard]] kernel::mailbox<peer_link_message>& inbox() {
        return m_inbox;
    }
    [[nodiscard]] const link_totals& totals() const { return m_totals; }

  private:
    friend class inbound_session;
    friend class outbound_link;
    peer_links(kernel::loop& event_loop,
               kernel::mailbox<scheduler_message>& scheduler);
    void on_message(peer_link_message&& message);
    void accept_pending();

    kernel::loop& m_event_loop;
    kernel::mailbox<scheduler_message>& m_scheduler;
    kernel::mailbox<peer_link_message> m_inbox;
    int m_listener{-1};
    std::unique_ptr<kernel::descriptor_watch> m_watch;
    std::map<std::string, std::shared_ptr<outbound_link>> m_outbound;
    std::set<std::shared_ptr<inbound_session>> m_inbound;
    link_totals m_totals;
};

} // namespace eelgrasslever::daemon
