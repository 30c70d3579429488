/// @file
/// HTTP messages as the rest of the project sees them.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasslever::http {

struct header {
    std::string name;
    std::string value;
};

/// A response of our server.
struct response {
    int status{200};
    std::string body;
    std::string content_type{"application/json"};
    std::vector<header> headers;
};

/// A request that our client sends.
struct call {
    std::string method{"GET"};
    std::string url;
    std::string body;
    std::vector<header> headers;
    base::milliseconds timeout{1000};
    bool fresh_connection{false}; ///< never reuse an idle connection
};

/// What came back for a `call`.
struct reply {
    bool reached{false}; ///< false: no complete response; effects are unknown
    /// Where not reached: no connection came about, so nothing was sent.
    bool nothing_sent{false};
    int status{0};
    std::string body;
    std::string failure; ///< transport error text where not reached
    std::uint64_t bytes_sent{0};
    std::uint64_t bytes_received{0};
};

} // namespace eelgrasslever::http
