#include "eelgrasslever/coordination/committer.hpp"

#include "scripted_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using coordination::commit_outcome;
using coordination::status;
using test::scripted_store;

namespace {

constexpr base::milliseconds soon{30};
constexpr base::milliseconds one_retry{250};

struct fixture {
    kernel::loop loop;
    scripted_store store{loop};
    std::shared_ptr<coordination::committer> writer =
        std::make_shared<coordination::committer>(loop, store,
                                                  base::milliseconds(1));

    /// Creates @p key unless it exists.
    std::shared_ptr<commit_outcome>
    create(const std::string& key,
           base::milliseconds patience = base::milliseconds(2000)) {
        auto out = std::make_shared<commit_outcome>();
        coordination::proposal next;
        next.change.conditions.push_back({key, coordination::absent});
        next.change.puts.push_back({key, "value", 0});
        next.deadline = base::monotonic_now() + patience;
        next.done = [out](const commit_outcome& done) { *out = done; };
        writer->submit(std::move(next));
        return out;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(committer, fixture)

BOOST_AUTO_TEST_CASE(proposals_that_arrive_together_share_a_transaction) {
    auto a = create("a");
    auto b = create("b");
    test::run_loop(loop, soon);
    BOOST_TEST((a->status == status::ok));
    BOOST_TEST((b->status == status::ok));
    BOOST_TEST(store.commits == 1);
}

BOOST_AUTO_TEST_CASE(a_transaction_keeps_within_the_rows_of_the_store) {
    for (int i = 0; i < 40; ++i) {
        create("k" + std::to_string(i));
    }
    test::run_loop(loop, soon);
    BOOST_TEST(store.entries().size() == 40u);
    for (std::size_t rows : store.rows_seen) {
        BOOST_TEST(rows <= coordination::max_transaction_entries);
    }
}

BOOST_AUTO_TEST_CASE(a_conflict_of_one_does_not_hold_up_the_others) {
    auto first = create("a");
    test::run_loop(loop, soon);
    auto again = create("a");
    auto other = create("b");
    test::run_loop(loop, soon);
    BOOST_TEST((first->status == status::ok));
    BOOST_TEST((again->status == status::conflict));
    BOOST_TEST(again->current.front().value == "value");
    BOOST_TEST((other->status == status::ok));
}

BOOST_AUTO_TEST_CASE(a_lost_reply_is_settled_by_the_next_attempt) {
    store.faults.push_back({status::unreachable, true});
    auto a = create("a");
    test::run_loop(loop, one_retry);
    // The first attempt took effect, so the second meets its own value.
    BOOST_TEST((a->status == status::conflict));
    BOOST_TEST(a->uncertain);
}

BOOST_AUTO_TEST_CASE(what_was_never_done_is_refused) {
    store.otherwise = {status::refused, false};
    auto a = create("a", base::milliseconds(50));
    test::run_loop(loop, one_retry);
    BOOST_TEST((a->status == status::refused));
    BOOST_TEST(!a->uncertain);
}

// Seen on the bench: after an outage in which all proposals were given up, no
// later one was ever sent.
BOOST_AUTO_TEST_CASE(goes_on_after_an_outage_that_outlasted_all_proposals) {
    store.otherwise = {status::refused, false};
    create("a", base::milliseconds(50));
    test::run_loop(loop, one_retry);
    store.otherwise = {status::ok, true};
    auto b = create("b");
    test::run_loop(loop, one_retry);
    BOOST_TEST((b->status == status::ok));
}

BOOST_AUTO_TEST_SUITE_END()
