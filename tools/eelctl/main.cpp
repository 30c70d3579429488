// Command line for operators and callers.
#include "commands.hpp"

#include <gflags/gflags.h>
#include <iostream>

namespace {

struct command {
    const char* name;
    int (*run)(const eelctl::arguments& words);
};

const command commands[] = {
    {"keygen", &eelctl::keygen}, {"bundle", &eelctl::bundle},
    {"submit", &eelctl::submit}, {"get", &eelctl::get},
    {"cancel", &eelctl::cancel}, {"explain", &eelctl::explain},
    {"trace", &eelctl::trace},   {"show", &eelctl::show},
    {"check", &eelctl::check},   {"why", &eelctl::why},
};

const char* const usage = R"(eelctl COMMAND [flags]

Callers:
  submit --id ID --team TEAM [--kind urgent|service|batch|gang] [--tasks N]
         [--run_ms N] [--deadline_ms N] [--attempt N] [--norepeatable]
  get ID [--wait_ms N]      the answer, or where the request is
  cancel ID
  explain ID                where it waits and why, as each server sees it
  trace TRACE_ID            the spans of one request, joined
Operators:
  keygen --out FILE         makes a key; prints the public half
  bundle sign FILE --operator_name NAME --key FILE --out FILE
  bundle approve FILE --operator_name NAME --key FILE --out FILE
  bundle rollout FILE       puts it in force if it follows the present one
  bundle show
  show endpoints|members|queue|requests|health|metrics
  check SETTINGS.toml       checks settings without a server
  why ID LOGFILE...         what the logs of several VMs say of one job, in order

Every command takes --servers IP:port,... and --json.
Exit status: 0 good, 1 not completed or refused, 2 faulty command or file,
3 no entry VM answered.)";

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    eelctl::arguments words(argv + 1, argv + argc);
    if (words.empty()) {
        std::cerr << usage << "\n";
        return eelctl::exit_usage;
    }
    for (const command& item : commands) {
        if (words[0] == item.name) {
            words.erase(words.begin());
            return item.run(words);
        }
    }
    return eelctl::complain("no command \"" + words[0] +
                                "\"; run eelctl without words for the list",
                            eelctl::exit_usage);
}
