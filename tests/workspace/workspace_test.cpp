// Keys, limits and rates of workspaces, without a network or a clock.
#include "eelgrasslever/workspace/arrivals.hpp"
#include "eelgrasslever/workspace/directory.hpp"
#include "eelgrasslever/workspace/usage.hpp"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace eelgrasslever;
using workspace::configuration_validity;
using workspace::directory;

namespace {

constexpr base::milliseconds second{1000};
constexpr base::instant start{base::milliseconds(500'000)};

workspace::policy make_policy(const std::string& name, std::int64_t cpu_cap,
                              std::vector<std::string> keys = {}) {
    workspace::policy policy;
    policy.name = name;
    policy.cap.cpu_milli = cpu_cap;
    policy.keys = std::move(keys);
    return policy;
}

base::resources cpu(std::int64_t milli) {
    base::resources amount;
    amount.cpu_milli = milli;
    return amount;
}

std::vector<workspace::policy> make_policies() {
    return {make_policy("office", 10'000, {"key-1", "key-2"}),
            make_policy("doors", 0, {"key-3"})};
}

} // namespace

// A key that no configuration held was served.
BOOST_AUTO_TEST_CASE(only_keys_of_the_configuration_name_a_workspace) {
    directory workspaces(make_policies());
    BOOST_REQUIRE(workspaces.find_by_key("key-2") != nullptr);
    BOOST_TEST(workspaces.find_by_key("key-2")->name == "office");
    BOOST_TEST(workspaces.find_by_key("key-3")->name == "doors");
    for (const char* unknown : {"", "key", "key-", "key-11", "KEY-1"}) {
        BOOST_TEST(workspaces.find_by_key(unknown) == nullptr, unknown);
    }
}

// A log line or a metric showed a key.
BOOST_AUTO_TEST_CASE(keys_are_not_kept) {
    directory workspaces(make_policies());
    BOOST_TEST(workspaces.find("office")->keys.empty());
    std::string shown = workspaces.fingerprint("key-1");
    BOOST_TEST(shown.size() == 8u);
    BOOST_TEST(shown.find("key") == std::string::npos);
    BOOST_TEST(shown == workspaces.fingerprint("key-1"));
    BOOST_TEST(shown != directory(make_policies()).fingerprint("key-1"));
}

BOOST_AUTO_TEST_CASE(header_of_another_form_holds_no_key) {
    BOOST_TEST(workspace::bearer_key("Bearer abc").value_or("") == "abc");
    BOOST_TEST(workspace::bearer_key("bearer abc").value_or("") == "abc");
    for (const char* other : {"", "Bearer", "Bearer ", "Basic abc", "abc"}) {
        BOOST_TEST(!workspace::bearer_key(other).has_value(), other);
    }
}

// A VM that could not read the configuration any more, or that stood still,
// went on serving a key that had been withdrawn.
BOOST_AUTO_TEST_CASE(old_configuration_decides_about_no_key) {
    configuration_validity validity(5 * second);
    BOOST_TEST(validity.is_valid(start, start));
    BOOST_TEST(validity.is_valid(start, start + 4 * second));
    // Clocks may differ by 2% in rate.
    BOOST_TEST(!validity.is_valid(start, start + 4900 * second / 1000));
    BOOST_TEST(!validity.is_valid(start, start + 60 * second));
    BOOST_TEST(configuration_validity(std::nullopt)
                   .is_valid(start, start + 60 * second));
}

// Nothing was ever read: the configuration is as old as the clock.
BOOST_AUTO_TEST_CASE(unproven_configuration_decides_about_no_key) {
    BOOST_TEST(
        !configuration_validity(5 * second).is_valid(base::instant{}, start));
}

BOOST_AUTO_TEST_CASE(limit_admits_what_fits_beside_running_work) {
    workspace::usage usage;
    usage.set_limits(std::make_shared<const directory>(make_policies()));
    BOOST_TEST(usage.tasks_allowed("office", cpu(3000), 9) == 3);
    usage.add("office", cpu(3000));
    BOOST_TEST(usage.tasks_allowed("office", cpu(3000), 9) == 2);
    BOOST_TEST(usage.tasks_allowed("doors", cpu(3000), 9) == 9);
    BOOST_TEST(usage.tasks_allowed("", cpu(3000), 9) == 9);
    usage.add("office", cpu(6000));
    BOOST_TEST(usage.tasks_allowed("office", cpu(3000), 9) == 0);
    usage.remove("office", cpu(6000));
    BOOST_TEST(usage.tasks_allowed("office", cpu(3000), 9) == 2);
}

// A limit that is lowered stops nothing, and starts nothing either.
BOOST_AUTO_TEST_CASE(lowered_limit_admits_nothing_more) {
    workspace::usage usage;
    usage.set_limits(std::make_shared<const directory>(make_policies()));
    usage.add("office", cpu(9000));
    BOOST_TEST(usage.admits_placed("office", {cpu(3000)}));
    for (std::int64_t cap : {9000, 8999, 5000}) {
        usage.set_limits(std::make_shared<const directory>(
            std::vector{make_policy("office", cap)}));
        // A placed task of any size is started only if all fit in the limit.
        for (std::int64_t need : {1, 3000, 5000}) {
            BOOST_TEST(usage.admits_placed("office", {cpu(need)}) ==
                       (cap >= 9000));
        }
    }
    BOOST_TEST(usage.tasks_allowed("office", cpu(1), 9) == 0);
    BOOST_TEST(usage.running("office").cpu_milli == 9000);
}

// A limit that became smaller than a task kept the task from starting for good,
// whichever of the limit's parts that was.
BOOST_AUTO_TEST_CASE(task_larger_than_a_lowered_limit_is_admitted_alone) {
    using part = std::int64_t base::resources::*;
    for (part of : {&base::resources::cpu_milli, &base::resources::memory_mb,
                    &base::resources::accelerators}) {
        auto amount = [of](std::int64_t value) {
            base::resources result;
            result.*of = value;
            return result;
        };
        workspace::policy policy = make_policy("office", 0);
        policy.cap = amount(4);
        workspace::usage usage;
        usage.set_limits(
            std::make_shared<const directory>(std::vector{policy}));
        BOOST_TEST(usage.tasks_allowed("office", amount(6), 3) == 1);
        BOOST_TEST(usage.tasks_allowed("office", amount(6), 0) == 0);
        usage.add("office", amount(1));
        BOOST_TEST(usage.tasks_allowed("office", amount(6), 3) == 1);
        // It fits once the other one has ended.
        BOOST_TEST(usage.tasks_allowed("office", amount(4), 3) == 0);
        usage.add("office", amount(1));
        BOOST_TEST(usage.tasks_allowed("office", amount(6), 3) == 0);
        BOOST_TEST(usage.tasks_allowed("office", amount(2), 3) == 1);
        usage.remove("office", amount(2));
        usage.add("office", amount(6));
        BOOST_TEST(usage.admits_placed("office", {amount(6)}));
        BOOST_TEST(usage.tasks_allowed("office", amount(6), 3) == 0);
        BOOST_TEST(usage.tasks_allowed("office", amount(1), 3) == 0);
        usage.add("office", amount(6));
        BOOST_TEST(!usage.admits_placed("office", {amount(6)}));
    }
}

// A gang that passed the limit by more than one of its members was started, or
// one that passes it by less was not.
BOOST_AUTO_TEST_CASE(gang_passes_a_lowered_limit_by_one_member_at_most) {
    workspace::usage usage;
    usage.set_limits(std::make_shared<const directory>(
        std::vector{make_policy("office", 4000)}));
    BOOST_TEST(usage.admits("office", {cpu(3000), 2, true}));
    BOOST_TEST(usage.admits("office", {cpu(1000), 5, true}));
    BOOST_TEST(!usage.admits("office", {cpu(3000), 3, true}));
    BOOST_TEST(!usage.is_admissible("office", {cpu(3000), 3, true}));
    BOOST_TEST(!usage.admits("office", {cpu(5000), 2, true}));
    usage.add("office", cpu(1000));
    BOOST_TEST(usage.admits("office", {cpu(3000), 2, true}));
    BOOST_TEST(!usage.admits("office", {cpu(1000), 5, true}));
    BOOST_TEST(usage.is_admissible("office", {cpu(1000), 5, true}));
    usage.add("office", cpu(1000));
    BOOST_TEST(!usage.admits("office", {cpu(3000), 2, true}));
    usage.remove("office", cpu(2000));
    usage.add("office", cpu(6000));
    BOOST_TEST(usage.admits_placed("office", {cpu(3000), 2, true}));
    // Of 4.2 and 1.4, the platform allows 4.4 and one member.
    BOOST_TEST(!usage.is_admissible("office", {cpu(1400), 4, true}));
    workspace::usage lenient(0.1);
    lenient.set_limits(std::make_shared<const directory>(
        std::vector{make_policy("office", 4000)}));
    BOOST_TEST(lenient.admits("office", {cpu(1400), 4, true}));
    BOOST_TEST(!lenient.admits("office", {cpu(1500), 4, true}));
    BOOST_TEST(lenient.admits("office", {cpu(1000), 4, true}));
    lenient.add("office", cpu(300));
    BOOST_TEST(!lenient.admits("office", {cpu(1400), 4, true}));
    BOOST_TEST(!lenient.admits("office", {cpu(1000), 4, true}));
    BOOST_TEST(lenient.tasks_allowed("office", cpu(1000), 9) == 3);
    constexpr std::int64_t huge = std::numeric_limits<std::int64_t>::max();
    BOOST_TEST(!usage.admits("office", {cpu(huge), 4096, true}));
}

// One workspace floods: what it sends beyond its rate is told apart, and the
// others' jobs are not.
BOOST_AUTO_TEST_CASE(jobs_beyond_the_rate_are_surplus) {
    workspace::arrivals arrivals;
    constexpr double weight = 2.0;
    std::chrono::sys_time<base::milliseconds> time(100 * second);
    int within_rate = 0;
    for (int i = 0; i < 100; ++i) {
        within_rate +=
            arrivals.add("flood", time + base::milliseconds(i), weight) ? 0 : 1;
        BOOST_TEST(!arrivals.add("none", time, 0.0));
    }
    BOOST_TEST(within_rate == 10);
    BOOST_TEST(!arrivals.add("other", time, weight));
    BOOST_TEST(!arrivals.add("flood", time + 6 * second, weight));
}

// A new leader learns of the open jobs in any order.
BOOST_AUTO_TEST_CASE(order_of_arrival_does_not_matter_to_spread_out_jobs) {
    workspace::arrivals arrivals;
    std::chrono::sys_time<base::milliseconds> time(100 * second);
    for (int i : {9, 3, 0, 7, 1, 8, 2, 5, 4, 6}) {
        BOOST_TEST(!arrivals.add("w", time + i * second, 1.0));
    }
}
