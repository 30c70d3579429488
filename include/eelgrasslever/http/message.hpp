/// @file
/// HTTP messages, independent of the libraries that transport them.
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

/// A response sent by `server`.
struct response {
    int status{200};
    std::string body;
    std::string content_type{"application/json"};
    std::vector<header> headers;
};

/// A request sent by `client`.
struct call {
    std::string method{"GET"};
    std::string url;
    std::string body;
    std::vector<header> headers;
    base::milliseconds timeout{1000}; ///< for the entire call
    /// A call whose reply is being received is not given up at `timeout` but
    /// after this time, or when nothing arrives for
    /// `client::max_transfer_pause`. Not used if it is below `timeout`.
    base::milliseconds transfer_timeout{0};
    bool fresh_connection{false}; ///< do not reuse an idle connection
};

/// The result of a `call`.
struct reply {
    bool reached{false}; ///< false: no complete response; the request may
                         ///< have been processed unless `nothing_sent`
    /// If not reached: no connection was established, so the server cannot have
    /// processed the request.
    bool nothing_sent{false};
    /// The request was sent again because a reused connection broke. The server
    /// may have processed it the first time, whatever the response says.
    bool repeated{false};
    int status{0};
    std::string body;
    std::string failure; ///< transport error message if not reached
    std::uint64_t bytes_sent{0};
    std::uint64_t bytes_received{0}; ///< of the headers and the body so far
    base::milliseconds duration{0};
    /// From the start of the call; 0 if nothing was received.
    base::milliseconds first_byte_after{0};
};

} // namespace eelgrasslever::http
