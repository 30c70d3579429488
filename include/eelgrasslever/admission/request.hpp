/// @file
/// What a caller asks for, and its checks.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/base/resources.hpp"
#include "eelgrasslever/base/time.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace eelgrasslever::admission {

/// Whether the caller has sent this id before.
enum class attempt_kind {
    unspecified, ///< not said; treated as a possible retry
    first,       ///< the caller states that this id was never sent before
    retry,
};

/// A request or a job. A job is a request of a durable kind.
struct request {
    std::string id; ///< from Idempotency-Key
    std::string team;
    std::string kind{"urgent"}; ///< name of the policy plug-in
    base::resources need{1, 0, 0, 0};
    base::milliseconds declared_run{0};
    base::milliseconds timeout{0}; ///< time allowed until the answer
    int tasks{1};
    bool repeatable{true};
    attempt_kind attempt{attempt_kind::unspecified};
    std::string payload;
    std::string traceparent;
};

inline constexpr int max_tasks_per_job = 20000;
inline constexpr std::size_t max_id_length = 128;
inline constexpr base::milliseconds max_timeout{24 * 3600 * 1000};
inline constexpr base::milliseconds default_timeout{10 * 1000};

/// Checks every field; the first error names the field and the fix.
[[nodiscard]] base::result<request> parse_request(const nlohmann::json& body,
                                                  const std::string& id);

/// The same fields as JSON, for the journal and for peers.
[[nodiscard]] nlohmann::json to_json_object(const request& value);

} // namespace eelgrasslever::admission
