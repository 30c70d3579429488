#include "eelgrasslever/bundle/document.hpp"

#include "eelgrasslever/base/json.hpp"

namespace eelgrasslever::bundle {

namespace {

constexpr const char* parse_step = "bundle.parse";

tl::unexpected<base::error> invalid_document(const std::string& detail) {
    return base::fail(base::error_code::invalid_argument, parse_step,
                      "document", detail);
}

base::result<team_rule> parse_team(const nlohmann::json& team,
                                   std::size_t index) {
    std::string path = "teams[" + std::to_string(index) + "]";
    if (!team.is_object() || !team.contains("name") ||
        !team["name"].is_string() || team["name"].get<std::string>().empty()) {
        return invalid_document(
            path + ".name is missing; give the team's name as text");
    }
    team_rule rule;
    rule.name = team["name"].get<std::string>();
    std::string tier_text = team.contains("tier") && team["tier"].is_string()
                                ? team["tier"].get<std::string>()
                                : std::string();
    if (tier_text != "paying" && tier_text != "trial") {
        return invalid_document(path + ".tier must be \"paying\" or \"trial\"");
    }
    rule.service_tier = tier_text == "paying" ? tier::paying : tier::trial;
    if (!team.contains("quota_slots") ||
        !team["quota_slots"].is_number_integer() ||
        team["quota_slots"].get<std::int64_t>() < 1) {
        return invalid_document(
            path + ".quota_slots must be a whole number from 1 up");
    }
    rule.quota_slots = team["quota_slots"].get<std::int64_t>();
    return rule;
}

base::result<double> parse_weight(const nlohmann::json& weights,
                                  const char* name) {
    if (!weights.contains(name)) {
        return 1.0;
    }
    if (!weights[name].is_number() || weights[name].get<double>() < 0.0) {
        return invalid_document(std::string("weights.") + name +
                                " must be a number from 0 up");
    }
    return weights[name].get<double>();
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
    const nlohmann::json& body = *object;
    if (!body.contains("version") || !body["version"].is_number_unsigned() ||
        body["version"].get<std::uint64_t>() == 0) {
        return invalid_document("version must be a whole number from 1 up");
    }
    document parsed;
    parsed.version = body["version"].get<std::uint64_t>();
    if (!body.contains("teams") || !body["teams"].is_array() ||
        body["teams"].empty()) {
        return invalid_document("teams must be a list of at least one team");
    }
    for (std::size_t i = 0; i < body["teams"].size(); ++i) {
        auto rule = parse_team(body["teams"][i], i);
        if (!rule) {
            return tl::unexpected(rule.error());
        }
        if (!parsed.teams.emplace(rule->name, *rule).second) {
            return invalid_document("teams names \"" + rule->name +
                                    "\" twice; keep one entry");
        }
    }
    nlohmann::json weights = body.value("weights", nlohmann::json::object());
    auto waiting = parse_weight(weights, "waiting");
    auto packing = parse_weight(weights, "packing");
    if (!waiting || !packing) {
        return tl::unexpected(waiting ? packing.error() : waiting.error());
    }
    parsed.weights = {*waiting, *packing};
    return parsed;
}

} // namespace eelgrasslever::bundle
