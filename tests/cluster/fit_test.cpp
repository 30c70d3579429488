// Single tasks that fill the emptiest endpoints would leave no endpoint with
// enough capacity for wide tasks and gangs.
#include "eelgrasslever/cluster/fit.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using cluster::fit_candidate;

namespace {

base::resources cpu(std::int64_t milli) {
    base::resources out;
    out.cpu_milli = milli;
    return out;
}

fit_candidate candidate(const std::string& id, std::int64_t milli,
                        const std::string& rack = "r1") {
    return {id, rack, cpu(milli), 100, true, cpu(milli), 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fit)

BOOST_AUTO_TEST_CASE(single_tasks_fill_the_tightest_candidates_first) {
    auto chosen = cluster::assign_best_fit(cpu(1000), 3,
                                           {candidate("wide", 9000),
                                            candidate("tight", 1500),
                                            candidate("mid", 2000)});
    BOOST_TEST(chosen == (std::vector<std::size_t>{1, 2, 2}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(preferred_candidates_precede_tighter_ones) {
    fit_candidate reserved = candidate("reserved", 1000);
    reserved.preferred = false;
    auto chosen = cluster::assign_best_fit(cpu(1000), 1,
                                           {reserved, candidate("free", 5000)});
    BOOST_TEST(chosen == (std::vector<std::size_t>{1}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_gang_is_placed_completely_or_not_at_all) {
    std::vector<fit_candidate> candidates{candidate("a", 9000),
                                          candidate("b", 4500)};
    BOOST_TEST(cluster::assign_gang(cpu(4500), 3, candidates, false).size() ==
               3u);
    BOOST_TEST(cluster::assign_gang(cpu(4500), 4, candidates, false).empty());
}

BOOST_AUTO_TEST_CASE(a_gang_prefers_one_rack_with_enough_capacity) {
    std::vector<fit_candidate> candidates{candidate("a", 9000, "r1"),
                                          candidate("b", 4500, "r2"),
                                          candidate("c", 4500, "r2")};
    auto chosen = cluster::assign_gang(cpu(4500), 2, candidates, true);
    BOOST_REQUIRE(chosen.size() == 2u);
    BOOST_TEST(candidates[chosen[0]].rack == candidates[chosen[1]].rack);
    BOOST_TEST(cluster::assign_gang(cpu(4500), 4, candidates, true).size() ==
               4u);
}

BOOST_AUTO_TEST_CASE(memory_and_accelerators_also_limit_the_number) {
    base::resources need = cpu(100);
    need.memory_mb = 1000;
    base::resources free = cpu(10'000);
    free.memory_mb = 2500;
    BOOST_TEST(cluster::tasks_that_fit(need, free, 10) == 2);
    need.accelerators = 1;
    BOOST_TEST(cluster::tasks_that_fit(need, free, 10) == 0);
}

BOOST_AUTO_TEST_CASE(the_limit_of_tasks_per_endpoint_is_kept) {
    fit_candidate limited = candidate("a", 9000);
    limited.max_tasks = 1;
    auto chosen =
        cluster::assign_best_fit(cpu(1000), 3, {limited, candidate("b", 9000)});
    BOOST_TEST(std::count(chosen.begin(), chosen.end(), 0u) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
