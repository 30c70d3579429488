/// @file
/// Audit of a run: compares the answers that callers received with the task
/// runs that the endpoints recorded, by request id.
#pragma once

#include "eelgrasslever/base/answer.hpp"
#include "eelgrasslever/base/error.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelload {

namespace base = eelgrasslever::base;

/// A run of a task at an endpoint. Times are milliseconds of the monotonic
/// clock.
struct task_run {
    std::string endpoint;
    std::int64_t start_ms{0};
    std::int64_t end_ms{0};
    std::string state; ///< final state, "running" or "killed"
    bool repeatable{true};
};

/// Task runs that the endpoints recorded.
struct endpoint_records {
    std::map<std::string, std::vector<task_run>> runs; ///< by task id
    std::size_t over_capacity{0}; ///< starts refused for lack of capacity
    std::size_t late_starts{0};   ///< starts at an endpoint that was leaving
};

/// Reads the files in @p folder whose names start with "audit-".
/// @return the records, or an error if the folder cannot be read.
[[nodiscard]] base::result<endpoint_records>
read_records(const std::string& folder);

/// An answer that a caller received for a request id.
struct reported_answer {
    std::string id;
    base::answer answer;
};

struct audit_result {
    std::size_t ids{0};            ///< request ids with an answer
    std::size_t answered_once{0};  ///< request ids with exactly one answer
    std::size_t ran_once{0};       ///< tasks with exactly one run
    std::size_t ran_repeatedly{0}; ///< tasks with more than one run
    std::vector<std::string> violations; ///< descriptions for people
};

/// Checks that no task ran at two endpoints at once or beyond the capacity of
/// an endpoint, that non-repeatable tasks ran at most once, and that each
/// answer agrees with the runs.
/// @param last_answers the last answer that each caller received, in any order.
[[nodiscard]] audit_result
check_answers(const std::vector<reported_answer>& last_answers,
              const endpoint_records& records);

/// Reads answers from a file of JSON lines; skips lines without an outcome.
/// @return the answers, or an error if the file cannot be opened.
[[nodiscard]] base::result<std::vector<reported_answer>>
read_answers(const std::string& path);

/// Prints the counts and the violations.
/// @return whether there are no violations.
bool print_audit(const audit_result& result);

} // namespace eelload
