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

work_item make_item(const std::string& id, const std::string& team, int rank,
                    int latest_start) {
    work_item item;
    item.request_id = id;
    item.team = team;
    item.rank = rank;
    item.need = {1, 0, 0, 0};
    item.latest_start = instant(milliseconds(latest_start));
    item.expected_run = milliseconds(10);
    return item;
}

std::vector<std::string> visited_ids(queue& queued) {
    std::vector<std::string> ids;
    queued.visit_ready(1000, [&ids](const work_item& item) {
        ids.push_back(item.request_id);
        return visit_result::next;
    });
    return ids;
}

} // namespace

BOOST_AUTO_TEST_CASE(
    paying_work_precedes_trial_work_and_urgent_precedes_batch) {
    queue queued;
    queued.set_quota("pay", 100);
    queued.set_quota("try", 100);
    queued.push(make_item("trial-urgent", "try", 4, 1));
    queued.push(make_item("batch", "pay", 3, 2));
    queued.push(make_item("urgent-late", "pay", 0, 9));
    queued.push(make_item("urgent-soon", "pay", 0, 3));
    std::vector<std::string> expected{"urgent-soon", "urgent-late", "batch",
                                      "trial-urgent"};
    BOOST_TEST(visited_ids(queued) == expected,
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(team_at_its_quota_is_skipped_until_it_releases_slots) {
    queue queued;
    queued.set_quota("a", 1);
    queued.set_quota("b", 5);
    queued.push(make_item("a1", "a", 0, 1));
    queued.push(make_item("a2", "a", 0, 2));
    queued.push(make_item("b1", "b", 0, 3));
    int taken_count = 0;
    queued.visit_ready(10, [&taken_count](const work_item&) {
        taken_count++;
        return visit_result::take;
    });
    BOOST_TEST(taken_count == 2);
    BOOST_TEST(visited_ids(queued).empty());
    queued.release_slots("a", 1);
    BOOST_TEST(visited_ids(queued).size() == 1u);
}

BOOST_AUTO_TEST_CASE(expired_items_are_removed) {
    queue queued;
    queued.set_quota("a", 5);
    auto expiring = make_item("soon", "a", 0, 1);
    expiring.expires_at = instant(milliseconds(50));
    queued.push(expiring);
    queued.push(make_item("never", "a", 0, 2));
    BOOST_TEST(queued.take_expired(instant(milliseconds(49))).empty());
    BOOST_TEST(queued.take_expired(instant(milliseconds(50))).size() == 1u);
    BOOST_TEST(queued.size() == 1u);
}

BOOST_AUTO_TEST_CASE(order_matches_a_sorted_list_after_random_changes) {
    std::mt19937_64 random(11);
    queue queued;
    std::map<std::string, work_item> reference;
    for (const char* team : {"a", "b", "c"}) {
        queued.set_quota(team, 1'000'000);
    }
    for (int step = 0; step < 3000; ++step) {
        std::string id = "r" + std::to_string(random() % 200);
        if (reference.contains(id)) {
            BOOST_REQUIRE(queued.remove(id));
            reference.erase(id);
            continue;
        }
        std::string team(1, static_cast<char>('a' + random() % 3));
        auto item = make_item(id, team, static_cast<int>(random() % 8),
                              static_cast<int>(random() % 50));
        queued.push(item);
        reference[id] = *queued.find(id);
    }
    std::vector<const work_item*> expected;
    for (const auto& [id, item] : reference) {
        expected.push_back(&item);
    }
    std::sort(expected.begin(), expected.end(), [](auto* a, auto* b) {
        return std::tie(a->rank, a->latest_start, a->sequence) <
               std::tie(b->rank, b->latest_start, b->sequence);
    });
    auto visited = visited_ids(queued);
    BOOST_REQUIRE(visited.size() == expected.size());
    for (std::size_t i = 0; i < visited.size(); ++i) {
        BOOST_REQUIRE(visited[i] == expected[i]->request_id);
    }
}

BOOST_AUTO_TEST_CASE(estimate_follows_observed_rather_than_declared_run_times) {
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

BOOST_AUTO_TEST_CASE(error_of_an_invalid_request_names_the_field) {
    struct invalid_request {
        const char* body;
        const char* expected_in_detail;
    };
    const invalid_request cases[] = {
        {R"({})", "team"},
        {R"({"team":"a","slots":0})", "slots"},
        {R"({"team":"a","kind":"odd"})", "batch, gang, service, urgent"},
        {R"({"team":"a","tasks":3})", "tasks"},
        {R"({"team":"a","repeatable":"no"})", "repeatable"},
        {R"({"team":7})", "team"},
        {R"({"team":"a","timeout_ms":1.5})", "timeout_ms"}};
    for (const invalid_request& invalid : cases) {
        auto parsed = admission::parse_request(
            nlohmann::json::parse(invalid.body), "id-1");
        BOOST_REQUIRE(!parsed);
        BOOST_TEST(parsed.error().detail.find(invalid.expected_in_detail) !=
                   std::string::npos);
    }
    auto invalid_id =
        admission::parse_request(nlohmann::json{{"team", "a"}}, "a b");
    BOOST_REQUIRE(!invalid_id);
    BOOST_TEST(invalid_id.error().detail.find("Idempotency-Key") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(request_is_unchanged_by_a_json_round_trip) {
    auto parsed = admission::parse_request(
        nlohmann::json::parse(
            R"({"team":"a","kind":"gang","tasks":4,"slots":2,"attempt":3,
                "run_ms":70,"timeout_ms":900,"repeatable":false,
                "payload":"x"})"),
        "id-1");
    BOOST_REQUIRE(parsed);
    auto parsed_again =
        admission::parse_request(admission::to_json_object(*parsed), "id-1");
    BOOST_REQUIRE(parsed_again);
    BOOST_TEST(admission::to_json_object(*parsed_again).dump() ==
               admission::to_json_object(*parsed).dump());
}
