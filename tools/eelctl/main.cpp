// eelctl, the command line for callers and operators.
#include "commands.hpp"

#include <gflags/gflags.h>
#include <iostream>

namespace {

struct command {
    const char* name;
    int (*run)(const eelctl::arguments& args);
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
  get ID [--wait_ms N]      prints the answer, or the state of the request
  cancel ID
  explain ID                where the request waits and why, from each server
  trace TRACE_ID            prints the spans of a trace from all servers
Operators:
  keygen --out FILE         writes a secret key to FILE, prints the public key
  bundle sign FILE --operator_name NAME --key FILE --out FILE
  bundle approve FILE --operator_name NAME --key FILE --out FILE
  bundle rollout FILE       activates the bundle if its version is the next one
  bundle show
  show endpoints|members|queue|requests|health|metrics
  check SETTINGS.toml       validates a settings file without a server
  why ID LOGFILE...         merges the log lines of a job from several VMs by time

Every command takes --servers IP:port,... and --json.
Exit status: 0 success, 1 not completed or refused, 2 invalid command or file,
3 no entry VM replied.)";

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    eelctl::arguments args(argv + 1, argv + argc);
    if (args.empty()) {
        std::cerr << usage << "\n";
        return eelctl::exit_usage;
    }
    for (const command& candidate : commands) {
        if (args[0] == candidate.name) {
            args.erase(args.begin());
            return candidate.run(args);
        }
    }
    return eelctl::print_error(
        "unknown command \"" + args[0] +
            "\"; run eelctl without arguments for the list",
        eelctl::exit_usage);
}
