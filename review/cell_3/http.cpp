#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review::cell {

namespace {

constexpr std::size_t chunk_bytes = 64 * 1024;
constexpr int listen_backlog = 256;

sockaddr_in to_native(const address& value) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(value.port));
    inet_pton(AF_INET, value.ip.c_str(), &out.sin_addr);
    return out;
}

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string decode_percent(const std::string& text) {
    constexpr int base = 16;
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, base));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

void parse_target(const std::string& target, request& out) {
    auto mark = target.find('?');
    out.path = target.substr(0, mark);
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        auto end = rest.find('&');
        std::string part = rest.substr(0, end);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
        auto equals = part.find('=');
        if (equals != std::string::npos) {
            out.query[part.substr(0, equals)] =
                decode_percent(part.substr(equals + 1));
        }
    }
}

/// Parses the lines of a head after the first one.
std::map<std::string, std::string> parse_headers(const std::string& head) {
    std::map<std::string, std::string> out;
    auto line = head.find("\r\n");
    while (line != std::string::npos && line + 2 < head.size()) {
        auto end = head.find("\r\n", line + 2);
        std::string text = head.substr(
            line + 2, end == std::string::npos ? end : end - line - 2);
        auto colon = text.find(':');
        if (colon != std::string::npos) {
            auto value = text.find_first_not_of(' ', colon + 1);
            out[to_lower(text.substr(0, colon))] =
                value == std::string::npos ? "" : text.substr(value);
        }
        line = end;
    }
    return out;
}

std::size_t content_length(const std::map<std::string, std::string>& headers) {
    auto found = headers.find("content-length");
    return found == headers.end() ? 0 : std::stoul(found->second);
}

bool send_all(int descriptor, const std::string& data) {
    std::size_t sent = 0;
    while (sent < data.size()) {
        ssize_t count = send(descriptor, data.data() + sent, data.size() - sent,
                             MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Appends what arrives to @p buffer.
/// @return false at the end of the stream, or if nothing arrives in time.
bool receive_some(int descriptor, std::string& buffer,
                  steady::time_point until) {
    auto left = std::chrono::duration_cast<milliseconds>(until - steady::now());
    pollfd watched{descriptor, POLLIN, 0};
    int timeout = static_cast<int>(std::max<std::int64_t>(0, left.count()));
    if (poll(&watched, 1, timeout) <= 0) {
        return false;
    }
    std::string chunk(chunk_bytes, '\0');
    ssize_t count = recv(descriptor, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(chunk, 0, static_cast<std::size_t>(count));
    return true;
}

std::string encode(const response& reply) {
    return "HTTP/1.1 " + std::to_string(reply.status) +
           " X\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
}

} // namespace

std::string to_string(const address& value) {
    return value.ip + ":" + std::to_string(value.port);
}

std::string request::parameter(const std::string& name) const {
    auto found = query.find(name);
    return found == query.end() ? "" : found->second;
}

struct http_server::shared {
    std::mutex mutex;
    handler on_request;
    int listener{-1};
    bool stopped{false};
    std::set<int> connections;

    static void serve(const std::shared_ptr<shared>& self, int descriptor);
    static void accept_all(const std::shared_ptr<shared>& self, int listener);
};

void http_server::shared::serve(const std::shared_ptr<shared>& self,
                                int descriptor) {
    constexpr std::chrono::seconds idle_timeout{300};
    std::string buffer;
    for (;;) {
        auto until = steady::now() + idle_timeout;
        auto head_end = buffer.find("\r\n\r\n");
        if (head_end == std::string::npos) {
            if (!receive_some(descriptor, buffer, until)) {
                break;
            }
            continue;
        }
        std::string head = buffer.substr(0, head_end);
        request next;
        next.headers = parse_headers(head);
        std::size_t size = content_length(next.headers);
        if (buffer.size() < head_end + 4 + size) {
            if (!receive_some(descriptor, buffer, until)) {
                break;
            }
            continue;
        }
        auto method_end = head.find(' ');
        next.method = head.substr(0, method_end);
        parse_target(
            head.substr(method_end + 1,
                        head.find(' ', method_end + 1) - method_end - 1),
            next);
        next.body = buffer.substr(head_end + 4, size);
        buffer.erase(0, head_end + 4 + size);
        response reply = self->on_request(next);
        if (!send_all(descriptor, encode(reply))) {
            break;
        }
    }
    std::lock_guard lock(self->mutex);
    self->connections.erase(descriptor);
    close(descriptor);
}

void http_server::shared::accept_all(const std::shared_ptr<shared>& self,
                                     int listener) {
    for (;;) {
        int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        int enabled = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled,
                   sizeof enabled);
        std::lock_guard lock(self->mutex);
        if (self->stopped) {
            close(descriptor);
            return;
        }
        self->connections.insert(descriptor);
        std::thread([self, descriptor] { serve(self, descriptor); }).detach();
    }
}

http_server::http_server(address at, handler on_request)
    : m_at(std::move(at)), m_shared(std::make_shared<shared>()) {
    m_shared->on_request = std::move(on_request);
}

http_server::~http_server() {
    stop();
}

bool http_server::start() {
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in at = to_native(m_at);
    if (bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        listen(listener, listen_backlog) != 0) {
        close(listener);
        return false;
    }
    m_shared->listener = listener;
    std::thread([self = m_shared, listener] {
        shared::accept_all(self, listener);
    }).detach();
    return true;
}

void http_server::stop() {
    std::lock_guard lock(m_shared->mutex);
    if (std::exchange(m_shared->stopped, true) || m_shared->listener < 0) {
        return;
    }
    shutdown(m_shared->listener, SHUT_RDWR);
    close(m_shared->listener);
    for (int descriptor : m_shared->connections) {
        linger reset{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        shutdown(descriptor, SHUT_RDWR);
    }
}

std::optional<response> call(const address& to, const std::string& method,
                             const std::string& target, const std::string& host,
                             const std::string& body, milliseconds timeout,
                             const std::string& key) {
    auto until = steady::now() + timeout;
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = to_native(to);
    std::optional<response> result;
    std::string buffer;
    std::string text =
        method + " " + target + " HTTP/1.1\r\nHost: " + host +
        "\r\nContent-Type: application/json\r\n" +
        (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") +
        "X-Eelgrasslever-Deadline-Ms: " + std::to_string(timeout.count()) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
        send_all(descriptor, text)) {
        do {
            auto head_end = buffer.find("\r\n\r\n");
            if (head_end == std::string::npos) {
                continue;
            }
            std::size_t size =
                content_length(parse_headers(buffer.substr(0, head_end)));
            if (buffer.size() >= head_end + 4 + size) {
                response reply;
                reply.status = std::stoi(buffer.substr(buffer.find(' ') + 1));
                reply.body = buffer.substr(head_end + 4, size);
                result = std::move(reply);
                break;
            }
        } while (receive_some(descriptor, buffer, until));
    }
    close(descriptor);
    return result;
}

} // namespace review::cell
