#include "eelgrasslever/cluster/service_shares.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;

namespace {

constexpr base::instant now{base::milliseconds(100'000)};

} // namespace

BOOST_AUTO_TEST_SUITE(service_shares_suite)

BOOST_AUTO_TEST_CASE(queues_that_are_served_alike_keep_their_own_order) {
    cluster::service_shares shares;
    BOOST_TEST(shares.lead_of("gang").count() == 0);
    shares.add_started("gang", 1.0, now);
    shares.add_started("batch", 3.0, now);
    BOOST_TEST(shares.lead_of("gang").count() == 0);
    BOOST_TEST(shares.lead_of("batch").count() == 0);
}

// Gangs, which need much room at once, missed their objective while batch work
// that takes any room was served in full (max-min fairness).
BOOST_AUTO_TEST_CASE(a_queue_that_is_served_less_gets_a_lead) {
    cluster::service_shares shares;
    shares.add_started("batch", 1.0, now);
    shares.add_missed("gang", 1.0, now);
    BOOST_TEST(shares.share_of("gang") < 0.1);
    BOOST_TEST(shares.lead_of("gang").count() > 5000);
    BOOST_TEST(shares.lead_of("batch").count() < -5000);
}

BOOST_AUTO_TEST_CASE(old_misses_lose_their_weight) {
    cluster::service_shares shares;
    shares.add_missed("gang", 1.0, now);
    auto later = now + base::milliseconds(60'000);
    shares.add_started("gang", 1.0, later);
    BOOST_TEST(shares.share_of("gang") > 0.95);
}

BOOST_AUTO_TEST_SUITE_END()
