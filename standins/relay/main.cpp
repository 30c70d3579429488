// Stand-in for what lies between two VMs: relays TCP connections and can be
// cut (nothing passes, new connections are refused) or made forgetful (open
// connections go silent for good, new ones work). Control over HTTP:
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
DEFINE_string(control, "127.0.0.1:9502", "IP:port of the HTTP control");

namespace {

namespace base = eelgrasslever::base;
namespace http = eelgrasslever::http;
namespace kernel = eelgrasslever::kernel;

sockaddr_in address_of(const std::string& text) {
    sockaddr_in out{};
    auto colon = text.rfind(':');
    out.sin_family = AF_INET;
    out.sin_port =
        htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

/// One relayed connection: bytes read at either end are written at the other.
class relayed : public std::enable_shared_from_this<relayed> {
  public:
    relayed(kernel::loop& owner, int caller, int target)
        : m_owner(owner), m_ends{caller, target} {}
    ~relayed() {
        for (int end : m_ends) {
            close(end);
        }
    }

    void start(std::function<void(std::shared_ptr<relayed>)> on_end) {
        m_on_end = std::move(on_end);
        for (std::size_t side = 0; side < m_ends.size(); ++side) {
            m_watches[side] = std::make_unique<kernel::descriptor_watch>(
                m_owner, m_ends[side], EV_READ,
                [weak = weak_from_this(), side](int) {
                    if (auto kept = weak.lock()) {
                        kept->pump(side);
                    }
                });
        }
    }

    /// Keeps both sockets open and passes nothing on any more.
    void go_silent() { m_silent = true; }

  private:
    void pump(std::size_t side) {
        std::array<char, 65536> buffer{};
        ssize_t count =
            recv(m_ends[side], buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0 && errno == EAGAIN) {
            return;
        }
        if (count <= 0) {
            end();
            return;
        }
        if (m_silent) {
            return;
        }
        send(m_ends[1 - side], buffer.data(), static_cast<std::size_t>(count),
             MSG_NOSIGNAL);
    }

    void end() {
        for (auto& watch : m_watches) {
            watch->set_events(0);
        }
        auto kept = shared_from_this();
        m_owner.defer([kept] { kept->m_on_end(kept); });
    }

    kernel::loop& m_owner;
    std::array<int, 2> m_ends;
    std::array<std::unique_ptr<kernel::descriptor_watch>, 2> m_watches;
    std::function<void(std::shared_ptr<relayed>)> m_on_end;
    bool m_silent{false};
};

class relay {
  public:
    explicit relay(kernel::loop& owner) : m_owner(owner) {}

    bool listen() {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at = address_of(FLAGS_listen);
        constexpr int backlog = 128;
        if (bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at) !=
                0 ||
            ::listen(m_listener, backlog) != 0) {
            return false;
        }
        m_watch = std::make_unique<kernel::descriptor_watch>(
            m_owner, m_listener, EV_READ, [this](int) { accept_one(); });
        auto server = http::server::listen(
            m_owner, FLAGS_control,
            [this](const std::shared_ptr<http::exchange>& at) {
                set_mode(at);
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
        sockaddr_in to = address_of(FLAGS_target);
        bool reached =
            !m_cut &&
            connect(target, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
        if (!reached) {
            close(caller);
            close(target);
            return;
        }
        auto item = std::make_shared<relayed>(m_owner, caller, target);
        m_open.insert(item);
        item->start([this](const std::shared_ptr<relayed>& ended) {
            m_open.erase(ended);
        });
    }

    void set_mode(const std::shared_ptr<http::exchange>& at) {
        auto body = base::parse_object(at->body(), "relay.mode", "operator");
        std::string mode = body ? body->value("mode", "") : "";
        m_cut = mode == "cut";
        if (mode == "cut" || mode == "forget") {
            for (const auto& item : m_open) {
                item->go_silent();
            }
        }
        http::response out;
        out.body = "{}";
        at->respond(std::move(out));
    }

    kernel::loop& m_owner;
    int m_listener{-1};
    bool m_cut{false};
    std::unique_ptr<kernel::descriptor_watch> m_watch;
    std::unique_ptr<http::server> m_control;
    std::set<std::shared_ptr<relayed>> m_open;
};

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("relays TCP connections that can be cut");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    kernel::loop loop;
    relay self(loop);
    if (!self.listen()) {
        std::cerr << "cannot listen on " << FLAGS_listen << " or "
                  << FLAGS_control << "\n";
        return 1;
    }
    loop.run();
    return 0;
}
