// A leader whose view of the jobs does not keep up, as behind a narrow link.
#include "cell_fixture.hpp"

#include "eelgrasslever/workload/codec.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;

namespace {

constexpr base::milliseconds settle_limit{10'000};
/// Within this time after the acknowledgement of a cancellation no task of the
/// job may be started.
constexpr base::milliseconds cancel_bound{3000};

struct fixture : test::cell_fixture {
    vm& add_leader() {
        vm& added = add_vm("first", 2.0);
        BOOST_REQUIRE(
            run_until([&] { return added.service->leading(); }, settle_limit));
        return added;
    }
    void accept_job(const std::string& id) {
        put(cluster::keys::job + id,
            workload::encode(test::make_job(id, 1, 1000)));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(outdated_view, fixture)

// Guards against a leader that goes on starting tasks of cancelled jobs, for as
// long as its view of the jobs is behind.
BOOST_AUTO_TEST_CASE(a_leader_with_an_old_view_starts_nothing) {
    accept_job("j1");
    vm& leader = add_leader();
    run(base::milliseconds(1000));
    leader.store.unanswered_prefix = cluster::keys::root;
    put(cluster::keys::cancel + std::string("j1"), "1");
    run(cancel_bound);
    // From now on there is room for the job.
    put("endpoints/e1", "listed");
    run(base::milliseconds(2000));
    BOOST_TEST(leader.endpoints.starts.empty());
    accept_job("j2");
    leader.store.unanswered_prefix.clear();
    BOOST_TEST(run_until([&] { return !leader.endpoints.starts.empty(); },
                         base::milliseconds(3000)));
    const auto& starts = leader.endpoints.starts;
    BOOST_TEST(std::all_of(starts.begin(), starts.end(), [](const auto& start) {
        return start.task.job == "j2";
    }));
}

// Guards against a cell in which nothing starts, as its leader's view stays
// behind while that of another VM is current.
BOOST_AUTO_TEST_CASE(a_leader_whose_view_stays_old_hands_over) {
    vm& first = add_leader();
    vm& second = add_vm("second", 2.0);
    run(base::milliseconds(1500));
    first.store.unanswered_prefix = cluster::keys::root;
    BOOST_TEST(run_until([&] { return second.service->leading(); },
                         base::milliseconds(6000)));
    put("endpoints/e1", "listed");
    accept_job("j1");
    BOOST_TEST(run_until([&] { return !second.endpoints.starts.empty(); },
                         base::milliseconds(3000)));
}

BOOST_AUTO_TEST_SUITE_END()
