/// @file
/// A small HTTP/1.1 server and client for the stand-ins. One thread serves one
/// connection.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

using milliseconds = std::chrono::milliseconds;

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct http_response {
    int status{200};
    std::string body;
};

class http_server {
  public:
    /// @return nothing to leave the request unanswered; the connection then
    /// stays open without a reply.
    using handler =
        std::function<std::optional<http_response>(const http_request&)>;

    /// Listens on a port of @p ip, any free one if @p port is 0.
    http_server(std::string ip, int port, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Resets all connections and refuses new ones.
    void close();
    /// Listens again on the same port.
    void open();
    [[nodiscard]] std::string address() const;

  private:
    struct shared_state;
    void accept_connections(int listener);

    std::string m_ip;
    int m_port{0};
    int m_listener{-1};
    std::shared_ptr<shared_state> m_state;
    std::thread m_thread;
};

/// Sends one request on a connection of its own.
/// @return nothing if there is no complete reply within @p timeout.
std::optional<http_response>
send_request(const std::string& address, const std::string& method,
             const std::string& path,
             const std::map<std::string, std::string>& headers,
             const std::string& body, milliseconds timeout);

} // namespace review
