#include "eelgrasslever/base/answer.hpp"

#include <nlohmann/json.hpp>

namespace eelgrasslever::base {

const char* to_string(outcome value) {
    switch (value) {
    case outcome::completed:
        return "completed";
    case outcome::failed:
        return "failed";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::optional<outcome> parse_outcome(const std::string& text) {
    for (outcome value : {outcome::completed, outcome::failed, outcome::not_run,
                          outcome::unknown}) {
        if (text == to_string(value)) {
            return value;
        }
    }
    return std::nullopt;
}

void to_json(nlohmann::json& out, const answer& in) {
    out = {{"outcome", to_string(in.result)},
           {"bundle_version", in.bundle_version}};
    if (!in.body.empty()) {
        out["body"] = in.body;
    }
    if (!in.detail.empty()) {
        out["detail"] = in.detail;
    }
    if (!in.ran_at.empty()) {
        out["ran_at"] = in.ran_at;
    }
    if (in.retry_after) {
        out["retry_after_ms"] = in.retry_after->count();
    }
    if (in.rejected) {
        out["rejected"] = true;
    }
}

void from_json(const nlohmann::json& in, answer& out) {
    out.result =
        parse_outcome(in.value("outcome", "")).value_or(outcome::unknown);
    out.body = in.value("body", "");
    out.detail = in.value("detail", "");
    out.ran_at = in.value("ran_at", "");
    out.bundle_version = in.value("bundle_version", std::uint64_t{0});
    out.rejected = in.value("rejected", false);
    if (in.contains("retry_after_ms")) {
        out.retry_after =
            milliseconds(in["retry_after_ms"].get<std::int64_t>());
    }
}

} // namespace eelgrasslever::base
