#include "eelgrasslever/base/json.hpp"

namespace eelgrasslever::base {

using nlohmann::json;

std::int64_t to_whole(const json& in, std::int64_t least, std::int64_t most) {
    if (in.is_number_unsigned()) {
        auto value = in.get<std::uint64_t>();
        if (most >= 0 && value <= static_cast<std::uint64_t>(most) &&
            static_cast<std::int64_t>(value) >= least) {
            return static_cast<std::int64_t>(value);
        }
    } else if (in.is_number_integer()) {
        auto value = in.get<std::int64_t>();
        if (value >= least && value <= most) {
            return value;
        }
    } else if (in.is_number_float()) {
        auto value = in.get<double>();
        if (value >= static_cast<double>(least) &&
            value <= static_cast<double>(most)) {
            return static_cast<std::int64_t>(value);
        }
    } else {
        throw json::type_error::create(
            302, std::string("type must be number, but is ") + in.type_name(),
            &in);
    }
    throw json::out_of_range::create(406,
                                     "the number must be from " +
                                         std::to_string(least) + " to " +
                                         std::to_string(most),
                                     &in);
}

std::int64_t whole_field(const json& in, const char* name,
                         std::int64_t otherwise, std::int64_t least,
                         std::int64_t most) {
    auto found = in.find(name);
    return found == in.end() ? otherwise : to_whole(*found, least, most);
}

result<json> parse_object(std::string_view text, const std::string& step,
                          const std::string& peer) {
    bool is_too_deep = false;
    auto limit_depth = [&](int depth, json::parse_event_t, json&) {
        is_too_deep |= depth > max_json_depth;
        return depth <= max_json_depth;
    };
    auto parsed = json::parse(text, limit_depth, false);
    if (is_too_deep) {
        return fail(error_code::invalid_argument, step, peer,
                    "the text is nested more than " +
                        std::to_string(max_json_depth) + " levels deep");
    }
    if (parsed.is_discarded()) {
        return fail(error_code::invalid_argument, step, peer,
                    "the text is not valid JSON; send one JSON object");
    }
    if (!parsed.is_object()) {
        return fail(error_code::invalid_argument, step, peer,
                    "the text is JSON but not an object; wrap it in {}");
    }
    return parsed;
}

} // namespace eelgrasslever::base
