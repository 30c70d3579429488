#include "eelgrasslever/service/member_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using service::member_table;

namespace {

constexpr double small = 0.12;
constexpr double large = 0.5;

struct fixture {
    member_table table{"self", small};
    base::instant now{base::milliseconds(100'000)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(members, fixture)

BOOST_AUTO_TEST_CASE(a_fitter_member_outranks) {
    BOOST_TEST(!table.outranked(now));
    table.put("self", {"a:1", small}, now);
    table.put("peer", {"a:2", small}, now);
    BOOST_TEST(!table.outranked(now));
    table.put("fit", {"a:3", large}, now);
    BOOST_TEST(table.outranked(now));
    BOOST_TEST(table.peers().size() == 2u);
    BOOST_TEST(table.names().size() == 3u);
    BOOST_TEST(table.find("fit")->peer_address == "a:3");
}

// Pattern: an outage of the store ends all leases, and the first VM to return
// sees no members but itself.
BOOST_AUTO_TEST_CASE(a_fitter_member_whose_lease_lapsed_outranks_for_a_while) {
    table.put("fit", {"a:3", large}, now);
    table.remove("fit", now);
    BOOST_TEST(table.outranked(now));
    BOOST_TEST(table.find("fit") == nullptr);
    BOOST_TEST(table.outranked(now + member_table::memory / 2));
    BOOST_TEST(!table.outranked(now + member_table::memory));
}

BOOST_AUTO_TEST_CASE(a_leader_hands_over_to_a_member_that_has_settled) {
    table.put("fit", {"a:3", large}, now);
    BOOST_TEST(!table.should_hand_over(now));
    auto later = now + member_table::settling_time;
    BOOST_TEST(table.should_hand_over(later));
    // A changed entry is the same member; one that was away is a new one.
    table.put("fit", {"a:4", large}, later);
    BOOST_TEST(table.should_hand_over(later));
    table.remove("fit", later);
    BOOST_TEST(!table.should_hand_over(later));
    table.put("fit", {"a:4", large}, later);
    BOOST_TEST(!table.should_hand_over(later));
}

// Pattern: a fitter member is listed and draining, and bids no more.
BOOST_AUTO_TEST_CASE(a_handover_that_nobody_takes_is_not_repeated_at_once) {
    table.put("fit", {"a:3", large}, now);
    now += member_table::settling_time;
    BOOST_TEST(table.should_hand_over(now));
    table.note_handover(now);
    BOOST_TEST(!table.should_hand_over(now + base::milliseconds(1000)));
    BOOST_TEST(table.should_hand_over(now + member_table::handover_pause));
}

BOOST_AUTO_TEST_CASE(a_slightly_fitter_member_is_not_worth_a_handover) {
    table.put("fit", {"a:3", 1.5 * small}, now);
    BOOST_TEST(table.outranked(now));
    BOOST_TEST(!table.should_hand_over(now + 10 * member_table::settling_time));
}

BOOST_AUTO_TEST_SUITE_END()
