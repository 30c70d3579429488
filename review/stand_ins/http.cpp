#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

sockaddr_in to_socket_address(const std::string& ip, int port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &out.sin_addr) != 1) {
        throw std::runtime_error("not an IPv4 address: " + ip);
    }
    return out;
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

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

/// Reads from a connection until @p buffer holds a whole message.
/// @return the size of the message, or nothing if the connection has ended.
class message_reader {
  public:
    message_reader(int descriptor, milliseconds timeout)
        : m_descriptor(descriptor),
          m_deadline(std::chrono::steady_clock::now() + timeout) {}

    bool read_head() {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!read_more()) {
                return false;
            }
        }
        m_head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        return true;
    }

    bool read_body(std::size_t size, std::string& body) {
        while (m_buffer.size() < size) {
            if (!read_more()) {
                return false;
            }
        }
        body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

    [[nodiscard]] const std::string& head() const { return m_head; }

  private:
    bool read_more() {
        auto left = std::chrono::duration_cast<milliseconds>(
            m_deadline - std::chrono::steady_clock::now());
        pollfd waiting{m_descriptor, POLLIN, 0};
        if (left.count() <= 0 ||
            poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
            return false;
        }
        char bytes[65536];
        ssize_t count = recv(m_descriptor, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_descriptor;
    std::chrono::steady_clock::time_point m_deadline;
    std::string m_buffer;
    std::string m_head;
};

/// @return the headers, and the first line under an empty name.
std::map<std::string, std::string> parse_head(const std::string& head) {
    std::map<std::string, std::string> out;
    std::size_t begin = 0;
    while (begin < head.size()) {
        std::size_t end = head.find("\r\n", begin);
        std::string line = head.substr(begin, end - begin);
        begin = end + 2;
        auto colon = line.find(':');
        if (out.empty()) {
            out[""] = line;
        } else if (colon != std::string::npos) {
            auto value = line.find_first_not_of(' ', colon + 1);
            out[to_lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
    }
    return out;
}

std::size_t body_size(const std::map<std::string, std::string>& headers) {
    auto found = headers.find("content-length");
    return found == headers.end() ? 0 : std::stoul(found->second);
}

http_request parse_request(std::map<std::string, std::string> headers) {
    http_request request;
    std::string line = headers[""];
    auto method_end = line.find(' ');
    auto target_end = line.rfind(' ');
    request.method = line.substr(0, method_end);
    std::string target =
        line.substr(method_end + 1, target_end - method_end - 1);
    auto question = target.find('?');
    request.path = target.substr(0, question);
    while (question != std::string::npos) {
        auto next = target.find('&', question + 1);
        std::string pair = target.substr(
            question + 1, next == std::string::npos ? std::string::npos
                                                    : next - question - 1);
        auto equals = pair.find('=');
        request.query[pair.substr(0, equals)] =
            equals == std::string::npos ? "" : pair.substr(equals + 1);
        question = next;
    }
    request.headers = std::move(headers);
    return request;
}

constexpr milliseconds idle_limit{600'000};

} // namespace

struct http_server::shared_state {
    handler on_request;
    std::mutex mutex;
    std::set<int> connections;

    void serve(int descriptor) {
        message_reader reader(descriptor, idle_limit);
        while (reader.read_head()) {
            http_request request = parse_request(parse_head(reader.head()));
            if (!reader.read_body(body_size(request.headers), request.body)) {
                break;
            }
            auto response = on_request(request);
            if (!response) {
                // No reply: wait until the other side gives up.
                std::string rest;
                reader.read_body(std::string::npos, rest);
                break;
            }
            std::string text = "HTTP/1.1 " + std::to_string(response->status) +
                               " X\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                               std::to_string(response->body.size()) +
                               "\r\n\r\n" + response->body;
            if (!send_all(descriptor, text)) {
                break;
            }
        }
        std::lock_guard lock(mutex);
        if (connections.erase(descriptor) > 0) {
            ::close(descriptor);
        }
    }
};

http_server::http_server(std::string ip, int port, handler on_request)
    : m_ip(std::move(ip)), m_port(port),
      m_state(std::make_shared<shared_state>()) {
    m_state->on_request = std::move(on_request);
    open();
}

http_server::~http_server() {
    close();
}

void http_server::open() {
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = to_socket_address(m_ip, m_port);
    if (bind(m_listener, reinterpret_cast<sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(m_listener, 256) != 0) {
        ::close(std::exchange(m_listener, -1));
        throw std::runtime_error("can't listen on " + m_ip + ":" +
                                 std::to_string(m_port));
    }
    socklen_t size = sizeof address;
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread(
        [this, listener = m_listener] { accept_connections(listener); });
}

void http_server::close() {
    if (m_listener < 0) {
        return;
    }
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
    m_listener = -1;
    std::lock_guard lock(m_state->mutex);
    for (int descriptor : m_state->connections) {
        // Its thread sees the end of the connection and closes it.
        shutdown(descriptor, SHUT_RDWR);
    }
}

void http_server::accept_connections(int listener) {
    while (true) {
        int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            std::lock_guard lock(m_state->mutex);
            m_state->connections.insert(descriptor);
        }
        std::thread([state = m_state, descriptor] {
            state->serve(descriptor);
        }).detach();
    }
}

std::string http_server::address() const {
    return m_ip + ":" + std::to_string(m_port);
}

std::optional<http_response>
send_request(const std::string& address, const std::string& method,
             const std::string& path,
             const std::map<std::string, std::string>& headers,
             const std::string& body, milliseconds timeout) {
    auto colon = address.find(':');
    sockaddr_in to = to_socket_address(address.substr(0, colon),
                                       std::stoi(address.substr(colon + 1)));
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    std::optional<http_response> result;
    message_reader reader(descriptor, timeout);
    bool is_sent =
        connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 &&
        send_all(descriptor, text);
    if (is_sent && reader.read_head()) {
        auto reply = parse_head(reader.head());
        http_response response;
        response.status = std::stoi(reply[""].substr(reply[""].find(' ') + 1));
        if (reader.read_body(body_size(reply), response.body)) {
            result = std::move(response);
        }
    }
    ::close(descriptor);
    return result;
}

} // namespace review
