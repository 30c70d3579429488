#include "random_run.hpp"

#include <boost/test/unit_test.hpp>

using test_support::random_run_options;
using test_support::run_randomly;

namespace {

void require_no_violations(const random_run_options& options) {
    auto result = run_randomly(options);
    for (const std::string& violation : result.violations) {
        BOOST_ERROR("seed " << options.seed << ": " << violation);
    }
    BOOST_TEST(result.jobs_finished == result.jobs_accepted);
    BOOST_TEST(result.completed > result.requests / 2);
}

} // namespace

BOOST_AUTO_TEST_CASE(invariants_hold_under_all_faults_combined) {
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        random_run_options options;
        options.seed = seed;
        require_no_violations(options);
    }
}

BOOST_AUTO_TEST_CASE(invariants_hold_with_more_members_and_failure_domains) {
    for (std::uint64_t seed = 101; seed <= 104; ++seed) {
        random_run_options options;
        options.seed = seed;
        options.shape = {3, 3, 4, 4};
        require_no_violations(options);
    }
}

// Regression test: earlier versions broke an invariant with these seeds.
BOOST_AUTO_TEST_CASE(seeds_of_past_failures_have_no_violations) {
    for (std::uint64_t seed :
         {39, 40, 44, 47, 52, 55, 62, 64, 67, 1241, 2248, 2400, 3202}) {
        random_run_options options;
        options.seed = seed;
        require_no_violations(options);
    }
}

// Endpoints that accept starts of any claim epoch run work twice. The audit
// must detect that, otherwise a clean run would prove nothing.
BOOST_AUTO_TEST_CASE(audit_detects_duplicate_runs_without_the_epoch_check) {
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        random_run_options options;
        options.seed = seed;
        options.epoch_guard = false;
        violations += run_randomly(options).violations.size();
    }
    BOOST_TEST(violations > 0u);
}

BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_run) {
    random_run_options options;
    options.seed = 5;
    options.load_time = std::chrono::milliseconds(10000);
    auto first = run_randomly(options);
    auto second = run_randomly(options);
    BOOST_TEST(first.steps == second.steps);
    BOOST_TEST(first.starts == second.starts);
}
