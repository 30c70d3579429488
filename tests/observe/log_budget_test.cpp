#include "eelgrasslever/observe/log_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using observe::log_budget;

namespace {

const observe::log_limits limits;

} // namespace

BOOST_AUTO_TEST_SUITE(budget)

BOOST_AUTO_TEST_CASE(a_flood_of_one_event_leaves_room_for_others) {
    log_budget budget;
    base::instant now{base::milliseconds(1000)};
    int admitted = 0;
    for (int i = 0; i < 5000; ++i) {
        admitted += budget.admit("task_placed", now) ? 1 : 0;
    }
    BOOST_TEST(admitted == limits.per_event);
    BOOST_TEST(budget.admit("leadership_lost", now));
}

BOOST_AUTO_TEST_CASE(lines_in_all_are_bounded) {
    log_budget budget;
    base::instant now{base::milliseconds(1000)};
    int admitted = 0;
    for (int i = 0; i < 5000; ++i) {
        admitted += budget.admit("e" + std::to_string(i % 50), now) ? 1 : 0;
    }
    BOOST_TEST(admitted <= limits.in_all);
    BOOST_TEST(admitted >= limits.in_all - limits.for_rare);
}

BOOST_AUTO_TEST_CASE(rare_events_have_lines_left_in_any_flood) {
    log_budget budget;
    base::instant now{base::milliseconds(1000)};
    for (int i = 0; i < 5000; ++i) {
        budget.admit("routine" + std::to_string(i % 4), now);
    }
    for (int i = 0; i < log_budget::rare_lines; ++i) {
        BOOST_TEST(budget.admit("job_submitted:refused", now));
        BOOST_TEST(budget.admit("leadership_lost", now));
    }
}

BOOST_AUTO_TEST_CASE(what_was_left_out_is_reported_once) {
    log_budget budget;
    base::instant now{base::milliseconds(1000)};
    for (int i = 0; i < limits.per_event + 7; ++i) {
        budget.admit("advice", now);
    }
    BOOST_TEST(budget.take_dropped(now).empty());
    now += base::milliseconds(1000);
    auto dropped = budget.take_dropped(now);
    BOOST_REQUIRE(dropped.size() == 1u);
    BOOST_TEST(dropped.front().first == "advice");
    BOOST_TEST(dropped.front().second == 7);
    BOOST_TEST(budget.take_dropped(now).empty());
    BOOST_TEST(budget.admit("advice", now));
}

BOOST_AUTO_TEST_SUITE_END()
