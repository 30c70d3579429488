/// @file
/// Reading of untrusted JSON without exceptions leaving the module.
#pragma once

#include "eelgrasslever/base/error.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace eelgrasslever::base {

/// Parses @p text as one JSON object.
/// @param step names the operation in the error.
/// @param peer names where the text came from.
[[nodiscard]] result<nlohmann::json> parse_object(std::string_view text,
                                                  const std::string& step,
                                                  const std::string& peer);

/// Reads @p text into a message type that has `from_json`.
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
