/// @file
/// What every command of eelctl shares: the server's address, calls, exit
/// statuses and output.
#pragma once

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/http/client.hpp"

#include <string>
#include <vector>

namespace eelctl {

namespace base = eelgrasslever::base;
namespace http = eelgrasslever::http;

/// Exit statuses.
inline constexpr int exit_good = 0;
inline constexpr int exit_not_completed = 1; ///< the answer is not `completed`
inline constexpr int exit_usage = 2;         ///< the command or file is faulty
inline constexpr int exit_unreachable = 3;   ///< no entry VM answered

using arguments = std::vector<std::string>;

/// Sends @p request to the first server of --servers that answers.
/// @param request its url is a path.
[[nodiscard]] http::reply call_any(http::call request);
/// @return the servers of --servers.
[[nodiscard]] std::vector<std::string> servers();
/// Prints an error to standard error and returns @p status.
int complain(const std::string& text, int status);
/// Prints the reply's body, or the fault where there is none.
/// @return the exit status that fits.
int print_reply(const http::reply& reply);
/// @return the file's text, or an error that names it.
[[nodiscard]] base::result<std::string> read_file(const std::string& path);
[[nodiscard]] base::result<void> write_file(const std::string& path,
                                            const std::string& text);
/// @return whether --json was given.
[[nodiscard]] bool want_json();

} // namespace eelctl
