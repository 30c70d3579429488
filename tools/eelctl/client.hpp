/// @file
/// Functions shared by the commands of eelctl: calls to entry VMs, files,
/// output and exit statuses.
#pragma once

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/http/client.hpp"

#include <string>
#include <vector>

namespace eelctl {

namespace base = eelgrasslever::base;
namespace http = eelgrasslever::http;

/// The command succeeded.
inline constexpr int exit_success = 0;
/// The request was refused, or its answer is not `completed`.
inline constexpr int exit_not_completed = 1;
/// The command line or a file is invalid.
inline constexpr int exit_usage = 2;
/// No entry VM replied.
inline constexpr int exit_unreachable = 3;

/// The words of the command line after the name of the command.
using arguments = std::vector<std::string>;

/// Sends @p request to the servers of --servers in turn until one replies.
/// @param request a call whose url is a path, such as "/v1/queue".
/// @return the first reply, or the failure of the last server.
[[nodiscard]] http::reply send_to_any_server(http::call request);
/// @return the addresses in --servers, as IP:port.
[[nodiscard]] std::vector<std::string> server_addresses();
/// Prints @p text to standard error.
/// @return @p status.
int print_error(const std::string& text, int status);
/// Prints the body of @p reply, or the failure if no server replied.
/// @return the exit status that corresponds to the reply.
int print_reply(const http::reply& reply);
/// @return the content of the file, or an error that names it.
[[nodiscard]] base::result<std::string> read_file(const std::string& path);
[[nodiscard]] base::result<void> write_file(const std::string& path,
                                            const std::string& text);
/// @return whether --json was given.
[[nodiscard]] bool is_json_output();

} // namespace eelctl
