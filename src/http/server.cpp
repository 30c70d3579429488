#include "eelgrasslever/http/server.hpp"
#include "eelgrasslever/http/code.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace eelgrasslever::http {

namespace {

constexpr unsigned idle_timeout_seconds = 120;
/// Larger bodies of unknown length get the room of the largest at once.
constexpr std::size_t max_small_body_bytes = 16 * 1024;
/// How often connections are checked for requests that don't end.
constexpr base::milliseconds sweep_period{1000};
constexpr const char* server_activity = "client_connections";
constexpr const char* request_activity = "client_requests";

base::result<sockaddr_in> parse_address(const std::string& address) {
    auto invalid = [&] {
        return base::fail(
            base::error_code::invalid_argument, "http.listen", address,
            "not a valid IPv4 address and port; expected IP:port");
    };
    auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return invalid();
    }
    sockaddr_in out{};
    out.sin_family = AF_INET;
    unsigned port = 0;
    const char* first = address.data() + colon + 1;
    const char* last = address.data() + address.size();
    auto parsed = std::from_chars(first, last, port);
    if (parsed.ec != std::errc() || parsed.ptr != last || port > 65535) {
        return invalid();
    }
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    std::string ip = address.substr(0, colon);
    if (inet_pton(AF_INET, ip.c_str(), &out.sin_addr) != 1) {
        return invalid();
    }
    return out;
}

/// @return the length that the header of the request announces for its body.
std::optional<std::size_t> declared_bytes(const exchange& request) {
    auto text = request.header("Content-Length");
    std::size_t value = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), value).ec !=
            std::errc()) {
        return std::nullopt;
    }
    return value;
}

MHD_Result queue_response(MHD_Connection* connection, const response& reply,
                          server_totals& totals) {
    MHD_Response* native = MHD_create_response_from_buffer(
        reply.body.size(), const_cast<char*>(reply.body.data()),
        MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(native, "Content-Type", reply.content_type.c_str());
    for (const header& extra : reply.headers) {
        MHD_add_response_header(native, extra.name.c_str(),
                                extra.value.c_str());
    }
    totals.bytes_out += reply.body.size();
    auto status = static_cast<unsigned>(reply.status);
    MHD_Result queued = MHD_queue_response(connection, status, native);
    MHD_destroy_response(native);
    return queued;
}

} // namespace

/// A client's connection.
struct server_connection {
    int descriptor{-1};
    /// Since when a complete request has been waited for: the connection began,
    /// or the request before ended.
    base::instant waiting_since{};
    base::instant request_began_at{};
    std::weak_ptr<exchange> request; ///< the one that is being received
    std::size_t buffered{0};         ///< bytes of its body
    bool is_handled{false}; ///< the handler has the request, and no response
    bool is_evicted{false};
    std::list<std::unique_ptr<server_connection>>::iterator place;
};

struct server::native {
    MHD_Daemon* daemon{nullptr};
    std::unique_ptr<kernel::descriptor_watch> watch;
    std::unique_ptr<kernel::timer> timeout;
    bool run_scheduled{false};
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};

    static MHD_Result access(void* context, MHD_Connection* connection,
                             const char* url, const char* method,
                             const char* version, const char* upload,
                             std::size_t* upload_size, void** connection_state);
    static void connection_changed(void* context, MHD_Connection* connection,
                                   void** socket_state,
                                   MHD_ConnectionNotificationCode what);
    static void completed(void* context, MHD_Connection* connection,
                          void** connection_state,
                          MHD_RequestTerminationCode why);
    static MHD_Result dispatch(server& self,
                               const std::shared_ptr<exchange>& state);
};

MHD_Result server::native::access(void* context, MHD_Connection* connection,
                                  const char* url, const char* method,
                                  const char*, const char* upload,
                                  std::size_t* upload_size,
                                  void** connection_state) {
    auto& self = *static_cast<server*>(context);
    if (*connection_state == nullptr) {
        auto new_exchange = std::make_shared<exchange>();
        new_exchange->m_server = &self;
        new_exchange->m_connection = connection;
        new_exchange->m_method = method;
        new_exchange->m_path = url;
        const auto* info = MHD_get_connection_info(
            connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
        new_exchange->m_state =
            static_cast<server_connection*>(info->socket_context);
        new_exchange->m_state->request = new_exchange;
        new_exchange->m_state->request_began_at = base::monotonic_now();
        new_exchange->m_declared_bytes =
            declared_bytes(*new_exchange).value_or(0);
        new_exchange->m_too_large =
            new_exchange->m_declared_bytes > self.m_limits.max_body_bytes;
        *connection_state =
            new std::shared_ptr<exchange>(std::move(new_exchange));
        return MHD_YES;
    }
    auto& state = *static_cast<std::shared_ptr<exchange>*>(*connection_state);
    if (state->m_state->is_evicted) {
        return MHD_NO;
    }
    if (*upload_size > 0) {
        self.m_totals.bytes_in += *upload_size;
        bool goes_on = self.append_body(*state, upload, *upload_size);
        *upload_size = 0;
        return goes_on ? MHD_YES : MHD_NO;
    }
    return dispatch(self, state);
}

void server::native::connection_changed(void* context,
                                        MHD_Connection* connection,
                                        void** socket_state,
                                        MHD_ConnectionNotificationCode what) {
    auto& self = *static_cast<server*>(context);
    if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
        auto* closed = static_cast<server_connection*>(*socket_state);
        self.m_buffered -= closed->buffered;
        self.m_connections.erase(closed->place);
        return;
    }
    // One place stays free, as the server accepts none without.
    if (self.m_connections.size() + 1 >= self.m_limits.max_connections) {
        self.evict_oldest(&server_totals::closed_for_connections, false);
    }
    auto opened = std::make_unique<server_connection>();
    opened->descriptor =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    opened->waiting_since = base::monotonic_now();
    *socket_state = opened.get();
    server_connection* raw = opened.get();
    raw->place =
        self.m_connections.insert(self.m_connections.end(), std::move(opened));
}

MHD_Result server::native::dispatch(server& self,
                                    const std::shared_ptr<exchange>& state) {
    if (!state->m_dispatched) {
        state->m_dispatched = true;
        self.m_totals.requests++;
        if (state->m_too_large) {
            response reply;
            reply.status = code::payload_too_large;
            reply.body = R"({"title":"the body is larger than allowed"})";
            state->m_response = std::move(reply);
            self.m_totals.bodies_too_large++;
        } else {
            state->m_state->is_handled = true;
            kernel::activity measured(self.m_event_loop, request_activity);
            self.m_on_request(state);
        }
    }
    if (state->m_response) {
        state->m_state->is_handled = false;
        self.begin_waiting(*state->m_state);
        state->m_suspended = false;
        return queue_response(state->m_connection, *state->m_response,
                              self.m_totals);
    }
    state->m_suspended = true;
    self.m_suspended.insert(state);
    MHD_suspend_connection(state->m_connection);
    return MHD_YES;
}

void server::native::completed(void*, MHD_Connection*, void** connection_state,
                               MHD_RequestTerminationCode) {
    auto* state = static_cast<std::shared_ptr<exchange>*>(*connection_state);
    if (state == nullptr) {
        return;
    }
    exchange& ended = **state;
    ended.release_body();
    server_connection& connection = *ended.m_state;
    connection.is_handled = false;
    connection.request.reset();
    ended.m_server->begin_waiting(connection);
    ended.m_connection = nullptr;
    ended.m_state = nullptr;
    delete state;
    *connection_state = nullptr;
}

void server::begin_waiting(server_connection& connection) {
    connection.waiting_since = base::monotonic_now();
    m_connections.splice(m_connections.end(), m_connections, connection.place);
}

bool server::append_body(exchange& request, const char* data,
                         std::size_t size) {
    if (request.m_too_large ||
        request.m_body.size() + size > m_limits.max_body_bytes) {
        request.m_too_large = true;
        request.release_body();
        return true;
    }
    while (m_buffered + size > m_limits.max_buffered_bytes) {
        if (!evict_oldest(&server_totals::closed_for_memory, true) ||
            request.m_state->is_evicted) {
            m_totals.closed_for_memory++;
            return false;
        }
    }
    // Growing a large body would hold it twice. Memory that no byte is written
    // to isn't taken from the system.
    std::size_t needed = request.m_body.size() + size;
    if (needed > request.m_body.capacity()) {
        std::size_t expected = needed > max_small_body_bytes
                                   ? m_limits.max_body_bytes
                                   : request.m_declared_bytes;
        request.m_body.reserve(std::max(needed, expected));
    }
    request.m_body.append(data, size);
    request.m_state->buffered += size;
    m_buffered += size;
    return true;
}

bool server::evict_oldest(std::uint64_t server_totals::*counter,
                          bool holds_body) {
    for (const auto& it : m_connections) {
        bool has_enough = !holds_body || it->buffered > 0;
        if (!it->is_handled && !it->is_evicted && has_enough) {
            evict(*it, counter);
            return true;
        }
    }
    return false;
}

// libmicrohttpd closes the connection once it sees the end of the stream.
void server::evict(server_connection& connection,
                   std::uint64_t server_totals::*counter) {
    connection.is_evicted = true;
    m_totals.*counter += 1;
    if (auto request = connection.request.lock()) {
        request->release_body();
    }
    shutdown(connection.descriptor, SHUT_RDWR);
}

void server::close_overdue() {
    auto now = base::monotonic_now();
    for (const auto& it : m_connections) {
        auto request = it->request.lock();
        bool is_overdue =
            request && now - it->request_began_at > m_limits.request_timeout;
        bool is_idle = now - it->waiting_since >
                       std::chrono::seconds(idle_timeout_seconds);
        if (!it->is_handled && !it->is_evicted && (is_overdue || is_idle)) {
            evict(*it, &server_totals::closed_for_time);
        }
    }
}

void exchange::release_body() {
    std::string().swap(m_body);
    if (m_state != nullptr) {
        m_server->m_buffered -= m_state->buffered;
        m_state->buffered = 0;
    }
}

server::server(kernel::loop& event_loop, handler on_request,
               server_limits limits)
    : m_event_loop(event_loop), m_on_request(std::move(on_request)),
      m_native(std::make_unique<native>()), m_limits(limits),
      m_sweep_timer(event_loop, [this] { close_overdue(); }) {
    m_sweep_timer.start_every(sweep_period);
}

base::result<std::unique_ptr<server>> server::listen(kernel::loop& event_loop,
                                                     const std::string& address,
                                                     handler on_request,
                                                     server_limits limits) {
    auto parsed = parse_address(address);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    std::unique_ptr<server> self(
        new server(event_loop, std::move(on_request), limits));
    server* raw = self.get();
    sockaddr_in bound = *parsed;
    raw->m_native->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
        &native::access, raw, MHD_OPTION_SOCK_ADDR, &bound,
        MHD_OPTION_CONNECTION_LIMIT, limits.max_connections,
        MHD_OPTION_NOTIFY_CONNECTION, &native::connection_changed, raw,
        MHD_OPTION_CONNECTION_TIMEOUT, idle_timeout_seconds,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
        &native::completed, raw, MHD_OPTION_END);
    if (raw->m_native->daemon == nullptr) {
        return base::fail(base::error_code::io, "http.listen", address,
                          "failed to listen; check that the port is free");
    }
    const auto* info =
        MHD_get_daemon_info(raw->m_native->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    raw->m_native->watch = std::make_unique<kernel::descriptor_watch>(
        event_loop, info->epoll_fd, EV_READ,
        [raw](int) { raw->process_events(); });
    raw->m_native->timeout = std::make_unique<kernel::timer>(
        event_loop, [raw] { raw->process_events(); });
    return self;
}

server::~server() {
    *m_native->alive = false;
    m_native->watch.reset();
    if (m_native->daemon != nullptr) {
        reject_suspended();
        MHD_stop_daemon(m_native->daemon);
    }
}

void server::reject_suspended() {
    for (const auto& suspended : std::exchange(m_suspended, {})) {
        suspended->m_response = response{code::gateway_timeout, "{}", {}, {}};
        MHD_resume_connection(suspended->m_connection);
    }
    MHD_run(m_native->daemon);
}

void server::stop_accepting() {
    MHD_quiesce_daemon(m_native->daemon);
}

void server::process_events() {
    kernel::activity measured(m_event_loop, server_activity);
    MHD_run(m_native->daemon);
    MHD_UNSIGNED_LONG_LONG wait = 0;
    if (MHD_get_timeout(m_native->daemon, &wait) == MHD_YES) {
        m_native->timeout->start_once(
            base::milliseconds(static_cast<std::int64_t>(wait)));
    }
}

void server::schedule_events() {
    if (m_native->run_scheduled) {
        return;
    }
    m_native->run_scheduled = true;
    m_event_loop.defer([this, alive = m_native->alive] {
        if (!*alive) {
            return;
        }
        m_native->run_scheduled = false;
        process_events();
    });
}

std::optional<std::string> exchange::header(const std::string& name) const {
    if (m_connection == nullptr) {
        return std::nullopt;
    }
    const char* value = MHD_lookup_connection_value(
        m_connection, MHD_HEADER_KIND, name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::optional<std::string> exchange::query(const std::string& name) const {
    if (m_connection == nullptr) {
        return std::nullopt;
    }
    const char* value = MHD_lookup_connection_value(
        m_connection, MHD_GET_ARGUMENT_KIND, name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

bool exchange::client_has_left() const {
    if (m_state == nullptr) {
        return true;
    }
    char next = 0;
    ssize_t size = recv(m_state->descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno == ECONNRESET);
}

void exchange::respond(response reply) {
    if (m_response || m_connection == nullptr) {
        return;
    }
    m_response = std::move(reply);
    if (!m_suspended) {
        return;
    }
    m_server->m_suspended.erase(shared_from_this());
    MHD_resume_connection(m_connection);
    m_server->schedule_events();
}

} // namespace eelgrasslever::http
