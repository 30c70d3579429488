/// @file
/// HTTP responses of the API: problem details (RFC 9457), Retry-After (RFC
/// 9110) and 202 with Location for asynchronous requests.
#pragma once

#include "eelgrasslever/base/answer.hpp"
#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/http/message.hpp"

#include <string>

namespace eelgrasslever::daemon {

/// @return the response to a POST with the final answer of request @p id.
[[nodiscard]] http::response answer_response(const std::string& id,
                                             const base::answer& answer);
/// @return the response to a GET for the status of request @p id.
[[nodiscard]] http::response status_response(const std::string& id,
                                             const base::answer& answer);
/// @return 202 with the location of request @p id.
[[nodiscard]] http::response accepted_response(const std::string& id);
/// @return problem details (application/problem+json).
[[nodiscard]] http::response problem_response(int status,
                                              const std::string& title,
                                              const std::string& detail);
/// @return problem details with the status that corresponds to the error code.
[[nodiscard]] http::response error_response(const base::error& error);
/// @return 200 with @p body, a JSON text, and a trailing newline.
[[nodiscard]] http::response json_response(std::string body);

} // namespace eelgrasslever::daemon
