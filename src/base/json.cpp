#include "eelgrasslever/base/json.hpp"

namespace eelgrasslever::base {

result<nlohmann::json> parse_object(std::string_view text,
                                    const std::string& step,
                                    const std::string& peer) {
    auto parsed = nlohmann::json::parse(text, nullptr, false);
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
