/// @file
/// The error type used throughout the project.
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace eelgrasslever::base {

/// Failure categories that callers can handle differently.
enum class error_code {
    invalid_argument, ///< malformed input; the detail names the field and the
                      ///< fix
    unreachable,      ///< no reply; the operation may have taken effect
    refused,          ///< rejected by the remote side; it took no effect
    conflict,         ///< a compare-and-swap found another version
    not_permitted,    ///< a required signature or role is missing
    io,               ///< a local system call failed
};

/// @return the lower-case name of @p code, as used in logs and JSON.
[[nodiscard]] const char* to_string(error_code code);

/// A failure with the operation and the remote side or resource involved.
struct error {
    error_code code{error_code::io};
    std::string step;   ///< failed operation, for example "settings.load"
    std::string peer;   ///< VM, endpoint, file or key that was accessed
    std::string detail; ///< what was wrong and how to fix it

    /// @return "step(peer): code: detail" on one line.
    [[nodiscard]] std::string message() const;
};

template <typename T>
using result = tl::expected<T, error>;

/// @return an unexpected value that converts to any `result<T>`.
[[nodiscard]] tl::unexpected<error> fail(error_code code, std::string step,
                                         std::string peer, std::string detail);

} // namespace eelgrasslever::base
