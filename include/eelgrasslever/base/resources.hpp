/// @file
/// Amounts of what a worker offers and a task needs.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace eelgrasslever::base {

/// A vector of resource amounts; also used for differences.
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

/// @return whether every amount of @p need is within @p room.
[[nodiscard]] bool fits(const resources& need, const resources& room);

/// @return the larger of each amount.
[[nodiscard]] resources component_max(const resources& a, const resources& b);

void to_json(nlohmann::json& out, const resources& in);
void from_json(const nlohmann::json& in, resources& out);

} // namespace eelgrasslever::base
