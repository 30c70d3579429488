/// @file
/// Task that owns the TCP connections between entry VMs. Each member sends over
/// a connection that it opened itself and listens on those that others opened.
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

struct link_totals {
    std::uint64_t bytes_sent{0};
    std::uint64_t bytes_received{0};
    std::uint64_t invalid_frames{0};
};

class peer_links {
  public:
    [[nodiscard]] static base::result<std::unique_ptr<peer_links>>
    listen(kernel::loop& owner, const std::string& address,
           kernel::mailbox<to_scheduler>& scheduler);
    ~peer_links();

    [[nodiscard]] kernel::mailbox<to_links>& inbox() { return m_inbox; }
    [[nodiscard]] const link_totals& totals() const { return m_totals; }

  private:
    friend class inbound_session;
    friend class outbound_link;
    peer_links(kernel::loop& owner, kernel::mailbox<to_scheduler>& scheduler);
    void on_message(to_links&& message);
    void accept_all();

    kernel::loop& m_owner;
    kernel::mailbox<to_scheduler>& m_scheduler;
    kernel::mailbox<to_links> m_inbox;
    int m_listener{-1};
    std::unique_ptr<kernel::descriptor_watch> m_watch;
    std::map<std::string, std::shared_ptr<outbound_link>> m_outbound;
    std::set<std::shared_ptr<inbound_session>> m_inbound;
    link_totals m_totals;
};

} // namespace eelgrasslever::daemon
