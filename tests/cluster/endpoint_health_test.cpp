#include "eelgrasslever/cluster/endpoint_health.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using cluster::endpoint_health;

namespace {

struct fixture {
    void fail(int times, bool task_failed_before = false) {
        for (int i = 0; i < times; ++i) {
            health.on_run_failed("e", task_failed_before, now);
        }
    }

    endpoint_health health;
    base::instant now{base::milliseconds(100'000)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_health_suite, fixture)

BOOST_AUTO_TEST_CASE(consecutive_failures_quarantine_an_endpoint_temporarily) {
    fail(endpoint_health::failure_threshold - 1);
    BOOST_TEST(!health.is_suspected("e", now));
    fail(1);
    BOOST_TEST(health.is_suspected("e", now));
    BOOST_TEST(
        !health.is_suspected("e", now + endpoint_health::initial_backoff));
}

BOOST_AUTO_TEST_CASE(a_successful_run_resets_the_failure_count) {
    fail(endpoint_health::failure_threshold - 1);
    health.on_run_done("e");
    fail(endpoint_health::failure_threshold - 1);
    BOOST_TEST(!health.is_suspected("e", now));
}

BOOST_AUTO_TEST_CASE(repeated_failures_of_one_task_do_not_count) {
    fail(10 * endpoint_health::failure_threshold, true);
    BOOST_TEST(!health.is_suspected("e", now));
}

BOOST_AUTO_TEST_CASE(the_quarantine_doubles_up_to_a_maximum) {
    auto expected = endpoint_health::initial_backoff;
    for (int i = 0; i < 6; ++i) {
        health.on_run_stalled("e", now);
        BOOST_TEST(
            health.is_suspected("e", now + expected - base::milliseconds(1)));
        BOOST_TEST(!health.is_suspected("e", now + expected));
        now += expected;
        expected = std::min(2 * expected, endpoint_health::max_backoff);
    }
}

BOOST_AUTO_TEST_SUITE_END()
