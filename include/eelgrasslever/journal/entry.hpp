/// @file
/// What the journal keeps of one request: who is its home and what became of
/// it.
#pragma once

#include "eelgrasslever/base/answer.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslever::journal {

/// A run of finished task indices, both ends included.
struct index_range {
    int first{0};
    int last{0};
    friend bool operator==(const index_range&, const index_range&) = default;
};

/// Indices as few ranges as possible.
[[nodiscard]] std::vector<index_range>
to_ranges(const std::vector<bool>& finished);
/// Sets the bits of @p ranges in @p finished; indices beyond it are ignored.
void apply_ranges(const std::vector<index_range>& ranges,
                  std::vector<bool>& finished);

struct entry {
    std::string owner;          ///< "VM@incarnation"; empty: given up by it
    std::string failure_domain; ///< of the home
    std::string request_text;   ///< for jobs: the request as JSON
    std::vector<index_range> finished; ///< for jobs: tasks that ended
    int failed_tasks{0};
    std::optional<base::answer> final_answer;
    std::int64_t deadline_unix_ms{0}; ///< for jobs
    std::int64_t expires_unix_ms{0};  ///< when the entry may be dropped
};

using entries = std::map<std::string, entry>;

void to_json(nlohmann::json& out, const entry& in);
void from_json(const nlohmann::json& in, entry& out);

} // namespace eelgrasslever::journal
