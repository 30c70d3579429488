#include "eelgrasslever/bundle/document.hpp"

#include "eelgrasslever/base/json.hpp"

namespace eelgrasslever::bundle {

namespace {

constexpr const char* parse_step = "bundle.parse";

tl::unexpected<base::error> invalid_document(const std::string& detail) {
    return base::fail(base::error_code::invalid_argument, parse_step,
                      "document", detail);
}

base::result<team_rule> parse_team(const nlohmann::json& in,
                                   std::size_t index) {
    std::string path = "teams[" + std::to_string(index) + "]";
    if (!in.is_object() || !in.contains("name") || !in["name"].is_string() ||
        in["name"].get<std::string>().empty()) {
        return invalid_document(
            path + ".name is missing; give the team's name as text");
    }
    team_rule rule;
    rule.name = in["name"].get<std::string>();
    std::string tier_text = in.contains("tier") && in["tier"].is_string()
                                ? in["tier"].get<std::string>()
                                : std::string();
    if (tier_text != "paying" && tier_text != "trial") {
        return invalid_document(path + ".tier must be \"paying\" or \"trial\"");
    }
    rule.service_tier = tier_text == "paying" ? tier::paying : tier::trial;
    if (!in.contains("quota_slots") || !in["quota_slots"].is_number_integer() ||
        in["quota_slots"].get<std::int64_t>() < 1) {
        return invalid_document(
            path + ".quota_slots must be a whole number from 1 up");
    }
    rule.quota_slots = in["quota_slots"].get<std::int64_t>();
    return rule;
}

base::result<double> parse_weight(const nlohmann::json& in, const char* name) {
    if (!in.contains(name)) {
        return 1.0;
    }
    if (!in[name].is_number() || in[name].get<double>() < 0.0) {
        return invalid_document(std::string("weights.") + name +
                                " must be a number from 0 up");
    }
    return in[name].get<double>();
}

} // namespace

const char* to_string(tier value) {
    return value == tier::paying ? "paying" : "trial";
}

const team_rule* document::find_team(const std::string& team) const {
    auto found = teams.find(team);
    return found == teams.end() ? nullptr : &found->second;
}

base::result<document> parse_document(const std::string& text) {
    auto object = base::parse_object(text, parse_step, "document");
    if (!object) {
        return tl::unexpected(object.error());
    }
    const nlohmann::json& in = *object;
    if (!in.contains("version") || !in["version"].is_number_unsigned() ||
        in["version"].get<std::uint64_t>() == 0) {
        return invalid_document("version must be a whole number from 1 up");
    }
    document out;
    out.version = in["version"].get<std::uint64_t>();
    if (!in.contains("teams") || !in["teams"].is_array() ||
        in["teams"].empty()) {
        return invalid_document("teams must be a list of at least one team");
    }
    for (std::size_t i = 0; i < in["teams"].size(); ++i) {
        auto rule = parse_team(in["teams"][i], i);
        if (!rule) {
            return tl::unexpected(rule.error());
        }
        if (!out.teams.emplace(rule->name, *rule).second) {
            return invalid_document("teams names \"" + rule->name +
                                    "\" twice; keep one entry");
        }
    }
    nlohmann::json weights = in.value("weights", nlohmann::json::object());
    auto waiting = parse_weight(weights, "waiting");
    auto packing = parse_weight(weights, "packing");
    if (!waiting || !packing) {
        return tl::unexpected(waiting ? packing.error() : waiting.error());
    }
    out.weights = {*waiting, *packing};
    return out;
}

} // namespace eelgrasslever::bundle
