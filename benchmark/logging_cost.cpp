// Measures the CPU time of the scheduler's decisions with and without logging.
// Log lines go to standard output, results to standard error:
//     eel-logging-cost | cat >/dev/null
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/observe/metrics.hpp"
#include "fake_fleet.hpp"

#include <iostream>

using namespace eelgrasslever;

namespace {

struct run_totals {
    double cpu_seconds{0.0};
    std::size_t jobs{0};
    std::size_t starts{0};
    std::size_t lines{0};
};

/// Simulates 400 jobs of three tasks each on 20 endpoints and adds the CPU
/// time, jobs and starts to `totals`.
void run_simulation(std::uint64_t seed, bool is_logging_enabled,
                    run_totals& totals) {
    constexpr int endpoints = 20;
    constexpr int jobs = 400;
    constexpr base::milliseconds time_limit{60'000};
    observe::set_logging_enabled(is_logging_enabled);
    test::fake_fleet fleet(seed, {});
    base::resources capacity;
    capacity.cpu_milli = 8000;
    capacity.memory_mb = 32'000;
    for (int i = 0; i < endpoints; ++i) {
        fleet.add_endpoint("e" + std::to_string(i), capacity);
    }
    fleet.task_duration = [](const workload::task_key&) {
        return base::milliseconds(300);
    };
    fleet.elect_leader();
    double cpu_seconds_before = observe::read_process_usage().cpu_seconds;
    for (int i = 0; i < jobs; ++i) {
        fleet.submit(test::make_job("j" + std::to_string(i), 3, 1000));
    }
    fleet.run_until_jobs_end(time_limit);
    totals.cpu_seconds +=
        observe::read_process_usage().cpu_seconds - cpu_seconds_before;
    totals.jobs += jobs;
    totals.starts += fleet.starts();
}

void print_totals(const char* name, const run_totals& totals) {
    constexpr double microseconds_per_second = 1e6;
    std::cerr << name << ": "
              << totals.cpu_seconds * microseconds_per_second /
                     static_cast<double>(totals.jobs)
              << " us of CPU time per job, "
              << static_cast<double>(totals.lines) /
                     static_cast<double>(totals.jobs)
              << " log lines per job\n";
}

} // namespace

int main() {
    observe::start_logging("logging_cost");
    // Simulated time runs faster than real time, so the limits on log lines per
    // second would suppress most lines.
    constexpr int unlimited_lines = 1'000'000'000;
    observe::set_log_limits({unlimited_lines, unlimited_lines, 0});
    run_totals without_logging;
    run_totals with_logging;
    observe::set_log_listener(
        [&](const std::string&, const observe::log_fields&) {
            with_logging.lines++;
        });
    constexpr std::uint64_t rounds = 10;
    for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
        std::size_t lines_before = with_logging.lines;
        run_simulation(seed, false, without_logging);
        with_logging.lines = lines_before;
        run_simulation(seed, true, with_logging);
    }
    print_totals("without logging", without_logging);
    print_totals("with logging", with_logging);
    return 0;
}
