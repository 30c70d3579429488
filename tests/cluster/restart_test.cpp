// Endpoints that start again under their name. What such an endpoint knew, held
// and counted in its former life is gone, and orders for that life reach it.
#include "environment.hpp"
#include "fake_fleet.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace eelgrasslever;
using test::fake_fleet;
using test::from_environment;
using test::make_job;

namespace {

constexpr base::milliseconds second{1000};
constexpr base::milliseconds millisecond{1};

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

/// A fleet of one endpoint.
struct restarting_fleet {
    explicit restarting_fleet(std::uint64_t seed = 1,
                              test::fleet_faults faults = {},
                              bool tells_lives = true)
        : fleet(seed, faults) {
        fleet.tells_lives = tells_lives;
        fleet.add_endpoint("e1", cores(64));
    }

    void expect_all_done(std::size_t starts) {
        BOOST_TEST(fleet.run_until_jobs_end(60 * second));
        fleet.run_for(2 * second);
        BOOST_TEST(fleet.starts() == starts);
        expect_no_violations(fleet);
    }

    fake_fleet fleet;
};

/// Starts for the only endpoint that there is are late. Others appear
/// afterwards, and it is given no more work.
struct late_starts_fleet : restarting_fleet {
    explicit late_starts_fleet(std::uint64_t seed,
                               base::milliseconds max_lateness = 1450 *
                                                                 millisecond)
        : restarting_fleet(seed, late_orders(max_lateness)) {
        fleet.task_duration = [](const auto&) { return 4 * second; };
        fleet.elect_leader();
        // No renewal is sent while orders are late.
        fleet.run_for(1100 * millisecond);
    }

    static test::fleet_faults late_orders(base::milliseconds max_lateness) {
        test::fleet_faults faults;
        faults.vary_late_orders = true;
        faults.max_lateness = max_lateness;
        return faults;
    }

    void submit_late(int count) {
        fleet.faults().late_order = 1.0;
        fleet.submit(make_job("a", count, 1000));
        fleet.run_for(60 * millisecond);
        fleet.faults().late_order = 0.0;
        fleet.drain_endpoint("e1");
        for (int i = 0; i < 20; ++i) {
            fleet.add_endpoint("f" + std::to_string(i), cores(64));
        }
    }

    /// The leader of @p term learns of the restart when no order for the former
    /// life is late any more.
    void restart_unseen(std::uint64_t term) {
        fleet.endpoint("e1").cut_off_from = {term};
        fleet.restart_endpoint("e1", 0 * millisecond, 20 * second);
        fleet.run_for(1500 * millisecond);
        fleet.endpoint("e1").cut_off_from.clear();
    }

    void expect_single_runs() {
        BOOST_TEST(fleet.run_until_jobs_end(60 * second));
        BOOST_TEST(
            (fleet.progress_of("a").state == workload::job_state::completed));
        expect_no_violations(fleet);
    }
};

/// Counts the log lines of each event.
struct event_counter {
    event_counter() {
        observe::set_log_listener(
            [this](const std::string& event, const observe::log_fields&) {
                counts[event]++;
            });
        observe::set_logging_enabled(false);
    }
    ~event_counter() {
        observe::set_log_listener(nullptr);
        observe::set_logging_enabled(true);
    }
    event_counter(const event_counter&) = delete;
    event_counter& operator=(const event_counter&) = delete;

    std::map<std::string, int> counts;
};

/// @return how many crashes count against the tasks of a job.
std::size_t counted_crashes(fake_fleet& fleet, const std::string& job) {
    std::size_t count = 0;
    for (const auto& [task, runs] : fleet.progress_of(job).crashed_runs) {
        count += runs.size();
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(restart)

// The numbers of ends start anew. Those up to the last one of the former life
// were dropped and acknowledged unread, and their tasks started again.
BOOST_AUTO_TEST_CASE(ends_of_the_new_life_are_taken_in) {
    restarting_fleet test;
    test.fleet.elect_leader();
    test.fleet.submit(make_job("a", 10, 1000));
    BOOST_TEST(test.fleet.run_until_jobs_end(10 * second));
    test.fleet.run_for(second);
    test.fleet.restart_endpoint("e1", 300 * millisecond, 100 * millisecond);
    test.fleet.run_for(second);
    test.fleet.submit(make_job("b", 3, 1000));
    test.expect_all_done(13);
}

// A start for the former life that the new one carries out can't be told apart
// from one that was lost with the former life.
BOOST_AUTO_TEST_CASE(run_that_the_new_life_started_goes_on) {
    for (bool ends_early : {false, true}) {
        test::fleet_faults late;
        late.vary_late_orders = true;
        late.max_lateness = 2 * second;
        restarting_fleet test(1, late);
        base::milliseconds duration =
            ends_early ? 100 * millisecond : 8 * second;
        test.fleet.task_duration = [=](const auto&) { return duration; };
        test.fleet.elect_leader();
        test.fleet.run_for(second);
        test.fleet.faults().late_order = 1.0;
        test.fleet.submit(make_job("a", 6, 1000));
        test.fleet.run_for(60 * millisecond);
        test.fleet.faults().late_order = 0.0;
        BOOST_TEST(test.fleet.starts() < 6u);
        test.fleet.endpoint("e1").cut_off_from = {1};
        test.fleet.add_endpoint("e2", cores(64));
        test.fleet.restart_endpoint("e1", 0 * millisecond, 2500 * millisecond);
        test.fleet.run_for(2200 * millisecond);
        BOOST_TEST(test.fleet.starts() == 6u);
        std::size_t alive = test.fleet.endpoint("e1").runs.size() +
                            test.fleet.endpoint("e1").completions.size();
        BOOST_TEST(alive > 0u);
        test.fleet.run_for(second);
        test.fleet.endpoint("e1").cut_off_from.clear();
        test.expect_all_done(6 + (6 - alive));
    }
}

// A start for the former life that is carried out after the new one has
// answered, with a deadline on another clock.
BOOST_AUTO_TEST_CASE(late_start_for_the_former_life_is_refused) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        test::fleet_faults late;
        late.vary_late_orders = true;
        late.max_lateness = 4 * second;
        restarting_fleet test(seed, late);
        test.fleet.task_duration = [](const auto&) { return 5 * second; };
        test.fleet.add_endpoint("e2", cores(64));
        test.fleet.elect_leader();
        test.fleet.run_for(second);
        test.fleet.faults().late_order = 1.0;
        test.fleet.submit(make_job("a", 8, 1000));
        test.fleet.run_for(40 * millisecond);
        test.fleet.faults().late_order = 0.0;
        test.fleet.restart_endpoint("e1", 100 * millisecond, 0 * millisecond);
        test.fleet.restart_endpoint("e2", 100 * millisecond, 0 * millisecond);
        BOOST_TEST(test.fleet.run_until_jobs_end(30 * second));
        test.fleet.run_for(2 * second);
        expect_no_violations(test.fleet);
    }
}

// A renewal for the former life that is carried out late would make the new one
// forget ends that nobody has read.
BOOST_AUTO_TEST_CASE(late_acknowledgement_for_the_former_life_is_refused) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        test::fleet_faults late;
        late.vary_late_orders = true;
        late.max_lateness = 3 * second;
        restarting_fleet test(seed, late);
        test.fleet.elect_leader();
        test.fleet.submit(make_job("a", 10, 1000));
        while (test.fleet.endpoint("e1").read_upto[1] < 10) {
            test.fleet.run_for(5 * millisecond);
        }
        test.fleet.faults().late_order = 1.0;
        test.fleet.run_for(200 * millisecond);
        test.fleet.faults().late_order = 0.0;
        test.fleet.restart_endpoint("e1", 100 * millisecond, 0 * millisecond);
        test.fleet.run_for(300 * millisecond);
        test.fleet.submit(make_job("b", 10, 1000));
        test.fleet.run_for(100 * millisecond);
        test.fleet.endpoint("e1").cut_off_from = {1};
        test.fleet.run_for(3 * second);
        test.fleet.endpoint("e1").cut_off_from.clear();
        test.expect_all_done(20);
    }
}

// A renewal for the former life that shows the new one must not make it forget
// ends that nobody has read.
BOOST_AUTO_TEST_CASE(ends_are_kept_until_the_new_life_is_known) {
    test::fleet_faults late;
    late.vary_late_orders = true;
    late.max_lateness = 2 * second;
    restarting_fleet test(1, late);
    test.fleet.task_duration = [](const auto&) { return 100 * millisecond; };
    test.fleet.elect_leader();
    test.fleet.submit(make_job("a", 10, 1000));
    BOOST_TEST(test.fleet.run_until_jobs_end(10 * second));
    test.fleet.run_for(second);
    test.fleet.faults().late_order = 1.0;
    test.fleet.submit(make_job("b", 6, 1000));
    test.fleet.run_for(60 * millisecond);
    test.fleet.faults().late_order = 0.0;
    test.fleet.endpoint("e1").cut_off_from = {1};
    test.fleet.restart_endpoint("e1", 0 * millisecond, 10 * second);
    test.fleet.run_for(2500 * millisecond);
    std::size_t ended = test.fleet.endpoint("e1").completions.size();
    BOOST_TEST(ended > 0u);
    test.fleet.endpoint("e1").cut_off_from.clear();
    test.expect_all_done(10 + 6 + (6 - ended));
}

// A run that was placed on the former life goes on in the new one. The leases
// that a leader passes on show the former life's as over, and the stored
// placement still names that one.
BOOST_AUTO_TEST_CASE(carried_over_run_outlives_a_leader_that_passes_leases_on) {
    for (bool cut : {false, true}) {
        test::fleet_faults late;
        late.vary_late_orders = true;
        late.max_lateness = second;
        restarting_fleet test(1, late);
        test.fleet.passes_leases_on = true;
        test.fleet.task_duration = [](const auto&) { return 8 * second; };
        test.fleet.elect_leader();
        test.fleet.run_for(second);
        test.fleet.faults().late_order = 1.0;
        test.fleet.submit(make_job("a", 6, 1000));
        test.fleet.run_for(60 * millisecond);
        test.fleet.faults().late_order = 0.0;
        // The leader learns of the new life when the late starts are through.
        test.fleet.endpoint("e1").cut_off_from = {1};
        test.fleet.restart_endpoint("e1", 0 * millisecond, 20 * second);
        test.fleet.run_for(1200 * millisecond);
        test.fleet.endpoint("e1").cut_off_from.clear();
        test.fleet.run_for(second);
        std::size_t alive = test.fleet.endpoint("e1").runs.size();
        BOOST_TEST(alive > 0u);
        for (int i = 0; i < 20; ++i) {
            test.fleet.add_endpoint("f" + std::to_string(i), cores(64));
        }
        test.fleet.run_for(500 * millisecond);
        if (cut) {
            test.fleet.endpoint("e1").cut_off_from = {2};
        }
        test.fleet.elect_leader(100 * millisecond);
        test.fleet.run_for(second);
        test.fleet.endpoint("e1").cut_off_from.clear();
        BOOST_TEST(test.fleet.endpoint("e1").runs.size() == alive);
        test.fleet.run_until_jobs_end(60 * second);
        expect_no_violations(test.fleet);
    }
}

// The new life carries out a start for the former one in time, before the
// leader loses touch with it. Its lease is longer than the former life's.
BOOST_AUTO_TEST_CASE(run_of_an_unknown_life_is_not_started_twice) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        test::fleet_faults late;
        late.vary_late_orders = true;
        late.max_lateness = 1400 * millisecond;
        restarting_fleet test(seed, late);
        test.fleet.task_duration = [](const auto&) { return 12 * second; };
        test.fleet.elect_leader();
        test.fleet.run_for(second);
        for (int i = 0; i < 20; ++i) {
            test.fleet.add_endpoint("f" + std::to_string(i), cores(64));
        }
        test.fleet.faults().late_order = 1.0;
        test.fleet.submit(make_job("a", 6, 1000));
        test.fleet.run_for(60 * millisecond);
        test.fleet.faults().late_order = 0.0;
        test.fleet.endpoint("e1").cut_off_from = {1};
        test.fleet.restart_endpoint("e1", 0 * millisecond, 20 * second);
        test.fleet.run_for(8 * second);
        test.fleet.endpoint("e1").cut_off_from.clear();
        test.fleet.run_until_jobs_end(60 * second);
        expect_no_violations(test.fleet);
    }
}

// The next leader's first answer shows the start missing, and its token keeps
// it out of that life. The life after would carry it out.
BOOST_AUTO_TEST_CASE(start_that_a_successor_misses_is_not_given_up_too_early) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        late_starts_fleet test(seed);
        test.submit_late(6);
        test.fleet.elect_leader(50 * millisecond);
        test.fleet.run_for(200 * millisecond);
        test.restart_unseen(2);
        test.expect_single_runs();
    }
}

// A stop that was confirmed keeps the start out of that life only.
BOOST_AUTO_TEST_CASE(start_that_was_stopped_is_not_given_up_too_early) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        late_starts_fleet test(seed);
        test.submit_late(6);
        test.fleet.run_for(1140 * millisecond);
        test.restart_unseen(1);
        test.expect_single_runs();
    }
}

// The endpoint doesn't restart. The wait for the deadline must end with it.
BOOST_AUTO_TEST_CASE(start_that_was_lost_is_repeated_after_its_deadline) {
    for (bool elects : {false, true}) {
        late_starts_fleet test(1, 60 * second);
        test.submit_late(6);
        if (elects) {
            test.fleet.elect_leader(50 * millisecond);
        }
        test.fleet.run_for(1400 * millisecond);
        BOOST_TEST(test.fleet.starts() == 0u);
        test.fleet.run_for(600 * millisecond);
        BOOST_TEST(test.fleet.starts() == 6u);
        test.expect_single_runs();
    }
}

// The new life, which proves the crash, is cut off for longer than its lease.
// That it answers again says nothing of the former life.
BOOST_AUTO_TEST_CASE(crash_counts_when_the_next_life_was_silent) {
    restarting_fleet test;
    test.fleet.task_duration = [](const auto&) { return 5 * second; };
    test.fleet.elect_leader();
    test.fleet.submit(make_job("a", 4, 1000));
    test.fleet.run_for(second);
    for (int i = 0; i < 20; ++i) {
        test.fleet.add_endpoint("f" + std::to_string(i), cores(64));
    }
    test.fleet.endpoint("e1").cut_off_from = {2};
    test.fleet.restart_endpoint("e1", 500 * millisecond, 0 * second);
    test.fleet.elect_leader(100 * millisecond);
    test.fleet.run_for(14 * second);
    test.fleet.endpoint("e1").cut_off_from.clear();
    test.fleet.run_for(1500 * millisecond);
    BOOST_TEST(counted_crashes(test.fleet, "a") == 4u);
    test.fleet.run_until_jobs_end(60 * second);
    expect_no_violations(test.fleet);
}

// The former life's lease runs out before the new life is seen.
BOOST_AUTO_TEST_CASE(restart_behind_a_cut_shows_after_the_lease) {
    restarting_fleet test;
    test.fleet.task_duration = [](const auto&) { return 9 * second; };
    test.fleet.elect_leader();
    test.fleet.submit(make_job("a", 4, 1000));
    test.fleet.run_for(second);
    test.fleet.add_endpoint("e2", cores(64));
    test.fleet.endpoint("e1").cut_off_from = {1};
    test.fleet.restart_endpoint("e1", 500 * millisecond, 20 * second);
    test.fleet.run_for(9 * second);
    BOOST_TEST(test.fleet.starts() == 8u);
    BOOST_TEST(counted_crashes(test.fleet, "a") == 0u);
    test.fleet.endpoint("e1").cut_off_from.clear();
    test.fleet.run_for(second);
    // The proof that the former life ended.
    BOOST_TEST(counted_crashes(test.fleet, "a") == 4u);
    test.expect_all_done(8);
}

// The stored placements name the former life. The new leader may know the new
// life before it reads them, or learn of it from a reply.
BOOST_AUTO_TEST_CASE(restart_while_the_leader_changes) {
    for (base::milliseconds registry_delay : {0 * second, 20 * second}) {
        restarting_fleet test;
        test.fleet.task_duration = [](const auto&) { return 3 * second; };
        test.fleet.elect_leader();
        test.fleet.submit(make_job("a", 4, 1000));
        test.fleet.run_for(second);
        test.fleet.add_endpoint("e2", cores(64));
        test.fleet.restart_endpoint("e1", 100 * millisecond, registry_delay);
        test.fleet.elect_leader(500 * millisecond);
        test.fleet.run_for(2 * second);
        BOOST_TEST(test.fleet.starts() == 8u);
        test.expect_all_done(8);
        BOOST_TEST(counted_crashes(test.fleet, "a") <= 4u);
    }
}

// A placement names a life that the registry doesn't show yet.
BOOST_AUTO_TEST_CASE(placement_on_a_life_that_is_not_listed_yet_goes_on) {
    restarting_fleet test;
    test.fleet.task_duration = [](const auto&) { return 6 * second; };
    test.fleet.elect_leader();
    test.fleet.run_for(second);
    auto former = test.fleet.endpoint("e1").listing;
    test.fleet.restart_endpoint("e1", 100 * millisecond, 0 * second);
    test.fleet.run_for(second);
    test.fleet.submit(make_job("a", 4, 1000));
    test.fleet.run_for(second);
    test.fleet.endpoint("e1").former_listing = former;
    test.fleet.elect_leader(100 * millisecond);
    test.fleet.run_for(second);
    BOOST_TEST(test.fleet.endpoint("e1").runs.size() == 4u);
    test.expect_all_done(4);
}

// While the store is away the registry shows the former life. Its tasks must
// not wait for a lease that can't be renewed any more.
BOOST_AUTO_TEST_CASE(restart_that_only_a_reply_shows) {
    restarting_fleet test;
    test.fleet.task_duration = [](const auto&) { return 3 * second; };
    test.fleet.elect_leader();
    test.fleet.submit(make_job("a", 4, 1000));
    test.fleet.run_for(second);
    // Tasks that may have crashed their endpoint are kept apart, on a fifth of
    // the endpoints.
    constexpr int others = 20;
    for (int i = 0; i < others; ++i) {
        test.fleet.add_endpoint("f" + std::to_string(i), cores(64));
    }
    test.fleet.restart_endpoint("e1", 100 * millisecond, 20 * second);
    test.fleet.run_for(1500 * millisecond);
    BOOST_TEST(test.fleet.starts() == 8u);
    // Without an entry the new life is renewed, but not used.
    for (int i = 0; i < others; ++i) {
        test.fleet.drain_endpoint("f" + std::to_string(i));
    }
    test.fleet.submit(make_job("b", 1, 1000));
    test.fleet.run_for(second);
    BOOST_TEST(test.fleet.starts() == 8u);
    test.fleet.list_endpoint("e1");
    test.fleet.run_for(300 * millisecond);
    BOOST_TEST(test.fleet.endpoint("e1").runs.size() == 1u);
    test.expect_all_done(9);
}

// The registry never shows the life in between.
BOOST_AUTO_TEST_CASE(two_restarts_between_two_heartbeats) {
    for (base::milliseconds between :
         {20 * millisecond, 150 * millisecond, 600 * millisecond}) {
        restarting_fleet test;
        test.fleet.task_duration = [](const auto&) { return 2 * second; };
        test.fleet.elect_leader();
        test.fleet.submit(make_job("a", 4, 1000));
        test.fleet.run_for(second);
        test.fleet.add_endpoint("e2", cores(64));
        test.fleet.restart_endpoint("e1", 50 * millisecond, second);
        test.fleet.run_for(50 * millisecond + between);
        test.fleet.restart_endpoint("e1", 50 * millisecond, second);
        test.fleet.run_for(1500 * millisecond);
        test.fleet.submit(make_job("b", 3, 1000));
        test.expect_all_done(11);
    }
}

// The new life doesn't drain.
BOOST_AUTO_TEST_CASE(restart_during_a_drain) {
    restarting_fleet test;
    test.fleet.task_duration = [](const auto&) { return 4 * second; };
    test.fleet.elect_leader();
    test.fleet.submit(make_job("a", 4, 1000));
    test.fleet.run_for(second);
    test.fleet.drain_endpoint("e1");
    test.fleet.run_for(500 * millisecond);
    test.fleet.restart_endpoint("e1", 100 * millisecond, 100 * millisecond);
    test.fleet.run_for(second);
    BOOST_TEST(test.fleet.endpoint("e1").runs.size() == 4u);
    test.expect_all_done(8);
}

// An entry of the former life, once the new one is known, is that of no
// endpoint. The runs of the new life go on.
BOOST_AUTO_TEST_CASE(entry_of_a_former_life_is_ignored) {
    restarting_fleet test;
    test.fleet.task_duration = [](const auto&) { return 2 * second; };
    test.fleet.elect_leader();
    test.fleet.run_for(second);
    auto former = test.fleet.endpoint("e1").listing;
    test.fleet.restart_endpoint("e1", 100 * millisecond, 100 * millisecond);
    test.fleet.run_for(second);
    test.fleet.submit(make_job("a", 4, 1000));
    test.fleet.run_for(300 * millisecond);
    BOOST_TEST(test.fleet.endpoint("e1").runs.size() == 4u);
    auto nameless = former;
    nameless.id = "e1";
    for (const auto& entry : {former, nameless}) {
        test.fleet.show_entry(entry);
        test.fleet.submit(make_job("for " + entry.id, 1, 1000));
        test.fleet.run_for(300 * millisecond);
        BOOST_TEST(test.fleet.starts() == 4u);
    }
    test.fleet.run_for(6 * second);
    BOOST_TEST(
        (test.fleet.progress_of("a").state == workload::job_state::completed));
    BOOST_TEST(test.fleet.starts() == 4u);
    test.fleet.list_endpoint("e1");
    test.expect_all_done(6);
}

// The restart proves a crash of the former life, with the runs that were alive
// in it.
BOOST_AUTO_TEST_CASE(crash_is_counted_once_with_the_runs_of_the_former_life) {
    for (base::milliseconds registry_delay : {0 * second, 5 * second}) {
        restarting_fleet test;
        test.fleet.task_duration = [](const auto&) { return 4 * second; };
        test.fleet.elect_leader();
        test.fleet.submit(make_job("a", 4, 1000));
        test.fleet.run_for(second);
        test.fleet.add_endpoint("e2", cores(64));
        test.fleet.restart_endpoint("e1", 200 * millisecond, registry_delay);
        test.fleet.run_for(2 * second);
        BOOST_TEST(counted_crashes(test.fleet, "a") == 4u);
        test.fleet.elect_leader(100 * millisecond);
        test.fleet.run_for(2 * second);
        BOOST_TEST(counted_crashes(test.fleet, "a") <= 4u);
        test.expect_all_done(8);
    }
}

// A task that crashes its endpoints, which start again under their names.
BOOST_AUTO_TEST_CASE(task_that_crashes_restarting_endpoints_is_given_up) {
    for (base::milliseconds outage : {100 * millisecond, 2 * second}) {
        fake_fleet fleet(1, {});
        fleet.tells_lives = true;
        fleet.crashed_endpoints_restart = true;
        fleet.crash_outage = outage;
        fleet.crashes_after = [](const workload::task_key& task)
            -> std::optional<base::milliseconds> {
            if (task.job != "deadly") {
                return std::nullopt;
            }
            return 20 * millisecond;
        };
        for (int i = 0; i < 8; ++i) {
            fleet.add_endpoint("e" + std::to_string(i), cores(4));
        }
        fleet.elect_leader();
        fleet.submit(make_job("deadly", 1, 500));
        for (int i = 0; i < 12; ++i) {
            fleet.submit(make_job("good" + std::to_string(i), 2, 500));
        }
        BOOST_TEST(fleet.run_until_jobs_end(120 * second));
        BOOST_TEST(
            (fleet.progress_of("deadly").state == workload::job_state::failed));
        BOOST_TEST(fleet.crashes_under({"deadly", 0, 0, 0}) <= 3);
        for (int i = 0; i < 12; ++i) {
            BOOST_TEST((fleet.progress_of("good" + std::to_string(i)).state ==
                        workload::job_state::completed));
        }
        expect_no_violations(fleet);
    }
}

// Records and leases of a leader that knew endpoints by their names alone: the
// life that is told now may be the same one.
BOOST_AUTO_TEST_CASE(runs_go_on_when_endpoints_begin_to_tell_their_lives) {
    for (int leaders = 1; leaders <= 2; ++leaders) {
        restarting_fleet test(1, {}, false);
        test.fleet.passes_leases_on = true;
        test.fleet.add_endpoint("e2", cores(64));
        test.fleet.task_duration = [](const auto&) { return 3 * second; };
        test.fleet.elect_leader();
        test.fleet.submit(make_job("a", 8, 1000));
        test.fleet.run_for(second);
        test.fleet.announce_lives();
        if (leaders == 2) {
            test.fleet.elect_leader(200 * millisecond);
        }
        test.fleet.run_for(second);
        BOOST_TEST(counted_crashes(test.fleet, "a") == 0u);
        test.expect_all_done(8);
    }
}

// Starts that were never carried out counted as crashes if their record named
// the endpoint without its life.
BOOST_AUTO_TEST_CASE(start_recorded_by_name_alone_proves_no_crash) {
    test::fleet_faults late;
    late.vary_late_orders = true;
    restarting_fleet test(1, late, false);
    test.fleet.elect_leader();
    test.fleet.run_for(second);
    test.fleet.faults().late_order = 1.0;
    test.fleet.submit(make_job("a", 6, 1000));
    test.fleet.run_for(60 * millisecond);
    test.fleet.faults().late_order = 0.0;
    test.fleet.announce_lives();
    test.fleet.elect_leader(100 * millisecond);
    test.fleet.run_for(100 * millisecond);
    BOOST_TEST(counted_crashes(test.fleet, "a") == 0u);
    BOOST_TEST(test.fleet.run_until_jobs_end(60 * second));
    BOOST_TEST(
        (test.fleet.progress_of("a").state == workload::job_state::completed));
    expect_no_violations(test.fleet);
}

// A successor that can't reach the endpoints knows them by another id than the
// table of leases. It must not take their leases for expired.
BOOST_AUTO_TEST_CASE(leases_by_name_alone_are_waited_for) {
    restarting_fleet test(1, {}, false);
    test.fleet.passes_leases_on = true;
    test.fleet.task_duration = [](const auto&) { return 30 * second; };
    test.fleet.elect_leader();
    test.fleet.submit(make_job("a", 4, 1000));
    test.fleet.run_for(20 * second);
    test.fleet.add_endpoint("e2", cores(64));
    test.fleet.endpoint("e1").cut_off_from = {2};
    test.fleet.announce_lives();
    test.fleet.elect_leader(100 * millisecond);
    test.fleet.run_for(20 * second);
    BOOST_TEST(test.fleet.starts() == 8u);
    expect_no_violations(test.fleet);
}

// Records name the former life of a run that was carried over. The successor's
// table showed the lease of that life as expired.
BOOST_AUTO_TEST_CASE(leases_of_the_next_life_hold_for_runs_carried_over) {
    test::fleet_faults late;
    late.vary_late_orders = true;
    late.max_lateness = second;
    restarting_fleet test(1, late);
    test.fleet.passes_leases_on = true;
    test.fleet.task_duration = [](const auto&) { return 8 * second; };
    test.fleet.elect_leader();
    test.fleet.run_for(13 * second);
    test.fleet.faults().late_order = 1.0;
    test.fleet.submit(make_job("a", 6, 1000));
    test.fleet.run_for(10 * millisecond);
    test.fleet.faults().late_order = 0.0;
    test.fleet.restart_endpoint("e1", 0 * millisecond, 20 * second);
    test.fleet.run_for(1500 * millisecond);
    std::size_t alive = test.fleet.endpoint("e1").runs.size();
    BOOST_TEST(alive > 0u);
    std::size_t starts = test.fleet.starts();
    test.fleet.add_endpoint("e2", cores(64));
    test.fleet.endpoint("e1").cut_off_from = {2};
    test.fleet.elect_leader(50 * millisecond);
    test.fleet.run_for(2 * second);
    BOOST_TEST(test.fleet.starts() == starts);
    test.fleet.endpoint("e1").cut_off_from.clear();
    BOOST_TEST(test.fleet.run_until_jobs_end(60 * second));
    expect_no_violations(test.fleet);
}

// Starts that the endpoint's list shows never to have been carried out used up
// those that a task has left after crashes, and its job failed.
BOOST_AUTO_TEST_CASE(starts_never_carried_out_are_not_limited) {
    restarting_fleet test;
    test.fleet.task_duration = [](const auto&) { return 3 * second; };
    test.fleet.elect_leader();
    test.fleet.run_for(second);
    test.fleet.submit(make_job("a", 1, 1000));
    for (int i = 0; i < 3; ++i) {
        test.fleet.run_for(1500 * millisecond);
        test.fleet.restart_endpoint("e1", 10 * millisecond, 0 * millisecond);
    }
    BOOST_TEST(test.fleet.crashes_under({"a", 0, 0, 0}) == 3);
    test.fleet.faults().late_order = 1.0;
    for (int i = 0; i < 4; ++i) {
        test.fleet.run_for(1200 * millisecond);
        test.fleet.elect_leader(50 * millisecond);
    }
    test.fleet.faults().late_order = 0.0;
    BOOST_TEST(test.fleet.starts() == 3u);
    test.expect_all_done(4);
    BOOST_TEST(
        (test.fleet.progress_of("a").state == workload::job_state::completed));
}

// The log tells a restart from two endpoints.
BOOST_AUTO_TEST_CASE(restarts_and_ignored_entries_are_logged) {
    event_counter events;
    restarting_fleet test;
    test.fleet.elect_leader();
    test.fleet.run_for(second);
    auto former = test.fleet.endpoint("e1").listing;
    test.fleet.restart_endpoint("e1", 100 * millisecond, 100 * millisecond);
    test.fleet.run_for(second);
    for (int i = 0; i < 5; ++i) {
        test.fleet.show_entry(former);
        test.fleet.run_for(100 * millisecond);
    }
    BOOST_TEST(events.counts["endpoint_restarted"] == 1);
    BOOST_TEST(events.counts["listing_ignored"] == 1);
}

namespace {

/// Restarts under the same names, mixed with other faults.
///
/// No order is late across two restarts, or later than the deadline of a start
/// (1.5 s) across one: a new life whose clock starts anew accepts it, and
/// nothing that a leader can see or send tells it apart.
class restart_scenario {
  public:
    explicit restart_scenario(std::uint64_t seed)
        : m_random(seed), m_fleet(seed, draw_faults()) {}

    void run(std::uint64_t seed) {
        m_fleet.tells_lives = true;
        m_fleet.passes_leases_on = draw_below(2) == 0;
        m_fleet.crashed_endpoints_refuse = draw_below(2) == 0;
        m_fleet.task_duration = [](const workload::task_key& key) {
            std::size_t h = std::hash<std::string>{}(key.job);
            return base::milliseconds(50 + h % 2000);
        };
        for (int i = 0; i < 6; ++i) {
            m_fleet.add_endpoint(name_of(i), cores(16));
        }
        m_fleet.elect_leader();
        for (int step = 0; step < 60; ++step) {
            act(step);
            m_fleet.run_for(base::milliseconds(50 + draw_below(400)));
        }
        m_fleet.faults().late_order = 0.0;
        for (int i = 0; i < 6; ++i) {
            m_fleet.endpoint(name_of(i)).cut_off_from.clear();
        }
        bool all_ended = m_fleet.run_until_jobs_end(90 * second);
        BOOST_TEST(all_ended, "seed " << seed << ": not ended: "
                                      << m_fleet.describe_open_jobs());
        for (const std::string& violation : m_fleet.violations()) {
            BOOST_ERROR("seed " + std::to_string(seed) + ": " + violation);
        }
    }

  private:
    std::uint64_t draw_below(std::uint64_t bound) {
        return std::uniform_int_distribution<std::uint64_t>(0, bound -
                                                                   1)(m_random);
    }

    static std::string name_of(std::uint64_t number) {
        return "e" + std::to_string(number);
    }

    test::fleet_faults draw_faults() {
        test::fleet_faults faults;
        faults.lost_reply = draw_below(2) == 0 ? 0.0 : 0.05;
        faults.late_order = 0.1 * static_cast<double>(draw_below(4));
        faults.vary_late_orders = draw_below(2) == 0;
        faults.max_lateness = max_lateness;
        if (!faults.vary_late_orders) {
            faults.late_order = 0.0;
        }
        faults.lost_stop = draw_below(2) == 0 ? 0.0 : 0.2;
        faults.store_delay = base::milliseconds(1 + draw_below(80));
        return faults;
    }

    void restart(const std::string& endpoint) {
        base::milliseconds outage(draw_below(draw_below(2) == 0 ? 100 : 4000));
        base::milliseconds registry_delay(draw_below(2000));
        base::instant& settled_at = m_settled_at[endpoint];
        if (m_fleet.faults().late_order > 0.0 && m_fleet.now() < settled_at) {
            return;
        }
        settled_at = m_fleet.now() + outage + 2 * max_lateness;
        m_fleet.restart_endpoint(endpoint, outage, registry_delay);
    }

    void act(int step) {
        std::string endpoint = name_of(draw_below(6));
        switch (draw_below(8)) {
        case 0:
        case 1:
        case 2: {
            workload::job job =
                make_job("j" + std::to_string(step),
                         1 + static_cast<int>(draw_below(12)), 1000);
            job.steps.front().gang = draw_below(5) == 0;
            m_fleet.submit(job);
            break;
        }
        case 3:
        case 4:
        case 5:
            restart(endpoint);
            break;
        case 6:
            m_fleet.elect_leader(base::milliseconds(draw_below(1000)));
            break;
        default:
            auto& cut = m_fleet.endpoint(endpoint).cut_off_from;
            if (cut.empty()) {
                cut.insert(m_fleet.term());
            } else {
                cut.clear();
            }
            break;
        }
    }

    static constexpr base::milliseconds max_lateness{1200};

    std::mt19937_64 m_random;
    fake_fleet m_fleet;
    /// When no order for a life before the latest restart can arrive any more.
    std::map<std::string, base::instant> m_settled_at;
};

} // namespace

// EEL_FIRST_SEED and EEL_SEEDS select other seeds.
BOOST_AUTO_TEST_CASE(random_restarts_violate_no_invariant) {
    std::uint64_t first = from_environment("EEL_FIRST_SEED", 1);
    std::uint64_t count = from_environment("EEL_SEEDS", 20);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        restart_scenario(seed).run(seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
