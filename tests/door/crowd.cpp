#include "crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace eelgrasslever::test {

namespace {

/// How long a connection is waited for that takes no more bytes.
constexpr int send_wait_ms = 20;

std::string request_head(const std::string& path, const std::string& fields) {
    return "POST " + path +
           " HTTP/1.1\r\nHost: queue.example\r\n"
           "Content-Type: application/json\r\n" +
           fields + "\r\n";
}

/// @return whether the connection is still open.
bool send_part(int connection, const char* data, std::size_t size) {
    while (size > 0) {
        ssize_t sent =
            ::send(connection, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            data += sent;
            size -= static_cast<std::size_t>(sent);
            continue;
        }
        if (errno != EAGAIN) {
            return false;
        }
        pollfd ready{connection, POLLOUT, 0};
        if (poll(&ready, 1, send_wait_ms) == 0) {
            return true;
        }
    }
    return true;
}

} // namespace

crowd::crowd(const std::string& address, std::size_t count) {
    auto colon = address.find(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    for (std::size_t i = 0; i < count; ++i) {
        int connection = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        connect(connection, reinterpret_cast<sockaddr*>(&to), sizeof to);
        pollfd ready{connection, POLLOUT, 0};
        constexpr int connect_wait_ms = 500;
        if (poll(&ready, 1, connect_wait_ms) > 0) {
            m_connections.push_back(connection);
        } else {
            close(connection);
        }
    }
}

crowd::~crowd() {
    std::for_each(m_connections.begin(), m_connections.end(), close);
}

void crowd::send(const std::string& text, std::size_t part_bytes) {
    for (std::size_t at = 0; at < text.size(); at += part_bytes) {
        std::size_t size = std::min(part_bytes, text.size() - at);
        std::erase_if(m_connections, [&](int connection) {
            bool open = send_part(connection, text.data() + at, size);
            if (!open) {
                close(connection);
            }
            return !open;
        });
    }
}

std::string unfinished_request(const std::string& path,
                               std::size_t body_bytes) {
    return request_head(path, "Content-Length: " + std::to_string(body_bytes) +
                                  "\r\n") +
           std::string(body_bytes - 1, 'x');
}

std::string unfinished_chunks(const std::string& path, std::size_t body_bytes,
                              std::size_t chunk_bytes) {
    std::string text = request_head(path, "Transfer-Encoding: chunked\r\n");
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk_bytes);
    for (std::size_t sent = 0; sent + chunk_bytes < body_bytes;
         sent += chunk_bytes) {
        text += size.data() + std::string(chunk_bytes, 'x') + "\r\n";
    }
    return text;
}

std::string complete_request(const std::string& path, const std::string& body) {
    return request_head(path, "Content-Length: " + std::to_string(body.size()) +
                                  "\r\n") +
           body;
}

process_usage read_usage(int pid) {
    process_usage usage;
    std::string folder = "/proc/" + std::to_string(pid);
    std::ifstream status(folder + "/status");
    std::string name;
    while (status >> name) {
        if (name == "VmHWM:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            usage.peak_resident_mb = kilobytes / 1024;
        }
        status.ignore(1024, '\n');
    }
    for ([[maybe_unused]] const auto& entry :
         std::filesystem::directory_iterator(folder + "/fd")) {
        usage.descriptors++;
    }
    return usage;
}

} // namespace eelgrasslever::test
