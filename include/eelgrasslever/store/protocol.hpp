/// @file
/// Requests to the platform's key-value service and their replies.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <string>

namespace eelgrasslever::store {

/// Version reported for, and expected of, a key that does not exist.
inline constexpr std::uint64_t absent = 0;

enum class call_kind {
    read,
    write,   ///< compare-and-swap on the expected version
    vm_list, ///< reads the platform's list of live and leaving VMs
};

struct call {
    call_kind kind{call_kind::read};
    std::string key;
    std::uint64_t expected_version{absent}; ///< writes only
    std::string value;                      ///< writes only
    /// Reads with `wait` > 0 are answered once the version is newer than this.
    std::uint64_t known_version{absent};
    base::milliseconds wait{0}; ///< longest time a read may block; 0: none
};

enum class status {
    ok,
    conflict,    ///< version mismatch; nothing was written
    refused,     ///< rate limit exceeded; nothing was written
    unreachable, ///< no reply; a write may have taken effect
};

struct reply {
    store::status result{store::status::unreachable};
    std::uint64_t version{absent};
    std::string value;
};

} // namespace eelgrasslever::store
