// Later versions of the configuration change the policies of queues whose jobs
// were accepted before.
#include "fake_fleet.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using test::fake_fleet;
using test::make_job;
using workload::job_state;

namespace {

constexpr base::milliseconds second{1000};
/// Work must run within this time beside free room.
constexpr base::milliseconds start_bound{3000};

enum class job_shape { single, wide, gang, lasting };

std::ostream& operator<<(std::ostream& out, job_shape shape) {
    static constexpr const char* names[] = {"single", "wide", "gang",
                                            "lasting"};
    return out << names[static_cast<std::size_t>(shape)];
}

const auto shapes = boost::unit_test::data::make(
    {job_shape::single, job_shape::wide, job_shape::gang, job_shape::lasting});

workload::advice_policy slow_advice() {
    return {base::milliseconds(1500), std::chrono::microseconds(0),
            base::milliseconds(2500)};
}

/// Two services of four endpoints with eight cores each. The queue "q" is sent
/// from "full" to "idle".
struct fixture {
    fixture() {
        policy.name = "q";
        policy.service = "full";
        policy.max_attempts = 3;
        policy.priority = 1;
        for (int i = 0; i < 8; ++i) {
            base::resources capacity;
            capacity.cpu_milli = 8000;
            fleet.add_endpoint("e" + std::to_string(i), capacity,
                               i < 4 ? "full" : "idle");
        }
        fleet.task_duration = [](const workload::task_key&) {
            return 60 * second;
        };
        fleet.set_queues({policy});
        fleet.elect_leader();
    }
    ~fixture() {
        for (const std::string& violation : fleet.violations()) {
            BOOST_ERROR(violation);
        }
    }

    workload::job make(const std::string& id, job_shape shape) const {
        int count = shape == job_shape::single ? 1 : 8;
        workload::job job = make_job(id, count, 2000);
        job.steps.front().gang = shape == job_shape::gang;
        job.steps.front().long_running = shape == job_shape::lasting;
        job.queue = policy;
        job.configuration_version = fleet.configuration_version();
        return job;
    }
    void submit(const std::string& id, job_shape shape = job_shape::single) {
        fleet.submit(make(id, shape));
    }
    /// Occupies the service with tasks of another queue.
    void fill(const std::string& service) {
        workload::job job = make_job("fill-" + service, 4, 8000);
        job.queue.name = "fill";
        job.queue.service = service;
        fleet.submit(job);
        fleet.run_for(second);
    }
    void change(const std::string& service) {
        policy.service = service;
        fleet.set_queues({policy});
    }
    /// @return how many tasks of the job run on endpoints of the service.
    int count_running(const std::string& id, const std::string& service) {
        int count = 0;
        for (const auto& [name, endpoint] : fleet.endpoints()) {
            for (const auto& [key, run] : endpoint.runs) {
                count += key.task.job == id && !endpoint.gone &&
                         endpoint.listing.service == service;
            }
        }
        return count;
    }

    workload::queue_policy policy; ///< of "q" in the newest version
    fake_fleet fleet{1, {}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(queue_change, fixture)

// Jobs waited forever for the service that their queue had when they were
// accepted, beside the idle one that it was sent to.
BOOST_DATA_TEST_CASE(waiting_tasks_follow_their_queue, shapes, shape) {
    fill("full");
    submit("a", shape);
    fleet.run_for(10 * second);
    BOOST_TEST(count_running("a", "full") == 0);
    change("idle");
    fleet.run_for(start_bound);
    BOOST_TEST(count_running("a", "idle") ==
               (shape == job_shape::single ? 1 : 8));
}

// A new leader read the former service from the jobs' records.
BOOST_DATA_TEST_CASE(next_leader_places_by_the_newest_policy,
                     boost::unit_test::data::make({true, false}),
                     changes_first) {
    fill("full");
    submit("a");
    fleet.run_for(second);
    if (changes_first) {
        change("idle");
    }
    fleet.elect_leader();
    fleet.run_for(changes_first ? base::milliseconds(0) : second);
    if (!changes_first) {
        change("idle");
    }
    fleet.run_for(start_bound);
    BOOST_TEST(count_running("a", "idle") == 1);
}

// The VM that accepts a job may have read the configuration before the leader,
// which would start the job at the former service.
BOOST_AUTO_TEST_CASE(job_accepted_under_a_newer_version_keeps_its_policy) {
    workload::job job = make("a", job_shape::single);
    job.queue.service = "idle";
    job.configuration_version++;
    fleet.submit(job);
    fleet.run_for(second);
    BOOST_TEST(count_running("a", "idle") == 1);
    fleet.elect_leader();
    workload::job next = job;
    next.id = "b";
    fleet.submit(next);
    fleet.run_for(second);
    BOOST_TEST(count_running("b", "idle") == 1);
}

// Records of earlier product versions don't say which configuration they are
// from; the leader's one applies.
BOOST_AUTO_TEST_CASE(job_without_a_version_follows_its_queue) {
    workload::job job = make("a", job_shape::single);
    job.configuration_version = 0;
    change("idle");
    fleet.submit(job);
    fleet.run_for(second);
    BOOST_TEST(count_running("a", "idle") == 1);
}

// Work that ran at the former service must neither be stopped nor started a
// second time; only a run that is lost is placed at the new one.
BOOST_DATA_TEST_CASE(running_tasks_go_on_at_the_former_service, shapes, shape) {
    int count = shape == job_shape::single ? 1 : 8;
    submit("a", shape);
    fleet.run_for(second);
    BOOST_TEST(count_running("a", "full") == count);
    change("idle");
    fleet.run_for(5 * second);
    fleet.elect_leader(second);
    fleet.run_for(5 * second);
    BOOST_TEST(count_running("a", "full") == count);
    BOOST_TEST(fleet.starts() == static_cast<std::size_t>(count));
}

// A task that had to be started again waited for the former service.
BOOST_AUTO_TEST_CASE(lost_runs_are_started_at_the_new_service) {
    submit("a", job_shape::lasting);
    fleet.run_for(second);
    change("idle");
    fleet.run_for(second);
    for (const char* id : {"e0", "e1", "e2", "e3"}) {
        fleet.crash_endpoint(id, second);
    }
    fleet.run_for(10 * second);
    BOOST_TEST(count_running("a", "full") == 0);
    BOOST_TEST(count_running("a", "idle") == 8);
}

// The queue changed while a placement was being stored, and the start was sent
// to the former service afterwards.
BOOST_DATA_TEST_CASE(placements_that_are_being_stored_are_abandoned, shapes,
                     shape) {
    fleet.faults().store_delay = base::milliseconds(500);
    submit("a", shape);
    fleet.run_for(base::milliseconds(200));
    BOOST_TEST(fleet.starts() == 0u);
    change("idle");
    fleet.run_for(start_bound);
    int count = shape == job_shape::single ? 1 : 8;
    BOOST_TEST(count_running("a", "full") == 0);
    BOOST_TEST(count_running("a", "idle") == count);
    BOOST_TEST(fleet.starts() == static_cast<std::size_t>(count));
}

// The start at the former service got no reply and was carried out late, beside
// a run at the new one. The fleet checks that there is one run at a time.
BOOST_DATA_TEST_CASE(starts_on_their_way_are_settled_first, shapes, shape) {
    fleet.faults().late_order = 1.0;
    submit("a", shape);
    fleet.run_for(base::milliseconds(100));
    fleet.faults().late_order = 0.0;
    change("idle");
    fleet.run_for(12 * second);
    int count = shape == job_shape::single ? 1 : 8;
    BOOST_TEST(count_running("a", "full") + count_running("a", "idle") ==
               count);
}

// A queue was taken out of the configuration and came back with another
// service; its jobs kept the former one.
BOOST_AUTO_TEST_CASE(jobs_of_an_absent_queue_wait_for_its_return) {
    fill("full");
    submit("a");
    fleet.set_queues({});
    fleet.run_for(6 * second);
    BOOST_TEST(count_running("a", "idle") == 0);
    change("idle");
    fleet.run_for(start_bound);
    BOOST_TEST(count_running("a", "idle") == 1);
}

// The jobs of a queue that was removed for good must not be forgotten.
BOOST_AUTO_TEST_CASE(jobs_of_a_removed_queue_keep_their_policy) {
    submit("before");
    fleet.set_queues({});
    submit("after");
    fleet.run_for(second);
    BOOST_TEST(count_running("before", "full") == 1);
    BOOST_TEST(count_running("after", "full") == 1);
    fleet.elect_leader();
    submit("later");
    fleet.run_for(second);
    BOOST_TEST(count_running("later", "full") == 1);
}

// Several versions between two passes: only the last one counts.
BOOST_AUTO_TEST_CASE(queue_that_moves_back_stays) {
    fill("full");
    submit("a", job_shape::gang);
    fleet.run_for(second);
    change("idle");
    change("nowhere");
    change("full");
    fleet.run_for(start_bound);
    BOOST_TEST(count_running("a", "idle") == 0);
    change("nowhere");
    fleet.run_for(second);
    change("idle");
    fleet.run_for(start_bound);
    BOOST_TEST(count_running("a", "idle") == 8);
}

// The endpoints of the new service come later than the change.
BOOST_AUTO_TEST_CASE(new_service_may_be_empty_at_first) {
    fill("full");
    submit("a", job_shape::wide);
    change("later");
    fleet.run_for(6 * second);
    base::resources capacity;
    capacity.cpu_milli = 16'000;
    fleet.add_endpoint("e8", capacity, "later");
    fleet.run_for(start_bound);
    BOOST_TEST(count_running("a", "later") == 8);
}

// Two routes of one name with different services: it can't be told which one a
// job came through, so that it keeps the policy of its record.
BOOST_AUTO_TEST_CASE(ambiguous_queue_changes_no_job) {
    workload::queue_policy other = policy;
    other.service = "idle";
    cluster::queue_table table(2, {{"a", "/", policy}, {"b", "/", other}});
    BOOST_TEST((table.find_policy("q") == nullptr));
    cluster::queue_table same(2, {{"a", "/", other}, {"b", "/", other}});
    BOOST_REQUIRE((same.find_policy("q") != nullptr));
    BOOST_TEST(same.find_policy("q")->service == "idle");
}

// A gang of the queue reserved room at the former service, which other work
// could not use after the change.
BOOST_AUTO_TEST_CASE(room_of_a_moved_gang_becomes_free) {
    fleet.task_duration = [](const workload::task_key& key) {
        return key.job == "half" ? 4 * second : 60 * second;
    };
    workload::job half = make("half", job_shape::wide);
    half.steps.front().need.cpu_milli = 4000;
    half.steps.front().count = 4;
    half.steps.front().estimated_duration = 4 * second;
    fleet.submit(half);
    fleet.run_for(base::milliseconds(100));
    workload::job gang = make("gang", job_shape::gang);
    gang.steps.front().count = 16;
    gang.steps.front().estimated_duration = 60 * second;
    fleet.submit(gang);
    fleet.run_for(second);
    BOOST_TEST(count_running("gang", "full") == 0);
    change("idle");
    workload::job other = make("other", job_shape::wide);
    other.queue.name = "r";
    other.queue.service = "full";
    other.steps.front().estimated_duration = 60 * second;
    fleet.submit(other);
    fleet.run_for(start_bound);
    BOOST_TEST(count_running("gang", "idle") == 16);
    BOOST_TEST(count_running("other", "full") == 8);
}

// A step that was accepted without advice had no ticket once its queue asked
// for one, so that every start was rejected.
BOOST_DATA_TEST_CASE(waiting_tasks_ask_for_advice_that_is_new, shapes, shape) {
    fill("full");
    submit("a", shape);
    fleet.run_for(second);
    policy.advice = workload::advice_policy{base::milliseconds(10),
                                            std::chrono::microseconds(100),
                                            base::milliseconds(2500)};
    std::set<std::string> admitted{"e4", "e5"};
    fleet.admits = [&](const workload::task_key&, const std::string& id) {
        return admitted.contains(id);
    };
    change("idle");
    fleet.run_for(start_bound);
    int count = shape == job_shape::single ? 1 : 8;
    int on_admitted = 0;
    for (const std::string& id : admitted) {
        on_admitted += static_cast<int>(fleet.endpoint(id).runs.size());
    }
    BOOST_TEST(on_admitted == count);
}

// A step waited for tickets that its queue does not need any more.
BOOST_DATA_TEST_CASE(waiting_tasks_need_no_advice_any_more, shapes, shape) {
    policy.advice = slow_advice();
    fleet.set_queues({policy});
    fleet.answers_advice = [](const std::string&) { return false; };
    submit("a", shape);
    fleet.run_for(4 * second);
    BOOST_TEST(count_running("a", "full") == 0);
    policy.advice.reset();
    fleet.set_queues({policy});
    fleet.run_for(second);
    BOOST_TEST(count_running("a", "full") ==
               (shape == job_shape::single ? 1 : 8));
}

// A call about endpoints of the former service delayed the one about those of
// the new service.
BOOST_DATA_TEST_CASE(calls_about_the_former_service_delay_nothing, shapes,
                     shape) {
    policy.advice = slow_advice();
    fleet.set_queues({policy});
    fleet.answers_advice = [this](const std::string&) {
        return policy.service == "idle";
    };
    fleet.advice_duration = [](const cluster::advice_call&) {
        return slow_advice().fixed_call_time;
    };
    submit("a", shape);
    fleet.run_for(base::milliseconds(100));
    change("idle");
    fleet.run_for(start_bound);
    BOOST_TEST(count_running("a", "idle") ==
               (shape == job_shape::single ? 1 : 8));
}

// The pause after a reply that admits no endpoint of the former service delayed
// the call about those of the new service.
BOOST_DATA_TEST_CASE(rejections_by_the_former_service_delay_nothing, shapes,
                     shape) {
    policy.advice = slow_advice();
    fleet.set_queues({policy});
    fleet.admits = [](const workload::task_key&, const std::string& id) {
        return id >= "e4";
    };
    fleet.advice_duration = [](const cluster::advice_call&) {
        return slow_advice().fixed_call_time;
    };
    submit("a", shape);
    fleet.run_for(slow_advice().fixed_call_time + base::milliseconds(200));
    change("idle");
    fleet.run_for(start_bound);
    BOOST_TEST(count_running("a", "idle") ==
               (shape == job_shape::single ? 1 : 8));
}

// A queue that becomes urgent had its waiting jobs behind those of others.
BOOST_AUTO_TEST_CASE(waiting_tasks_take_the_new_priority) {
    fleet.task_duration = [](const workload::task_key& key) {
        return key.job == "first" ? 2 * second : 60 * second;
    };
    workload::job first = make("first", job_shape::wide);
    first.steps.front().need.cpu_milli = 8000;
    first.steps.front().count = 4;
    fleet.submit(first);
    fleet.run_for(second);
    workload::queue_policy other = policy;
    other.name = "r";
    for (int i = 0; i < 4; ++i) {
        workload::job job = make("other" + std::to_string(i), job_shape::wide);
        job.queue = other;
        job.steps.front().need.cpu_milli = 8000;
        job.steps.front().count = 1;
        fleet.submit(job);
    }
    fleet.run_for(base::milliseconds(100));
    workload::job urgent = make("a", job_shape::wide);
    urgent.steps.front().need.cpu_milli = 8000;
    urgent.steps.front().count = 4;
    fleet.submit(urgent);
    fleet.run_for(base::milliseconds(100));
    policy.priority = 0;
    fleet.set_queues({policy, other});
    fleet.run_for(2 * second);
    BOOST_TEST(count_running("a", "full") == 4);
}

// The number of attempts decides whether a job has failed for good, so that a
// later version must not change it for jobs that were accepted before.
BOOST_AUTO_TEST_CASE(attempts_and_objective_stay_as_accepted) {
    fleet.task_duration = [](const workload::task_key&) { return second; };
    fleet.fails = [](const workload::task_key&) { return true; };
    policy.max_attempts = 1;
    fleet.set_queues({policy});
    submit("one");
    policy.max_attempts = 3;
    policy.stretch = 9.0;
    policy.target_latency = 30 * second;
    fleet.set_queues({policy});
    submit("three");
    policy.max_attempts = 1;
    fleet.set_queues({policy});
    BOOST_TEST(fleet.run_until_jobs_end(20 * second));
    BOOST_TEST((fleet.progress_of("one").state == job_state::failed));
    BOOST_TEST((fleet.progress_of("three").state == job_state::failed));
    BOOST_TEST(fleet.starts() == 4u);

    workload::queue_policy accepted = policy;
    accepted.max_attempts = 5;
    accepted.stretch = 1.5;
    accepted.target_latency = second;
    workload::queue_policy result = workload::update_policy(accepted, policy);
    BOOST_TEST(result.max_attempts == 5);
    BOOST_TEST(result.stretch == 1.5);
    BOOST_TEST((result.target_latency == second));
    BOOST_TEST(result.service == policy.service);
}

BOOST_AUTO_TEST_SUITE_END()
