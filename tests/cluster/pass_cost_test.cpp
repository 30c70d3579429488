// What placement passes cost while work waits for room that doesn't come.
#include "fake_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;

namespace {

constexpr base::milliseconds second{1000};

} // namespace

BOOST_AUTO_TEST_SUITE(pass_cost)

// Guards against a leader without processor time: each pass worked the room of
// every waiting gang out anew, though little had changed since the last one, so
// that urgent work, which causes the passes, waited for them. Pattern: gangs in
// a busy fleet beside a stream of short urgent work.
BOOST_AUTO_TEST_CASE(waiting_gangs_cost_the_same_however_many_passes_are_made) {
    constexpr int endpoints = 60;
    constexpr int gangs = 10;
    constexpr int urgent_jobs = 100;
    constexpr int seconds = 2;
    /// The room of a gang may change a tenth in this time.
    constexpr int searches_per_second = 20;
    /// For room at once, and for room later.
    constexpr int kinds_of_search = 2;

    test::fake_fleet fleet(1, {});
    base::resources room;
    room.cpu_milli = 16'000;
    room.memory_mb = 64'000;
    for (int i = 0; i < endpoints; ++i) {
        fleet.add_endpoint("e" + std::to_string(i), room);
    }
    fleet.task_duration = [](const workload::task_key& task) {
        return task.job.starts_with("urgent") ? base::milliseconds(100)
                                              : 600 * second;
    };
    fleet.elect_leader();
    auto submit = [&](const std::string& id, int tasks, int cpu_milli,
                      int priority) {
        workload::job job = test::make_job(id, tasks, cpu_milli);
        job.queue.name = id.substr(0, 3);
        job.queue.priority = priority;
        job.queue.target_latency = 600 * second;
        job.steps.front().estimated_duration = 2 * second;
        job.steps.front().gang = id.starts_with("gang");
        fleet.submit(std::move(job));
    };
    submit("filler", endpoints, 11'000, 1);
    fleet.run_for(second);
    for (int i = 0; i < gangs; ++i) {
        submit("gang" + std::to_string(i), 2, 13'000, 1);
    }
    fleet.run_for(second);
    (void)fleet.leader().take_statistics(fleet.now());
    for (int i = 0; i < urgent_jobs; ++i) {
        submit("urgent" + std::to_string(i), 1, 1000, 0);
        fleet.run_for(seconds * second / urgent_jobs);
    }
    auto statistics = fleet.leader().take_statistics(fleet.now());
    BOOST_TEST(statistics.passes > 80u);
    BOOST_TEST(statistics.steps_ready >= static_cast<std::size_t>(gangs));
    constexpr int for_gangs =
        gangs * seconds * searches_per_second * kinds_of_search * endpoints;
    constexpr int for_urgent_work = urgent_jobs * endpoints;
    BOOST_TEST(statistics.endpoints_weighed <=
               static_cast<std::size_t>(for_gangs + for_urgent_work));
    BOOST_TEST(fleet.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
