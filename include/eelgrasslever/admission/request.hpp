/// @file
/// A caller's request, its parsing and validation.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/base/resources.hpp"
#include "eelgrasslever/base/time.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace eelgrasslever::admission {

/// Whether the caller has sent a request with this id before.
enum class attempt_kind {
    unspecified, ///< the caller didn't say; treated as a possible retry
    first,       ///< the caller states that it never sent this id before
    retry,
};

/// A request or a job. A job is a request whose policy is durable.
struct request {
    std::string id; ///< from the Idempotency-Key header
    std::string team;
    std::string kind{"urgent"};         ///< name of the policy plug-in
    base::resources need{1, 0, 0, 0};   ///< of one task
    base::milliseconds declared_run{0}; ///< of one task; 0 if not declared
    base::milliseconds timeout{0};      ///< time allowed until the answer
    int tasks{1};
    bool repeatable{true}; ///< whether it may safely run more than once
    attempt_kind attempt{attempt_kind::unspecified};
    std::string payload;
    std::string traceparent;
};

inline constexpr int max_tasks_per_job = 20000;
inline constexpr std::size_t max_id_length = 128; ///< characters
inline constexpr base::milliseconds max_timeout{24 * 3600 * 1000};
inline constexpr base::milliseconds default_timeout{10 * 1000};

/// Parses and validates a request.
/// @param body the JSON object that the caller sent.
/// @param id the request id; a task's own request has "JOB/INDEX".
/// @return the request, or `invalid_argument` for the first invalid field,
/// with a detail that names the field and how to correct it.
[[nodiscard]] base::result<request> parse_request(const nlohmann::json& body,
                                                  const std::string& id);

/// @return every field but the id as JSON that parse_request() accepts, for
/// the journal and for peers.
[[nodiscard]] nlohmann::json to_json_object(const request& value);

} // namespace eelgrasslever::admission
