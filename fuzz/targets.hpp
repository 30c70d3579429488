/// @file
/// Fuzz targets. Each parses untrusted bytes and must neither crash nor throw.
#pragma once

#include <string>
#include <vector>

namespace fuzz {

struct target {
    const char* name;
    void (*run)(const std::string& input);
    std::vector<std::string> samples; ///< valid inputs to mutate
};

[[nodiscard]] target frame_target();
[[nodiscard]] target request_target();
[[nodiscard]] target bundle_target();
[[nodiscard]] target settings_target();
[[nodiscard]] target endpoint_reply_target();
[[nodiscard]] target platform_target();

} // namespace fuzz
