// Stand-in for the network between two VMs. It relays TCP connections and
// injects two faults: "cut" stops all traffic and closes new connections;
// "forget" silently drops the traffic of open connections for good, as a
// middlebox that lost its state does, while new connections work. Controlled
// over HTTP:
// POST /mode {"mode": "pass" | "cut" | "forget"}.
#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/http/server.hpp"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

DEFINE_string(listen, "127.0.0.1:9500", "IP:port on which to accept");
DEFINE_string(target, "127.0.0.1:9501", "IP:port to which to relay");
DEFINE_string(control, "127.0.0.1:9502",
              "IP:port of the HTTP control interface");

namespace {

namespace base = eelgrasslever::base;
namespace http = eelgrasslever::http;
namespace kernel = eelgrasslever::kernel;

sockaddr_in parse_address(const std::string& text) {
    sockaddr_in out{};
    auto colon = text.rfind(':');
    out.sin_family = AF_INET;
    out.sin_port =
        htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

/// A relayed connection: bytes read from either socket are written to the
/// other.
class relayed_connection
    : public std::enable_shared_from_this<relayed_connection> {
  public:
    relayed_connection(kernel::loop& loop, int caller, int target)
        : m_loop(loop), m_sockets{caller, target} {}
    ~relayed_connection() {
        for (int descriptor : m_sockets) {
            close(descriptor);
        }
    }

    void
    start(std::function<void(std::shared_ptr<relayed_connection>)> on_closed) {
        m_on_closed = std::move(on_closed);
        for (std::size_t side = 0; side < m_sockets.size(); ++side) {
            m_watches[side] = std::make_unique<kernel::descriptor_watch>(
                m_loop, m_sockets[side], EV_READ,
                [weak = weak_from_this(), side](int) {
                    if (auto self = weak.lock()) {
                        self->relay_from(side);
                    }
                });
        }
    }

    /// Keeps both sockets open and drops all further bytes.
    void silence() { m_is_silent = true; }

  private:
    void relay_from(std::size_t side) {
        std::array<char, 65536> buffer{};
        ssize_t count =
            recv(m_sockets[side], buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0 && errno == EAGAIN) {
            return;
        }
        if (count <= 0) {
            finish();
            return;
        }
        if (m_is_silent) {
            return;
        }
        send(m_sockets[1 - side], buffer.data(),
             static_cast<std::size_t>(count), MSG_NOSIGNAL);
    }

    void finish() {
        for (auto& watch : m_watches) {
            watch->set_events(0);
        }
        auto self = shared_from_this();
        m_loop.defer([self] { self->m_on_closed(self); });
    }

    kernel::loop& m_loop;
    std::array<int, 2> m_sockets;
    std::array<std::unique_ptr<kernel::descriptor_watch>, 2> m_watches;
    std::function<void(std::shared_ptr<relayed_connection>)> m_on_closed;
    bool m_is_silent{false};
};

/// Accepts connections, relays them to the target and serves the control port.
class relay {
  public:
    explicit relay(kernel::loop& loop) : m_loop(loop) {}

    bool listen() {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        int enabled = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled,
                   sizeof enabled);
        sockaddr_in address = parse_address(FLAGS_listen);
        constexpr int backlog = 128;
        if (bind(m_listener, reinterpret_cast<sockaddr*>(&address),
                 sizeof address) != 0 ||
            ::listen(m_listener, backlog) != 0) {
            return false;
        }
        m_watch = std::make_unique<kernel::descriptor_watch>(
            m_loop, m_listener, EV_READ, [this](int) { accept_one(); });
        auto server = http::server::listen(
            m_loop, FLAGS_control,
            [this](const std::shared_ptr<http::exchange>& exchange) {
                set_mode(exchange);
            });
        if (!server) {
            return false;
        }
        m_control = std::move(*server);
        return true;
    }

  private:
    void accept_one() {
        int caller = accept(m_listener, nullptr, nullptr);
        if (caller < 0) {
            return;
        }
        int target = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in target_address = parse_address(FLAGS_target);
        bool is_connected =
            !m_is_cut &&
            connect(target, reinterpret_cast<sockaddr*>(&target_address),
                    sizeof target_address) == 0;
        if (!is_connected) {
            close(caller);
            close(target);
            return;
        }
        auto connection =
            std::make_shared<relayed_connection>(m_loop, caller, target);
        m_connections.insert(connection);
        connection->start(
            [this](const std::shared_ptr<relayed_connection>& closed) {
                m_connections.erase(closed);
            });
    }

    void set_mode(const std::shared_ptr<http::exchange>& exchange) {
        auto body =
            base::parse_object(exchange->body(), "relay.mode", "operator");
        std::string mode = body ? body->value("mode", "") : "";
        m_is_cut = mode == "cut";
        if (mode == "cut" || mode == "forget") {
            for (const auto& connection : m_connections) {
                connection->silence();
            }
        }
        http::response out;
        out.body = "{}";
        exchange->respond(std::move(out));
    }

    kernel::loop& m_loop;
    int m_listener{-1};
    bool m_is_cut{false};
    std::unique_ptr<kernel::descriptor_watch> m_watch;
    std::unique_ptr<http::server> m_control;
    std::set<std::shared_ptr<relayed_connection>> m_connections;
};

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "relays TCP connections and can cut or silence them");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    kernel::loop loop;
    relay server(loop);
    if (!server.listen()) {
        std::cerr << "cannot listen on " << FLAGS_listen << " or "
                  << FLAGS_control << "\n";
        return 1;
    }
    loop.run();
    return 0;
}
