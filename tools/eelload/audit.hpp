/// @file
/// The audit from outside: what each caller was told against what the
/// endpoints recorded having run, by request id.
#pragma once

#include "eelgrasslever/base/answer.hpp"
#include "eelgrasslever/base/error.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelload {

namespace base = eelgrasslever::base;

/// One run of a task at an endpoint, in milliseconds of the monotonic clock.
struct task_run {
    std::string endpoint;
    std::int64_t from{0};
    std::int64_t until{0};
    std::string state;
    bool repeatable{true};
};

/// What the endpoints wrote.
struct endpoint_records {
    std::map<std::string, std::vector<task_run>> runs; ///< by task id
    std::size_t over_capacity{0};
    std::size_t late_starts{0}; ///< starts at an endpoint already leaving
};

/// Reads every audit-*.jsonl below @p folder.
[[nodiscard]] base::result<endpoint_records>
read_records(const std::string& folder);

struct told {
    std::string id;
    base::answer answer;
};

struct audit_result {
    std::size_t ids{0};
    std::size_t answered_once{0};
    std::size_t ran_once{0};
    std::size_t ran_again{0}; ///< repeatable work that ran more than once
    std::vector<std::string> violations;
};

/// @param last_words the last answer for each id, in any order.
[[nodiscard]] audit_result check(const std::vector<told>& last_words,
                                 const endpoint_records& records);

/// Reads answers from JSON lines; lines without an outcome are passed over.
[[nodiscard]] base::result<std::vector<told>>
read_answers(const std::string& path);

/// Prints the result.
/// @return whether it is clean.
bool print(const audit_result& result);

} // namespace eelload
