/// @file
/// The error type of the project: what failed, at which step, with which peer.
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace eelgrasslever::base {

/// Kinds of failure that callers of the library can act upon.
enum class error_code {
    invalid_argument, ///< input is malformed; the detail names field and fix
    unreachable,      ///< no reply; the other side may have acted
    refused,          ///< the other side answered and did not act
    conflict,         ///< a compare-and-swap found another version
    not_permitted,    ///< a signature or a role is missing
    io,               ///< a system call failed locally
};

/// @return a short lower-case name of @p code for logs and JSON.
[[nodiscard]] const char* to_string(error_code code);

/// A failure together with the step and the peer at which it arose.
struct error {
    error_code code{error_code::io};
    std::string step;   ///< operation under way, for example "settings.load"
    std::string peer;   ///< VM, endpoint, file or key on the other side
    std::string detail; ///< what was wrong and how to mend it

    /// @return one line "step(peer): code: detail" for people.
    [[nodiscard]] std::string message() const;
};

template <typename T>
using result = tl::expected<T, error>;

/// @return an unexpected value that converts to any `result`.
[[nodiscard]] tl::unexpected<error> fail(error_code code, std::string step,
                                         std::string peer, std::string detail);

} // namespace eelgrasslever::base
