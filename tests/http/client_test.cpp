#include "eelgrasslever/http/client.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace eelgrasslever;

namespace {

/// Answers the first request of a connection, then reads a second one, closes
/// the connection without a response and stops listening.
class disconnecting_server {
  public:
    disconnecting_server() : m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at);
        listen(m_listener, 1);
        socklen_t size = sizeof at;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&at), &size);
        m_port = ntohs(at.sin_port);
        m_thread = std::thread([this] { serve(); });
    }
    ~disconnecting_server() { m_thread.join(); }
    disconnecting_server(const disconnecting_server&) = delete;
    disconnecting_server& operator=(const disconnecting_server&) = delete;

    [[nodiscard]] std::string url() const {
        return "http://127.0.0.1:" + std::to_string(m_port) + "/";
    }

  private:
    void serve() const {
        int connection = accept(m_listener, nullptr, nullptr);
        std::array<char, 4096> buffer{};
        recv(connection, buffer.data(), buffer.size(), 0);
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        recv(connection, buffer.data(), buffer.size(), 0);
        close(m_listener);
        close(connection);
    }

    int m_listener;
    unsigned m_port{0};
    std::thread m_thread;
};

/// Sends a response piece by piece to one request, then closes the connection.
class slow_server {
  public:
    static constexpr base::milliseconds piece_interval{20};

    /// @param announced_pieces as the response says.
    /// @param sent_pieces of these, after which the response stays incomplete.
    slow_server(int announced_pieces, int sent_pieces)
        : m_announced_pieces(announced_pieces), m_sent_pieces(sent_pieces),
          m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at);
        listen(m_listener, 1);
        socklen_t size = sizeof at;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&at), &size);
        m_port = ntohs(at.sin_port);
        m_thread = std::thread([this] { serve(); });
    }
    ~slow_server() {
        m_thread.join();
        close(m_listener);
    }
    slow_server(const slow_server&) = delete;
    slow_server& operator=(const slow_server&) = delete;

    /// @return the reply to a call with @p timeout and @p transfer_timeout.
    [[nodiscard]] http::reply call(base::milliseconds timeout,
                                   base::milliseconds transfer_timeout) const {
        http::call request;
        request.url = "http://127.0.0.1:" + std::to_string(m_port) + "/";
        request.timeout = timeout;
        request.transfer_timeout = transfer_timeout;
        return http::send_blocking(request);
    }

  private:
    void serve() const {
        int connection = accept(m_listener, nullptr, nullptr);
        std::array<char, 4096> buffer{};
        recv(connection, buffer.data(), buffer.size(), 0);
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                 std::to_string(m_announced_pieces) +
                                 "\r\n\r\n";
        send(connection, head.data(), head.size(), MSG_NOSIGNAL);
        for (int i = 0; i < m_sent_pieces; ++i) {
            std::this_thread::sleep_for(piece_interval);
            if (send(connection, "x", 1, MSG_NOSIGNAL) < 0) {
                break;
            }
        }
        // Until the client closes the connection.
        recv(connection, buffer.data(), buffer.size(), 0);
        close(connection);
    }

    int m_announced_pieces;
    int m_sent_pieces;
    int m_listener;
    unsigned m_port{0};
    std::thread m_thread;
};

/// Listens on all loopback addresses, so that one port stands for many servers,
/// and answers each request. It can hold its answers back.
class many_servers {
  public:
    many_servers() : m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at);
        listen(m_listener, SOMAXCONN);
        socklen_t size = sizeof at;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&at), &size);
        m_port = ntohs(at.sin_port);
        m_thread = std::thread([this] { serve(); });
    }
    ~many_servers() {
        m_stop = true;
        m_thread.join();
        for (const pollfd& row : m_watched) {
            close(row.fd);
        }
    }
    many_servers(const many_servers&) = delete;
    many_servers& operator=(const many_servers&) = delete;

    [[nodiscard]] std::string url(int server) const {
        return "http://127.0.1." + std::to_string(server + 1) + ":" +
               std::to_string(m_port) + "/";
    }
    /// Answers only once @p count requests wait for an answer.
    void hold_until(std::size_t count) { m_hold = count; }
    /// Closes every n-th connection.
    void close_every(std::size_t n) { m_close_every = n; }
    [[nodiscard]] bool has_closed() const { return m_close_every == 0; }
    /// @return the number of requests that have been received.
    [[nodiscard]] std::size_t received() const { return m_received; }
    /// @return the number of requests that have been answered.
    [[nodiscard]] std::size_t answered() const { return m_answered; }

  private:
    void serve() {
        m_watched.push_back({m_listener, POLLIN, 0});
        constexpr int poll_ms = 5;
        while (!m_stop) {
            poll(m_watched.data(), m_watched.size(), poll_ms);
            if ((m_watched.front().revents & POLLIN) != 0) {
                m_watched.push_back(
                    {accept(m_listener, nullptr, nullptr), POLLIN, 0});
            }
            for (std::size_t i = 1; i < m_watched.size(); ++i) {
                read(m_watched[i]);
            }
            if (m_waiting.size() >= m_hold) {
                answer();
            }
            if (std::size_t n = m_close_every) {
                close_some(n);
            }
        }
    }
    void read(pollfd& row) {
        std::array<char, 4096> buffer{};
        if (row.fd >= 0 && (row.revents & POLLIN) != 0 &&
            recv(row.fd, buffer.data(), buffer.size(), 0) > 0) {
            m_waiting.push_back(row.fd);
            m_received++;
        }
        row.revents = 0;
    }
    void answer() {
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        for (int connection : m_waiting) {
            send(connection, text.data(), text.size(), MSG_NOSIGNAL);
            m_answered++;
        }
        m_waiting.clear();
    }
    void close_some(std::size_t n) {
        for (std::size_t i = 1; i < m_watched.size(); i += n) {
            close(std::exchange(m_watched[i].fd, -1));
        }
        m_close_every = 0;
    }

    int m_listener;
    unsigned m_port{0};
    std::vector<pollfd> m_watched;
    std::vector<int> m_waiting;
    std::atomic<std::size_t> m_hold{0};
    std::atomic<std::size_t> m_received{0};
    std::atomic<std::size_t> m_answered{0};
    std::atomic<std::size_t> m_close_every{0};
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

/// Sends requests to many servers at the same time.
/// @return the longest time for which the event loop did not run its timer.
base::milliseconds longest_stall(kernel::loop& loop, http::client& client,
                                 const many_servers& servers, int server_count,
                                 int calls_each, int& failed) {
    auto latest = std::chrono::steady_clock::now();
    std::chrono::steady_clock::duration longest{0};
    kernel::timer clock(loop, [&] {
        auto now = std::chrono::steady_clock::now();
        longest = std::max(longest, now - latest);
        latest = now;
    });
    clock.start_every(base::milliseconds(5));
    int open = server_count * calls_each;
    for (int i = 0; i < open; ++i) {
        http::call call;
        call.url = servers.url(i % server_count);
        call.timeout = base::milliseconds(20'000);
        client.send(call, [&](const http::reply& reply) {
            failed += reply.reached ? 0 : 1;
            if (--open == 0) {
                loop.stop();
            }
        });
    }
    loop.run();
    longest = std::max(longest, std::chrono::steady_clock::now() - latest);
    return std::chrono::duration_cast<base::milliseconds>(longest);
}

http::reply post(kernel::loop& loop, http::client& client,
                 const std::string& url) {
    http::call call;
    call.method = "POST";
    call.url = url;
    call.body = "{}";
    http::reply out;
    client.send(call, [&](const http::reply& reply) {
        out = reply;
        loop.stop();
    });
    loop.run();
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_client)

// When a reused connection breaks after the request was sent, libcurl retries
// on a new connection. If that one is refused, the error is "could not
// connect", although the server may have processed the first attempt. Treating
// the request as unsent made a task run twice.
BOOST_AUTO_TEST_CASE(a_request_lost_on_a_reused_connection_counts_as_sent) {
    kernel::loop loop;
    http::client client(loop);
    disconnecting_server server;
    BOOST_TEST(post(loop, client, server.url()).status == 200);
    http::reply second = post(loop, client, server.url());
    BOOST_TEST(!second.reached);
    BOOST_TEST(!second.nothing_sent);
}

BOOST_AUTO_TEST_CASE(a_refused_connection_reports_nothing_sent) {
    kernel::loop loop;
    http::client client(loop);
    http::reply reply = post(loop, client, "http://127.0.0.1:1/");
    BOOST_TEST(!reply.reached);
    BOOST_TEST(reply.nothing_sent);
}

// libcurl checks its idle connections once a second and begins again with each
// one that the server has closed. A leader with 2,000 connections stood still
// for half a second each time, and all its calls timed out.
BOOST_AUTO_TEST_CASE(closed_idle_connections_do_not_stall_the_event_loop) {
    constexpr int server_count = 240;
    constexpr int connections_each = 8;
    constexpr base::milliseconds max_stall{200};
    many_servers servers;
    kernel::loop loop;
    http::client client(loop);
    int failed = 0;
    servers.hold_until(server_count * connections_each);
    longest_stall(loop, client, servers, server_count, connections_each,
                  failed);
    servers.hold_until(0);
    servers.close_every(4);
    while (!servers.has_closed()) {
        std::this_thread::sleep_for(base::milliseconds(10));
    }
    constexpr base::milliseconds check_period{1100};
    std::this_thread::sleep_for(check_period);
    auto stall = longest_stall(loop, client, servers, server_count, 1, failed);
    BOOST_TEST(stall.count() <= max_stall.count());
    BOOST_TEST(failed == 0);
}

// After a pause of the process, replies that had arrived in time counted as
// timeouts, so that a leader took all of its endpoints for silent.
BOOST_AUTO_TEST_CASE(a_reply_that_arrived_during_a_pause_is_not_a_timeout) {
    many_servers servers;
    kernel::loop loop;
    http::client client(loop);
    http::call call;
    call.url = servers.url(0);
    call.timeout = base::milliseconds(1000);
    http::reply received;
    client.send(call, [&](const http::reply& reply) {
        received = reply;
        loop.stop();
    });
    // The pause begins once the server has the request, and lasts until it has
    // answered and the timeout has passed.
    kernel::timer pause(loop, [&] {
        if (servers.received() == 0 || servers.answered() > 0) {
            return;
        }
        servers.hold_until(0);
        while (servers.answered() == 0) {
            std::this_thread::sleep_for(base::milliseconds(1));
        }
        std::this_thread::sleep_for(call.timeout);
    });
    servers.hold_until(2);
    pause.start_every(base::milliseconds(10));
    loop.run();
    // Otherwise the server was too slow, and there was no pause.
    BOOST_TEST_REQUIRE(servers.answered() == 1u);
    BOOST_TEST(received.reached);
}

BOOST_AUTO_TEST_CASE(a_call_without_a_reply_ends_at_its_timeout) {
    many_servers servers;
    servers.hold_until(2);
    kernel::loop loop;
    http::client client(loop);
    http::call call;
    call.url = servers.url(0);
    call.timeout = base::milliseconds(100);
    http::reply received;
    auto sent_at = std::chrono::steady_clock::now();
    client.send(call, [&](const http::reply& reply) {
        received = reply;
        loop.stop();
    });
    loop.run();
    BOOST_TEST(!received.reached);
    BOOST_TEST(!received.nothing_sent);
    BOOST_TEST((std::chrono::steady_clock::now() - sent_at >= call.timeout));
}

// A call without a server made libcurl look up the first part of the path as a
// name. The loop then waited for the thread that did, 0.5 s for each call.
BOOST_AUTO_TEST_CASE(a_call_without_a_server_is_refused_without_a_lookup) {
    kernel::loop loop;
    http::client client(loop);
    http::call call;
    call.url = "http:///path";
    call.timeout = base::milliseconds(100);
    std::optional<http::reply> received;
    client.send(call, [&](const http::reply& reply) {
        received = reply;
        loop.stop();
    });
    BOOST_TEST(!received); // callbacks never run inside `send`
    loop.run();
    BOOST_TEST(!received->reached);
    BOOST_TEST(received->nothing_sent);
    BOOST_TEST(received->failure == "the URL names no server");
}

// Guards against a large reply over a narrow link that is given up half
// received, asked for again and given up again.
BOOST_AUTO_TEST_CASE(a_reply_that_keeps_arriving_outlasts_the_timeout) {
    constexpr int pieces = 20;
    slow_server server(pieces, pieces);
    http::reply reply =
        server.call(5 * slow_server::piece_interval, base::milliseconds(5000));
    BOOST_TEST(reply.reached);
    BOOST_TEST(reply.body.size() == std::size_t{pieces});
    BOOST_TEST((reply.duration >= pieces * slow_server::piece_interval));
    BOOST_TEST((reply.first_byte_after < reply.duration));
}

BOOST_AUTO_TEST_CASE(a_reply_that_stops_arriving_is_given_up) {
    slow_server server(20, 10);
    http::reply reply = server.call(5 * slow_server::piece_interval,
                                    base::milliseconds(30'000));
    BOOST_TEST(!reply.reached);
    BOOST_TEST((reply.duration < base::milliseconds(10'000)));
}

BOOST_AUTO_TEST_CASE(a_reply_that_keeps_arriving_is_given_up_in_the_end) {
    slow_server server(500, 500);
    constexpr base::milliseconds transfer_timeout{200};
    http::reply reply =
        server.call(5 * slow_server::piece_interval, transfer_timeout);
    BOOST_TEST(!reply.reached);
    BOOST_TEST((reply.duration >= transfer_timeout));
    BOOST_TEST((reply.duration < base::milliseconds(5000)));
}

BOOST_AUTO_TEST_SUITE_END()
