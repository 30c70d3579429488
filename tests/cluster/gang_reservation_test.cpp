// Work that waits beside room that gangs will use.
#include "fake_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using test::fake_fleet;
using test::make_job;

namespace {

constexpr base::milliseconds second{1000};
constexpr base::milliseconds millisecond{1};

/// Two endpoints of 16 cores, on each of which 10 are in use for two seconds,
/// and a gang that needs 13 of each. The rest is kept for urgent work.
struct waiting_gang {
    waiting_gang() {
        base::resources room;
        room.cpu_milli = 16'000;
        room.memory_mb = 64'000;
        fleet.add_endpoint("e0", room);
        fleet.add_endpoint("e1", room);
        fleet.task_duration = [](const workload::task_key& task) {
            return task.job == "service" ? 600 * second
                   : task.job == "short" ? 300 * millisecond
                                         : 2 * second;
        };
        fleet.elect_leader();
        submit("filler", 2, 10'000, 2 * second, 1);
        fleet.run_for(200 * millisecond);
        workload::job gang = describe("gang", 2, 13'000, 2 * second, 1);
        gang.steps.front().gang = true;
        fleet.submit(gang);
        fleet.run_for(100 * millisecond);
    }

    static workload::job describe(const std::string& id, int tasks,
                                  std::int64_t cpu_milli,
                                  base::milliseconds estimate, int priority) {
        workload::job job = make_job(id, tasks, cpu_milli);
        job.queue.name = id;
        job.queue.priority = priority;
        job.queue.target_latency = 20 * second;
        job.steps.front().estimated_duration = estimate;
        return job;
    }

    void submit(const std::string& id, int tasks, std::int64_t cpu_milli,
                base::milliseconds estimate, int priority) {
        fleet.submit(describe(id, tasks, cpu_milli, estimate, priority));
    }

    [[nodiscard]] bool has_run(const std::string& job) {
        const auto& endpoints = fleet.endpoints();
        return std::any_of(
            endpoints.begin(), endpoints.end(), [&](const auto& row) {
                const auto& runs = row.second.runs;
                return std::any_of(runs.begin(), runs.end(), [&](auto& run) {
                    return run.first.task.job == job;
                });
            });
    }

    fake_fleet fleet{1, {}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(gang_reservation)

// Room claimed for a gang stood idle although work could be done before.
BOOST_AUTO_TEST_CASE(short_work_runs_before_a_gang_in_its_room) {
    waiting_gang test;
    test.submit("short", 2, 3400, 300 * millisecond, 2);
    test.fleet.run_for(150 * millisecond);
    BOOST_TEST(test.has_run("short"));
    test.fleet.run_for(1850 * millisecond);
    BOOST_TEST(test.has_run("gang"));
}

// Work that would delay the gang waits for it.
BOOST_AUTO_TEST_CASE(longer_work_does_not_delay_a_gang) {
    waiting_gang test;
    test.submit("batch", 2, 3400, 5 * second, 2);
    test.fleet.run_for(2 * second);
    BOOST_TEST(!test.has_run("batch"));
    BOOST_TEST(test.has_run("gang"));
}

// A task that lasts took the room of a gang for good if its estimate was short.
BOOST_AUTO_TEST_CASE(lasting_work_does_not_count_on_its_estimate) {
    waiting_gang test;
    workload::job job =
        waiting_gang::describe("service", 2, 3400, 100 * millisecond, 2);
    job.steps.front().long_running = true;
    job.queue.target_latency = 60 * second; // the gang comes first
    test.fleet.submit(job);
    test.fleet.run_for(2 * second);
    BOOST_TEST(!test.has_run("service"));
    BOOST_TEST(test.has_run("gang"));
}

BOOST_AUTO_TEST_SUITE_END()
