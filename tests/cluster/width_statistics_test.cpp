// What the scheduler reports of steps by their width.
#include "fake_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using test::fake_fleet;
using test::make_job;

namespace {

constexpr base::milliseconds second{1000};

workload::job make_step_of(const std::string& id, int tasks) {
    workload::job job = make_job(id, tasks, 4000);
    job.queue.name = "nightly";
    job.queue.priority = 1;
    return job;
}

} // namespace

BOOST_AUTO_TEST_SUITE(width_statistics)

BOOST_AUTO_TEST_CASE(a_band_begins_at_a_power_of_two) {
    BOOST_TEST(cluster::width_band(0) == 0);
    BOOST_TEST(cluster::width_band(1) == 1);
    BOOST_TEST(cluster::width_band(15) == 8);
    BOOST_TEST(cluster::width_band(16) == 16);
}

// Counts by queue hid that the widest steps waited ten times as long.
BOOST_AUTO_TEST_CASE(waits_are_counted_by_width) {
    fake_fleet fleet(1, {});
    base::resources room;
    room.cpu_milli = 16'000;
    room.memory_mb = 64'000;
    fleet.add_endpoint("e", room);
    fleet.task_duration = [](const auto&) { return 5 * second; };
    fleet.elect_leader();
    fleet.submit(make_step_of("narrow", 2));
    fleet.submit(make_step_of("wide", 20));
    fleet.run_for(3 * second);
    auto counts = fleet.leader().take_statistics(fleet.now()).widths;
    auto narrow = counts[{"nightly", 2}];
    BOOST_TEST(narrow.started == 1u);
    BOOST_TEST(narrow.waiting == 0u);
    auto wide = counts[{"nightly", 16}];
    BOOST_TEST(wide.started == 0u);
    BOOST_TEST(wide.waiting == 1u);
    BOOST_TEST((wide.longest_wait >= 2 * second));
    BOOST_TEST((wide.longest_wait <= 3 * second));

    fleet.run_for(60 * second);
    counts = fleet.leader().take_statistics(fleet.now()).widths;
    wide = counts[{"nightly", 16}];
    BOOST_TEST(wide.started == 1u);
    BOOST_TEST((wide.waited >= 10 * second));
    BOOST_TEST(wide.waiting == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
