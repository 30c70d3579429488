// The daemon of one entry VM.
#include "eelgrasslever/daemon/process.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "TOML file with this entry VM's settings");
DEFINE_bool(check, false, "check the settings and exit: 0 good, 2 faulty");

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "runs one entry VM of eelgrasslever\n"
        "  eelgrasslever-entryd --settings entry.toml\n"
        "  eelgrasslever-entryd --settings entry.toml --check");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    constexpr int usage_error = 2;
    if (FLAGS_settings.empty()) {
        std::cerr << "--settings is missing; name a TOML file, for example "
                     "examples/bogaz-tur.toml\n";
        return usage_error;
    }
    auto settings = eelgrasslever::settings::load(FLAGS_settings);
    if (!settings) {
        for (const std::string& fault : settings.error()) {
            std::cerr << fault << "\n";
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
