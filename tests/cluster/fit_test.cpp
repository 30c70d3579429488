// Room for wide work on a fleet that single tasks fill.
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
    return {id, rack, cpu(milli), 100, true};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fit)

BOOST_AUTO_TEST_CASE(single_tasks_fill_the_tightest_rooms_first) {
    auto chosen = cluster::assign_best_fit(cpu(1000), 3,
                                           {candidate("wide", 9000),
                                            candidate("tight", 1500),
                                            candidate("mid", 2000)});
    BOOST_TEST(chosen == (std::vector<std::size_t>{1, 2, 2}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(preferred_rooms_go_before_tight_ones) {
    fit_candidate reserved = candidate("reserved", 1000);
    reserved.preferred = false;
    auto chosen = cluster::assign_best_fit(cpu(1000), 1,
                                           {reserved, candidate("free", 5000)});
    BOOST_TEST(chosen == (std::vector<std::size_t>{1}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_gang_is_placed_whole_or_not_at_all) {
    std::vector<fit_candidate> candidates{candidate("a", 9000),
                                          candidate("b", 4500)};
    BOOST_TEST(cluster::assign_gang(cpu(4500), 3, candidates, false).size() ==
               3u);
    BOOST_TEST(cluster::assign_gang(cpu(4500), 4, candidates, false).empty());
}

BOOST_AUTO_TEST_CASE(a_gang_prefers_one_rack_where_one_has_the_room) {
    std::vector<fit_candidate> candidates{candidate("a", 9000, "r1"),
                                          candidate("b", 4500, "r2"),
                                          candidate("c", 4500, "r2")};
    auto chosen = cluster::assign_gang(cpu(4500), 2, candidates, true);
    BOOST_REQUIRE(chosen.size() == 2u);
    BOOST_TEST(candidates[chosen[0]].rack == candidates[chosen[1]].rack);
    BOOST_TEST(cluster::assign_gang(cpu(4500), 4, candidates, true).size() ==
               4u);
}

BOOST_AUTO_TEST_CASE(memory_and_accelerators_bind_as_well) {
    base::resources need = cpu(100);
    need.memory_mb = 1000;
    base::resources free = cpu(10'000);
    free.memory_mb = 2500;
    BOOST_TEST(cluster::tasks_that_fit(need, free, 10) == 2);
    need.accelerators = 1;
    BOOST_TEST(cluster::tasks_that_fit(need, free, 10) == 0);
}

BOOST_AUTO_TEST_CASE(a_bound_on_tasks_of_one_endpoint_is_kept) {
    fit_candidate narrow = candidate("a", 9000);
    narrow.max_tasks = 1;
    auto chosen =
        cluster::assign_best_fit(cpu(1000), 3, {narrow, candidate("b", 9000)});
    BOOST_TEST(std::count(chosen.begin(), chosen.end(), 0u) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
