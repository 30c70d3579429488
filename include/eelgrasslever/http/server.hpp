/// @file
/// HTTP server on libmicrohttpd, driven by the process's event loop.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/http/message.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>

struct MHD_Connection;

namespace eelgrasslever::http {

class server;
struct server_connection;

/// What the clients of a server may use. A connection that has to make room is
/// closed; the request on it has not been passed to the handler.
struct server_limits {
    /// At the limit, the connection that has been waited for the longest gives
    /// way to the next one.
    unsigned max_connections{4096};
    std::size_t max_body_bytes{1024 * 1024}; ///< larger ones get status 413
    /// Bodies that are being received, or are still held by a handler. Beyond
    /// it, the request that has been incomplete the longest gives way.
    std::size_t max_buffered_bytes{std::size_t{4096} * 1024 * 1024};
    /// Time for a request from its header to its last byte. Clients that keep
    /// within the limits wait a few seconds for their whole request.
    base::milliseconds request_timeout{30'000};
};

/// A request and its response. Handlers share ownership until they respond, so
/// responding after the client has disconnected is safe and has no effect.
class exchange : public std::enable_shared_from_this<exchange> {
  public:
    [[nodiscard]] const std::string& method() const { return m_method; }
    [[nodiscard]] const std::string& path() const { return m_path; }
    [[nodiscard]] const std::string& body() const { return m_body; }

    /// @return the request header @p name; valid only before `respond`.
    [[nodiscard]] std::optional<std::string>
    header(const std::string& name) const;
    /// @return the query parameter @p name; valid only before `respond`.
    [[nodiscard]] std::optional<std::string>
    query(const std::string& name) const;

    /// Frees the body once it has been read.
    void release_body();

    /// Sends @p reply. Further calls have no effect.
    void respond(response reply);

    /// @return whether the connection is closed.
    [[nodiscard]] bool closed() const { return m_connection == nullptr; }
    /// @return whether the client has closed its side of the connection, so
    /// that nobody waits for the response. Not known, and false, while a later
    /// request on the connection is unread.
    [[nodiscard]] bool client_has_left() const;

  private:
    friend class server;
    server* m_server{nullptr};
    MHD_Connection* m_connection{nullptr};
    server_connection* m_state{nullptr}; ///< nullptr once it is closed
    std::string m_method;
    std::string m_path;
    std::string m_body;
    std::size_t m_declared_bytes{0}; ///< 0: not known
    bool m_too_large{false};
    bool m_dispatched{false};
    bool m_suspended{false};
    std::optional<response> m_response;
};

/// Counts since the server started; bytes are those of bodies.
struct server_totals {
    std::uint64_t requests{0};
    std::uint64_t bytes_in{0};
    std::uint64_t bytes_out{0};
    std::uint64_t bodies_too_large{0};
    /// Connections that were closed to make room, by what had run out.
    std::uint64_t closed_for_connections{0};
    std::uint64_t closed_for_memory{0};
    std::uint64_t closed_for_time{0};
};

/// Accepts connections and passes each complete request to a handler.
class server {
  public:
    using handler = std::function<void(std::shared_ptr<exchange>)>;
    /// @param address "IP:port" to listen on; IPv4 only.
    /// @return `invalid_argument` for a malformed address, `io` if listening
    /// fails.
    [[nodiscard]] static base::result<std::unique_ptr<server>>
    listen(kernel::loop& event_loop, const std::string& address,
           handler on_request, server_limits limits = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Changes the limit for bodies of which nothing has been received yet.
    void set_max_body_bytes(std::size_t bytes) {
        m_limits.max_body_bytes = bytes;
    }
    /// Stops accepting connections. Requests in progress still get a response.
    void stop_accepting();
    [[nodiscard]] const server_totals& totals() const { return m_totals; }
    [[nodiscard]] std::size_t connections() const {
        return m_connections.size();
    }
    [[nodiscard]] std::size_t buffered_bytes() const { return m_buffered; }

  private:
    struct native;
    friend class exchange;
    server(kernel::loop& event_loop, handler on_request, server_limits limits);
    /// Adds a part to the body of a request, and makes room for it.
    /// @return whether the request may go on.
    bool append_body(exchange& request, const char* data, std::size_t size);
    /// Notes that a complete request is waited for from now on.
    void begin_waiting(server_connection& connection);
    /// Closes the connection that has been waited for the longest, of those on
    /// which no request is being handled.
    /// @param counter which of the totals counts it.
    /// @param holds_body only consider connections that hold part of a body.
    /// @return whether there was one.
    bool evict_oldest(std::uint64_t server_totals::*counter, bool holds_body);
    void evict(server_connection& connection,
               std::uint64_t server_totals::*counter);
    /// Closes connections whose requests don't end.
    void close_overdue();
    void schedule_events();
    void process_events();
    /// Responds 503 to all suspended requests. libmicrohttpd requires resumed
    /// connections before it can stop.
    void reject_suspended();

    kernel::loop& m_event_loop;
    handler m_on_request;
    std::unique_ptr<native> m_native;
    server_limits m_limits;
    server_totals m_totals;
    /// Those that have been waited for the longest come first.
    std::list<std::unique_ptr<server_connection>> m_connections;
    std::size_t m_buffered{0};
    kernel::timer m_sweep_timer;
    std::set<std::shared_ptr<exchange>> m_suspended;
};

} // namespace eelgrasslever::http
