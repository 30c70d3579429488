#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review::cell {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::size_t read_size = 65536;

sockaddr_in make_address(const std::string& ip, int port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

int listen_on(const std::string& ip, int& port) {
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = make_address(ip, port);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    constexpr int backlog = 512;
    if (bind(descriptor, raw, sizeof address) != 0 ||
        listen(descriptor, backlog) != 0) {
        ::close(descriptor);
        return -1;
    }
    socklen_t size = sizeof address;
    getsockname(descriptor, raw, &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string decode_url(const std::string& text) {
    constexpr int hexadecimal = 16;
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(),
                                                 nullptr, hexadecimal));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

struct message {
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Takes a complete message off the front of @p buffer.
std::optional<message> take_message(std::string& buffer) {
    auto head_end = buffer.find("\r\n\r\n");
    if (head_end == std::string::npos) {
        return std::nullopt;
    }
    message out;
    std::size_t line_end = buffer.find("\r\n");
    out.first_line = buffer.substr(0, line_end);
    while (line_end < head_end) {
        std::size_t begin = line_end + 2;
        line_end = buffer.find("\r\n", begin);
        std::string line = buffer.substr(begin, line_end - begin);
        auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.find_first_not_of(' ', colon + 1);
            out.headers[to_lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
    }
    std::size_t length = 0;
    if (auto it = out.headers.find("content-length"); it != out.headers.end()) {
        length = std::strtoul(it->second.c_str(), nullptr, 10);
    }
    std::size_t begin = head_end + 4;
    if (buffer.size() < begin + length) {
        return std::nullopt;
    }
    out.body = buffer.substr(begin, length);
    buffer.erase(0, begin + length);
    return out;
}

http_request to_request(message&& in) {
    http_request out;
    auto space = in.first_line.find(' ');
    out.method = in.first_line.substr(0, space);
    std::string target =
        in.first_line.substr(space + 1, in.first_line.rfind(' ') - space - 1);
    auto mark = target.find('?');
    out.path = decode_url(target.substr(0, mark));
    while (mark != std::string::npos) {
        auto next = target.find('&', mark + 1);
        std::string pair = target.substr(mark + 1, next - mark - 1);
        auto equals = pair.find('=');
        out.query[pair.substr(0, equals)] =
            equals == std::string::npos ? ""
                                        : decode_url(pair.substr(equals + 1));
        mark = next;
    }
    out.headers = std::move(in.headers);
    out.body = std::move(in.body);
    return out;
}

bool send_all(int descriptor, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        auto count = send(descriptor, text.data() + sent, text.size() - sent,
                          MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

http_server::http_server(std::string ip, int port, http_handler handler)
    : m_ip(std::move(ip)), m_port(port), m_handler(std::move(handler)) {}

http_server::~http_server() {
    close();
}

bool http_server::open() {
    m_listener = listen_on(m_ip, m_port);
    if (m_listener < 0) {
        return false;
    }
    m_open = true;
    m_acceptor = std::thread([this] { accept_connections(); });
    return true;
}

void http_server::close() {
    if (!m_open.exchange(false)) {
        return;
    }
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    std::vector<std::thread> threads;
    {
        std::lock_guard lock(m_mutex);
        for (int descriptor : m_connections) {
            shutdown(descriptor, SHUT_RDWR);
        }
        threads = std::move(m_threads);
    }
    for (std::thread& each : threads) {
        each.join();
    }
}

void http_server::accept_connections() {
    while (m_open) {
        int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::lock_guard lock(m_mutex);
        m_connections.insert(descriptor);
        m_threads.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void http_server::serve(int descriptor) {
    std::string buffer;
    std::vector<char> part(read_size);
    bool goes_on = true;
    while (goes_on && m_open) {
        auto count = recv(descriptor, part.data(), part.size(), 0);
        if (count <= 0) {
            break;
        }
        buffer.append(part.data(), static_cast<std::size_t>(count));
        while (auto received = take_message(buffer)) {
            http_reply reply = m_handler(to_request(*std::move(received)));
            goes_on = m_open && reply.status != 0 &&
                      send_all(descriptor,
                               "HTTP/1.1 " + std::to_string(reply.status) +
                                   " X\r\nContent-Type: application/json\r\n"
                                   "Content-Length: " +
                                   std::to_string(reply.body.size()) +
                                   "\r\n\r\n" + reply.body);
            if (!goes_on) {
                break;
            }
        }
    }
    std::lock_guard lock(m_mutex);
    m_connections.erase(descriptor);
    ::close(descriptor);
}

http_reply
send_request(const std::string& ip, int port, const std::string& method,
             const std::string& target,
             const std::vector<std::pair<std::string, std::string>>& headers,
             const std::string& body, int timeout_ms) {
    auto deadline = clock::now() + std::chrono::milliseconds(timeout_ms);
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = make_address(ip, port);
    http_reply out;
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                sizeof address) != 0) {
        ::close(descriptor);
        return out;
    }
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!send_all(descriptor, text + body)) {
        ::close(descriptor);
        return out;
    }
    std::string buffer;
    std::vector<char> part(read_size);
    while (true) {
        if (auto reply = take_message(buffer)) {
            auto space = reply->first_line.find(' ');
            out.status = std::atoi(reply->first_line.substr(space + 1).c_str());
            out.body = std::move(reply->body);
            break;
        }
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - clock::now());
        pollfd waiting{descriptor, POLLIN, 0};
        if (left.count() <= 0 ||
            poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
            break;
        }
        auto count = recv(descriptor, part.data(), part.size(), 0);
        if (count <= 0) {
            break;
        }
        buffer.append(part.data(), static_cast<std::size_t>(count));
    }
    ::close(descriptor);
    return out;
}

bool is_free(const std::string& ip, int port) {
    int descriptor = listen_on(ip, port);
    if (descriptor < 0) {
        return false;
    }
    ::close(descriptor);
    return true;
}

} // namespace review::cell
