/// @file
/// The lives of an endpoint. An endpoint that starts again under its name holds
/// and knows nothing of its former life.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslever::cluster {

/// One life of an endpoint.
struct incarnation {
    std::string name; ///< shared by all lives that start under it
    /// When the life began, by the endpoint's own wall clock; empty if the
    /// endpoint doesn't tell.
    std::optional<std::chrono::sys_time<base::milliseconds>> started_at;
    bool operator==(const incarnation&) const = default;
};

/// @return "NAME#STARTED", in Unix milliseconds, or "NAME" alone.
[[nodiscard]] std::string to_string(const incarnation& life);

/// Reverses `to_string`. Any text is the name of some life.
[[nodiscard]] incarnation parse_incarnation(std::string_view id);

/// @return whether both are lives of one name and @p life began earlier. A life
/// whose start is not known is earlier than all others.
[[nodiscard]] bool is_earlier(const incarnation& life, const incarnation& than);

/// @return whether @p next, seen in the place of @p former, proves that
/// @p former has ended. A name alone may be that of the same life.
[[nodiscard]] bool proves_end(const incarnation& former,
                              const incarnation& next);

} // namespace eelgrasslever::cluster
