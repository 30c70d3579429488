#include "eelgrasslever/daemon/peer_links.hpp"

#include "eelgrasslever/base/address.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace eelgrasslever::daemon {

namespace {

/// Unsent data per peer; frames beyond it are dropped.
constexpr std::size_t max_queue_bytes = 8 * 1024 * 1024;
constexpr std::size_t read_chunk_bytes = 64 * 1024;
constexpr unsigned tcp_user_timeout_ms = 2000;
constexpr base::milliseconds connect_timeout{1000};
constexpr int listen_backlog = 128;
constexpr const char* link_activity = "peer_links";

int open_socket() {
    int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    // Fail a connection whose state a middlebox has lost: its packets are
    // dropped, so sent data stays unacknowledged.
    unsigned limit = tcp_user_timeout_ms;
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    return descriptor;
}

} // namespace

/// Sends frames to one peer. Connects on demand.
class outbound_link : public std::enable_shared_from_this<outbound_link> {
  public:
    outbound_link(peer_links& links, std::string address)
        : m_links(links), m_address(std::move(address)),
          m_connect_timer(links.m_event_loop, [this] { close_connection(); }) {}
    ~outbound_link() { close_connection(); }

    void send(const std::string& frame) {
        if (m_queue.size() + frame.size() > max_queue_bytes) {
            return;
        }
        m_queue += frame;
        if (m_descriptor < 0) {
            connect_now();
        } else if (m_connected) {
            flush();
        }
    }

    void close_connection() {
        m_connect_timer.cancel();
        m_watch.reset();
        if (m_descriptor >= 0) {
            close(m_descriptor);
        }
        m_descriptor = -1;
        m_connected = false;
        m_queue.clear();
    }

  private:
    void connect_now() {
        auto peer_address = base::parse_address(m_address);
        if (!peer_address || !base::is_callable(*peer_address)) {
            m_queue.clear();
            return;
        }
        m_descriptor = open_socket();
        int connected =
            connect(m_descriptor, reinterpret_cast<sockaddr*>(&*peer_address),
                    sizeof *peer_address);
        if (connected != 0 && errno != EINPROGRESS) {
            close_connection();
            return;
        }
        m_connect_timer.start_once(connect_timeout);
        auto self = shared_from_this();
        m_watch = std::make_unique<kernel::descriptor_watch>(
            m_links.m_event_loop, m_descriptor, EV_WRITE,
            [weak = std::weak_ptr<outbound_link>(self)](int events) {
                if (auto link = weak.lock()) {
                    link->on_ready(events);
                }
            });
    }

    void on_ready(int events) {
        if (!m_connected) {
            int socket_error = 0;
            socklen_t size = sizeof socket_error;
            getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &socket_error,
                       &size);
            if (socket_error != 0) {
                close_later();
                return;
            }
            m_connected = true;
            m_connect_timer.cancel();
        }
        if ((events & EV_READ) != 0 && peer_has_closed()) {
            close_later();
            return;
        }
        flush();
    }

    // Peers never send data on this connection, so it becomes readable only
    // when it is closed.
    [[nodiscard]] bool peer_has_closed() const {
        std::array<char, 16> buffer{};
        ssize_t count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        return count == 0 ||
               (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void flush() {
        while (!m_queue.empty()) {
            ssize_t sent = ::send(m_descriptor, m_queue.data(), m_queue.size(),
                                  MSG_NOSIGNAL);
            if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                break;
            }
            if (sent < 0) {
                close_later();
                return;
            }
            m_links.m_totals.bytes_sent += static_cast<std::uint64_t>(sent);
            m_queue.erase(0, static_cast<std::size_t>(sent));
        }
        int write = m_queue.empty() ? 0 : EV_WRITE;
        m_watch->set_events(EV_READ | write);
    }

    // Called from the callback of the watch, whose destruction is therefore
    // deferred.
    void close_later() {
        m_watch->set_events(0);
        m_links.m_event_loop.defer(
            [self = shared_from_this()] { self->close_connection(); });
    }

    peer_links& m_links;
    std::string m_address;
    kernel::timer m_connect_timer;
    int m_descriptor{-1};
    bool m_connected{false};
    std::string m_queue;
    std::unique_ptr<kernel::descriptor_watch> m_watch;
};

/// Receives frames on a connection that a peer opened.
class inbound_session : public std::enable_shared_from_this<inbound_session> {
  public:
    inbound_session(peer_links& links, int descriptor)
        : m_links(links), m_descriptor(descriptor) {}
    ~inbound_session() { close(m_descriptor); }

    void start() {
        m_watch = std::make_unique<kernel::descriptor_watch>(
            m_links.m_event_loop, m_descriptor, EV_READ,
            [weak = weak_from_this()](int) {
                if (auto session = weak.lock()) {
                    session->read_available();
                }
            });
    }

  private:
    void read_available() {
        kernel::activity measured(m_links.m_event_loop, link_activity);
        std::array<char, read_chunk_bytes> buffer{};
        ssize_t count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return;
        }
        if (count <= 0) {
            close_session();
            return;
        }
        m_links.m_totals.bytes_received += static_cast<std::uint64_t>(count);
        m_reader.append(buffer.data(), static_cast<std::size_t>(count));
        for (;;) {
            auto next = m_reader.next();
            if (!next) {
                reject_frame(next.error());
                return;
            }
            if (!next->has_value()) {
                return;
            }
            auto decoded = wire::decode(**next);
            if (!decoded) {
                reject_frame(decoded.error());
                return;
            }
            m_links.m_scheduler.post(peer_message_received{
                decoded->from, std::move(decoded->content)});
        }
    }

    void reject_frame(const base::error& error) {
        m_links.m_totals.invalid_frames++;
        observe::log_error("peer_frame_refused", {{"why", error.message()}});
        close_session();
    }

    void close_session() {
        m_watch->set_events(0);
        auto self = shared_from_this();
        m_links.m_inbound.erase(self);
        m_links.m_event_loop.defer([self] {});
    }

    peer_links& m_links;
    int m_descriptor;
    wire::frame_reader m_reader;
    std::unique_ptr<kernel::descriptor_watch> m_watch;
};

peer_links::peer_links(kernel::loop& event_loop,
                       kernel::mailbox<scheduler_message>& scheduler)
    : m_event_loop(event_loop), m_scheduler(scheduler),
      m_inbox(event_loop, [this](peer_link_message&& message) {
          on_message(std::move(message));
      }) {}

base::result<std::unique_ptr<peer_links>>
peer_links::listen(kernel::loop& event_loop, const std::string& address,
                   kernel::mailbox<scheduler_message>& scheduler) {
    std::unique_ptr<peer_links> self(new peer_links(event_loop, scheduler));
    auto bind_address = base::parse_address(address);
    auto failed = [&](const std::string& reason) {
        return base::fail(base::error_code::io, "peer.listen", address, reason);
    };
    if (!bind_address) {
        return failed("not a valid IPv4 address and port; expected IP:port");
    }
    self->m_listener = open_socket();
    int enabled = 1;
    setsockopt(self->m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled,
               sizeof enabled);
    bool bound =
        bind(self->m_listener, reinterpret_cast<sockaddr*>(&*bind_address),
             sizeof *bind_address) == 0;
    if (!bound || ::listen(self->m_listener, listen_backlog) != 0) {
        return failed(std::strerror(errno));
    }
    peer_links* raw = self.get();
    self->m_watch = std::make_unique<kernel::descriptor_watch>(
        event_loop, self->m_listener, EV_READ,
        [raw](int) { raw->accept_pending(); });
    return self;
}

peer_links::~peer_links() {
    m_watch.reset();
    if (m_listener >= 0) {
        close(m_listener);
    }
}

void peer_links::accept_pending() {
    for (;;) {
        int descriptor =
            accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        auto session = std::make_shared<inbound_session>(*this, descriptor);
        session->start();
        m_inbound.insert(std::move(session));
    }
}

void peer_links::on_message(peer_link_message&& message) {
    kernel::activity measured(m_event_loop, link_activity);
    if (const auto* reset = std::get_if<reset_peer_link>(&message)) {
        auto found = m_outbound.find(reset->address);
        if (found != m_outbound.end()) {
            found->second->close_connection();
        }
        return;
    }
    const auto& send = std::get<send_peer_frame>(message);
    auto& link = m_outbound[send.address];
    if (!link) {
        link = std::make_shared<outbound_link>(*this, send.address);
    }
    link->send(send.frame);
}

} // namespace eelgrasslever::daemon
