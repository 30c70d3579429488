// A task is not started while an earlier run of it may be alive, or may have
// ended with a completion that is acknowledged later.
#include "fake_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using test::fake_fleet;
using test::make_job;

namespace {

constexpr base::milliseconds second{1000};

base::resources cores(std::int64_t count) {
    base::resources out;
    out.cpu_milli = count * 1000;
    out.memory_mb = 64'000;
    return out;
}

void expect_no_violations(const fake_fleet& fleet) {
    for (const std::string& violation : fleet.violations()) {
        BOOST_ERROR(violation);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(single_run)

// An endpoint lists 500 completions at a time. A run whose completion came
// after those was in neither list and counted as missing, so that its task was
// started elsewhere although it was done.
BOOST_AUTO_TEST_CASE(completions_that_are_not_listed_yet_are_not_missing_runs) {
    test::fleet_faults slow_store;
    slow_store.store_delay = base::milliseconds(200);
    fake_fleet fleet(1, slow_store);
    fleet.add_endpoint("e1", cores(64));
    fleet.elect_leader();
    fleet.submit(make_job("a", 500, 100));
    fleet.submit(make_job("b", 140, 100));
    fleet.run_for(base::milliseconds(500));
    BOOST_TEST(fleet.endpoint("e1").runs.size() == 640u);
    fleet.add_endpoint("e2", cores(64));
    fleet.drain_endpoint("e1");
    while (!fleet.endpoint("e1").runs.empty()) {
        fleet.run_for(base::milliseconds(5));
    }
    fleet.run_for(base::milliseconds(200));
    fleet.endpoint("e1").reachable = false;
    fleet.run_for(second);
    fleet.endpoint("e1").reachable = true;
    BOOST_TEST(fleet.run_until_jobs_end(10 * second));
    fleet.run_for(second);
    BOOST_TEST(fleet.starts() == 640u);
    expect_no_violations(fleet);
}

// A leader that had not been allowed to order for a minute took its reading of
// a slow clock for recent and gave up a start while the endpoint still accepted
// it.
BOOST_AUTO_TEST_CASE(a_start_by_an_old_clock_reading_is_not_given_up_early) {
    test::fleet_faults faults;
    faults.late_order = 1.0;
    faults.lost_stop = 1.0;
    faults.store_delay = base::milliseconds(0);
    fake_fleet fleet(5, faults);
    fleet.task_duration = [](const auto&) { return 10 * second; };
    fleet.add_endpoint("e1", cores(4)).clock_percent = 98;
    fleet.elect_leader();
    fleet.run_for(second);
    fleet.may_order = false;
    fleet.run_for(60 * second);
    fleet.submit(make_job("a", 1, 1000));
    fleet.may_order = true;
    fleet.run_for(base::milliseconds(100));
    fleet.faults().late_order = 0.0;
    BOOST_TEST(fleet.run_until_jobs_end(30 * second));
    BOOST_TEST(fleet.starts() == 1u);
    expect_no_violations(fleet);
}

// A former leader that is cut off from the store goes on renewing the lease of
// an endpoint that its successors can't reach.
BOOST_AUTO_TEST_CASE(a_lease_that_a_former_leader_renews_is_waited_for) {
    for (int successors = 1; successors <= 2; ++successors) {
        fake_fleet fleet(2, {});
        fleet.task_duration = [](const auto&) { return 30 * second; };
        fleet.add_endpoint("e1", cores(4)).clock_percent = 98;
        fleet.elect_leader();
        fleet.submit(make_job("a", 4, 1000));
        fleet.run_for(second);
        fleet.add_endpoint("e2", cores(4));
        fleet.endpoint("e1").cut_off_from = {2, 3};
        fleet.supersede_leader();
        if (successors == 2) {
            fleet.run_for(second);
            fleet.elect_leader();
        }
        fleet.run_for(20 * second);
        BOOST_TEST(fleet.starts() == 8u);
        expect_no_violations(fleet);
    }
}

// The same for two former leaders in a row, of which the second one reaches the
// endpoint until the last moment.
BOOST_AUTO_TEST_CASE(
    a_lease_that_the_last_but_one_leader_renews_is_waited_for) {
    fake_fleet fleet(3, {});
    fleet.task_duration = [](const auto&) { return 20 * second; };
    fleet.add_endpoint("e1", cores(4)).clock_percent = 98;
    fleet.elect_leader();
    fleet.submit(make_job("a", 4, 1000));
    fleet.run_for(second);
    fleet.add_endpoint("e2", cores(4));
    fleet.endpoint("e1").cut_off_from = {3};
    fleet.supersede_leader();
    fleet.run_for(3 * second);
    fleet.supersede_leader();
    fleet.run_for(25 * second);
    BOOST_TEST(fleet.starts() == 8u);
    expect_no_violations(fleet);
}

// An endpoint with a slow clock falls silent at any time of its renewals.
BOOST_AUTO_TEST_CASE(
    the_lease_of_a_silent_endpoint_with_a_slow_clock_is_waited_for) {
    for (int offset = 0; offset < 1200; offset += 50) {
        fake_fleet fleet(4, {});
        fleet.task_duration = [](const auto&) { return 30 * second; };
        fleet.add_endpoint("e1", cores(4)).clock_percent = 98;
        fleet.run_for(60 * second);
        fleet.elect_leader();
        fleet.submit(make_job("a", 4, 1000));
        fleet.run_for(second + base::milliseconds(offset));
        fleet.add_endpoint("e2", cores(4));
        fleet.endpoint("e1").reachable = false;
        fleet.run_for(10 * second);
        BOOST_TEST(fleet.starts() == 8u);
        expect_no_violations(fleet);
    }
}

// A leader knows no lease of an endpoint that has just answered it for the
// first time. If it passed that on, its successor would start the tasks again
// while the lease of an earlier leader runs on.
BOOST_AUTO_TEST_CASE(leases_of_an_endpoint_without_a_renewal_are_passed_on) {
    fake_fleet fleet(6, {});
    fleet.passes_leases_on = true;
    fleet.task_duration = [](const auto&) { return 30 * second; };
    fleet.add_endpoint("e1", cores(4));
    fleet.elect_leader();
    fleet.submit(make_job("a", 4, 1000));
    fleet.run_for(second);
    fleet.add_endpoint("e2", cores(4));
    fleet.elect_leader();
    fleet.run_for(base::milliseconds(5));
    fleet.may_order = false;
    fleet.run_for(base::milliseconds(10));
    BOOST_TEST(fleet.leader().endpoints().at("e1").inventoried);
    fleet.may_order = true;
    fleet.endpoint("e1").reachable = false;
    fleet.elect_leader();
    fleet.run_for(10 * second);
    BOOST_TEST(fleet.starts() == 8u);
    expect_no_violations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()
