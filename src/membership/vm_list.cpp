#include "eelgrasslever/membership/vm_list.hpp"

#include "eelgrasslever/base/json.hpp"

namespace eelgrasslever::membership {

namespace {

constexpr const char* step = "vm_list.parse";

base::result<vm_record> parse_record(const nlohmann::json& json) {
    auto text_field = [&json](const char* name) {
        bool present = json.contains(name) && json[name].is_string();
        return present ? json[name].get<std::string>() : std::string();
    };
    vm_record record;
    record.name = text_field("name");
    record.failure_domain = text_field("failure_domain");
    record.rack = text_field("rack");
    record.address = text_field("address");
    record.peer_address = text_field("peer_address");
    record.leaving = text_field("state") == "leaving";
    std::string role = text_field("role");
    if (record.name.empty() || record.address.empty() ||
        (role != "entry" && role != "endpoint")) {
        return base::fail(base::error_code::invalid_argument, step, record.name,
                          "a VM record needs a name, an address and the role "
                          "\"entry\" or \"endpoint\"");
    }
    record.role = role == "entry" ? vm_role::entry : vm_role::endpoint;
    return record;
}

} // namespace

base::result<vm_list> parse_vm_list(const std::string& text) {
    auto object = base::parse_object(text, step, "platform");
    if (!object) {
        return tl::unexpected(object.error());
    }
    vm_list list;
    if (!object->contains("version") || !object->contains("vms") ||
        !(*object)["version"].is_number_unsigned() ||
        !(*object)["vms"].is_array()) {
        return base::fail(base::error_code::invalid_argument, step, "platform",
                          "the VM list needs an unsigned \"version\" and an "
                          "array \"vms\"");
    }
    list.version = (*object)["version"].get<std::uint64_t>();
    for (const auto& element : (*object)["vms"]) {
        auto record = parse_record(element);
        if (!record) {
            return tl::unexpected(record.error());
        }
        list.vms[record->name] = *record;
    }
    return list;
}

} // namespace eelgrasslever::membership
