#include "eelgrasslever/coordination/committer.hpp"

#include "scripted_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using coordination::commit_outcome;
using coordination::status;
using test::scripted_store;

namespace {

constexpr base::milliseconds settle_time{30};
constexpr base::milliseconds retry_time{250};

struct fixture {
    kernel::loop loop;
    scripted_store store{loop};
    std::shared_ptr<coordination::committer> committer =
        std::make_shared<coordination::committer>(loop, store,
                                                  base::milliseconds(1));

    /// Submits a proposal that creates @p key unless it exists.
    std::shared_ptr<commit_outcome>
    create(const std::string& key,
           base::milliseconds time_limit = base::milliseconds(2000)) {
        auto outcome = std::make_shared<commit_outcome>();
        coordination::proposal next;
        next.change.conditions.push_back({key, coordination::absent});
        next.change.puts.push_back({key, "value", 0});
        next.deadline = base::monotonic_now() + time_limit;
        next.done = [outcome](const commit_outcome& result) {
            *outcome = result;
        };
        committer->submit(std::move(next));
        return outcome;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(committer, fixture)

BOOST_AUTO_TEST_CASE(proposals_that_arrive_together_share_a_transaction) {
    auto a = create("a");
    auto b = create("b");
    test::run_loop(loop, settle_time);
    BOOST_TEST((a->status == status::ok));
    BOOST_TEST((b->status == status::ok));
    BOOST_TEST(store.commit_count == 1);
}

BOOST_AUTO_TEST_CASE(
    a_transaction_does_not_exceed_the_entry_limit_of_the_store) {
    for (int i = 0; i < 40; ++i) {
        create("k" + std::to_string(i));
    }
    test::run_loop(loop, settle_time);
    BOOST_TEST(store.entries().size() == 40u);
    for (std::size_t entries : store.transaction_sizes) {
        BOOST_TEST(entries <= coordination::max_transaction_entries);
    }
}

// Guards against a submission and a cancellation of the same id that both
// succeed, as neither sees the other within one transaction.
BOOST_AUTO_TEST_CASE(proposals_with_a_common_key_are_ordered) {
    auto first = create("a");
    auto again = create("a");
    auto other = create("b");
    test::run_loop(loop, settle_time);
    BOOST_TEST((first->status == status::ok));
    BOOST_TEST((again->status == status::conflict));
    BOOST_TEST((other->status == status::ok));
    BOOST_TEST(store.commit_count >= 2);
}

BOOST_AUTO_TEST_CASE(a_conflict_does_not_affect_other_proposals) {
    auto first = create("a");
    test::run_loop(loop, settle_time);
    auto again = create("a");
    auto other = create("b");
    test::run_loop(loop, settle_time);
    BOOST_TEST((first->status == status::ok));
    BOOST_TEST((again->status == status::conflict));
    BOOST_TEST(again->current.front().value == "value");
    BOOST_TEST((other->status == status::ok));
}

BOOST_AUTO_TEST_CASE(a_lost_reply_is_resolved_by_the_next_attempt) {
    store.next_replies.push_back({status::unreachable, true});
    auto a = create("a");
    test::run_loop(loop, retry_time);
    // The first attempt took effect, so the second one conflicts with it.
    BOOST_TEST((a->status == status::conflict));
    BOOST_TEST(a->uncertain);
}

BOOST_AUTO_TEST_CASE(a_proposal_that_was_never_applied_is_refused) {
    store.default_reply = {status::refused, false};
    auto a = create("a", base::milliseconds(50));
    test::run_loop(loop, retry_time);
    BOOST_TEST((a->status == status::refused));
    BOOST_TEST(!a->uncertain);
}

// Guards against a stalled committer: after an outage in which all proposals
// timed out, no later proposal was sent.
BOOST_AUTO_TEST_CASE(resumes_after_an_outage_that_outlasted_all_proposals) {
    store.default_reply = {status::refused, false};
    create("a", base::milliseconds(50));
    test::run_loop(loop, retry_time);
    store.default_reply = {status::ok, true};
    auto b = create("b");
    test::run_loop(loop, retry_time);
    BOOST_TEST((b->status == status::ok));
}

BOOST_AUTO_TEST_SUITE_END()
