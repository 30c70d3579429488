#include "eelgrasslever/http/server.hpp"

#include <arpa/inet.h>
#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

using namespace eelgrasslever;

namespace {

/// @return a loopback address with a port that was free.
sockaddr_in choose_address() {
    int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(probe, reinterpret_cast<sockaddr*>(&at), sizeof at);
    socklen_t size = sizeof at;
    getsockname(probe, reinterpret_cast<sockaddr*>(&at), &size);
    close(probe);
    return at;
}

/// Sends @p text to a server, and passes the first request to @p on_request.
/// @param is_closed whether the client closes its side after that.
void serve_one(const std::string& text, bool is_closed,
               const std::function<void(http::exchange&)>& on_request) {
    kernel::loop loop;
    sockaddr_in at = choose_address();
    bool was_served = false;
    auto server = http::server::listen(
        loop, "127.0.0.1:" + std::to_string(ntohs(at.sin_port)),
        [&](const std::shared_ptr<http::exchange>& request) {
            if (!std::exchange(was_served, true)) {
                on_request(*request);
            }
            request->respond({});
            loop.stop();
        });
    BOOST_REQUIRE(server.has_value());
    int client = socket(AF_INET, SOCK_STREAM, 0);
    BOOST_REQUIRE(
        connect(client, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    send(client, text.data(), text.size(), MSG_NOSIGNAL);
    if (is_closed) {
        shutdown(client, SHUT_WR);
    }
    loop.run();
    close(client);
    BOOST_TEST(was_served);
}

const std::string short_request =
    "POST /j HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";

} // namespace

// Guards against work for a client that has given its request up, and against
// the rejection of one that waits or has sent its next request ahead.
BOOST_AUTO_TEST_CASE(a_client_that_has_left_is_told_apart) {
    serve_one(short_request, true, [](const http::exchange& request) {
        BOOST_TEST(request.client_has_left());
    });
    serve_one(short_request, false, [](const http::exchange& request) {
        BOOST_TEST(!request.client_has_left());
    });
    serve_one(short_request + short_request, false,
              [](const http::exchange& request) {
                  BOOST_TEST(!request.client_has_left());
              });
}

// A request may have been carried out when the process exits. A client that is
// told 503 takes it for one that never will be.
BOOST_AUTO_TEST_CASE(an_open_request_has_an_unknown_outcome_at_exit) {
    kernel::loop loop;
    sockaddr_in at = choose_address();
    std::shared_ptr<http::exchange> open_request;
    auto server = http::server::listen(
        loop, "127.0.0.1:" + std::to_string(ntohs(at.sin_port)),
        [&](const std::shared_ptr<http::exchange>& request) {
            open_request = request;
            loop.stop();
        });
    BOOST_REQUIRE(server.has_value());
    int client = socket(AF_INET, SOCK_STREAM, 0);
    BOOST_REQUIRE(
        connect(client, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    const std::string request =
        "POST /j HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
    send(client, request.data(), request.size(), MSG_NOSIGNAL);
    loop.run();
    BOOST_REQUIRE(open_request != nullptr);
    server->reset();
    std::array<char, 1024> buffer{};
    auto size = recv(client, buffer.data(), buffer.size(), 0);
    std::string answer(buffer.data(),
                       size > 0 ? static_cast<std::size_t>(size) : 0);
    close(client);
    BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 504");
}
