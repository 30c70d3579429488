// Loads of unlike classes that compete for room and for advice.
#include "eelgrasslever/observe/log.hpp"
#include "mixed_load.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;

namespace {

struct fleet_size {
    int endpoints{100};
    int vms{10};
};
/// The widest gangs need more endpoints that admit them than 100 offer.
constexpr fleet_size large_fleet{350, 34};

test::mixed_load_report run(double load, std::uint64_t seed,
                            fleet_size size = {}) {
    observe::set_logging_enabled(false);
    auto options = test::make_three_class_load(size.endpoints, size.vms, load);
    options.seed = seed;
    options.arrivals = std::chrono::seconds(30);
    auto report = test::run_mixed_load(options);
    observe::set_logging_enabled(true);
    return report;
}

void expect_earned(const test::mixed_load_report& report, double floor,
                   std::uint64_t seed) {
    BOOST_TEST(report.violations == 0u);
    for (const auto& [name, row] : report.classes) {
        BOOST_TEST(row.earned_share() >= floor,
                   name << " earned " << row.earned_share() << " of its worth, "
                        << floor << " is due; seed " << seed);
    }
}

/// More work than fits: 1.1 times the room with the bursts.
test::mixed_load_report run_gang_heavy(std::uint64_t seed) {
    observe::set_logging_enabled(false);
    auto options = test::make_gang_heavy_load(540, 97, 1.0);
    options.seed = seed;
    options.arrivals = std::chrono::seconds(41);
    auto report = test::run_mixed_load(options);
    observe::set_logging_enabled(true);
    return report;
}

/// Expects the largest tenth of a class and the fifth below it to earn as much
/// of what the class earns as the users ask for.
void expect_largest_earn_their_share(const test::mixed_load_report& report,
                                     const std::vector<std::string>& classes,
                                     std::uint64_t seed) {
    constexpr double target_ratio = 0.7;
    BOOST_TEST(report.violations == 0u);
    for (const std::string& name : classes) {
        const test::class_report& row = report.classes.at(name);
        double due = target_ratio * row.earned_share();
        BOOST_TEST(row.largest_earned_share >= due,
                   name << ": largest tenth " << row.largest_earned_share
                        << ", all " << row.earned_share() << "; seed " << seed);
        BOOST_TEST(row.large_earned_share >= due,
                   name << ": fifth below the largest tenth "
                        << row.large_earned_share << ", all "
                        << row.earned_share() << "; seed " << seed);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(overload)

// Room was reserved for gangs and tickets lapsed unused, so that gangs missed
// their objective although the room sufficed for all work.
BOOST_AUTO_TEST_CASE(every_class_is_served_while_the_room_suffices) {
    constexpr double target_worth = 0.55;
    for (std::uint64_t seed : {1, 2, 3}) {
        expect_earned(run(0.9, seed), target_worth, seed);
    }
}

// Work past its objective and gangs without room kept ahead of work that could
// still be in time; the class of the lowest rank got next to nothing.
BOOST_AUTO_TEST_CASE(no_class_falls_below_its_floor_under_overload) {
    constexpr double highest_class_floor = 0.35;
    for (std::uint64_t seed : {1, 2, 3}) {
        expect_earned(run(1.5, seed), highest_class_floor, seed);
    }
}

// Wide gangs need much room at the same time, and narrower work that started
// as soon as it could kept them from ever getting it.
BOOST_AUTO_TEST_CASE(the_largest_jobs_are_served_half_as_often_at_least) {
    for (std::uint64_t seed : {1, 2}) {
        for (const auto& [name, row] : run(1.1, seed, large_fleet).classes) {
            BOOST_TEST(row.largest_served_share >= 0.5 * row.served_share(),
                       name << ": " << row.largest_served_share
                            << " of the largest tenth served, of all "
                            << row.served_share() << "; seed " << seed);
        }
    }
}

// Steps asked again and again about room that others took before the reply.
// Two calls suffice: one to learn which endpoints admit the step, and one for
// new tickets once they have room.
BOOST_AUTO_TEST_CASE(a_step_is_asked_about_twice_at_most_on_average) {
    for (std::uint64_t seed : {1, 2, 3}) {
        for (const auto& [name, row] : run(1.2, seed).classes) {
            BOOST_TEST(row.advice_calls <= 2 * row.steps_asked,
                       name << ": " << row.advice_calls << " calls for "
                            << row.steps_asked << " steps; seed " << seed);
        }
    }
}

// Pattern: wide gangs offer half of the load, with a burst, on endpoints that
// hold three of their tasks. Room stood idle while gangs waited for tickets and
// for the rest of their room, and each endpoint kept a part free that was too
// small for any task.
BOOST_AUTO_TEST_CASE(wide_gangs_on_small_endpoints_leave_no_room_idle) {
    constexpr double target_served = 0.95;
    observe::set_logging_enabled(false);
    for (std::uint64_t seed : {1, 2}) {
        auto options = test::make_gang_heavy_load(540, 97, 0.88);
        options.seed = seed;
        options.arrivals = std::chrono::seconds(41);
        auto report = test::run_mixed_load(options);
        BOOST_TEST(report.violations == 0u);
        for (const auto& [name, row] : report.classes) {
            BOOST_TEST(row.served_share() >= target_served,
                       name << ": served " << row.served_share() << "; seed "
                            << seed);
            BOOST_TEST(row.largest_served_share >= 0.5 * row.served_share(),
                       name << ": largest tenth " << row.largest_served_share
                            << "; seed " << seed);
        }
    }
    observe::set_logging_enabled(true);
}

// Pattern: with bursts, more work than fits, half of it gangs of up to 120
// tasks. Wide gangs learned of their endpoints one call after another and found
// their room taken, so that they were overdue before they could start.
BOOST_AUTO_TEST_CASE(the_largest_gangs_earn_their_share_under_overload) {
    for (std::uint64_t seed : {1, 2, 3}) {
        expect_largest_earn_their_share(run_gang_heavy(seed), {"gang"}, seed);
    }
}

// Likewise for the widest batch steps, whose last tasks find no room in time.
BOOST_AUTO_TEST_CASE(the_largest_jobs_earn_their_share_under_overload) {
    for (std::uint64_t seed : {1, 2, 3}) {
        expect_largest_earn_their_share(run_gang_heavy(seed),
                                        {"gang", "batch", "urgent"}, seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
