/// @file
/// The final answer to a request. Each accepted request gets exactly one.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace eelgrasslever::base {

/// Final outcome of a request.
enum class outcome {
    completed, ///< the task ran and succeeded
    failed,    ///< the task ran and reported a failure
    not_run,   ///< the task has provably not run and will not run unless
               ///< the request is sent again
    unknown,   ///< the task may have run; retry with the same request id
};

[[nodiscard]] const char* to_string(outcome value);
/// @return the outcome named @p text, or nothing if the name is unknown.
[[nodiscard]] std::optional<outcome> parse_outcome(const std::string& text);

/// A final answer, as stored, relayed between entry VMs and sent to callers.
struct answer {
    outcome result{outcome::unknown};
    std::string body;                        ///< the task's result, unmodified
    std::string detail;                      ///< human-readable reason
    std::optional<milliseconds> retry_after; ///< suggested delay before a retry
    std::string ran_at; ///< endpoint that ran the task; empty if none did
    std::uint64_t bundle_version{0};
    bool rejected{false}; ///< the request is invalid; do not retry
};

void to_json(nlohmann::json& out, const answer& in);
void from_json(const nlohmann::json& in, answer& out);

} // namespace eelgrasslever::base
