/// @file
/// HTTP client on libcurl's multi interface, driven by the process's loop.
#pragma once

#include "eelgrasslever/http/message.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <functional>
#include <memory>

namespace eelgrasslever::http {

/// Sends calls concurrently. Callbacks run on the loop, never within `send`.
class client {
  public:
    using callback = std::function<void(const reply&)>;

    explicit client(kernel::loop& event_loop);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends @p request; @p on_reply runs exactly once unless the client is
    /// destroyed first.
    void send(const call& request, callback on_reply);

    [[nodiscard]] std::uint64_t bytes_sent() const;
    [[nodiscard]] std::uint64_t bytes_received() const;

  private:
    struct native;
    std::shared_ptr<native> m_native;
};

/// Sends one call and waits for it on a loop of its own; for command-line use.
[[nodiscard]] reply send_blocking(const call& request);

} // namespace eelgrasslever::http
