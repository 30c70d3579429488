// Fuzzes the parser of settings files.
#include "targets.hpp"

#include "eelgrasslever/settings/settings.hpp"

namespace fuzz {

target settings_target() {
    auto run = [](const std::string& input) {
        auto parsed = eelgrasslever::settings::parse(input, "fuzz.toml");
        (void)parsed;
    };
    return {"settings",
            run,
            {"[vm]\nname = \"a\"\nfailure_domain = \"b\"\n[listen]\nhttp = "
             "\"127.0.0.1:1\"\npeer = \"127.0.0.1:2\"\n[claims]\nclaim_ttl_ms "
             "= 2000\n[peers]\nseeds = [\"127.0.0.1:3\"]\n"}};
}

} // namespace fuzz
