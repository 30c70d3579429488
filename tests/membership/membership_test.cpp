#include "eelgrasslever/membership/membership_view.hpp"
#include "eelgrasslever/membership/rendezvous.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using base::instant;
using base::milliseconds;
using membership::membership_view;

namespace {

instant at_ms(int ms) {
    return instant(milliseconds(ms));
}

wire::heartbeat heartbeat_of(const std::string& fd) {
    wire::heartbeat heartbeat;
    heartbeat.failure_domain = fd;
    return heartbeat;
}

} // namespace

BOOST_AUTO_TEST_CASE(balanced_assignment_is_even_and_moves_few_keys) {
    std::set<std::string> keys;
    for (int i = 0; i < 75; ++i) {
        keys.insert("e" + std::to_string(i));
    }
    std::vector<std::string> candidates;
    for (int i = 0; i < 8; ++i) {
        candidates.push_back("vm" + std::to_string(i) + "@1");
    }
    auto before = membership::balanced_assignment(keys, candidates);
    std::map<std::string, int> load;
    for (const auto& [key, owner] : before) {
        load[owner]++;
    }
    for (const std::string& owner : candidates) {
        BOOST_TEST(load[owner] >= 9);
        BOOST_TEST(load[owner] <= 10);
    }
    candidates.pop_back();
    auto after = membership::balanced_assignment(keys, candidates);
    int moved = 0;
    for (const auto& [key, owner] : after) {
        moved += before.at(key) == owner ? 0 : 1;
    }
    BOOST_TEST(moved <= 30); // At least 9 keys must move for an even split.
}

BOOST_AUTO_TEST_CASE(
    a_suspected_member_is_gone_only_if_every_endpoint_is_held) {
    membership_view view("a@1", "fd", {});
    view.on_heartbeat("b@1", heartbeat_of("fd"), at_ms(0));
    std::set<std::string> endpoints{"e1", "e2"};
    auto holds_one = [](const std::string& name) { return name == "e1"; };
    auto holds_both = [](const std::string&) { return true; };
    BOOST_TEST(
        view.detect_gone_members(endpoints, holds_one, at_ms(5000)).empty());
    auto gone = view.detect_gone_members(endpoints, holds_both, at_ms(5000));
    BOOST_TEST(gone.size() == 2u); // b and the predecessor of a
    BOOST_TEST(view.find("b@1")->gone);
    view.on_heartbeat("b@1", heartbeat_of("fd"), at_ms(5100));
    BOOST_TEST(!view.find("b@1")->gone);
}

BOOST_AUTO_TEST_CASE(a_remote_member_is_gone_only_if_its_own_fd_reports_it) {
    membership_view view("a@1", "fd0", {});
    view.on_heartbeat("x@1", heartbeat_of("fd1"), at_ms(0));
    wire::heartbeat report = heartbeat_of("fd1");
    report.alive = {"y@1"};
    view.on_heartbeat("y@1", report, at_ms(5000));
    BOOST_TEST(!view.find("x@1")->gone);
    report.all_endpoints_held = true;
    view.on_heartbeat("y@1", report, at_ms(5000));
    BOOST_TEST(view.find("x@1")->gone);
}

BOOST_AUTO_TEST_CASE(every_member_has_a_distinct_index) {
    membership_view a("a@1", "fd", {});
    membership_view b("b@1", "fd", {});
    auto holds_all = [](const std::string&) { return true; };
    a.on_heartbeat("b@1", heartbeat_of("fd"), at_ms(0));
    b.on_heartbeat("a@1", heartbeat_of("fd"), at_ms(0));
    a.detect_gone_members({"e"}, holds_all, at_ms(1));
    b.detect_gone_members({"e"}, holds_all, at_ms(1));
    BOOST_TEST(a.member_count_in_fd() == 2);
    BOOST_TEST(a.member_index_in_fd() + b.member_index_in_fd() == 1);
}
