#include "eelgrasslever/coordination/monitored_store.hpp"

#include "scripted_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using coordination::status;

namespace {

/// Keeps the replies to reads until the test gives them.
class waiting_store final : public test::scripted_store {
  public:
    using scripted_store::scripted_store;
    using reader = std::function<void(const coordination::read_reply&)>;

    void read(const std::string&, reader done) override {
        waiting.push_back(std::move(done));
    }
    void answer(std::size_t call, status result) {
        coordination::read_reply reply;
        reply.status = result;
        waiting.at(call)(reply);
    }

    std::vector<reader> waiting;
};

struct fixture {
    /// Sends a call that `inner` answers under the returned number.
    std::size_t call() {
        monitored.read("k", [](const coordination::read_reply&) {});
        pass();
        return inner.waiting.size() - 1;
    }
    /// Lets the clock go on.
    void pass(base::milliseconds time = base::milliseconds(3)) {
        test::run_loop(loop, time);
    }
    bool reachable() { return monitored.reachable(base::monotonic_now()); }

    kernel::loop loop;
    waiting_store inner{loop};
    coordination::monitored_store monitored{inner};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(monitored_store, fixture)

BOOST_AUTO_TEST_CASE(a_failure_makes_it_unreachable_until_a_call_gets_through) {
    inner.answer(call(), status::ok);
    BOOST_TEST(reachable());
    pass();
    inner.answer(call(), status::refused);
    BOOST_TEST(!reachable());
    pass();
    inner.answer(call(), status::ok);
    BOOST_TEST(reachable());
}

// Pattern: as an outage ends, the calls that were sent during it time out one
// after the other, between calls that get through.
BOOST_AUTO_TEST_CASE(a_late_timeout_says_nothing_after_a_newer_reply) {
    auto lost = call();
    auto newer = call();
    inner.answer(newer, status::ok);
    pass();
    inner.answer(lost, status::unreachable);
    BOOST_TEST(reachable());
}

BOOST_AUTO_TEST_CASE(a_refusal_counts_whenever_its_call_was_sent) {
    auto refused = call();
    inner.answer(call(), status::ok);
    pass();
    inner.answer(refused, status::refused);
    BOOST_TEST(!reachable());
}

BOOST_AUTO_TEST_CASE(silence_since_the_last_reply_makes_it_unreachable) {
    call(); // stays open and is older than the reply
    inner.answer(call(), status::ok);
    pass();
    call();
    pass(coordination::monitored_store::max_silence + base::milliseconds(20));
    BOOST_TEST(!reachable());
}

BOOST_AUTO_TEST_SUITE_END()
