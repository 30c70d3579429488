/// @file
/// Parsing of untrusted JSON; failures are returned, not thrown.
#pragma once

#include "eelgrasslever/base/error.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace eelgrasslever::base {

/// Parses @p text as a single JSON object.
/// @param step operation name for the error.
/// @param peer source of the text, for the error.
/// @return the object, or `invalid_argument`.
[[nodiscard]] result<nlohmann::json> parse_object(std::string_view text,
                                                  const std::string& step,
                                                  const std::string& peer);

/// Parses @p text into a type that has a `from_json` overload.
/// @return the message, or `invalid_argument` if the text is not a JSON object
/// or a field has the wrong type.
template <typename Message>
[[nodiscard]] result<Message> parse_message(std::string_view text,
                                            const std::string& step,
                                            const std::string& peer) {
    auto object = parse_object(text, step, peer);
    if (!object) {
        return tl::unexpected(object.error());
    }
    try {
        return object->get<Message>();
    } catch (const nlohmann::json::exception& e) {
        return fail(error_code::invalid_argument, step, peer, e.what());
    }
}

} // namespace eelgrasslever::base
