// Loads of workspaces that compete, on a simulated fleet that checks the limits
// at each start.
#include "fake_fleet.hpp"

#include "eelgrasslever/cluster/limited_steps.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using cluster::step_rank;
using test::fake_fleet;
using test::make_job;

namespace {

constexpr base::milliseconds second{1000};

workspace::policy make_policy(const std::string& name, std::int64_t cpu_cap,
                              double weight = 0.0) {
    workspace::policy policy;
    policy.name = name;
    policy.cap.cpu_milli = cpu_cap;
    policy.weight = weight;
    return policy;
}

struct fixture {
    fixture() {
        base::resources capacity;
        capacity.cpu_milli = 16'000;
        for (int i = 0; i < 4; ++i) {
            fleet.add_endpoint("e" + std::to_string(i), capacity);
        }
    }
    ~fixture() {
        for (const std::string& violation : fleet.violations()) {
            BOOST_ERROR(violation);
        }
    }
    void submit(const std::string& id, const std::string& workspace, int count,
                std::int64_t cpu_milli, int priority = 1, bool gang = false) {
        workload::job job = make_job(id, count, cpu_milli);
        job.workspace = workspace;
        job.queue.priority = priority;
        job.steps.front().gang = gang;
        job.accepted_at = std::chrono::sys_time<base::milliseconds>(
            fleet.now().time_since_epoch());
        fleet.submit(job);
    }
    bool has_completed(const std::string& id) {
        return fleet.progress_of(id).state == workload::job_state::completed;
    }

    fake_fleet fleet{1, {}};
};

step_rank rank(const std::string& job, int place, int priority = 1) {
    step_rank out;
    out.job = job;
    out.preferred_start = base::instant(base::milliseconds(place));
    out.priority = priority;
    return out;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(workspace_limits, fixture)

// One workspace floods an idle fleet. Nothing kept it below its limit.
BOOST_AUTO_TEST_CASE(flood_of_one_workspace_stays_below_its_limit) {
    fleet.set_workspaces({make_policy("flood", 8000), make_policy("calm", 0)});
    fleet.elect_leader();
    for (int i = 0; i < 20; ++i) {
        submit("f" + std::to_string(i), "flood", 4, 1000);
    }
    fleet.run_for(second / 5);
    BOOST_TEST(fleet.running("flood").cpu_milli == 8000);
    submit("c", "calm", 8, 2000);
    fleet.run_for(second);
    BOOST_TEST(has_completed("c"));
    BOOST_TEST(fleet.run_until_jobs_end(30 * second));
}

// A wide gang waits for a narrow limit: narrow jobs of its workspace that come
// later would use up what becomes free again and again.
BOOST_AUTO_TEST_CASE(wide_gang_is_not_starved_beside_a_narrow_limit) {
    fleet.set_workspaces({make_policy("w", 8000)});
    fleet.elect_leader();
    for (int i = 0; i < 4; ++i) {
        submit("first" + std::to_string(i), "w", 2, 1000);
    }
    fleet.run_for(second / 5);
    submit("gang", "w", 7, 1000, 1, true);
    for (int i = 0; i < 40; ++i) {
        fleet.run_for(second / 10);
        submit("n" + std::to_string(i), "w", 1, 1000);
    }
    BOOST_TEST(has_completed("gang"));
    BOOST_TEST(fleet.run_until_jobs_end(60 * second));
}

// The limit is lowered while starts are under way.
BOOST_AUTO_TEST_CASE(lowered_limit_stops_no_work_and_starts_none) {
    fleet.task_duration = [](const workload::task_key&) { return 3 * second; };
    fleet.set_workspaces({make_policy("w", 16'000)});
    fleet.elect_leader();
    submit("a", "w", 16, 1000);
    fleet.run_for(second);
    BOOST_TEST(fleet.running("w").cpu_milli == 16'000);
    fleet.set_workspaces({make_policy("w", 4000)});
    submit("b", "w", 4, 1000);
    fleet.run_for(second);
    BOOST_TEST(fleet.running("w").cpu_milli == 16'000);
    BOOST_TEST(fleet.run_until_jobs_end(30 * second));
    BOOST_TEST(has_completed("a"));
}

BOOST_AUTO_TEST_CASE(raised_limit_takes_effect_at_once) {
    fleet.task_duration = [](const workload::task_key&) { return 5 * second; };
    fleet.set_workspaces({make_policy("w", 2000)});
    fleet.elect_leader();
    submit("a", "w", 8, 1000);
    fleet.run_for(second);
    BOOST_TEST(fleet.running("w").cpu_milli == 2000);
    fleet.set_workspaces({make_policy("w", 8000)});
    fleet.run_for(second);
    BOOST_TEST(fleet.running("w").cpu_milli == 8000);
}

// A new leader started work beside runs of the workspace that its predecessor
// had started on an endpoint that can't be asked.
BOOST_AUTO_TEST_CASE(takeover_counts_runs_that_may_be_alive) {
    fleet.task_duration = [](const workload::task_key&) { return 4 * second; };
    fleet.set_workspaces({make_policy("w", 6000)});
    fleet.elect_leader();
    submit("a", "w", 6, 1000);
    fleet.run_for(second);
    BOOST_TEST(fleet.running("w").cpu_milli == 6000);
    for (int i = 0; i < 4; ++i) {
        std::string id = "e" + std::to_string(i);
        fleet.endpoint(id).reachable = fleet.endpoint(id).runs.empty();
    }
    fleet.elect_leader();
    submit("b", "w", 6, 1000);
    fleet.run_for(2 * second);
    BOOST_TEST(fleet.running("w").cpu_milli <= 6600);
    for (int i = 0; i < 4; ++i) {
        fleet.endpoint("e" + std::to_string(i)).reachable = true;
    }
    BOOST_TEST(fleet.run_until_jobs_end(60 * second));
}

// A new leader doesn't know whose limit the runs of an ended job count against,
// and starts work of the workspace beside them before they are stopped.
BOOST_AUTO_TEST_CASE(takeover_counts_runs_of_ended_jobs) {
    fleet.task_duration = [](const workload::task_key&) { return 60 * second; };
    fleet.set_workspaces({make_policy("w", 8000)});
    fleet.elect_leader();
    submit("a", "w", 8, 1000);
    fleet.run_for(second);
    BOOST_TEST(fleet.running("w").cpu_milli == 8000);
    fleet.faults().lost_stop = 1.0;
    fleet.cancel("a");
    fleet.run_for(second / 10);
    fleet.elect_leader();
    submit("b", "w", 8, 1000);
    fleet.run_for(second);
    BOOST_TEST(fleet.running("w").cpu_milli <= 8800);
}

// Beside a full fleet, what a flooding workspace sends beyond its rate delayed
// the jobs that others sent after it.
BOOST_AUTO_TEST_CASE(surplus_waits_behind_the_work_of_others) {
    fleet.task_duration = [](const workload::task_key&) { return second; };
    fleet.set_workspaces(
        {make_policy("flood", 0, 1.0), make_policy("calm", 0, 1.0)});
    fleet.elect_leader();
    for (int i = 0; i < 40; ++i) {
        submit("f" + std::to_string(i), "flood", 16, 2000);
    }
    fleet.run_for(second / 2);
    submit("c", "calm", 16, 2000);
    fleet.run_for(3 * second);
    BOOST_TEST(has_completed("c"));
    BOOST_TEST(fleet.run_until_jobs_end(60 * second));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(limited_steps_suite)

BOOST_AUTO_TEST_CASE(later_steps_follow_the_first_that_is_not_admitted) {
    cluster::limited_steps steps;
    auto always = [](const step_rank&) { return true; };
    steps.insert("w", rank("gang", 1), true);
    steps.insert("w", rank("narrow", 2), true);
    steps.insert("w", rank("urgent", 3, 0), true);
    BOOST_TEST(steps.must_follow("w", rank("later", 9)));
    BOOST_TEST(!steps.must_follow("w", rank("earlier", 0)));
    BOOST_TEST(!steps.must_follow("w", rank("urgent-later", 9, 0)));
    BOOST_TEST(!steps.must_follow("other", rank("later", 9)));
    auto released = steps.release(
        "w", {[](const step_rank& it) { return it.job != "gang"; }, always});
    BOOST_REQUIRE(released.size() == 1u);
    BOOST_TEST(released.front().job == "urgent");
    BOOST_TEST(steps.count("w") == 2u);
    released = steps.release("w", {always, always});
    BOOST_TEST(released.size() == 2u);
    BOOST_TEST(steps.workspaces().empty());
}

// A step that its limit can't admit at all held up those that came later.
BOOST_AUTO_TEST_CASE(inadmissible_steps_hold_up_no_others) {
    cluster::limited_steps steps;
    auto always = [](const step_rank&) { return true; };
    auto not_wide = [](const step_rank& it) { return it.job != "wide"; };
    steps.insert("w", rank("wide", 1), false);
    BOOST_TEST(!steps.must_follow("w", rank("later", 9)));
    steps.insert("w", rank("narrow", 2), true);
    auto released = steps.release("w", {not_wide, not_wide});
    BOOST_REQUIRE(released.size() == 1u);
    BOOST_TEST(released.front().job == "narrow");
    BOOST_TEST(steps.count("w") == 1u);
    // The limit is raised.
    BOOST_TEST(steps.release("w", {not_wide, always}).empty());
    BOOST_TEST(steps.must_follow("w", rank("later", 9)));
    // And lowered.
    BOOST_TEST(steps.release("w", {not_wide, not_wide}).empty());
    BOOST_TEST(!steps.must_follow("w", rank("later", 9)));
    steps.erase("w", rank("wide", 1));
    BOOST_TEST(steps.count("w") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
