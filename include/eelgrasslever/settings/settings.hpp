/// @file
/// Settings of one entry VM, read from a TOML file and checked as a whole.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrasslever::settings {

struct entry_settings {
    std::string name;               ///< [vm] name
    std::string failure_domain;     ///< [vm] failure_domain
    std::string http_address;       ///< [listen] http, "IP:port"
    std::string peer_address;       ///< [listen] peer, "IP:port"
    std::string platform_url;       ///< [platform] url
    std::vector<std::string> seeds; ///< [peers] seeds, "IP:port" each
    std::map<std::string, std::string> operators; ///< name to public key
    base::milliseconds claim_ttl{2000};
    base::milliseconds task_lease{3000};
    base::milliseconds poll_wait{700};
    base::milliseconds call_timeout{1000};
    base::milliseconds heartbeat_period{400};
    base::milliseconds suspect_after{1500};
    base::milliseconds departed_after{60000};
    base::milliseconds store_timeout{1000};
    std::int64_t journal_shards{16};
};

/// Every fault found, each as "file:line: key: what is wrong and the fix".
using error_list = std::vector<std::string>;

/// Reads and checks @p path.
[[nodiscard]] tl::expected<entry_settings, error_list>
load(const std::string& path);

/// Checks settings given as text; @p path names them in error_list.
[[nodiscard]] tl::expected<entry_settings, error_list>
parse(const std::string& text, const std::string& path);

} // namespace eelgrasslever::settings
