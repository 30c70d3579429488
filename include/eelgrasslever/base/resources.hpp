/// @file
/// Resource amounts offered by an endpoint or required by a task.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace eelgrasslever::base {

/// A vector of resource amounts. Differences may be negative.
struct resources {
    std::int64_t slots{0};
    std::int64_t cpu_milli{0}; ///< thousandths of a processor core
    std::int64_t memory_mb{0}; ///< mebibytes
    std::int64_t accelerators{0};

    friend bool operator==(const resources&, const resources&) = default;
    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);
    friend resources operator+(resources a, const resources& b) {
        return a += b;
    }
    friend resources operator-(resources a, const resources& b) {
        return a -= b;
    }
};

/// @return @p amount times @p factor, rounded towards zero.
[[nodiscard]] resources scaled(const resources& amount, double factor);

/// @return whether @p need is at most @p available in every component.
[[nodiscard]] bool fits(const resources& need, const resources& available);

/// @return the component-wise minimum.
[[nodiscard]] resources component_min(const resources& a, const resources& b);

/// @return the component-wise maximum.
[[nodiscard]] resources component_max(const resources& a, const resources& b);

void to_json(nlohmann::json& out, const resources& in);
void from_json(const nlohmann::json& in, resources& out);

} // namespace eelgrasslever::base
