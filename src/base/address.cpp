#include "eelgrasslever/base/address.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace eelgrasslever::base {

std::optional<sockaddr_in> parse_address(const std::string& text) {
    auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const char* end = text.data() + text.size();
    std::uint16_t port = 0;
    auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr) != 1) {
        return std::nullopt;
    }
    return out;
}

bool is_callable(const sockaddr_in& address) {
    return address.sin_port != 0 && address.sin_addr.s_addr != INADDR_ANY;
}

} // namespace eelgrasslever::base
