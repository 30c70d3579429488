#include "eelgrasslever/service/member_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using service::member_table;

namespace {

constexpr double few_cores = 0.12;
constexpr double many_cores = 0.5;

struct fixture {
    static constexpr auto settle_time = member_table::follower_settle_time;

    void list_large_vms(std::size_t count, bool loaded = true) {
        for (std::size_t i = 0; i < count; ++i) {
            table.put("big-" + std::to_string(i),
                      {"a:2", many_cores, "", loaded}, now);
        }
    }

    member_table table{"self", few_cores};
    base::instant now{base::milliseconds(100'000)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(member_table_test, fixture)

BOOST_AUTO_TEST_CASE(member_with_more_cores_outranks_this_vm) {
    BOOST_TEST(!table.is_outranked(now));
    table.put("self", {"a:1", few_cores}, now);
    table.put("peer", {"a:2", few_cores}, now);
    BOOST_TEST(!table.is_outranked(now));
    table.put("big", {"a:3", many_cores}, now);
    BOOST_TEST(table.is_outranked(now));
    BOOST_TEST(table.peer_addresses().size() == 2u);
    BOOST_TEST(table.vm_names().size() == 3u);
    BOOST_TEST(table.find("big")->peer_address == "a:3");
}

// An outage of the store expires all leases, so the first VM to return sees no
// members but itself. If departed members were not retained, it would become
// leader although a VM with more cores is about to return.
BOOST_AUTO_TEST_CASE(departed_member_outranks_until_its_retention_ends) {
    table.put("big", {"a:3", many_cores}, now);
    table.remove("big", now);
    BOOST_TEST(table.is_outranked(now));
    BOOST_TEST(table.find("big") == nullptr);
    BOOST_TEST(table.is_outranked(now + member_table::departed_retention / 2));
    BOOST_TEST(!table.is_outranked(now + member_table::departed_retention));
}

BOOST_AUTO_TEST_CASE(handover_requires_minimum_listed_time) {
    table.put("big", {"a:3", many_cores, "", true}, now);
    BOOST_TEST(!table.should_hand_over(now));
    auto later = now + member_table::min_listed_time;
    BOOST_TEST(table.should_hand_over(later));
    // Updating the entry keeps the listed time; removing it resets the time.
    table.put("big", {"a:4", many_cores, "", true}, later);
    BOOST_TEST(table.should_hand_over(later));
    table.remove("big", later);
    BOOST_TEST(!table.should_hand_over(later));
    table.put("big", {"a:4", many_cores, "", true}, later);
    BOOST_TEST(!table.should_hand_over(later));
}

// A member that is listed but draining does not bid for leadership, so the
// handover has no effect. Repeating it at once would cause one takeover after
// another.
BOOST_AUTO_TEST_CASE(handover_is_not_repeated_within_the_interval) {
    table.put("big", {"a:3", many_cores, "", true}, now);
    now += member_table::min_listed_time;
    BOOST_TEST(table.should_hand_over(now));
    table.record_handover(now);
    BOOST_TEST(!table.should_hand_over(now + base::milliseconds(1000)));
    BOOST_TEST(table.should_hand_over(now + member_table::handover_interval));
}

BOOST_AUTO_TEST_CASE(no_handover_below_the_minimum_core_ratio) {
    table.put("big", {"a:3", 1.5 * few_cores, "", true}, now);
    BOOST_TEST(table.is_outranked(now));
    BOOST_TEST(
        !table.should_hand_over(now + 10 * member_table::min_listed_time));
}

// A leader of 97 VMs sent 9,600 messages a second, one for each VM each 10 ms.
BOOST_AUTO_TEST_CASE(notices_per_second_do_not_grow_with_the_fleet) {
    BOOST_TEST(table.notice_interval().count() ==
               member_table::min_notice_interval.count());
    constexpr int vms = 97;
    for (int i = 0; i < vms; ++i) {
        table.put("vm-" + std::to_string(i), {"a:1", few_cores}, now);
    }
    double per_second =
        vms * 1000.0 / static_cast<double>(table.notice_interval().count());
    BOOST_TEST(per_second <=
               static_cast<double>(member_table::max_notices_per_second) *
                   1.05);
}

// Each VM of a small cell may be the one that has to lead.
BOOST_AUTO_TEST_CASE(all_vms_of_a_small_cell_follow) {
    BOOST_TEST(!table.update_following(now));
    table.put("self", {"a:1", few_cores}, now);
    for (std::size_t i = 1; i < member_table::followers; ++i) {
        table.put("big-" + std::to_string(i), {"a:2", many_cores}, now);
    }
    BOOST_TEST(table.update_following(now));
}

BOOST_AUTO_TEST_CASE(of_many_vms_the_smaller_ones_do_not_follow) {
    list_large_vms(member_table::followers);
    table.put("self", {"a:1", few_cores}, now);
    BOOST_TEST(!table.update_following(now));
    BOOST_TEST(!table.update_following(now + 10 * settle_time));
    table.remove("big-1", now);
    BOOST_TEST(!table.update_following(now));
    BOOST_TEST((table.following_due() == now + settle_time));
    BOOST_TEST(table.update_following(now + settle_time));
    BOOST_TEST(!table.following_due().has_value());
}

// VMs with equal processor shares are told apart by name, so that all VMs agree
// on the followers.
BOOST_AUTO_TEST_CASE(equal_vms_agree_on_the_followers) {
    constexpr std::size_t vms = 2 * member_table::followers;
    std::size_t following = 0;
    for (std::size_t i = 0; i < vms; ++i) {
        member_table each("vm-" + std::to_string(100 + i), few_cores, "fd-1");
        for (std::size_t j = 0; j < vms; ++j) {
            each.put("vm-" + std::to_string(100 + j),
                     {"a:1", few_cores, "fd-1"}, now);
        }
        following += each.update_following(now) ? 1U : 0U;
    }
    BOOST_TEST(following == member_table::followers);
}

// A failure domain that is cut off from the others must have VMs that can lead.
BOOST_AUTO_TEST_CASE(the_best_vms_of_each_failure_domain_follow) {
    member_table distant("self", few_cores, "fd-2");
    for (std::size_t i = 0; i < member_table::followers; ++i) {
        distant.put("big-" + std::to_string(i), {"a:1", many_cores, "fd-1"},
                    now);
    }
    distant.put("self", {"a:2", few_cores, "fd-2"}, now);
    distant.put("peer", {"a:3", many_cores, "fd-2"}, now);
    BOOST_TEST(distant.update_following(now));
}

// If every VM followed that briefly ranks high while others restart, all VMs
// would load the jobs, and most of them would drop the load again.
BOOST_AUTO_TEST_CASE(restarts_of_larger_vms_do_not_change_the_followers) {
    list_large_vms(member_table::followers);
    table.put("self", {"a:1", few_cores}, now);
    BOOST_TEST(!table.update_following(now));
    for (int restart = 0; restart < 20; ++restart) {
        for (std::size_t i = 0; i < member_table::followers; ++i) {
            table.remove("big-" + std::to_string(i), now);
        }
        BOOST_TEST(!table.update_following(now));
        now += settle_time / 2;
        BOOST_TEST(!table.update_following(now));
        list_large_vms(member_table::followers);
        BOOST_TEST(!table.update_following(now));
        now += settle_time;
    }
}

// A follower that lost its place at the first better-suited VM would load the
// jobs again at the next restart of one.
BOOST_AUTO_TEST_CASE(a_follower_stops_only_beyond_the_hysteresis) {
    table.put("self", {"a:1", few_cores}, now);
    BOOST_TEST(table.update_following(now));
    constexpr std::size_t limit =
        member_table::follower_hysteresis * member_table::followers;
    list_large_vms(limit - 1);
    BOOST_TEST(table.update_following(now));
    list_large_vms(limit);
    BOOST_TEST(!table.update_following(now));
    table.remove("big-1", now);
    BOOST_TEST(!table.update_following(now));
    BOOST_TEST(!table.update_following(now + 10 * settle_time));
}

// A VM that does not follow the jobs can't bid, so naming it would only delay
// the bids of the others.
BOOST_AUTO_TEST_CASE(a_stopping_leader_names_a_vm_that_follows) {
    member_table leader("a-leader", many_cores);
    leader.put("a-leader", {"a:1", many_cores, "", true}, now);
    for (std::size_t i = 0; i < member_table::followers; ++i) {
        leader.put("b-" + std::to_string(i), {"a:2", many_cores, "", true},
                   now);
    }
    now += 2 * member_table::min_listed_time;
    leader.put("c", {"a:3", many_cores, "", true}, now);
    now += member_table::min_listed_time;
    BOOST_TEST(leader.restarted_successor(now).empty());
    leader.remove("b-1", now);
    leader.put("b-1", {"a:2", many_cores, "", true}, now);
    now += member_table::min_listed_time;
    BOOST_TEST(leader.restarted_successor(now) == "b-1");
}

// A VM that has not loaded the jobs can't bid, so that nobody led until its
// load ended.
BOOST_AUTO_TEST_CASE(no_handover_to_a_vm_that_has_not_loaded) {
    table.put("loading", {"a:3", 2 * many_cores}, now);
    now += member_table::min_listed_time;
    BOOST_TEST(!table.should_hand_over(now));
    BOOST_TEST(table.preferred_successor(now).empty());
    table.put("big", {"a:4", many_cores, "", true}, now);
    now += member_table::min_listed_time;
    BOOST_TEST(table.should_hand_over(now));
    BOOST_TEST(table.preferred_successor(now) == "big");
    table.put("loading", {"a:3", 2 * many_cores, "", true}, now);
    BOOST_TEST(table.preferred_successor(now) == "loading");
}

BOOST_AUTO_TEST_CASE(a_stopping_leader_names_no_vm_that_has_not_loaded) {
    table.put("self", {"a:1", many_cores, "", true}, now);
    now += 2 * member_table::min_listed_time;
    table.put("a", {"a:2", many_cores}, now);
    now += member_table::min_listed_time;
    BOOST_TEST(table.restarted_successor(now).empty());
    table.put("a", {"a:2", many_cores, "", true}, now);
    BOOST_TEST(table.restarted_successor(now) == "a");
}

// Listed VMs took the place of VMs that could lead before they could do so
// themselves.
BOOST_AUTO_TEST_CASE(a_follower_is_not_displaced_by_vms_that_have_not_loaded) {
    table.put("self", {"a:1", few_cores, "", true}, now);
    BOOST_TEST(table.update_following(now));
    list_large_vms(member_table::follower_hysteresis * member_table::followers,
                   false);
    BOOST_TEST(table.update_following(now));
    for (std::size_t i = 0; i < member_table::followers; ++i) {
        BOOST_TEST(table.update_following(now));
        table.put("big-" + std::to_string(i), {"a:2", many_cores, "", true},
                  now);
    }
    BOOST_TEST(!table.update_following(now));
}

BOOST_AUTO_TEST_CASE(handover_names_the_member_with_the_most_cores) {
    table.put("big", {"a:3", many_cores, "", true}, now);
    table.put("bigger", {"a:4", 2 * many_cores, "", true}, now);
    BOOST_TEST(table.preferred_successor(now).empty());
    now += member_table::min_listed_time;
    table.put("biggest", {"a:5", 3 * many_cores, "", true}, now);
    BOOST_TEST(table.preferred_successor(now) == "bigger");
}

// While VMs are restarted one after another, leadership went to one that was
// stopped next.
BOOST_AUTO_TEST_CASE(a_stopping_leader_names_a_vm_that_has_been_restarted) {
    table.put("self", {"a:1", many_cores, "", true}, now);
    table.put("a", {"a:2", many_cores, "", true}, now);
    table.put("b", {"a:3", many_cores, "", true}, now);
    now += 2 * member_table::min_listed_time;
    BOOST_TEST(table.restarted_successor(now).empty());
    table.remove("a", now);
    table.put("a", {"a:2", many_cores, "", true}, now);
    table.put("small", {"a:4", few_cores, "", true}, now);
    BOOST_TEST(table.restarted_successor(now).empty());
    now += member_table::min_listed_time;
    BOOST_TEST(table.restarted_successor(now) == "a");
}

// Guards against orders that all go through one failure domain, or through VMs
// of a version that doesn't pass them on.
BOOST_AUTO_TEST_CASE(carriers_are_spread_over_the_failure_domains) {
    auto put = [&](const std::string& vm, double cores,
                   const std::string& domain, bool carries) {
        table.put(vm, {vm + ":1", cores, domain, true, carries}, now);
    };
    put("self", many_cores, "a", true);
    put("a-small", few_cores, "a", true);
    put("a-large", many_cores, "a", true);
    put("a-former-version", many_cores, "a", false);
    put("b-1", few_cores, "b", true);
    put("b-2", few_cores, "b", true);
    table.put("b-unreachable", {"", many_cores, "b", true, true}, now);
    auto names = [&](std::size_t count) {
        std::string result;
        for (const auto& each : table.carriers(count)) {
            result += each.vm + " ";
        }
        return result;
    };
    BOOST_TEST(names(0) == "");
    BOOST_TEST(names(2) == "a-large b-1 ");
    BOOST_TEST(names(9) == "a-large b-1 a-small b-2 ");
}

BOOST_AUTO_TEST_SUITE_END()
