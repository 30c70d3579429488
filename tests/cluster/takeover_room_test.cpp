// What a new leader takes for free room on endpoints that its predecessor used.
#include "fake_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using test::fake_fleet;
using test::make_job;

namespace {

constexpr base::milliseconds second{1000};

} // namespace

BOOST_AUTO_TEST_SUITE(takeover_room)

// The next leader hears of runs of a cancelled job before it has read the
// endpoint's registry entry. It took their need, which it doesn't know, for the
// capacity, which it didn't know either, and started tasks in their room before
// they were stopped. The fleet checks the capacity at each start.
BOOST_AUTO_TEST_CASE(
    runs_of_unknown_jobs_hold_their_room_before_the_entry_is_read) {
    fake_fleet fleet(1, {});
    base::resources capacity;
    capacity.cpu_milli = 16'000;
    fleet.add_endpoint("e0", capacity);
    fleet.elect_leader();
    fleet.task_duration = [](const workload::task_key&) { return 60 * second; };
    fleet.submit(make_job("cancelled", 3, 4000));
    fleet.submit(make_job("known", 1, 1000));
    fleet.run_for(second);
    BOOST_TEST(fleet.endpoint("e0").runs.size() == 4u);
    // The stops are lost with the leader.
    fleet.faults().lost_stop = 1.0;
    fleet.cancel("cancelled");
    fleet.run_for(base::milliseconds(100));
    BOOST_TEST((fleet.progress_of("cancelled").state ==
                workload::job_state::cancelled));
    fleet.registry_read_time = base::milliseconds(50);
    fleet.elect_leader();
    fleet.submit(make_job("next", 1, 8000));
    fleet.run_for(second);
    fleet.faults().lost_stop = 0.0;
    fleet.run_for(5 * second);
    BOOST_TEST(fleet.endpoint("e0").runs.size() == 2u);
    for (const std::string& violation : fleet.violations()) {
        BOOST_ERROR(violation);
    }
}

BOOST_AUTO_TEST_SUITE_END()
