/// @file
/// What a VM tells the others about itself in the store.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/service/member_table.hpp"

#include <string>

namespace eelgrasslever::service {

[[nodiscard]] std::string encode(const member& value);

/// Fields that a former version doesn't write have their default value.
/// @param vm the VM of the record, for the error.
/// @return the member, or `invalid_argument`.
[[nodiscard]] base::result<member> decode_member(const std::string& text,
                                                 const std::string& vm);

} // namespace eelgrasslever::service
