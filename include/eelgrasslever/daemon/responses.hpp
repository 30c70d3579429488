/// @file
/// HTTP responses by published conventions: problem details (RFC 9457),
/// Retry-After (RFC 9110), 202 with Location for work that goes on.
#pragma once

#include "eelgrasslever/base/answer.hpp"
#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/http/message.hpp"

#include <string>

namespace eelgrasslever::daemon {

/// @return the response that carries a final answer to a POST.
[[nodiscard]] http::response answer_response(const std::string& id,
                                             const base::answer& answer);
/// @return the status of a request as a GET shows it.
[[nodiscard]] http::response status_response(const std::string& id,
                                             const base::answer& answer);
[[nodiscard]] http::response accepted_response(const std::string& id);
[[nodiscard]] http::response problem_response(int status,
                                              const std::string& title,
                                              const std::string& detail);
/// @return the problem that fits an error's code.
[[nodiscard]] http::response error_response(const base::error& error);
[[nodiscard]] http::response json_response(std::string body);

} // namespace eelgrasslever::daemon
