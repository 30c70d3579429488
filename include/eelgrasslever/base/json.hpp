/// @file
/// Parsing of untrusted JSON; failures are returned, not thrown.
#pragma once

#include "eelgrasslever/base/error.hpp"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace eelgrasslever::base {

/// Deepest nesting that is parsed. Copies and comparisons of a value take stack
/// for each level.
inline constexpr int max_json_depth = 64;

/// Largest amount that is read: sums of it over a fleet, and products with a
/// number of tasks, stay within 63 bits.
inline constexpr std::int64_t max_json_amount = std::int64_t{1} << 40;

/// Reads a number whose fraction is dropped.
/// @throws nlohmann::json::exception unless it is from @p least to @p most,
/// which are exact as floating-point numbers.
[[nodiscard]] std::int64_t to_whole(const nlohmann::json& in,
                                    std::int64_t least, std::int64_t most);

/// Reads field @p name of an object, or @p otherwise if it is missing.
/// @throws nlohmann::json::exception as `to_whole`.
[[nodiscard]] std::int64_t whole_field(const nlohmann::json& in,
                                       const char* name, std::int64_t otherwise,
                                       std::int64_t least = 0,
                                       std::int64_t most = max_json_amount);

/// Parses @p text as a single JSON object, nested `max_json_depth` at most.
/// @param step operation name for the error.
/// @param peer source of the text, for the error.
/// @param max_values of all levels together; 0: no limit. Each takes many times
/// the memory of its text.
/// @return the object, or `invalid_argument`.
[[nodiscard]] result<nlohmann::json> parse_object(std::string_view text,
                                                  const std::string& step,
                                                  const std::string& peer,
                                                  std::size_t max_values = 0);

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
