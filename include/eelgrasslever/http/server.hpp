/// @file
/// HTTP server on libmicrohttpd, driven by the process's event loop.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/http/message.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

struct MHD_Connection;

namespace eelgrasslever::http {

class server;

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

    /// Sends @p reply. Further calls have no effect.
    void respond(response reply);

    /// @return whether the connection is closed.
    [[nodiscard]] bool closed() const { return m_connection == nullptr; }

  private:
    friend class server;
    server* m_server{nullptr};
    MHD_Connection* m_connection{nullptr};
    std::string m_method;
    std::string m_path;
    std::string m_body;
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
};

/// Accepts connections and passes each complete request to a handler.
class server {
  public:
    using handler = std::function<void(std::shared_ptr<exchange>)>;
    /// Maximum size of a request body in bytes; larger ones get status 413.
    static constexpr std::size_t max_body_bytes = 1024 * 1024;

    /// @param address "IP:port" to listen on; IPv4 only.
    /// @return `invalid_argument` for a malformed address, `io` if listening
    /// fails.
    [[nodiscard]] static base::result<std::unique_ptr<server>>
    listen(kernel::loop& event_loop, const std::string& address,
           handler on_request);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Stops accepting connections. Requests in progress still get a response.
    void stop_accepting();
    [[nodiscard]] const server_totals& totals() const { return m_totals; }

  private:
    struct native;
    friend class exchange;
    server(kernel::loop& event_loop, handler on_request);
    void schedule_events();
    void process_events();
    /// Responds 503 to all suspended requests. libmicrohttpd requires resumed
    /// connections before it can stop.
    void reject_suspended();

    kernel::loop& m_event_loop;
    handler m_on_request;
    std::unique_ptr<native> m_native;
    server_totals m_totals;
    std::set<std::shared_ptr<exchange>> m_suspended;
};

} // namespace eelgrasslever::http
