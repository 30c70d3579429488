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

journal::operation make_create_operation(const std::string& id,
                                         const std::string& owner,
                                         std::vector<commit_result>& results) {
    journal::operation op;
    op.id = id;
    op.change = [owner](const entry* present) -> std::optional<entry> {
        if (present != nullptr) {
            return std::nullopt;
        }
        entry next;
        next.owner = owner;
        return next;
    };
    op.on_done = [&results](commit_result result, const entry*) {
        results.push_back(result);
    };
    return op;
}

void run_until_idle(shard& target, fake_store& store) {
    while (auto call = target.next_call(0)) {
        target.on_reply(*call, store.serve(*call));
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(operations_submitted_together_are_committed_by_one_write) {
    fake_store store;
    shard journal_shard("journal/0", "a@1");
    std::vector<commit_result> results;
    for (int i = 0; i < 50; ++i) {
        journal_shard.submit(
            make_create_operation("r" + std::to_string(i), "a@1", results));
    }
    run_until_idle(journal_shard, store);
    BOOST_TEST(results.size() == 50u);
    BOOST_TEST(store.writes() == 1u);
}

BOOST_AUTO_TEST_CASE(only_one_of_two_owners_records_an_id) {
    fake_store store;
    shard a("journal/0", "a@1");
    shard b("journal/0", "b@1");
    std::vector<commit_result> first;
    std::vector<commit_result> second;
    a.submit(make_create_operation("r", "a@1", first));
    b.submit(make_create_operation("r", "b@1", second));
    // Both read the empty shard before either of them writes.
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
    shard journal_shard("journal/0", "a@1");
    std::vector<commit_result> results;
    journal_shard.submit(make_create_operation("r", "a@1", results));
    auto read = journal_shard.next_call(0);
    journal_shard.on_reply(*read, store.serve(*read));
    auto write = journal_shard.next_call(0);
    store.serve(*write);                // the write takes effect
    journal_shard.on_reply(*write, {}); // the reply is lost
    run_until_idle(journal_shard, store);
    BOOST_REQUIRE(results.size() == 1u);
    BOOST_TEST((results[0] == commit_result::recorded));
    BOOST_TEST(store.writes() == 1u);
}

BOOST_AUTO_TEST_CASE(an_unreachable_store_is_reported_at_once) {
    shard journal_shard("journal/0", "a@1");
    std::vector<commit_result> results;
    journal_shard.submit(make_create_operation("r", "a@1", results));
    auto read = journal_shard.next_call(0);
    journal_shard.on_reply(*read, {});
    BOOST_REQUIRE(results.size() == 1u);
    BOOST_TEST((results[0] == commit_result::unavailable));
    BOOST_TEST(!journal_shard.next_call(0).has_value());
}

// Guards against recording an id for two owners. Three writers race on one key
// while calls and replies get lost; each id may be reported as recorded to at
// most one writer.
BOOST_AUTO_TEST_CASE(concurrent_writers_never_record_an_id_twice) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        fake_store store;
        std::vector<std::unique_ptr<shard>> shards;
        std::map<std::string, std::vector<std::string>> recorded;
        for (const char* name : {"a@1", "b@1", "c@1"}) {
            shards.push_back(std::make_unique<shard>("journal/0", name));
        }
        std::vector<std::optional<store::call>> in_flight(shards.size());
        for (int step = 0; step < 600; ++step) {
            std::size_t writer = random() % shards.size();
            std::string owner = std::string(1, "abc"[writer]) + "@1";
            if (random() % 3 == 0) {
                std::string id = "r" + std::to_string(random() % 40);
                std::vector<commit_result> unused;
                auto op = make_create_operation(id, owner, unused);
                op.on_done = [&recorded, id, owner](commit_result result,
                                                    const entry*) {
                    if (result == commit_result::recorded) {
                        recorded[id].push_back(owner);
                    }
                };
                shards[writer]->submit(std::move(op));
            }
            if (!in_flight[writer]) {
                in_flight[writer] = shards[writer]->next_call(0);
                continue;
            }
            store::reply reply;
            if (random() % 4 != 0) {
                reply = store.serve(*in_flight[writer]);
            }
            if (random() % 4 == 0) {
                reply = {};
            }
            auto call = *in_flight[writer];
            in_flight[writer].reset();
            shards[writer]->on_reply(call, reply);
        }
        for (const auto& [id, owners] : recorded) {
            BOOST_REQUIRE_MESSAGE(owners.size() == 1,
                                  "seed " << seed << " id " << id);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_unreadable_value_is_not_overwritten) {
    for (const char* value : {"[]", "{\"entries\":7}", "{\"writer\":{}}",
                              "{\"entries\":{\"r\":5}}"}) {
        shard journal_shard("journal/0", "a@1");
        std::vector<commit_result> results;
        journal_shard.submit(make_create_operation("r", "a@1", results));
        auto read = journal_shard.next_call(0);
        journal_shard.on_reply(*read, {store::status::ok, 3, value});
        BOOST_REQUIRE(results.size() == 1u);
        BOOST_TEST((results[0] == commit_result::unavailable));
        BOOST_TEST(!journal_shard.next_call(0).has_value());
    }
}

BOOST_AUTO_TEST_CASE(finished_tasks_are_stored_as_ranges) {
    std::vector<bool> finished{true, true, false, true, false, true, true};
    auto ranges = journal::to_ranges(finished);
    BOOST_TEST(ranges.size() == 3u);
    std::vector<bool> restored(finished.size(), false);
    journal::apply_ranges(ranges, restored);
    BOOST_TEST(restored == finished, boost::test_tools::per_element());
}
