/// @file
/// Settings of one entry VM, read from a TOML file. All errors are reported
/// together.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrasslever::settings {

/// Validated settings; optional ones have their defaults here.
struct entry_settings {
    std::string name;               ///< [vm] name
    std::string failure_domain;     ///< [vm] failure_domain
    std::string http_address;       ///< [listen] http, "IP:port"
    std::string peer_address;       ///< [listen] peer, "IP:port"
    std::string platform_url;       ///< [platform] url
    std::vector<std::string> seeds; ///< [peers] seeds, "IP:port" each
    std::map<std::string, std::string> operators; ///< public keys by name
    base::milliseconds claim_ttl{2000};           ///< [claims] claim_ttl_ms
    base::milliseconds task_lease{3000};          ///< [claims] task_lease_ms
    base::milliseconds poll_wait{700};            ///< [claims] poll_wait_ms
    base::milliseconds call_timeout{1000};        ///< [claims] call_timeout_ms
    base::milliseconds heartbeat_period{400};     ///< [peers] heartbeat_ms
    base::milliseconds suspect_after{1500};       ///< [peers] suspect_after_ms
    base::milliseconds departed_after{60000};     ///< [peers] departed_after_ms
    base::milliseconds store_timeout{1000};       ///< [platform] timeout_ms
    std::int64_t journal_shards{16};              ///< [platform] journal_shards
};

/// All errors found, each as "file:line: key: error and how to correct it".
/// The line or the key is left out if there is none.
using error_list = std::vector<std::string>;

/// Reads and validates the settings file @p path.
[[nodiscard]] tl::expected<entry_settings, error_list>
load(const std::string& path);

/// Parses and validates settings.
/// @param text the contents of a TOML file.
/// @param path the name of that file in errors.
[[nodiscard]] tl::expected<entry_settings, error_list>
parse(const std::string& text, const std::string& path);

} // namespace eelgrasslever::settings
