#include "eelgrasslever/membership/vm_list.hpp"

#include "eelgrasslever/base/json.hpp"

namespace eelgrasslever::membership {

namespace {

constexpr const char* step = "vm_list.parse";

base::result<vm_record> parse_record(const nlohmann::json& in) {
    auto text = [&in](const char* name) {
        bool present = in.contains(name) && in[name].is_string();
        return present ? in[name].get<std::string>() : std::string();
    };
    vm_record out;
    out.name = text("name");
    out.failure_domain = text("failure_domain");
    out.rack = text("rack");
    out.address = text("address");
    out.peer_address = text("peer_address");
    out.leaving = text("state") == "leaving";
    std::string role = text("role");
    if (out.name.empty() || out.address.empty() ||
        (role != "entry" && role != "endpoint")) {
        return base::fail(base::error_code::invalid_argument, step, out.name,
                          "a VM needs name, address and role entry or "
                          "endpoint");
    }
    out.role = role == "entry" ? vm_role::entry : vm_role::endpoint;
    return out;
}

} // namespace

base::result<vm_list> parse_vm_list(const std::string& text) {
    auto object = base::parse_object(text, step, "platform");
    if (!object) {
        return tl::unexpected(object.error());
    }
    vm_list out;
    if (!object->contains("version") || !object->contains("vms") ||
        !(*object)["version"].is_number_unsigned() ||
        !(*object)["vms"].is_array()) {
        return base::fail(base::error_code::invalid_argument, step, "platform",
                          "the list needs a version and vms");
    }
    out.version = (*object)["version"].get<std::uint64_t>();
    for (const auto& item : (*object)["vms"]) {
        auto record = parse_record(item);
        if (!record) {
            return tl::unexpected(record.error());
        }
        out.vms[record->name] = *record;
    }
    return out;
}

} // namespace eelgrasslever::membership
