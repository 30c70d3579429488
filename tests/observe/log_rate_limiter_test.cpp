#include "eelgrasslever/observe/log_rate_limiter.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using observe::log_rate_limiter;

namespace {

const observe::log_rate_limits limits;

} // namespace

BOOST_AUTO_TEST_SUITE(log_rate_limiter_tests)

BOOST_AUTO_TEST_CASE(a_flood_of_one_event_does_not_suppress_others) {
    log_rate_limiter limiter;
    base::instant now{base::milliseconds(1000)};
    int admitted = 0;
    for (int i = 0; i < 5000; ++i) {
        admitted += limiter.admit("task_placed", now) ? 1 : 0;
    }
    BOOST_TEST(admitted == limits.max_lines_per_event);
    BOOST_TEST(limiter.admit("leadership_lost", now));
}

BOOST_AUTO_TEST_CASE(total_lines_per_second_are_limited) {
    log_rate_limiter limiter;
    base::instant now{base::milliseconds(1000)};
    int admitted = 0;
    for (int i = 0; i < 5000; ++i) {
        admitted += limiter.admit("e" + std::to_string(i % 50), now) ? 1 : 0;
    }
    BOOST_TEST(admitted <= limits.max_lines);
    BOOST_TEST(admitted >= limits.max_lines - limits.lines_reserved_for_rare);
}

BOOST_AUTO_TEST_CASE(rare_events_are_logged_during_a_flood_of_routine_events) {
    log_rate_limiter limiter;
    base::instant now{base::milliseconds(1000)};
    for (int i = 0; i < 5000; ++i) {
        limiter.admit("routine" + std::to_string(i % 4), now);
    }
    for (int i = 0; i < log_rate_limiter::max_rare_event_lines; ++i) {
        BOOST_TEST(limiter.admit("job_submitted:refused", now));
        BOOST_TEST(limiter.admit("leadership_lost", now));
    }
}

BOOST_AUTO_TEST_CASE(dropped_lines_are_reported_once) {
    log_rate_limiter limiter;
    base::instant now{base::milliseconds(1000)};
    for (int i = 0; i < limits.max_lines_per_event + 7; ++i) {
        limiter.admit("advice", now);
    }
    BOOST_TEST(limiter.take_dropped_counts(now).empty());
    now += base::milliseconds(1000);
    auto dropped = limiter.take_dropped_counts(now);
    BOOST_REQUIRE(dropped.size() == 1u);
    BOOST_TEST(dropped.front().first == "advice");
    BOOST_TEST(dropped.front().second == 7);
    BOOST_TEST(limiter.take_dropped_counts(now).empty());
    BOOST_TEST(limiter.admit("advice", now));
}

BOOST_AUTO_TEST_SUITE_END()
