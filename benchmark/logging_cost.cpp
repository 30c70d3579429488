// Processor time of the scheduler's decisions with and without their log lines.
// Lines go to standard output, figures to standard error:
//     logging_cost | cat >/dev/null
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/observe/metrics.hpp"
#include "fake_fleet.hpp"

#include <iostream>

using namespace eelgrasslever;

namespace {

struct cost {
    double cpu_seconds{0.0};
    std::size_t jobs{0};
    std::size_t starts{0};
    std::size_t lines{0};
};

/// Plays jobs of three tasks on 20 endpoints and adds up what that took.
void play(std::uint64_t seed, bool logged, cost& into) {
    constexpr int endpoints = 20;
    constexpr int jobs = 400;
    constexpr base::milliseconds limit{60'000};
    observe::set_logging_enabled(logged);
    test::fake_fleet fleet(seed, {});
    base::resources room;
    room.cpu_milli = 8000;
    room.memory_mb = 32'000;
    for (int i = 0; i < endpoints; ++i) {
        fleet.add_endpoint("e" + std::to_string(i), room);
    }
    fleet.task_duration = [](const workload::task_key&) {
        return base::milliseconds(300);
    };
    fleet.elect_leader();
    double before = observe::read_process_usage().cpu_seconds;
    for (int i = 0; i < jobs; ++i) {
        fleet.submit(test::make_job("j" + std::to_string(i), 3, 1000));
    }
    fleet.run_until_jobs_end(limit);
    into.cpu_seconds += observe::read_process_usage().cpu_seconds - before;
    into.jobs += jobs;
    into.starts += fleet.starts();
}

void print(const char* name, const cost& of) {
    constexpr double microseconds_per_second = 1e6;
    std::cerr << name << ": "
              << of.cpu_seconds * microseconds_per_second /
                     static_cast<double>(of.jobs)
              << " us a job, "
              << static_cast<double>(of.lines) / static_cast<double>(of.jobs)
              << " lines a job\n";
}

} // namespace

int main() {
    observe::start_logging("logging_cost");
    // The days pass faster than real time, so that the budget of a second would
    // leave out most lines.
    constexpr int unlimited = 1'000'000'000;
    observe::set_log_limits({unlimited, unlimited, 0});
    cost without;
    cost with;
    observe::set_log_listener(
        [&](const std::string&, const observe::log_fields&) { with.lines++; });
    constexpr std::uint64_t rounds = 10;
    for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
        std::size_t lines = with.lines;
        play(seed, false, without);
        with.lines = lines;
        play(seed, true, with);
    }
    print("without lines", without);
    print("with lines", with);
    return 0;
}
