// Measures the scheduler's CPU time at a given load and number of endpoints:
//     eel-scheduler-load --endpoints 350 --jobs_per_second 150
// With --mixed_load, three classes offer that share of the capacity, and the
// report says what each class received:
//     eel-scheduler-load --mixed_load 1.1 --seconds 34 --vms 34
// The figure includes the simulated endpoints; `perf record` separates the two.
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/observe/metrics.hpp"
#include "fake_fleet.hpp"
#include "mixed_load.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_int32(endpoints, 350, "number of endpoints, 16 cores each");
DEFINE_double(jobs_per_second, 150, "jobs of 3 tasks submitted per second");
DEFINE_int32(batch_jobs, 0,
             "number of jobs of 100 tasks submitted at the start");
DEFINE_double(gangs_per_second, 0, "gangs of 16 tasks submitted per second");
DEFINE_int32(gangs, 0, "number of gangs of 16 tasks submitted at the start");
DEFINE_int32(work_ms, 500, "has no effect: tasks run for 500 to 1499 ms");
DEFINE_int32(seconds, 10, "duration of the load in simulated seconds");
DEFINE_int32(vms, 43, "number of VMs, each of which can ask for advice");
DEFINE_double(mixed_load, 0, "offered share of the capacity; 0: simple load");
DEFINE_bool(small_endpoints, false,
            "whether the mixed load is the one for endpoints of 16 cores");
DEFINE_int32(seed, 1, "seed of the mixed load");
DEFINE_bool(log, false, "whether to log the scheduler's decisions");
DEFINE_bool(advice, true, "whether the queues have an advice policy");

using namespace eelgrasslever;

namespace {

workload::job make_load_job(int number, int tasks) {
    workload::job job =
        test::make_job("j" + std::to_string(number), tasks, 2500);
    if (FLAGS_advice) {
        job.queue.advice = workload::advice_policy{
            base::milliseconds(9), std::chrono::microseconds(130),
            base::milliseconds(2000)};
    }
    return job;
}

int run_mixed() {
    auto make_load = FLAGS_small_endpoints ? test::make_gang_heavy_load
                                           : test::make_three_class_load;
    auto options = make_load(FLAGS_endpoints, FLAGS_vms, FLAGS_mixed_load);
    options.seed = static_cast<std::uint64_t>(FLAGS_seed);
    options.arrivals = std::chrono::seconds(FLAGS_seconds);
    double cpu_seconds_before = observe::read_process_usage().cpu_seconds;
    auto report = test::run_mixed_load(options);
    double cpu_seconds_used =
        observe::read_process_usage().cpu_seconds - cpu_seconds_before;
    for (const auto& [name, row] : report.classes) {
        std::cout << name << ": earned " << row.earned_share() << ", jobs "
                  << row.jobs << ", in time " << row.in_time << ", late "
                  << row.late << ", served " << row.served_share()
                  << " (largest tenth " << row.largest_served_share
                  << "), largest tenth earned " << row.largest_earned_share
                  << ", fifth below " << row.large_earned_share
                  << ", advice calls " << row.advice_calls << " for "
                  << row.steps_asked << " steps, " << row.advice_seconds
                  << " s\n";
    }
    std::cout << "room used " << report.used_share << ", claimed "
              << report.claimed_share << ", advice busy "
              << report.advice_busy_share << ", CPU " << cpu_seconds_used
              << " s, violations " << report.violations << "\n"
              << report.starts << " starts, " << report.passes << " passes, "
              << report.steps_examined << " steps examined, "
              << report.endpoints_weighed << " endpoints weighed, "
              << report.searches << " searches, "
              << report.searches_without_call << " without a call\n";
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    observe::set_logging_enabled(FLAGS_log);
    observe::set_log_limits({1'000'000, 1'000'000, 0});
    if (FLAGS_mixed_load > 0) {
        return run_mixed();
    }
    test::fake_fleet fleet(1, {});
    base::resources capacity;
    capacity.cpu_milli = 16'000;
    capacity.memory_mb = 64'000;
    for (int i = 0; i < FLAGS_endpoints; ++i) {
        fleet.add_endpoint("e" + std::to_string(i), capacity);
    }
    fleet.task_duration = [](const workload::task_key& key) {
        constexpr std::size_t duration_spread_ms = 1000;
        return base::milliseconds(500 + std::hash<std::string>{}(key.job) %
                                            duration_spread_ms);
    };
    fleet.admits = [](const workload::task_key& key, const std::string& id) {
        return std::hash<std::string>{}(key.job + id) % 10 < 7;
    };
    fleet.channels.clear();
    for (int i = 0; i < FLAGS_vms; ++i) {
        fleet.channels.push_back("vm-" + std::to_string(i));
    }
    fleet.elect_leader();
    constexpr int batch_tasks = 100;
    int next_job_number = 0;
    auto submit_gang = [&] {
        workload::job gang = make_load_job(next_job_number++, 16);
        gang.steps.front().gang = true;
        gang.steps.front().need.cpu_milli = 4500;
        gang.queue.priority = 1;
        fleet.submit(gang);
    };
    for (int i = 0; i < FLAGS_gangs; ++i) {
        submit_gang();
    }
    for (int i = 0; i < FLAGS_batch_jobs; ++i) {
        fleet.submit(make_load_job(next_job_number++, batch_tasks));
    }
    double cpu_seconds_before = observe::read_process_usage().cpu_seconds;
    double jobs_due = 0.0;
    double gangs_due = 0.0;
    constexpr base::milliseconds slice{10};
    constexpr int slices_per_second = 100;
    for (int i = 0; i < FLAGS_seconds * slices_per_second; ++i) {
        jobs_due += FLAGS_jobs_per_second / slices_per_second;
        for (; jobs_due >= 1.0; jobs_due -= 1.0) {
            fleet.submit(make_load_job(next_job_number++, 3));
        }
        gangs_due += FLAGS_gangs_per_second / slices_per_second;
        for (; gangs_due >= 1.0; gangs_due -= 1.0) {
            submit_gang();
        }
        fleet.run_for(slice);
    }
    double cpu_seconds_used =
        observe::read_process_usage().cpu_seconds - cpu_seconds_before;
    std::cout << FLAGS_endpoints << " endpoints, " << fleet.starts()
              << " starts in " << FLAGS_seconds
              << " s: " << cpu_seconds_used / FLAGS_seconds
              << " core, violations " << fleet.violations().size() << "\n";
    return 0;
}
