#include "eelgrasslever/journal/entry.hpp"

#include <nlohmann/json.hpp>

namespace eelgrasslever::journal {

std::vector<index_range> to_ranges(const std::vector<bool>& finished) {
    std::vector<index_range> ranges;
    for (std::size_t i = 0; i < finished.size(); ++i) {
        if (!finished[i]) {
            continue;
        }
        int index = static_cast<int>(i);
        if (!ranges.empty() && ranges.back().last + 1 == index) {
            ranges.back().last = index;
        } else {
            ranges.push_back({index, index});
        }
    }
    return ranges;
}

void apply_ranges(const std::vector<index_range>& ranges,
                  std::vector<bool>& finished) {
    auto size = static_cast<int>(finished.size());
    for (const index_range& range : ranges) {
        for (int index = range.first; index <= range.last && index < size;
             ++index) {
            if (index >= 0) {
                finished[static_cast<std::size_t>(index)] = true;
            }
        }
    }
}

void to_json(nlohmann::json& json, const entry& stored) {
    json = {{"home", stored.owner},
            {"fd", stored.failure_domain},
            {"expires", stored.expires_unix_ms}};
    if (!stored.request_text.empty()) {
        json["request"] = stored.request_text;
        json["deadline"] = stored.deadline_unix_ms;
    }
    if (!stored.finished.empty()) {
        nlohmann::json ranges = nlohmann::json::array();
        for (const index_range& range : stored.finished) {
            ranges.push_back({range.first, range.last});
        }
        json["finished"] = std::move(ranges);
    }
    if (stored.failed_tasks > 0) {
        json["failed_tasks"] = stored.failed_tasks;
    }
    if (stored.final_answer) {
        json["answer"] = *stored.final_answer;
    }
}

void from_json(const nlohmann::json& json, entry& stored) {
    stored.owner = json.value("home", "");
    stored.failure_domain = json.value("fd", "");
    stored.expires_unix_ms = json.value("expires", std::int64_t{0});
    stored.request_text = json.value("request", "");
    stored.deadline_unix_ms = json.value("deadline", std::int64_t{0});
    stored.failed_tasks = json.value("failed_tasks", 0);
    stored.finished.clear();
    for (const auto& range : json.value("finished", nlohmann::json::array())) {
        stored.finished.push_back(
            {range.at(0).get<int>(), range.at(1).get<int>()});
    }
    if (json.contains("answer")) {
        stored.final_answer = json["answer"].get<base::answer>();
    }
}

} // namespace eelgrasslever::journal
