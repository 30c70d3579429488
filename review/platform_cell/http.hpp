/// @file
/// A small HTTP/1.1 server and client on loopback for the stand-ins: one thread
/// for each connection, bodies with a length.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review::cell {

struct http_request {
    std::string method;
    std::string path; ///< without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct http_reply {
    int status{0}; ///< 0: no complete reply
    std::string body;
};

/// Replies with status 0 close the connection without an answer.
using http_handler = std::function<http_reply(const http_request&)>;

class http_server {
  public:
    http_server(std::string ip, int port, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens; a port of 0 is replaced by a free one.
    [[nodiscard]] bool open();
    /// Stops listening and breaks all connections.
    void close();
    [[nodiscard]] int port() const { return m_port; }
    [[nodiscard]] std::string address() const {
        return m_ip + ":" + std::to_string(m_port);
    }

  private:
    void accept_connections();
    void serve(int descriptor);

    std::string m_ip;
    int m_port;
    http_handler m_handler;
    int m_listener{-1};
    std::atomic<bool> m_open{false};
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::vector<std::thread> m_threads;
};

/// Sends one request on a connection of its own.
[[nodiscard]] http_reply
send_request(const std::string& ip, int port, const std::string& method,
             const std::string& target,
             const std::vector<std::pair<std::string, std::string>>& headers,
             const std::string& body, int timeout_ms);

/// @return whether the address can be listened on at present.
[[nodiscard]] bool is_free(const std::string& ip, int port);

} // namespace review::cell
