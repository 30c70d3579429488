/// @file
/// Calls to the platform's key-value service and their replies.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <string>

namespace eelgrasslever::store {

/// Version of a key that does not exist.
inline constexpr std::uint64_t absent = 0;

enum class call_kind {
    read,
    write,   ///< compare-and-swap on the expected version
    vm_list, ///< the platform's list of live and leaving VMs
};

struct call {
    call_kind kind{call_kind::read};
    std::string key;
    std::uint64_t expected_version{absent}; ///< for a write
    std::string value;                      ///< for a write
    std::uint64_t known_version{absent};    ///< with `wait`: watch for a newer
    base::milliseconds wait{0};
};

enum class status {
    ok,
    conflict,    ///< a write found another version; nothing was written
    refused,     ///< over the rate limit; nothing was written
    unreachable, ///< no reply; a write may have taken effect
};

struct reply {
    store::status result{store::status::unreachable};
    std::uint64_t version{absent};
    std::string value;
};

} // namespace eelgrasslever::store
