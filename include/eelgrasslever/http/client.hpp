/// @file
/// Asynchronous HTTP client on libcurl's multi interface.
#pragma once

#include "eelgrasslever/http/message.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <functional>
#include <memory>

namespace eelgrasslever::http {

/// Sends requests concurrently. Callbacks run on the event loop, never inside
/// `send`.
class client {
  public:
    using callback = std::function<void(const reply&)>;

    /// A reply of which nothing arrives for this long is not waited for beyond
    /// the timeout of its call. Where a link is full, packets wait for more
    /// than half a second.
    static constexpr base::milliseconds max_transfer_pause{1000};

    /// @param activity static name under which the loop accounts the
    /// transfers; the work of the callbacks is accounted separately.
    explicit client(kernel::loop& event_loop,
                    const char* activity = "http_transfers");
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends @p request. @p on_reply is invoked exactly once, unless the client
    /// is destroyed first.
    void send(const call& request, callback on_reply);

    /// @return the total size of headers and bodies of finished calls.
    [[nodiscard]] std::uint64_t bytes_sent() const;
    [[nodiscard]] std::uint64_t bytes_received() const;

  private:
    /// Invokes @p on_reply for a call that can't be sent.
    void refuse(callback on_reply);

    struct native;
    std::shared_ptr<native> m_native;
};

/// Sends one request and blocks until its reply. It runs its own event loop,
/// for use in command-line tools.
[[nodiscard]] reply send_blocking(const call& request);

} // namespace eelgrasslever::http
