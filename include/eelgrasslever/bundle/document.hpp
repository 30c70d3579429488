/// @file
/// The document of a configuration bundle: teams with their tiers and quotas,
/// and placement weights.
#pragma once

#include "eelgrasslever/base/error.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace eelgrasslever::bundle {

/// Service tier of a team. Paying work is placed before trial work and may stop
/// it.
enum class tier { paying, trial };

[[nodiscard]] const char* to_string(tier value);

/// Service tier and quota of one team.
struct team_rule {
    std::string name;
    tier service_tier{tier::trial};
    std::int64_t quota_slots{0}; ///< maximum slots in use within one FD
};

/// Weights of the placement score, which balances short waits against dense
/// packing.
struct placement_weights {
    double waiting{1.0}; ///< weight of avoiding slow endpoints
    double packing{1.0}; ///< weight of filling endpoints in use
};

/// One version of the configuration, as the operators sign it.
struct document {
    std::uint64_t version{0};               ///< a valid document has at least 1
    std::map<std::string, team_rule> teams; ///< by name
    placement_weights weights;

    /// @return the rule of @p team, or nullptr if the document lacks it.
    [[nodiscard]] const team_rule* find_team(const std::string& team) const;
};

/// Parses and validates the JSON text of a document.
/// @return the document, or `invalid_argument` for the first invalid field,
/// with a detail that names the field and how to correct it.
[[nodiscard]] base::result<document> parse_document(const std::string& text);

} // namespace eelgrasslever::bundle
