#include "eelgrasslever/placement/capacity_tree.hpp"
#include "eelgrasslever/placement/planner.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace eelgrasslever;
using admission::reclaim_level;
using placement::capacity_by_level;
using placement::capacity_tree;

namespace {

capacity_by_level make_capacity(std::int64_t slots,
                                std::int64_t reclaimable_slots = 0) {
    capacity_by_level capacity;
    for (auto& available : capacity) {
        available = {slots, 1000, 1000, 0};
    }
    for (std::size_t level = 1; level < capacity.size(); ++level) {
        capacity[level].slots += reclaimable_slots;
    }
    return capacity;
}

admission::work_item make_item(int count, std::int64_t slots) {
    admission::work_item item;
    item.request_id = "r";
    item.need = {slots, 0, 0, 0};
    item.count = count;
    return item;
}

} // namespace

BOOST_AUTO_TEST_CASE(finds_the_only_endpoint_with_enough_capacity) {
    capacity_tree tree;
    for (int i = 0; i < 20; ++i) {
        tree.set("e" + std::to_string(i), make_capacity(i == 13 ? 4 : 1));
    }
    auto found = tree.find({3, 0, 0, 0}, reclaim_level::none);
    BOOST_REQUIRE(found);
    BOOST_TEST(*found == "e13");
    BOOST_TEST(!tree.find({5, 0, 0, 0}, reclaim_level::none));
    BOOST_TEST(!tree.find({1, 0, 0, 1}, reclaim_level::none));
}

BOOST_AUTO_TEST_CASE(reclaimable_slots_count_only_from_their_level_up) {
    capacity_tree tree;
    tree.set("e", make_capacity(0, 2));
    BOOST_TEST(!tree.find({1, 0, 0, 0}, reclaim_level::none));
    BOOST_TEST(tree.find({1, 0, 0, 0}, reclaim_level::trial).has_value());
}

BOOST_AUTO_TEST_CASE(search_agrees_with_a_linear_search) {
    std::mt19937_64 random(7);
    capacity_tree tree;
    std::map<std::string, base::resources> reference;
    for (int step = 0; step < 5000; ++step) {
        std::string name = "e" + std::to_string(random() % 70);
        if (random() % 8 == 0) {
            tree.erase(name);
            reference.erase(name);
        } else {
            base::resources capacity{static_cast<std::int64_t>(random() % 9),
                                     static_cast<std::int64_t>(random() % 9),
                                     static_cast<std::int64_t>(random() % 9),
                                     static_cast<std::int64_t>(random() % 3)};
            tree.set(name, {capacity, capacity, capacity, capacity});
            reference[name] = capacity;
        }
        base::resources need{static_cast<std::int64_t>(random() % 9),
                             static_cast<std::int64_t>(random() % 9),
                             static_cast<std::int64_t>(random() % 9),
                             static_cast<std::int64_t>(random() % 3)};
        bool fits_any = false;
        for (const auto& [other, capacity] : reference) {
            fits_any = fits_any || base::fits(need, capacity);
        }
        auto found = tree.find(need, reclaim_level::none, random());
        BOOST_REQUIRE(found.has_value() == fits_any);
        BOOST_REQUIRE(!found || base::fits(need, reference.at(*found)));
    }
}

BOOST_AUTO_TEST_CASE(plan_covers_all_tasks_or_none_and_restores_the_tree) {
    capacity_tree tree;
    tree.set("a", make_capacity(2));
    tree.set("b", make_capacity(2));
    placement::planner planner(1);
    auto quality = [](const std::string&) {
        return placement::endpoint_quality{};
    };
    auto plan = planner.plan(make_item(4, 1), tree, quality);
    BOOST_REQUIRE(plan);
    BOOST_TEST(plan->size() == 4u);
    BOOST_TEST(!planner.plan(make_item(5, 1), tree, quality));
    BOOST_TEST(tree.find_capacity("a")->at(0).slots == 2);
    BOOST_TEST(tree.find_capacity("b")->at(0).slots == 2);
}

// Guards against a search that degrades to a scan of the endpoints. The target
// is a cost for each decision that grows at most with the logarithm of the
// number of endpoints; the test allows 10 % more.
BOOST_AUTO_TEST_CASE(nodes_visited_for_a_decision_grow_logarithmically) {
    auto steps_per_decision = [](int endpoint_count) {
        capacity_tree tree;
        for (int i = 0; i < endpoint_count; ++i) {
            tree.set("e" + std::to_string(i), make_capacity(8));
        }
        placement::planner planner(3);
        auto quality = [](const std::string&) {
            return placement::endpoint_quality{};
        };
        std::uint64_t steps_before = tree.steps();
        constexpr int decision_count = 100;
        for (int i = 0; i < decision_count; ++i) {
            auto plan = planner.plan(make_item(1, 1), tree, quality);
            BOOST_REQUIRE(plan);
        }
        return static_cast<double>(tree.steps() - steps_before) /
               decision_count;
    };
    double steps_small = steps_per_decision(600);
    double steps_large = steps_per_decision(6000);
    double max_ratio = std::log2(6000.0) / std::log2(600.0);
    BOOST_TEST_MESSAGE("nodes visited for a decision with 600 endpoints: "
                       << steps_small << ", with 6000: " << steps_large);
    BOOST_TEST(steps_large / steps_small <= max_ratio * 1.1);
}
