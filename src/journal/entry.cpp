#include "eelgrasslever/journal/entry.hpp"

#include <nlohmann/json.hpp>

namespace eelgrasslever::journal {

std::vector<index_range> to_ranges(const std::vector<bool>& finished) {
    std::vector<index_range> out;
    for (std::size_t i = 0; i < finished.size(); ++i) {
        if (!finished[i]) {
            continue;
        }
        int at = static_cast<int>(i);
        if (!out.empty() && out.back().last + 1 == at) {
            out.back().last = at;
        } else {
            out.push_back({at, at});
        }
    }
    return out;
}

void apply_ranges(const std::vector<index_range>& ranges,
                  std::vector<bool>& finished) {
    auto size = static_cast<int>(finished.size());
    for (const index_range& range : ranges) {
        for (int at = range.first; at <= range.last && at < size; ++at) {
            if (at >= 0) {
                finished[static_cast<std::size_t>(at)] = true;
            }
        }
    }
}

void to_json(nlohmann::json& out, const entry& in) {
    out = {{"home", in.owner},
           {"fd", in.failure_domain},
           {"expires", in.expires_unix_ms}};
    if (!in.request_text.empty()) {
        out["request"] = in.request_text;
        out["deadline"] = in.deadline_unix_ms;
    }
    if (!in.finished.empty()) {
        nlohmann::json ranges = nlohmann::json::array();
        for (const index_range& range : in.finished) {
            ranges.push_back({range.first, range.last});
        }
        out["finished"] = std::move(ranges);
    }
    if (in.failed_tasks > 0) {
        out["failed_tasks"] = in.failed_tasks;
    }
    if (in.final_answer) {
        out["answer"] = *in.final_answer;
    }
}

void from_json(const nlohmann::json& in, entry& out) {
    out.owner = in.value("home", "");
    out.failure_domain = in.value("fd", "");
    out.expires_unix_ms = in.value("expires", std::int64_t{0});
    out.request_text = in.value("request", "");
    out.deadline_unix_ms = in.value("deadline", std::int64_t{0});
    out.failed_tasks = in.value("failed_tasks", 0);
    out.finished.clear();
    for (const auto& range : in.value("finished", nlohmann::json::array())) {
        out.finished.push_back(
            {range.at(0).get<int>(), range.at(1).get<int>()});
    }
    if (in.contains("answer")) {
        out.final_answer = in["answer"].get<base::answer>();
    }
}

} // namespace eelgrasslever::journal
