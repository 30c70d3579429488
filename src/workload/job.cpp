#include "eelgrasslever/workload/job.hpp"

#include <algorithm>
#include <charconv>

namespace eelgrasslever::workload {

namespace {

base::result<void> invalid(const std::string& job, const std::string& what) {
    return base::fail(base::error_code::invalid_argument, "job.validate", job,
                      what);
}

std::optional<int> parse_number(std::string_view text) {
    int out = 0;
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), out);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
        out < 0) {
        return std::nullopt;
    }
    return out;
}

/// Splits the last ".N" off @p text.
std::optional<int> take_last_number(std::string_view& text) {
    auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    auto number = parse_number(text.substr(dot + 1));
    text = text.substr(0, dot);
    return number;
}

base::result<void> validate_step(const job& value, int number) {
    const step& it = value.steps[static_cast<std::size_t>(number)];
    std::string name = "step " + std::to_string(number) + ": ";
    if (it.count < 1 || it.count > max_tasks_per_step) {
        return invalid(value.id, name + "count must be 1 to " +
                                     std::to_string(max_tasks_per_step));
    }
    if (it.need.cpu_milli < 0 || it.need.memory_mb < 0 ||
        it.need.accelerators < 0) {
        return invalid(value.id, name + "amounts must not be negative");
    }
    for (int earlier : it.after) {
        if (earlier < 0 || earlier >= number) {
            return invalid(value.id,
                           name + "may wait for earlier steps only, not for " +
                               std::to_string(earlier));
        }
    }
    return {};
}

} // namespace

std::string to_string(const task_key& key) {
    return key.job + "." + std::to_string(key.occurrence) + "." +
           std::to_string(key.step) + "." + std::to_string(key.index);
}

std::optional<task_key> parse_task_key(const std::string& text) {
    std::string_view rest = text;
    auto index = take_last_number(rest);
    auto step = take_last_number(rest);
    auto occurrence = take_last_number(rest);
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

bool has_successor(const job& value, int step) {
    return std::any_of(
        value.steps.begin(), value.steps.end(), [&](const auto& other) {
            return std::find(other.after.begin(), other.after.end(), step) !=
                   other.after.end();
        });
}

} // namespace eelgrasslever::workload
