/// @file
/// Numbers that the environment gives to randomised tests.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace eelgrasslever::test {

/// @return the value of the variable @p name, or @p default_value if it isn't
/// set.
[[nodiscard]] inline std::uint64_t
from_environment(const char* name, std::uint64_t default_value) {
    const char* text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

} // namespace eelgrasslever::test
