/// @file
/// A small HTTP/1.1 server with a thread for each connection, and a client for
/// single calls.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace review::cell {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct address {
    std::string ip;
    int port{0};
};

[[nodiscard]] std::string to_string(const address& value);

struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    [[nodiscard]] std::string parameter(const std::string& name) const;
};

struct response {
    int status{200};
    std::string body{"{}"};
};

class http_server {
  public:
    using handler = std::function<response(const request&)>;

    http_server(address at, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @return false if the address can't be used.
    bool start();
    /// Closes the listener and resets all connections.
    void stop();

  private:
    struct shared;
    address m_at;
    std::shared_ptr<shared> m_shared;
};

/// @param key of the caller's tenant; empty: none is sent.
/// @return the response, or nothing if there was none in time.
std::optional<response> call(const address& to, const std::string& method,
                             const std::string& target, const std::string& host,
                             const std::string& body, milliseconds timeout,
                             const std::string& key = "");

} // namespace review::cell
