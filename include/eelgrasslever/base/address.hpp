/// @file
/// IPv4 addresses with a port, as text.
#pragma once

#include <cstdint>
#include <netinet/in.h>
#include <optional>
#include <string>

namespace eelgrasslever::base {

/// @return "IP:port" as a socket address, or nothing if @p text is not one: the
/// IP has four numbers, and the port is from 0 to 65535.
[[nodiscard]] std::optional<sockaddr_in> parse_address(const std::string& text);

/// @return whether a connection to the address is possible: neither the IP nor
/// the port is 0.
[[nodiscard]] bool is_callable(const sockaddr_in& address);

} // namespace eelgrasslever::base
