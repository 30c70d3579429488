/// @file
/// The platform's lagging list of live and leaving VMs.
#pragma once

#include "eelgrasslever/base/error.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace eelgrasslever::membership {

enum class vm_role { entry, endpoint };

struct vm_record {
    std::string name;
    vm_role role{vm_role::endpoint};
    std::string failure_domain;
    std::string rack;
    std::string address;      ///< "IP:port" for HTTP
    std::string peer_address; ///< "IP:port" between entry VMs
    bool leaving{false};
};

struct vm_list {
    std::uint64_t version{0};
    std::map<std::string, vm_record> vms;
};

[[nodiscard]] base::result<vm_list> parse_vm_list(const std::string& text);

} // namespace eelgrasslever::membership
