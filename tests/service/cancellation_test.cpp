// Cancellations that overtake the submission of their job.
#include "cell_fixture.hpp"

#include "eelgrasslever/workload/codec.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace eelgrasslever;
using cluster::cancel_result;
using cluster::submit_result;

namespace {

constexpr base::milliseconds settle_limit{10'000};
constexpr base::milliseconds answer_limit{3000};
/// Time for a task to start that nothing holds up.
constexpr base::milliseconds start_limit{2000};

struct fixture : test::cell_fixture {
    /// One VM that leads, another one, and an endpoint with room.
    fixture() {
        put("endpoints/e1", "listed");
        add_vm("first", 2.0);
        BOOST_REQUIRE(run_until([&] { return leader().service->leading(); },
                                settle_limit));
        add_vm("second", 2.0);
        BOOST_REQUIRE(run_until(
            [&] { return other().service->jobs_current_as_of().has_value(); },
            settle_limit));
    }

    vm& leader() { return find("first"); }
    vm& other() { return find("second"); }

    std::optional<cancel_result> cancel(vm& at, const std::string& id) {
        std::optional<cancel_result> outcome;
        at.service->router().cancel_job(
            id, base::monotonic_now() + answer_limit,
            [&](cancel_result result) { outcome = result; });
        run_until([&] { return outcome.has_value(); }, answer_limit);
        return outcome;
    }
    std::optional<submit_result> submit(vm& at, const std::string& id) {
        std::optional<submit_result> outcome;
        at.service->router().submit_job(
            test::make_job(id, 1, 1000), base::monotonic_now() + answer_limit,
            [&](submit_result result) { outcome = result; });
        run_until([&] { return outcome.has_value(); }, answer_limit);
        return outcome;
    }
    bool has_started(const std::string& id) {
        const auto& starts = leader().endpoints.starts;
        return std::any_of(starts.begin(), starts.end(),
                           [&](const auto& it) { return it.task.job == id; });
    }
    /// Checks that a job of another id still runs, which also shows that there
    /// was room for others.
    void check_service() {
        BOOST_TEST((submit(other(), "served") == submit_result::accepted));
        BOOST_TEST(
            run_until([&] { return has_started("served"); }, start_limit));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cancellation, fixture)

// Guards against a job that runs although its cancellation was answered 410: a
// VM read its submission only after that.
BOOST_AUTO_TEST_CASE(a_submission_after_its_cancellation_starts_nothing) {
    BOOST_TEST((cancel(other(), "j1") == cancel_result::unknown_job));
    BOOST_TEST((submit(leader(), "j1") == submit_result::cancelled));
    run(start_limit);
    BOOST_TEST(!has_started("j1"));
    check_service();
}

// Guards against a leader that hears of a job from the VM that has stored it,
// and of the earlier cancellation only by its watch, which is late.
BOOST_AUTO_TEST_CASE(a_cancellation_unknown_to_the_leader_is_effective) {
    leader().store.unanswered_prefix = cluster::keys::root;
    BOOST_TEST((cancel(other(), "j1") == cancel_result::unknown_job));
    submit(other(), "j1");
    run(base::milliseconds(1000));
    BOOST_TEST(!has_started("j1"));
    leader().store.unanswered_prefix.clear();
    check_service();
}

// Guards against a job that runs although a cancellation is stored beside it: a
// view that is read page by page contains the cancellation first.
BOOST_AUTO_TEST_CASE(a_job_that_appears_after_its_cancellation_is_not_started) {
    put(cluster::keys::cancel + std::string("j1"), "1");
    run(base::milliseconds(500));
    put(cluster::keys::job + std::string("j1"),
        workload::encode(test::make_job("j1", 1, 1000)));
    run(start_limit);
    BOOST_TEST(!has_started("j1"));
    std::optional<workload::job_state> state;
    other().service->router().get_job_state(
        "j1", base::monotonic_now() + answer_limit,
        [&](const cluster::state_result& found) { state = found.state; });
    run_until([&] { return state.has_value(); }, answer_limit);
    BOOST_TEST((state == workload::job_state::cancelled));
    check_service();
}

BOOST_AUTO_TEST_SUITE_END()
