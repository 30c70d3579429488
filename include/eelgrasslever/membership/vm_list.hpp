/// @file
/// The platform's list of live and leaving VMs. It lags behind the actual
/// state.
#pragma once

#include "eelgrasslever/base/error.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace eelgrasslever::membership {

enum class vm_role { entry, endpoint };

/// One VM of the list.
struct vm_record {
    std::string name;
    vm_role role{vm_role::endpoint};
    std::string failure_domain;
    std::string rack;
    std::string address;      ///< "IP:port" for HTTP
    std::string peer_address; ///< "IP:port" between entry VMs
    bool leaving{false}; ///< whether the platform is about to remove the VM
};

struct vm_list {
    std::uint64_t version{0};
    std::map<std::string, vm_record> vms; ///< by VM name
};

/// Parses the VM list that the platform serves as JSON.
/// @return the list, or `invalid_argument` if the text is not a JSON object, or
/// a field is missing or has the wrong type.
[[nodiscard]] base::result<vm_list> parse_vm_list(const std::string& text);

} // namespace eelgrasslever::membership
