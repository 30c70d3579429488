// Runs the node's decision logic on a fake cell under random load and faults.
// Prints one line for each seed and fails if any seed breaks an invariant.
#include "random_run.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(first_seed, 1, "first seed of the series");
DEFINE_uint64(seeds, 200, "number of seeds to run");
DEFINE_int32(load_seconds, 40, "simulated seconds under load and faults");
DEFINE_bool(verbose, true,
            "print the counts of every seed, not only of failed ones");
DEFINE_bool(epoch_guard, true, "false: endpoints accept starts of any epoch");
DEFINE_string(trace, "", "request id whose events are printed, or all");
DEFINE_string(only, "",
              "kinds of fault to inject, such as entry_kills; all if empty");

namespace {

using test_support::fault_set;

struct named_fault {
    const char* name;
    bool fault_set::*enabled;
};

constexpr named_fault named_faults[] = {
    {"entry_kills", &fault_set::entry_kills},
    {"entry_freezes", &fault_set::entry_freezes},
    {"endpoint_restarts", &fault_set::endpoint_restarts},
    {"endpoint_freezes", &fault_set::endpoint_freezes},
    {"member_cuts", &fault_set::member_cuts},
    {"domain_cuts", &fault_set::domain_cuts},
    {"endpoint_cuts", &fault_set::endpoint_cuts},
    {"store_faults", &fault_set::store_faults},
    {"late_calls", &fault_set::late_calls},
    {"planned_stops", &fault_set::planned_stops},
    {"cancellations", &fault_set::cancellations}};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::uint64_t steps = 0;
    std::uint64_t failed_seeds = 0;
    for (std::uint64_t i = 0; i < FLAGS_seeds; ++i) {
        test_support::random_run_options options;
        options.seed = FLAGS_first_seed + i;
        options.load_time = std::chrono::seconds(FLAGS_load_seconds);
        options.trace = FLAGS_trace;
        options.epoch_guard = FLAGS_epoch_guard;
        for (const named_fault& fault : named_faults) {
            bool is_enabled = FLAGS_only.empty() ||
                              FLAGS_only.find(fault.name) != std::string::npos;
            options.faults.*fault.enabled = is_enabled;
        }
        auto result = test_support::run_randomly(options);
        steps += result.steps;
        failed_seeds += result.violations.empty() ? 0 : 1;
        if (FLAGS_verbose || !result.violations.empty()) {
            std::cout << "seed=" << options.seed << " steps=" << result.steps
                      << " requests=" << result.requests
                      << " starts=" << result.starts
                      << " completed=" << result.completed
                      << " failed=" << result.failed
                      << " not_run=" << result.not_run
                      << " unknown=" << result.unknown
                      << " unanswered=" << result.unanswered
                      << " jobs=" << result.jobs_finished << "/"
                      << result.jobs_accepted
                      << " violations=" << result.violations.size() << "\n";
        }
        for (const std::string& job : result.open_jobs) {
            std::cout << "  open job: " << job << "\n";
        }
        for (const std::string& violation : result.violations) {
            std::cout << "  " << violation << "\n";
        }
    }
    std::cout << "seeds=" << FLAGS_seeds << " failed=" << failed_seeds
              << " steps=" << steps << "\n";
    return failed_seeds == 0 ? 0 : 1;
}
