#include "eelgrasslever/base/resources.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace eelgrasslever::base {

resources& resources::operator+=(const resources& other) {
    slots += other.slots;
    cpu_milli += other.cpu_milli;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other) {
    slots -= other.slots;
    cpu_milli -= other.cpu_milli;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
}

resources scaled(const resources& amount, double factor) {
    auto scale = [&](std::int64_t value) {
        return static_cast<std::int64_t>(static_cast<double>(value) * factor);
    };
    return {scale(amount.slots), scale(amount.cpu_milli),
            scale(amount.memory_mb), scale(amount.accelerators)};
}

bool fits(const resources& need, const resources& available) {
    return need.slots <= available.slots &&
           need.cpu_milli <= available.cpu_milli &&
           need.memory_mb <= available.memory_mb &&
           need.accelerators <= available.accelerators;
}

resources component_min(const resources& a, const resources& b) {
    return {std::min(a.slots, b.slots), std::min(a.cpu_milli, b.cpu_milli),
            std::min(a.memory_mb, b.memory_mb),
            std::min(a.accelerators, b.accelerators)};
}

resources component_max(const resources& a, const resources& b) {
    return {std::max(a.slots, b.slots), std::max(a.cpu_milli, b.cpu_milli),
            std::max(a.memory_mb, b.memory_mb),
            std::max(a.accelerators, b.accelerators)};
}

void to_json(nlohmann::json& out, const resources& in) {
    out = {{"slots", in.slots},
           {"cpu_milli", in.cpu_milli},
           {"memory_mb", in.memory_mb},
           {"accelerators", in.accelerators}};
}

void from_json(const nlohmann::json& in, resources& out) {
    out.slots = in.value("slots", std::int64_t{1});
    out.cpu_milli = in.value("cpu_milli", std::int64_t{0});
    out.memory_mb = in.value("memory_mb", std::int64_t{0});
    out.accelerators = in.value("accelerators", std::int64_t{0});
}

} // namespace eelgrasslever::base
