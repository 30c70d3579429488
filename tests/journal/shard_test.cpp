#include "eelgrasslever/journal/shard.hpp"

#include "fake_store.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace eelgrasslever;
using journal::commit_result;
using journal::entry;
using journal::shard;
using test_support::fake_store;

namespace {

journal::operation create(const std::string& id, const std::string& home,
                          std::vector<commit_result>& results) {
    journal::operation out;
    out.id = id;
    out.change = [home](const entry* present) -> std::optional<entry> {
        if (present != nullptr) {
            return std::nullopt;
        }
        entry next;
        next.home = home;
        return next;
    };
    out.done = [&results](commit_result result, const entry*) {
        results.push_back(result);
    };
    return out;
}

void run_until_idle(shard& at, fake_store& store) {
    while (auto call = at.next_call(0)) {
        at.on_reply(*call, store.serve(*call));
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(what_arrives_together_is_committed_by_one_write) {
    fake_store store;
    shard at("journal/0", "a@1");
    std::vector<commit_result> results;
    for (int i = 0; i < 50; ++i) {
        at.submit(create("r" + std::to_string(i), "a@1", results));
    }
    run_until_idle(at, store);
    BOOST_TEST(results.size() == 50u);
    BOOST_TEST(store.writes() == 1u);
}

BOOST_AUTO_TEST_CASE(of_two_homes_one_gets_the_id) {
    fake_store store;
    shard a("journal/0", "a@1");
    shard b("journal/0", "b@1");
    std::vector<commit_result> first;
    std::vector<commit_result> second;
    a.submit(create("r", "a@1", first));
    b.submit(create("r", "b@1", second));
    // Both read the empty shard before either writes.
    auto read_a = a.next_call(0);
    auto read_b = b.next_call(0);
    a.on_reply(*read_a, store.serve(*read_a));
    b.on_reply(*read_b, store.serve(*read_b));
    run_until_idle(a, store);
    run_until_idle(b, store);
    BOOST_REQUIRE(first.size() == 1u);
    BOOST_REQUIRE(second.size() == 1u);
    BOOST_TEST((first[0] == commit_result::recorded));
    BOOST_TEST((second[0] == commit_result::refused));
}

BOOST_AUTO_TEST_CASE(a_write_whose_reply_was_lost_is_recognised) {
    fake_store store;
    shard at("journal/0", "a@1");
    std::vector<commit_result> results;
    at.submit(create("r", "a@1", results));
    auto read = at.next_call(0);
    at.on_reply(*read, store.serve(*read));
    auto write = at.next_call(0);
    store.serve(*write);     // takes effect
    at.on_reply(*write, {}); // the reply is lost
    run_until_idle(at, store);
    BOOST_REQUIRE(results.size() == 1u);
    BOOST_TEST((results[0] == commit_result::recorded));
    BOOST_TEST(store.writes() == 1u);
}

BOOST_AUTO_TEST_CASE(an_unreachable_store_is_said_at_once) {
    shard at("journal/0", "a@1");
    std::vector<commit_result> results;
    at.submit(create("r", "a@1", results));
    auto read = at.next_call(0);
    at.on_reply(*read, {});
    BOOST_REQUIRE(results.size() == 1u);
    BOOST_TEST((results[0] == commit_result::unavailable));
    BOOST_TEST(!at.next_call(0).has_value());
}

// Three writers, lost replies, lost requests: each id is recorded at most once
// over all of them, and whoever is told so is the one in the store.
BOOST_AUTO_TEST_CASE(random_races_never_record_an_id_twice) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        fake_store store;
        std::vector<std::unique_ptr<shard>> all;
        std::map<std::string, std::vector<std::string>> recorded;
        for (const char* name : {"a@1", "b@1", "c@1"}) {
            all.push_back(std::make_unique<shard>("journal/0", name));
        }
        std::vector<std::optional<store::call>> under_way(all.size());
        for (int step = 0; step < 600; ++step) {
            std::size_t who = random() % all.size();
            std::string home = std::string(1, "abc"[who]) + "@1";
            if (random() % 3 == 0) {
                std::string id = "r" + std::to_string(random() % 40);
                std::vector<commit_result> unused;
                auto op = create(id, home, unused);
                op.done = [&recorded, id, home](commit_result result,
                                                const entry*) {
                    if (result == commit_result::recorded) {
                        recorded[id].push_back(home);
                    }
                };
                all[who]->submit(std::move(op));
            }
            if (!under_way[who]) {
                under_way[who] = all[who]->next_call(0);
                continue;
            }
            store::reply reply;
            if (random() % 4 != 0) {
                reply = store.serve(*under_way[who]);
            }
            if (random() % 4 == 0) {
                reply = {};
            }
            auto call = *under_way[who];
            under_way[who].reset();
            all[who]->on_reply(call, reply);
        }
        for (const auto& [id, homes] : recorded) {
            BOOST_REQUIRE_MESSAGE(homes.size() == 1,
                                  "seed " << seed << " id " << id);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_value_that_cannot_be_read_is_not_written_over) {
    for (const char* value : {"[]", "{\"entries\":7}", "{\"writer\":{}}",
                              "{\"entries\":{\"r\":5}}"}) {
        shard at("journal/0", "a@1");
        std::vector<commit_result> results;
        at.submit(create("r", "a@1", results));
        auto read = at.next_call(0);
        at.on_reply(*read, {store::status::ok, 3, value});
        BOOST_REQUIRE(results.size() == 1u);
        BOOST_TEST((results[0] == commit_result::unavailable));
        BOOST_TEST(!at.next_call(0).has_value());
    }
}

BOOST_AUTO_TEST_CASE(progress_is_kept_as_ranges) {
    std::vector<bool> finished{true, true, false, true, false, true, true};
    auto ranges = journal::to_ranges(finished);
    BOOST_TEST(ranges.size() == 3u);
    std::vector<bool> again(finished.size(), false);
    journal::apply_ranges(ranges, again);
    BOOST_TEST(again == finished, boost::test_tools::per_element());
}
