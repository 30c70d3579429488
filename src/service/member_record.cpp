#include "eelgrasslever/service/member_record.hpp"

#include "eelgrasslever/base/json.hpp"

namespace eelgrasslever::service {

std::string encode(const member& value) {
    return nlohmann::json{{"peer", value.peer_address},
                          {"cores", value.cores},
                          {"fd", value.failure_domain},
                          {"loaded", value.loaded},
                          {"carries", value.carries_orders}}
        .dump();
}

base::result<member> decode_member(const std::string& text,
                                   const std::string& vm) {
    auto entry = base::parse_object(text, "member.read", vm);
    if (!entry) {
        return tl::unexpected(entry.error());
    }
    try {
        member out;
        out.peer_address = entry->value("peer", "");
        out.cores = entry->value("cores", 0.0);
        out.failure_domain = entry->value("fd", "");
        // A VM that doesn't tell counts as not loaded: to hand over to it may
        // leave nobody to lead, and not to do so only keeps a smaller leader.
        out.loaded = entry->value("loaded", false);
        out.carries_orders = entry->value("carries", false);
        return out;
    } catch (const nlohmann::json::exception& e) {
        return base::fail(base::error_code::invalid_argument, "member.read", vm,
                          e.what());
    }
}

} // namespace eelgrasslever::service
