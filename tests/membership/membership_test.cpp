#include "eelgrasslever/membership/membership_view.hpp"
#include "eelgrasslever/membership/rendezvous.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using base::instant;
using base::milliseconds;
using membership::membership_view;

namespace {

instant at(int ms) {
    return instant(milliseconds(ms));
}

wire::heartbeat beat_from(const std::string& fd) {
    wire::heartbeat out;
    out.failure_domain = fd;
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(endpoints_are_shared_out_evenly_and_stably) {
    std::set<std::string> keys;
    for (int i = 0; i < 75; ++i) {
        keys.insert("e" + std::to_string(i));
    }
    std::vector<std::string> eight;
    for (int i = 0; i < 8; ++i) {
        eight.push_back("vm" + std::to_string(i) + "@1");
    }
    auto before = membership::balanced_assignment(keys, eight);
    std::map<std::string, int> load;
    for (const auto& [key, owner] : before) {
        load[owner]++;
    }
    for (const std::string& owner : eight) {
        BOOST_TEST(load[owner] >= 9);
        BOOST_TEST(load[owner] <= 10);
    }
    eight.pop_back();
    auto after = membership::balanced_assignment(keys, eight);
    int moved = 0;
    for (const auto& [key, owner] : after) {
        moved += before.at(key) == owner ? 0 : 1;
    }
    BOOST_TEST(moved <= 30); // An even split moves at least 9.
}

BOOST_AUTO_TEST_CASE(a_silent_member_is_gone_only_when_every_endpoint_is_held) {
    membership_view view("a@1", "fd", {});
    view.on_heartbeat("b@1", beat_from("fd"), at(0));
    std::set<std::string> endpoints{"e1", "e2"};
    auto hold_one = [](const std::string& name) { return name == "e1"; };
    auto hold_both = [](const std::string&) { return true; };
    BOOST_TEST(view.detect_gone_members(endpoints, hold_one, at(5000)).empty());
    auto gone = view.detect_gone_members(endpoints, hold_both, at(5000));
    BOOST_TEST(gone.size() == 2u); // b and the predecessor of a
    BOOST_TEST(view.find("b@1")->gone);
    view.on_heartbeat("b@1", beat_from("fd"), at(5100));
    BOOST_TEST(!view.find("b@1")->gone);
}

BOOST_AUTO_TEST_CASE(a_member_elsewhere_is_gone_by_the_word_of_its_own_domain) {
    membership_view view("a@1", "fd0", {});
    view.on_heartbeat("x@1", beat_from("fd1"), at(0));
    wire::heartbeat word = beat_from("fd1");
    word.alive = {"y@1"};
    view.on_heartbeat("y@1", word, at(5000));
    BOOST_TEST(!view.find("x@1")->gone);
    word.all_endpoints_held = true;
    view.on_heartbeat("y@1", word, at(5000));
    BOOST_TEST(view.find("x@1")->gone);
}

BOOST_AUTO_TEST_CASE(shares_of_all_members_cover_each_place_once) {
    membership_view a("a@1", "fd", {});
    membership_view b("b@1", "fd", {});
    auto all = [](const std::string&) { return true; };
    a.on_heartbeat("b@1", beat_from("fd"), at(0));
    b.on_heartbeat("a@1", beat_from("fd"), at(0));
    a.detect_gone_members({"e"}, all, at(1));
    b.detect_gone_members({"e"}, all, at(1));
    BOOST_TEST(a.member_count_in_fd() == 2);
    BOOST_TEST(a.member_index_in_fd() + b.member_index_in_fd() == 1);
}
