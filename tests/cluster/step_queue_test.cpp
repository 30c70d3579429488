#include "eelgrasslever/cluster/step_queue.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using cluster::step_queue;
using cluster::step_rank;

namespace {

constexpr base::instant now{base::milliseconds(100'000)};
constexpr base::milliseconds second{1000};

step_rank rank(const std::string& job, base::milliseconds starts_in,
               int priority = 1) {
    step_rank out;
    out.job = job;
    out.latest_start = now + starts_in;
    out.preferred_start = out.latest_start;
    out.priority = priority;
    return out;
}

std::string names(const std::vector<step_rank>& ranks) {
    std::string out;
    for (const step_rank& it : ranks) {
        out += it.job + " ";
    }
    return out;
}

double eighth(const step_rank&) {
    return 0.125;
}

} // namespace

BOOST_AUTO_TEST_SUITE(step_queue_suite)

// Steps that could no longer meet their objective kept their place ahead of
// steps that could, so that all of them became late (earliest deadline first
// under overload).
BOOST_AUTO_TEST_CASE(overdue_steps_follow_those_that_can_be_in_time) {
    step_queue queue;
    queue.insert(rank("overdue", -1 * second), false);
    queue.insert(rank("later", 5 * second), false);
    queue.insert(rank("sooner", 1 * second), false);
    BOOST_TEST(names(queue.select(now, 1.0, eighth)) ==
               "sooner later overdue ");
}

BOOST_AUTO_TEST_CASE(urgent_steps_come_first_and_ignore_the_window) {
    step_queue queue;
    queue.insert(rank("batch", second), false);
    queue.insert(rank("urgent", 9 * second, 0), false);
    queue.insert(rank("urgent-overdue", -9 * second, 0), false);
    BOOST_TEST(names(queue.select(now, 0.0, eighth)) ==
               "urgent urgent-overdue batch ");
}

// After a burst, the oldest urgent steps came first and were long useless when
// they ended, while those behind them became as late.
BOOST_AUTO_TEST_CASE(of_overdue_urgent_steps_the_latest_come_first) {
    step_queue queue;
    queue.insert(rank("oldest", -9 * second, 0), false);
    queue.insert(rank("older", -5 * second, 0), false);
    queue.insert(rank("latest", -1 * second, 0), false);
    queue.insert(rank("in-time", second, 0), false);
    BOOST_TEST(names(queue.select(now, 0.0, eighth)) ==
               "in-time oldest latest older ");
}

// A step whose last task failed would wait behind all others if it counted as
// overdue.
BOOST_AUTO_TEST_CASE(a_step_that_has_begun_does_not_become_overdue) {
    step_queue queue;
    queue.insert(rank("begun", -1 * second), true);
    queue.insert(rank("new", second), false);
    BOOST_TEST(names(queue.select(now, 1.0, eighth)) == "begun new ");
}

// All waiting steps competed for advice and for the same room (no limit on
// work in progress).
BOOST_AUTO_TEST_CASE(the_window_limits_the_selected_work) {
    step_queue queue;
    for (int i = 0; i < 100; ++i) {
        queue.insert(rank("j" + std::to_string(i), second), false);
    }
    BOOST_TEST(queue.select(now, 1.0, eighth).size() == 8u);
    BOOST_TEST(queue.size() == 100u);
}

BOOST_AUTO_TEST_CASE(an_overdue_step_is_selected_beside_any_amount_of_others) {
    step_queue queue;
    for (int i = 0; i < 100; ++i) {
        queue.insert(rank("j" + std::to_string(i), second), false);
    }
    queue.insert(rank("overdue", -1 * second), false);
    auto selected = queue.select(now, 1.0, eighth);
    BOOST_TEST(selected.back().job == "overdue");
}

BOOST_AUTO_TEST_CASE(newly_overdue_steps_are_reported_once) {
    step_queue queue;
    queue.insert(rank("a", second), false);
    queue.insert(rank("begun", second), true);
    BOOST_TEST(queue.select(now, 1.0, eighth).size() == 2u);
    BOOST_TEST(queue.take_newly_overdue().empty());
    BOOST_TEST(queue.select(now + 2 * second, 1.0, eighth).size() == 2u);
    BOOST_TEST(names(queue.take_newly_overdue()) == "a ");
    BOOST_TEST(queue.take_newly_overdue().empty());
}

BOOST_AUTO_TEST_CASE(a_deferred_step_returns_when_its_deferral_ends) {
    step_queue queue;
    queue.insert(rank("a", 9 * second), false);
    queue.defer(rank("a", 9 * second), now + second);
    BOOST_TEST(queue.select(now, 1.0, eighth).empty());
    BOOST_TEST(queue.size() == 1u);
    BOOST_TEST(names(queue.select(now + second, 1.0, eighth)) == "a ");
    queue.defer(rank("a", 9 * second), now + 3 * second);
    queue.resume_all();
    BOOST_TEST(names(queue.select(now + second, 1.0, eighth)) == "a ");
    queue.defer(rank("a", 9 * second), now + 3 * second);
    queue.erase(rank("a", 9 * second));
    BOOST_TEST(queue.size() == 0u);
    BOOST_TEST(queue.select(now + 4 * second, 1.0, eighth).empty());
}

// A deferral that was made longer by each further bound would never end.
BOOST_AUTO_TEST_CASE(a_deferral_ends_by_the_earliest_bound) {
    step_queue queue;
    queue.insert(rank("a", 9 * second), false);
    queue.insert(rank("b", 9 * second), true);
    queue.insert(rank("c", 9 * second), false);
    queue.defer(rank("a", 9 * second), now + 4 * second);
    queue.defer(rank("b", 9 * second), now + 3 * second);
    queue.defer(rank("c", 9 * second), now + second);
    queue.shorten_deferrals(now + 2 * second);
    queue.shorten_deferrals(now + 5 * second);
    BOOST_TEST(queue.size() == 3u);
    BOOST_TEST(names(queue.select(now + second, 1.0, eighth)) == "c ");
    BOOST_TEST(names(queue.select(now + 2 * second, 1.0, eighth)) == "a b c ");
    queue.defer(rank("a", 9 * second), now + 4 * second);
    queue.shorten_deferrals(now + 3 * second);
    queue.erase(rank("a", 9 * second));
    BOOST_TEST(names(queue.select(now + 4 * second, 1.0, eighth)) == "b c ");
}

// Overload that lasts: the window's share of overdue work went to the oldest
// steps, whose ends were of no use to their callers any more, and those that
// could still have been of use became hopeless behind them.
BOOST_AUTO_TEST_CASE(hopeless_steps_follow_those_that_are_still_of_use) {
    step_queue queue;
    step_rank hopeless = rank("hopeless", -9 * second);
    hopeless.latest_useful_start = now - second;
    step_rank late = rank("late", -2 * second);
    late.latest_useful_start = now + second;
    queue.insert(hopeless, false);
    queue.insert(late, false);
    queue.insert(rank("in-time", second), false);
    BOOST_TEST(names(queue.select(now, 0.2, eighth)) ==
               "in-time late hopeless ");
    BOOST_TEST(queue.size() == 3u);
    queue.erase(hopeless);
    BOOST_TEST(names(queue.select(now + 2 * second, 0.2, eighth)) ==
               "in-time late ");
    queue.erase(late);
    BOOST_TEST(queue.size() == 1u);
}

// A step without such a time, of a job without a workspace, is served as
// before.
BOOST_AUTO_TEST_CASE(overdue_steps_without_a_useful_end_keep_their_order) {
    step_queue queue;
    queue.insert(rank("older", -9 * second), false);
    queue.insert(rank("newer", -2 * second), false);
    BOOST_TEST(names(queue.select(now, 1.0, eighth)) == "older newer ");
}

BOOST_AUTO_TEST_SUITE_END()
