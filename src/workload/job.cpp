#include "eelgrasslever/workload/job.hpp"

#include <algorithm>
#include <charconv>

namespace eelgrasslever::workload {

namespace {

base::result<void> invalid(const std::string& job, const std::string& detail) {
    return base::fail(base::error_code::invalid_argument, "job.validate", job,
                      detail);
}

std::optional<int> parse_nonnegative(std::string_view text) {
    int out = 0;
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), out);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
        out < 0) {
        return std::nullopt;
    }
    return out;
}

/// Removes the last ".N" from @p text.
/// @return N, or nothing if @p text does not end in a number.
std::optional<int> pop_last_number(std::string_view& text) {
    auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    auto number = parse_nonnegative(text.substr(dot + 1));
    text = text.substr(0, dot);
    return number;
}

base::result<void> validate_step(const job& value, int index) {
    const step& checked = value.steps[static_cast<std::size_t>(index)];
    std::string name = "step " + std::to_string(index) + ": ";
    if (checked.count < 1 || checked.count > max_tasks_per_step) {
        return invalid(value.id, name + "count must be 1 to " +
                                     std::to_string(max_tasks_per_step));
    }
    if (checked.need.cpu_milli < 0 || checked.need.memory_mb < 0 ||
        checked.need.accelerators < 0) {
        return invalid(value.id, name + "amounts must not be negative");
    }
    for (int predecessor : checked.predecessors) {
        if (predecessor < 0 || predecessor >= index) {
            return invalid(value.id,
                           name + "may wait for earlier steps only, not for " +
                               std::to_string(predecessor));
        }
    }
    return {};
}

} // namespace

queue_policy update_policy(const queue_policy& accepted,
                           const queue_policy& later) {
    queue_policy result = accepted;
    result.service = later.service;
    result.priority = later.priority;
    result.advice = later.advice;
    return result;
}

std::string to_string(const task_key& key) {
    return key.job + "." + std::to_string(key.occurrence) + "." +
           std::to_string(key.step) + "." + std::to_string(key.index);
}

std::optional<task_key> parse_task_key(const std::string& text) {
    std::string_view rest = text;
    auto index = pop_last_number(rest);
    auto step = pop_last_number(rest);
    auto occurrence = pop_last_number(rest);
    if (!index || !step || !occurrence || rest.empty()) {
        return std::nullopt;
    }
    return task_key{std::string(rest), *occurrence, *step, *index};
}

base::result<void> validate(const job& value) {
    if (value.id.empty()) {
        return invalid("?", "the id is empty");
    }
    if (value.payload.size() > max_payload_bytes) {
        return invalid(value.id, "the payload is over " +
                                     std::to_string(max_payload_bytes) +
                                     " bytes");
    }
    if (value.steps.empty() ||
        value.steps.size() > static_cast<std::size_t>(max_steps)) {
        return invalid(value.id, "a job has 1 to " + std::to_string(max_steps) +
                                     " steps");
    }
    if (value.repeat_count < 0 ||
        (value.repeat_count > 1 && value.interval.count() < 0)) {
        return invalid(value.id, "the schedule is negative");
    }
    for (std::size_t i = 0; i < value.steps.size(); ++i) {
        auto checked = validate_step(value, static_cast<int>(i));
        if (!checked) {
            return checked;
        }
    }
    return {};
}

base::result<void> check_limit(const job& value, const base::resources& cap) {
    auto exceeds = [](std::int64_t limit, std::int64_t need,
                      std::int64_t count) {
        return limit > 0 && need > 0 && need > limit / count;
    };
    for (std::size_t i = 0; i < value.steps.size(); ++i) {
        const step& checked = value.steps[i];
        std::int64_t at_once = checked.gang ? checked.count : 1;
        if (exceeds(cap.cpu_milli, checked.need.cpu_milli, at_once) ||
            exceeds(cap.memory_mb, checked.need.memory_mb, at_once) ||
            exceeds(cap.accelerators, checked.need.accelerators, at_once)) {
            return invalid(value.id,
                           "step " + std::to_string(i) +
                               ": needs more at once than its workspace may "
                               "have running");
        }
    }
    return {};
}

bool has_successor(const job& value, int step) {
    return std::any_of(value.steps.begin(), value.steps.end(),
                       [&](const auto& other) {
                           return std::find(other.predecessors.begin(),
                                            other.predecessors.end(),
                                            step) != other.predecessors.end();
                       });
}

} // namespace eelgrasslever::workload
