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

capacity_by_level room_of_slots(std::int64_t slots,
                                std::int64_t reclaimable = 0) {
    capacity_by_level out;
    for (auto& at : out) {
        at = {slots, 1000, 1000, 0};
    }
    for (std::size_t level = 1; level < out.size(); ++level) {
        out[level].slots += reclaimable;
    }
    return out;
}

admission::work_item item_of(int count, std::int64_t slots) {
    admission::work_item out;
    out.request_id = "r";
    out.need = {slots, 0, 0, 0};
    out.count = count;
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(finds_the_only_endpoint_with_room) {
    capacity_tree tree;
    for (int i = 0; i < 20; ++i) {
        tree.set("e" + std::to_string(i), room_of_slots(i == 13 ? 4 : 1));
    }
    auto found = tree.find({3, 0, 0, 0}, reclaim_level::none);
    BOOST_REQUIRE(found);
    BOOST_TEST(*found == "e13");
    BOOST_TEST(!tree.find({5, 0, 0, 0}, reclaim_level::none));
    BOOST_TEST(!tree.find({1, 0, 0, 1}, reclaim_level::none));
}

BOOST_AUTO_TEST_CASE(reclaimable_room_counts_at_its_level_only) {
    capacity_tree tree;
    tree.set("e", room_of_slots(0, 2));
    BOOST_TEST(!tree.find({1, 0, 0, 0}, reclaim_level::none));
    BOOST_TEST(tree.find({1, 0, 0, 0}, reclaim_level::trial).has_value());
}

BOOST_AUTO_TEST_CASE(agrees_with_a_linear_search) {
    std::mt19937_64 random(7);
    capacity_tree tree;
    std::map<std::string, base::resources> plain;
    for (int step = 0; step < 5000; ++step) {
        std::string name = "e" + std::to_string(random() % 70);
        if (random() % 8 == 0) {
            tree.erase(name);
            plain.erase(name);
        } else {
            base::resources room{static_cast<std::int64_t>(random() % 9),
                                 static_cast<std::int64_t>(random() % 9),
                                 static_cast<std::int64_t>(random() % 9),
                                 static_cast<std::int64_t>(random() % 3)};
            tree.set(name, {room, room, room, room});
            plain[name] = room;
        }
        base::resources need{static_cast<std::int64_t>(random() % 9),
                             static_cast<std::int64_t>(random() % 9),
                             static_cast<std::int64_t>(random() % 9),
                             static_cast<std::int64_t>(random() % 3)};
        bool possible = false;
        for (const auto& [other, room] : plain) {
            possible = possible || base::fits(need, room);
        }
        auto found = tree.find(need, reclaim_level::none, random());
        BOOST_REQUIRE(found.has_value() == possible);
        BOOST_REQUIRE(!found || base::fits(need, plain.at(*found)));
    }
}

BOOST_AUTO_TEST_CASE(a_plan_holds_all_tasks_or_none_and_leaves_the_index) {
    capacity_tree tree;
    tree.set("a", room_of_slots(2));
    tree.set("b", room_of_slots(2));
    placement::planner planner(1);
    auto quality = [](const std::string&) {
        return placement::endpoint_quality{};
    };
    auto whole = planner.plan(item_of(4, 1), tree, quality);
    BOOST_REQUIRE(whole);
    BOOST_TEST(whole->size() == 4u);
    BOOST_TEST(!planner.plan(item_of(5, 1), tree, quality));
    BOOST_TEST(tree.find_capacity("a")->at(0).slots == 2);
    BOOST_TEST(tree.find_capacity("b")->at(0).slots == 2);
}

// The bound is the stated target: at most logarithmic in the endpoints.
BOOST_AUTO_TEST_CASE(steps_for_a_decision_grow_logarithmically) {
    auto steps_at = [](int endpoints) {
        capacity_tree tree;
        for (int i = 0; i < endpoints; ++i) {
            tree.set("e" + std::to_string(i), room_of_slots(8));
        }
        placement::planner planner(3);
        auto quality = [](const std::string&) {
            return placement::endpoint_quality{};
        };
        std::uint64_t before = tree.steps();
        constexpr int decisions = 100;
        for (int i = 0; i < decisions; ++i) {
            auto plan = planner.plan(item_of(1, 1), tree, quality);
            BOOST_REQUIRE(plan);
        }
        return static_cast<double>(tree.steps() - before) / decisions;
    };
    double small = steps_at(600);
    double large = steps_at(6000);
    double allowed = std::log2(6000.0) / std::log2(600.0);
    BOOST_TEST_MESSAGE("steps at 600: " << small << ", at 6000: " << large);
    BOOST_TEST(large / small <= allowed * 1.1);
}
