#include "eelgrasslever/admission/queue.hpp"
#include "eelgrasslever/admission/request.hpp"
#include "eelgrasslever/admission/run_estimator.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace eelgrasslever;
using admission::queue;
using admission::visit_result;
using admission::work_item;
using base::instant;
using base::milliseconds;

namespace {

work_item item_of(const std::string& id, const std::string& team, int rank,
                  int latest_start) {
    work_item out;
    out.request_id = id;
    out.team = team;
    out.rank = rank;
    out.need = {1, 0, 0, 0};
    out.latest_start = instant(milliseconds(latest_start));
    out.expected_run = milliseconds(10);
    return out;
}

std::vector<std::string> order_of(queue& all) {
    std::vector<std::string> out;
    all.visit_ready(1000, [&out](const work_item& item) {
        out.push_back(item.request_id);
        return visit_result::next;
    });
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(paying_ranks_go_before_trial_and_urgent_before_batch) {
    queue all;
    all.set_quota("pay", 100);
    all.set_quota("try", 100);
    all.push(item_of("trial-urgent", "try", 4, 1));
    all.push(item_of("batch", "pay", 3, 2));
    all.push(item_of("urgent-late", "pay", 0, 9));
    all.push(item_of("urgent-soon", "pay", 0, 3));
    std::vector<std::string> wanted{"urgent-soon", "urgent-late", "batch",
                                    "trial-urgent"};
    BOOST_TEST(order_of(all) == wanted, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_team_at_its_quota_is_passed_over_until_it_gives_back) {
    queue all;
    all.set_quota("a", 1);
    all.set_quota("b", 5);
    all.push(item_of("a1", "a", 0, 1));
    all.push(item_of("a2", "a", 0, 2));
    all.push(item_of("b1", "b", 0, 3));
    int taken = 0;
    all.visit_ready(10, [&taken](const work_item&) {
        taken++;
        return visit_result::take;
    });
    BOOST_TEST(taken == 2);
    BOOST_TEST(order_of(all).empty());
    all.release_slots("a", 1);
    BOOST_TEST(order_of(all).size() == 1u);
}

BOOST_AUTO_TEST_CASE(overdue_items_are_taken_out) {
    queue all;
    all.set_quota("a", 5);
    auto soon = item_of("soon", "a", 0, 1);
    soon.expires_at = instant(milliseconds(50));
    all.push(soon);
    all.push(item_of("never", "a", 0, 2));
    BOOST_TEST(all.take_expired(instant(milliseconds(49))).empty());
    BOOST_TEST(all.take_expired(instant(milliseconds(50))).size() == 1u);
    BOOST_TEST(all.size() == 1u);
}

BOOST_AUTO_TEST_CASE(the_order_holds_over_random_changes) {
    std::mt19937_64 random(11);
    queue all;
    std::map<std::string, work_item> plain;
    for (const char* team : {"a", "b", "c"}) {
        all.set_quota(team, 1'000'000);
    }
    for (int step = 0; step < 3000; ++step) {
        std::string id = "r" + std::to_string(random() % 200);
        if (plain.contains(id)) {
            BOOST_REQUIRE(all.remove(id));
            plain.erase(id);
            continue;
        }
        std::string team(1, static_cast<char>('a' + random() % 3));
        auto item = item_of(id, team, static_cast<int>(random() % 8),
                            static_cast<int>(random() % 50));
        all.push(item);
        plain[id] = *all.find(id);
    }
    std::vector<const work_item*> wanted;
    for (const auto& [id, item] : plain) {
        wanted.push_back(&item);
    }
    std::sort(wanted.begin(), wanted.end(), [](auto* a, auto* b) {
        return std::tie(a->rank, a->latest_start, a->sequence) <
               std::tie(b->rank, b->latest_start, b->sequence);
    });
    auto seen = order_of(all);
    BOOST_REQUIRE(seen.size() == wanted.size());
    for (std::size_t i = 0; i < seen.size(); ++i) {
        BOOST_REQUIRE(seen[i] == wanted[i]->request_id);
    }
}

BOOST_AUTO_TEST_CASE(observed_run_times_replace_declared_ones) {
    admission::run_estimator estimator;
    BOOST_TEST(estimator.estimate("a", "batch", milliseconds(100)).count() ==
               100);
    for (int i = 0; i < 50; ++i) {
        estimator.observe("a", "batch", milliseconds(100), milliseconds(400));
    }
    auto expected = estimator.estimate("a", "batch", milliseconds(200)).count();
    BOOST_TEST(expected > 700);
    BOOST_TEST(expected < 900);
}

BOOST_AUTO_TEST_CASE(a_faulty_request_names_the_field_and_the_fix) {
    struct faulty {
        const char* body;
        const char* named;
    };
    const faulty cases[] = {
        {R"({})", "team"},
        {R"({"team":"a","slots":0})", "slots"},
        {R"({"team":"a","kind":"odd"})", "batch, gang, service, urgent"},
        {R"({"team":"a","tasks":3})", "tasks"},
        {R"({"team":"a","repeatable":"no"})", "repeatable"},
        {R"({"team":7})", "team"},
        {R"({"team":"a","timeout_ms":1.5})", "timeout_ms"}};
    for (const faulty& item : cases) {
        auto parsed =
            admission::parse_request(nlohmann::json::parse(item.body), "id-1");
        BOOST_REQUIRE(!parsed);
        BOOST_TEST(parsed.error().detail.find(item.named) != std::string::npos);
    }
    auto bad_id =
        admission::parse_request(nlohmann::json{{"team", "a"}}, "a b");
    BOOST_REQUIRE(!bad_id);
    BOOST_TEST(bad_id.error().detail.find("Idempotency-Key") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_survives_its_json_form) {
    auto parsed = admission::parse_request(
        nlohmann::json::parse(
            R"({"team":"a","kind":"gang","tasks":4,"slots":2,"attempt":3,
                "run_ms":70,"timeout_ms":900,"repeatable":false,
                "payload":"x"})"),
        "id-1");
    BOOST_REQUIRE(parsed);
    auto again =
        admission::parse_request(admission::to_json_object(*parsed), "id-1");
    BOOST_REQUIRE(again);
    BOOST_TEST(admission::to_json_object(*again).dump() ==
               admission::to_json_object(*parsed).dump());
}
