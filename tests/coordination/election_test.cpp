#include "eelgrasslever/coordination/election.hpp"

#include "eelgrasslever/coordination/prefix_watcher.hpp"
#include "scripted_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using coordination::status;
using test::scripted_store;

namespace {

constexpr base::milliseconds soon{400};

/// One VM that bids.
struct candidate {
    candidate(kernel::loop& loop, scripted_store& store,
              const std::string& name) {
        session = std::make_shared<coordination::lease_session>(
            loop, store, "e/member/" + name, "{}",
            coordination::lease_session::handlers{
                [this] { election->on_view_loaded(); },
                [this] { election->on_lease_expired(); }});
        election = std::make_shared<coordination::election>(
            loop, store, *session, "e/leader", "e/term", name,
            coordination::election::handlers{
                [this](const coordination::leadership& won) {
                    terms.push_back(won.term);
                },
                [this](const char*) { losses++; }});
        watcher = std::make_shared<coordination::prefix_watcher>(
            loop, store, "e/",
            coordination::prefix_watcher_timing{base::milliseconds(10),
                                                base::milliseconds(5),
                                                base::milliseconds(10)},
            [this](const coordination::key_value& change) {
                election->on_change(change);
            },
            [this] { election->on_view_loaded(); });
        watcher->start();
        session->start();
    }
    ~candidate() {
        watcher->stop();
        session->stop();
        election->resign();
    }

    std::shared_ptr<coordination::lease_session> session;
    std::shared_ptr<coordination::election> election;
    std::shared_ptr<coordination::prefix_watcher> watcher;
    std::vector<coordination::term> terms;
    int losses{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(election)

BOOST_AUTO_TEST_CASE(one_of_two_wins_and_the_other_follows_a_resignation) {
    kernel::loop loop;
    scripted_store store(loop);
    {
        candidate a(loop, store, "a");
        candidate b(loop, store, "b");
        test::run_loop(loop, soon);
        BOOST_TEST((a.election->leading() != b.election->leading()));
        candidate& first = a.election->leading() ? a : b;
        candidate& second = a.election->leading() ? b : a;
        first.election->resign();
        test::run_loop(loop, soon);
        BOOST_TEST(second.election->leading());
        BOOST_TEST(second.terms.back() == first.terms.back() + 1);
    }
    test::run_loop(loop, base::milliseconds(20));
}

BOOST_AUTO_TEST_CASE(a_leader_whose_key_is_removed_stands_down) {
    kernel::loop loop;
    scripted_store store(loop);
    {
        candidate a(loop, store, "a");
        test::run_loop(loop, soon);
        BOOST_TEST(a.election->leading());
        coordination::transaction change;
        change.removals.push_back("e/leader");
        store.apply(change);
        test::run_loop(loop, soon);
        BOOST_TEST(a.losses == 1);
        BOOST_TEST(a.terms.size() == 2u);
        BOOST_TEST(a.terms.back() == 2u);
    }
    test::run_loop(loop, base::milliseconds(20));
}

// The reply to a bid is lost although it won.
BOOST_AUTO_TEST_CASE(a_bid_without_a_reply_is_settled_by_reading) {
    kernel::loop loop;
    scripted_store store(loop);
    {
        candidate a(loop, store, "a");
        // Page, grant, member entry; then the bid.
        store.faults = {
            {status::ok, true}, {status::ok, true}, {status::ok, true}};
        for (int i = 0; i < 12; ++i) {
            store.faults.push_back({status::unreachable, true});
        }
        test::run_loop(loop, base::milliseconds(1500));
        BOOST_TEST(a.election->leading());
        BOOST_TEST(store.entries().at("e/leader").value == "a");
    }
    test::run_loop(loop, base::milliseconds(20));
}

BOOST_AUTO_TEST_CASE(a_reluctant_leader_hands_over_to_a_fitter_vm) {
    kernel::loop loop;
    scripted_store store(loop);
    {
        candidate small(loop, store, "small");
        test::run_loop(loop, soon);
        BOOST_TEST(small.election->leading());
        candidate fit(loop, store, "fit");
        test::run_loop(loop, base::milliseconds(50));
        small.election->set_low_priority(true);
        small.election->hand_over();
        test::run_loop(loop, soon);
        BOOST_TEST(!small.election->leading());
        BOOST_TEST(fit.election->leading());
        BOOST_TEST(small.losses == 1);
    }
    test::run_loop(loop, base::milliseconds(20));
}

BOOST_AUTO_TEST_CASE(a_leader_whose_handover_nobody_takes_leads_again) {
    kernel::loop loop;
    scripted_store store(loop);
    {
        candidate alone(loop, store, "alone");
        test::run_loop(loop, soon);
        alone.election->set_low_priority(true);
        alone.election->hand_over();
        test::run_loop(loop, 3 * soon);
        BOOST_TEST(alone.election->leading());
        BOOST_TEST(alone.terms.size() == 2u);
    }
    test::run_loop(loop, base::milliseconds(20));
}

BOOST_AUTO_TEST_CASE(a_handover_that_the_store_refuses_changes_nothing) {
    kernel::loop loop;
    scripted_store store(loop);
    {
        candidate alone(loop, store, "alone");
        test::run_loop(loop, soon);
        store.otherwise = {status::refused, false};
        alone.election->hand_over();
        test::run_loop(loop, base::milliseconds(50));
        BOOST_TEST(alone.election->leading());
        store.otherwise = {status::ok, true};
    }
    test::run_loop(loop, base::milliseconds(20));
}

BOOST_AUTO_TEST_SUITE_END()
