// Processor time of the scheduler at a load and a size of fleet:
//     eel-scheduler-load --endpoints 350 --jobs_per_second 150
// The simulated endpoints are included; `perf record` tells them apart.
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/observe/metrics.hpp"
#include "fake_fleet.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_int32(endpoints, 350, "endpoints of the fleet, 16 cores each");
DEFINE_double(jobs_per_second, 150, "jobs of three tasks submitted a second");
DEFINE_int32(batch_jobs, 0, "jobs of 100 tasks submitted at the start");
DEFINE_double(gangs_per_second, 0, "gangs of 16 tasks submitted a second");
DEFINE_int32(gangs, 0, "such gangs submitted at the start");
DEFINE_int32(work_ms, 500, "shortest work of a task; up to 1 s more");
DEFINE_int32(seconds, 10, "simulated time of the load");
DEFINE_int32(vms, 43, "VMs, each of which can ask for advice");
DEFINE_bool(advice, true, "whether the queues need advice");

using namespace eelgrasslever;

namespace {

workload::job drawn_job(int number, int tasks) {
    workload::job out =
        test::make_job("j" + std::to_string(number), tasks, 2500);
    if (FLAGS_advice) {
        out.queue.advice = workload::advice_policy{
            base::milliseconds(9), std::chrono::microseconds(130),
            base::milliseconds(2000)};
    }
    return out;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    observe::set_logging_enabled(false);
    test::fake_fleet fleet(1, {});
    base::resources room;
    room.cpu_milli = 16'000;
    room.memory_mb = 64'000;
    for (int i = 0; i < FLAGS_endpoints; ++i) {
        fleet.add_endpoint("e" + std::to_string(i), room);
    }
    fleet.task_duration = [](const workload::task_key& key) {
        constexpr std::size_t spread = 1000;
        return base::milliseconds(500 +
                                  std::hash<std::string>{}(key.job) % spread);
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
    int number = 0;
    auto submit_gang = [&] {
        workload::job gang = drawn_job(number++, 16);
        gang.steps.front().gang = true;
        gang.steps.front().need.cpu_milli = 4500;
        gang.queue.priority = 1;
        fleet.submit(gang);
    };
    for (int i = 0; i < FLAGS_gangs; ++i) {
        submit_gang();
    }
    for (int i = 0; i < FLAGS_batch_jobs; ++i) {
        fleet.submit(drawn_job(number++, batch_tasks));
    }
    double before = observe::read_process_usage().cpu_seconds;
    double due = 0.0;
    double gangs_due = 0.0;
    constexpr base::milliseconds slice{10};
    constexpr int slices_a_second = 100;
    for (int i = 0; i < FLAGS_seconds * slices_a_second; ++i) {
        due += FLAGS_jobs_per_second / slices_a_second;
        for (; due >= 1.0; due -= 1.0) {
            fleet.submit(drawn_job(number++, 3));
        }
        gangs_due += FLAGS_gangs_per_second / slices_a_second;
        for (; gangs_due >= 1.0; gangs_due -= 1.0) {
            submit_gang();
        }
        fleet.run_for(slice);
    }
    double used = observe::read_process_usage().cpu_seconds - before;
    std::cout << FLAGS_endpoints << " endpoints, " << fleet.starts()
              << " starts in " << FLAGS_seconds
              << " s: " << used / FLAGS_seconds << " core, violations "
              << fleet.violations().size() << "\n";
    return 0;
}
