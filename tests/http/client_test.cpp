#include "eelgrasslever/http/client.hpp"

#include <arpa/inet.h>
#include <array>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

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

BOOST_AUTO_TEST_SUITE_END()
