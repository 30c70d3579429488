// A workspace's limit becomes smaller than a task or gang that was accepted
// before. The simulated fleet checks the limit at each start.
#include "fake_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using test::fake_fleet;
using test::make_job;

namespace {

constexpr base::milliseconds second{1000};
/// Work that the limit admits has to start within this time.
constexpr base::milliseconds start_bound = 3 * second;

struct fixture {
    fixture() {
        base::resources capacity;
        capacity.cpu_milli = 16'000;
        capacity.memory_mb = 64'000;
        capacity.accelerators = 8;
        for (int i = 0; i < 6; ++i) {
            fleet.add_endpoint("e" + std::to_string(i), capacity);
        }
        fleet.task_duration = [](const workload::task_key&) {
            return 2 * second;
        };
        set_cap(16'000);
        fleet.elect_leader();
    }
    ~fixture() {
        for (const std::string& violation : fleet.violations()) {
            BOOST_ERROR(violation);
        }
    }
    void set_cap(std::int64_t cpu_milli) {
        workspace::policy policy;
        policy.name = "w";
        policy.cap.cpu_milli = cpu_milli;
        fleet.set_workspaces({policy});
    }
    /// @return a job of one step.
    [[nodiscard]] workload::job make(const std::string& id, int count,
                                     std::int64_t cpu_milli) const {
        workload::job job = make_job(id, count, cpu_milli);
        job.workspace = "w";
        job.queue.priority = 1;
        job.queue.advice = advice;
        return job;
    }
    /// @return a job whose second step takes its turn when the first has ended.
    [[nodiscard]] workload::job make_second(const std::string& id, int count,
                                            std::int64_t cpu_milli) const {
        workload::job job = make(id, 1, 1000);
        workload::step next;
        next.count = count;
        next.need.cpu_milli = cpu_milli;
        next.predecessors = {0};
        job.steps.push_back(next);
        return job;
    }
    /// Small jobs arrive while a task waits that is larger than the limit.
    void expect_turn_beside_small_jobs() {
        fleet.submit(make_second("a", 1, 6000));
        fleet.run_for(second);
        set_cap(4000);
        for (int i = 0; i < 30; ++i) {
            fleet.submit(make("small" + std::to_string(i), 1, 1000));
            fleet.run_for(base::milliseconds(400));
        }
        BOOST_TEST(has_completed("a"));
        BOOST_TEST(fleet.run_until_jobs_end(20 * second));
    }
    bool has_completed(const std::string& id) {
        return fleet.progress_of(id).state == workload::job_state::completed;
    }
    bool has_started(const std::string& id) {
        return fleet.progress_of(id).state != workload::job_state::queued;
    }
    [[nodiscard]] std::int64_t running_cpu() const {
        return fleet.running("w").cpu_milli;
    }

    std::optional<workload::advice_policy> advice; ///< of the queue
    fake_fleet fleet{1, {}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lowered_limit, fixture)

// The tasks that waited were never started, with nothing running.
BOOST_AUTO_TEST_CASE(waiting_tasks_larger_than_the_limit_run_one_by_one) {
    fleet.submit(make("a", 4, 6000));
    fleet.run_for(second);
    BOOST_TEST(running_cpu() == 12'000);
    set_cap(4000);
    for (int i = 0; i < 80; ++i) {
        fleet.run_for(second / 10);
        BOOST_TEST(running_cpu() <= (i < 15 ? 12'000 : 6000));
    }
    BOOST_TEST(has_completed("a"));
}

BOOST_AUTO_TEST_CASE(waiting_tasks_are_started_by_the_next_leader) {
    fleet.submit(make("a", 4, 6000));
    fleet.run_for(second);
    set_cap(4000);
    fleet.run_for(second / 2);
    fleet.elect_leader(second);
    fleet.run_for(10 * second);
    BOOST_TEST(has_completed("a"));
}

// The starts of placed tasks were given up because of the limit, again and
// again.
BOOST_AUTO_TEST_CASE(placed_tasks_are_started_though_the_limit_was_lowered) {
    fleet.faults().store_delay = base::milliseconds(300);
    fleet.submit(make("a", 2, 6000));
    fleet.run_for(base::milliseconds(100));
    set_cap(4000);
    fleet.run_for(start_bound);
    BOOST_TEST(fleet.starts() >= 1u);
    BOOST_TEST(fleet.run_until_jobs_end(8 * second));
}

BOOST_AUTO_TEST_CASE(lasting_task_larger_than_the_limit_starts_again) {
    workload::job job = make("a", 1, 6000);
    job.steps.front().long_running = true;
    int starts = 0;
    fleet.task_duration = [&](const workload::task_key&) {
        return starts++ == 0 ? 4 * second : 600 * second;
    };
    fleet.fails = [&](const workload::task_key&) { return starts == 1; };
    fleet.submit(job);
    fleet.run_for(2 * second);
    set_cap(4000);
    fleet.run_for(2 * second + start_bound);
    BOOST_TEST(starts == 2);
    BOOST_TEST(running_cpu() == 6000);
}

BOOST_AUTO_TEST_CASE(gang_that_passes_the_limit_by_one_member_starts) {
    workload::job job = make_second("a", 2, 3000);
    job.steps.back().gang = true;
    fleet.submit(job);
    fleet.run_for(second);
    set_cap(4000);
    fleet.run_for(2 * second);
    BOOST_TEST(running_cpu() == 6000);
    BOOST_TEST(fleet.run_until_jobs_end(start_bound));
}

BOOST_AUTO_TEST_CASE(later_step_larger_than_the_limit_starts) {
    fleet.submit(make_second("a", 1, 12'000));
    fleet.run_for(second);
    set_cap(4000);
    fleet.run_for(2 * second);
    BOOST_TEST(running_cpu() == 12'000);
    BOOST_TEST(fleet.run_until_jobs_end(start_bound));
}

BOOST_AUTO_TEST_CASE(small_jobs_leave_a_larger_task_its_turn) {
    expect_turn_beside_small_jobs();
}

// The larger task also asks for advice once its turn has come.
BOOST_AUTO_TEST_CASE(small_jobs_leave_a_larger_task_its_turn_beside_advice) {
    fleet.advice_duration = [](const cluster::advice_call&) {
        return base::milliseconds(300);
    };
    advice = workload::advice_policy{base::milliseconds(300),
                                     std::chrono::microseconds(0), 2 * second};
    expect_turn_beside_small_jobs();
}

// No start of the gang keeps the platform's rule, and a job may not be given up
// for that. It held up all later jobs of its workspace.
BOOST_AUTO_TEST_CASE(gang_far_larger_than_the_limit_holds_up_no_others) {
    workload::job job = make_second("a", 4, 3000);
    job.steps.back().gang = true;
    fleet.submit(job);
    fleet.run_for(second);
    set_cap(4000);
    fleet.run_for(2 * second);
    BOOST_TEST(running_cpu() == 0);
    fleet.submit(make("b", 1, 1000));
    fleet.run_for(start_bound);
    BOOST_TEST(has_completed("b"));
    BOOST_TEST(!has_completed("a"));
    set_cap(12'000);
    fleet.run_for(start_bound);
    BOOST_TEST(has_completed("a"));
}

// The limits on memory and accelerators are lowered.
BOOST_AUTO_TEST_CASE(other_parts_of_the_limit_admit_a_larger_task) {
    workload::job job = make("a", 3, 1000);
    job.steps.front().need.memory_mb = 6000;
    job.steps.front().need.accelerators = 2;
    workspace::policy policy;
    policy.name = "w";
    policy.cap = {0, 16'000, 6000, 2};
    fleet.set_workspaces({policy});
    fleet.submit(job);
    fleet.run_for(second);
    BOOST_TEST(running_cpu() == 1000);
    policy.cap = {0, 16'000, 4000, 1};
    fleet.set_workspaces({policy});
    fleet.run_for(8 * second);
    BOOST_TEST(has_completed("a"));
}

BOOST_AUTO_TEST_SUITE_END()
