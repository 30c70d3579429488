/// @file
/// The configuration bundle: teams, tiers, quotas and placement weights.
#pragma once

#include "eelgrasslever/base/error.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace eelgrasslever::bundle {

enum class tier { paying, trial };

[[nodiscard]] const char* to_string(tier value);

/// What the operators grant one team.
struct team_rule {
    std::string name;
    tier service_tier{tier::trial};
    std::int64_t quota_slots{0}; ///< most slots in use within one FD
};

/// How placement weighs a short wait against full VMs.
struct placement_weights {
    double waiting{1.0};
    double packing{1.0};
};

/// One version of the configuration.
struct document {
    std::uint64_t version{0};
    std::map<std::string, team_rule> teams;
    placement_weights weights;

    /// @return the rule of @p team, or nullptr.
    [[nodiscard]] const team_rule* find_team(const std::string& team) const;
};

/// Reads a document; each error names the field and the fix.
[[nodiscard]] base::result<document> parse_document(const std::string& text);

} // namespace eelgrasslever::bundle
