// What is learned of the speeds of endpoints, and where work goes by it.
#include "eelgrasslever/cluster/endpoint_speeds.hpp"

#include "eelgrasslever/cluster/fit.hpp"
#include "eelgrasslever/observe/log.hpp"
#include "fake_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using cluster::endpoint_speeds;
using cluster::speed_class;
using test::fake_fleet;
using test::make_job;

namespace {

constexpr base::milliseconds second{1000};

std::string name(int number) {
    return "e" + std::to_string(number);
}

/// A third of the endpoints is fast.
double speed_of_number(int number, double slow, double fast) {
    return number % 3 == 0 ? fast : slow;
}

/// Runs tasks whose estimates are off by half, one way or the other.
void run_tasks(endpoint_speeds& speeds, int endpoints, int runs, double slow,
               double fast, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> error(0.0, 0.5);
    for (int run = 0; run < runs; ++run) {
        for (int i = 0; i < endpoints; ++i) {
            double ran =
                1000.0 * error(random) / speed_of_number(i, slow, fast);
            speeds.add_run(name(i), "q", second,
                           base::milliseconds(static_cast<int>(ran)));
        }
    }
    speeds.compare();
}

cluster::fit_candidate candidate(const char* id, std::int64_t cpu_milli,
                                 int speed_preference) {
    cluster::fit_candidate out;
    out.endpoint = id;
    out.available.cpu_milli = cpu_milli;
    out.max_tasks = 100;
    out.speed_preference = speed_preference;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_speeds_suite)

// Two speeds, and estimates that are off by half: the fast third is told apart
// after some ten runs on each endpoint.
BOOST_AUTO_TEST_CASE(two_speeds_are_told_apart_though_estimates_are_rough) {
    endpoint_speeds speeds;
    run_tasks(speeds, 60, 12, 0.7, 1.7, 1);
    BOOST_TEST(speeds.is_uneven());
    int right = 0;
    for (int i = 0; i < 60; ++i) {
        bool fast = speeds.class_of(name(i)) == speed_class::fast;
        right += fast == (i % 3 == 0) ? 1 : 0;
    }
    BOOST_TEST(right >= 57);
}

// Noise alone would prefer some endpoints of an even fleet, and leave less room
// to choose from.
BOOST_AUTO_TEST_CASE(even_fleet_has_no_fast_endpoints) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        endpoint_speeds speeds;
        run_tasks(speeds, 60, 20, 1.0, 1.0, seed);
        BOOST_TEST(!speeds.is_uneven());
        BOOST_TEST((speeds.class_of("e0") == speed_class::usual));
        BOOST_TEST(speeds.factor_of("e0") == 1.0);
    }
}

// Speeds that differ by a quarter, few runs and rough estimates: the fleet
// counted as uneven for some seconds after a takeover.
BOOST_AUTO_TEST_CASE(slightly_uneven_fleet_is_served_as_an_even_one) {
    for (int runs : {4, 5, 6, 20}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            endpoint_speeds speeds;
            run_tasks(speeds, 48, runs, 0.8, 1.25, seed);
            BOOST_TEST(!speeds.is_uneven(), runs << " runs, seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(few_runs_say_nothing) {
    endpoint_speeds speeds;
    run_tasks(speeds, 60, 2, 0.7, 1.7, 1);
    BOOST_TEST(!speeds.is_uneven());
}

// Another queue's estimates are all too long by the same factor.
BOOST_AUTO_TEST_CASE(queues_with_biased_estimates_do_not_matter) {
    endpoint_speeds speeds;
    for (int run = 0; run < 20; ++run) {
        for (int i = 0; i < 30; ++i) {
            double ran = 1000.0 / speed_of_number(i, 0.7, 1.7);
            bool biased = i % 2 == 0;
            speeds.add_run(name(i), biased ? "biased" : "q",
                           biased ? 3 * second : second,
                           base::milliseconds(static_cast<int>(ran)));
        }
    }
    speeds.compare();
    for (int i = 0; i < 30; ++i) {
        bool fast = speeds.class_of(name(i)) == speed_class::fast;
        BOOST_TEST(fast == (i % 3 == 0), name(i));
    }
}

// A rack turns slow while it is in use.
BOOST_AUTO_TEST_CASE(endpoint_that_turns_slow_is_noticed) {
    endpoint_speeds speeds;
    run_tasks(speeds, 60, 20, 0.7, 1.7, 1);
    for (int run = 0; run < 25; ++run) {
        speeds.add_run("e0", "q", second, base::milliseconds(1600));
    }
    speeds.compare();
    BOOST_TEST((speeds.class_of("e0") != speed_class::fast));
}

// A kind changes under the same address.
BOOST_AUTO_TEST_CASE(next_life_of_an_endpoint_is_not_known) {
    endpoint_speeds speeds;
    run_tasks(speeds, 60, 12, 0.7, 1.7, 1);
    BOOST_REQUIRE((speeds.class_of("e0") == speed_class::fast));
    speeds.forget("e0");
    BOOST_TEST((speeds.class_of("e0") == speed_class::usual));
}

BOOST_AUTO_TEST_CASE(gang_is_not_spread_over_two_speeds_if_one_suffices) {
    std::vector<cluster::fit_candidate> candidates{candidate("fast", 9000, -1),
                                                   candidate("a", 4000, 0),
                                                   candidate("b", 4000, 0)};
    base::resources need;
    need.cpu_milli = 1000;
    for (std::size_t chosen :
         cluster::assign_gang(need, 8, candidates, false)) {
        BOOST_TEST(candidates[chosen].speed_preference == 0);
    }
    for (std::size_t chosen :
         cluster::assign_gang(need, 9, candidates, false)) {
        BOOST_TEST(candidates[chosen].speed_preference == -1);
    }
    BOOST_TEST(cluster::assign_gang(need, 17, candidates, false).size() == 17u);
}

// Urgent work over batch work on two speeds: on a slow endpoint it can't be in
// time. Placement did not tell the endpoints apart.
BOOST_AUTO_TEST_CASE(urgent_work_runs_on_fast_endpoints) {
    observe::set_logging_enabled(false);
    fake_fleet fleet(1, {});
    base::resources capacity;
    capacity.cpu_milli = 16'000;
    for (int i = 0; i < 30; ++i) {
        fleet.add_endpoint(name(i), capacity);
    }
    fleet.speed_of = [](const std::string& id) {
        return speed_of_number(std::stoi(id.substr(1)), 0.7, 1.7);
    };
    fleet.task_duration = [](const workload::task_key&) { return second; };
    fleet.elect_leader();
    constexpr int learning_turns = 150;
    constexpr int turns = 250;
    std::vector<std::string> urgent;
    std::map<std::string, base::instant> sent;
    for (int turn = 0; turn < turns; ++turn) {
        std::string number = std::to_string(turn);
        workload::job batch = make_job("b" + number, 10, 2000);
        batch.queue.priority = 2;
        batch.queue.target_latency = 20 * second;
        batch.steps.front().estimated_duration = second;
        fleet.submit(batch);
        workload::job job = make_job("u" + number, 2, 2000);
        job.queue.name = "urgent";
        job.queue.priority = 0;
        job.queue.target_latency = second;
        job.steps.front().estimated_duration = second;
        fleet.submit(job);
        if (turn >= learning_turns) {
            urgent.push_back(job.id);
            sent[job.id] = fleet.now();
        }
        fleet.run_for(second / 10);
    }
    fleet.run_until_jobs_end(60 * second);
    int quick = 0;
    for (const std::string& id : urgent) {
        // A task takes 590 ms on a fast endpoint and 1,430 ms on a slow one.
        auto ended_at = fleet.ended_at(id);
        quick += ended_at && *ended_at - sent[id] <= second ? 1 : 0;
    }
    observe::set_logging_enabled(true);
    BOOST_TEST(quick * 10 >= static_cast<int>(urgent.size()) * 9,
               quick << " of " << urgent.size());
    BOOST_TEST(fleet.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
