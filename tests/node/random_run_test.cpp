#include "random_run.hpp"

#include <boost/test/unit_test.hpp>

using test_support::random_run_options;
using test_support::run_randomly;

namespace {

void require_clean(const random_run_options& options) {
    auto result = run_randomly(options);
    for (const std::string& violation : result.violations) {
        BOOST_ERROR("seed " << options.seed << ": " << violation);
    }
    BOOST_TEST(result.jobs_ended == result.jobs_accepted);
    BOOST_TEST(result.completed > result.requests / 2);
}

} // namespace

BOOST_AUTO_TEST_CASE(the_invariants_hold_under_all_faults_together) {
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        random_run_options options;
        options.seed = seed;
        require_clean(options);
    }
}

BOOST_AUTO_TEST_CASE(the_invariants_hold_with_more_members_and_domains) {
    for (std::uint64_t seed = 101; seed <= 104; ++seed) {
        random_run_options options;
        options.seed = seed;
        options.shape = {3, 3, 4, 4};
        require_clean(options);
    }
}

// Seeds on which earlier versions broke an invariant.
BOOST_AUTO_TEST_CASE(seeds_that_failed_once_stay_clean) {
    for (std::uint64_t seed :
         {39, 40, 44, 47, 52, 55, 62, 64, 67, 1241, 2248, 2400, 3202}) {
        random_run_options options;
        options.seed = seed;
        require_clean(options);
    }
}

// The audit must see the fault that the epochs prevent.
BOOST_AUTO_TEST_CASE(without_epochs_the_audit_finds_work_run_twice) {
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        random_run_options options;
        options.seed = seed;
        options.epoch_guard = false;
        violations += run_randomly(options).violations.size();
    }
    BOOST_TEST(violations > 0u);
}

BOOST_AUTO_TEST_CASE(a_run_is_the_same_for_the_same_seed) {
    random_run_options options;
    options.seed = 5;
    options.load_time = std::chrono::milliseconds(10000);
    auto first = run_randomly(options);
    auto second = run_randomly(options);
    BOOST_TEST(first.steps == second.steps);
    BOOST_TEST(first.starts == second.starts);
}
