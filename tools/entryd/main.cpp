// eelgrasslever-entryd, the daemon of an entry VM.
#include "eelgrasslever/daemon/process.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "TOML file with the settings of this entry VM");
DEFINE_bool(check, false,
            "validate the settings and exit with 0 (valid) or 2 (invalid)");

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "runs one entry VM of eelgrasslever\n"
        "  eelgrasslever-entryd --settings entry.toml\n"
        "  eelgrasslever-entryd --settings entry.toml --check");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    constexpr int usage_error = 2;
    if (FLAGS_settings.empty()) {
        std::cerr << "--settings is required: a TOML file, for example "
                     "examples/bogaz-tur.toml\n";
        return usage_error;
    }
    auto settings = eelgrasslever::settings::load(FLAGS_settings);
    if (!settings) {
        for (const std::string& error : settings.error()) {
            std::cerr << error << "\n";
        }
        return usage_error;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": good\n";
        return 0;
    }
    eelgrasslever::observe::start_logging("eelgrasslever-entryd");
    return eelgrasslever::daemon::run_entry(*settings);
}
