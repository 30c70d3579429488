/// @file
/// The one final answer that each accepted request receives.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace eelgrasslever::base {

/// What became of a request.
enum class outcome {
    completed, ///< it ran and succeeded
    failed,    ///< it ran and did not succeed
    not_run,   ///< proved: it did not run and will not run under this answer
    unknown,   ///< it may have run; ask again with the same id
};

[[nodiscard]] const char* to_string(outcome value);
/// @return the outcome named @p text, or nothing.
[[nodiscard]] std::optional<outcome> parse_outcome(const std::string& text);

/// A final answer, as stored, relayed between entry VMs and sent to callers.
struct answer {
    outcome result{outcome::unknown};
    std::string body;   ///< the task's own result, whole
    std::string detail; ///< reason, for people
    std::optional<milliseconds> retry_after;
    std::string ran_at; ///< endpoint that ran the task, if any
    std::uint64_t bundle_version{0};
    bool rejected{false}; ///< the request itself is invalid; do not retry
};

void to_json(nlohmann::json& out, const answer& in);
void from_json(const nlohmann::json& in, answer& out);

} // namespace eelgrasslever::base
