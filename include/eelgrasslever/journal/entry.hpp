/// @file
/// What the journal stores for one request: its owner, its progress and its
/// outcome.
#pragma once

#include "eelgrasslever/base/answer.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslever::journal {

/// A range of finished task indices, both ends included.
struct index_range {
    int first{0};
    int last{0};
    friend bool operator==(const index_range&, const index_range&) = default;
};

/// @return the indices of the set bits as the smallest number of ranges.
[[nodiscard]] std::vector<index_range>
to_ranges(const std::vector<bool>& finished);
/// Sets the bits of @p ranges in @p finished. Indices outside of it are
/// ignored.
void apply_ranges(const std::vector<index_range>& ranges,
                  std::vector<bool>& finished);

/// One request in the journal.
struct entry {
    /// Member that runs the request and answers for it, as "VM@incarnation";
    /// empty after that member released the request.
    std::string owner;
    std::string failure_domain;        ///< of the owner
    std::string request_text;          ///< for jobs: the request as JSON
    std::vector<index_range> finished; ///< for jobs: tasks that ended
    int failed_tasks{0};               ///< for jobs
    std::optional<base::answer> final_answer;
    std::int64_t deadline_unix_ms{0}; ///< for jobs
    /// The entry may be dropped after this time, unless it is a job without an
    /// answer.
    std::int64_t expires_unix_ms{0};
};

/// Entries by request id.
using entries = std::map<std::string, entry>;

void to_json(nlohmann::json& json, const entry& stored);
void from_json(const nlohmann::json& json, entry& stored);

} // namespace eelgrasslever::journal
