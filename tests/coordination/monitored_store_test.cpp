#include "eelgrasslever/coordination/monitored_store.hpp"

#include "scripted_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using coordination::status;

namespace {

/// Withholds the replies to reads until the test sends them.
class withholding_store final : public test::scripted_store {
  public:
    using scripted_store::scripted_store;
    using read_callback = std::function<void(const coordination::read_reply&)>;

    void read(const std::string&, read_callback done) override {
        open_reads.push_back(std::move(done));
    }
    void reply_to(std::size_t index, status result) {
        coordination::read_reply reply;
        reply.status = result;
        open_reads.at(index)(reply);
    }

    std::vector<read_callback> open_reads;
};

struct fixture {
    /// Sends a call.
    /// @return its index for `reply_to`.
    std::size_t send_call() {
        monitored.read("k", [](const coordination::read_reply&) {});
        advance();
        return inner.open_reads.size() - 1;
    }
    /// Lets @p time pass.
    void advance(base::milliseconds time = base::milliseconds(3)) {
        test::run_loop(loop, time);
    }
    bool reachable() { return monitored.reachable(base::monotonic_now()); }

    kernel::loop loop;
    withholding_store inner{loop};
    coordination::monitored_store monitored{inner};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(monitored_store, fixture)

BOOST_AUTO_TEST_CASE(a_failure_makes_it_unreachable_until_a_call_succeeds) {
    inner.reply_to(send_call(), status::ok);
    BOOST_TEST(reachable());
    advance();
    inner.reply_to(send_call(), status::refused);
    BOOST_TEST(!reachable());
    advance();
    inner.reply_to(send_call(), status::ok);
    BOOST_TEST(reachable());
}

// When an outage ends, the calls that were sent during it time out one after
// the other, while newer calls succeed.
BOOST_AUTO_TEST_CASE(a_late_timeout_is_ignored_after_a_newer_reply) {
    auto lost = send_call();
    auto newer = send_call();
    inner.reply_to(newer, status::ok);
    advance();
    inner.reply_to(lost, status::unreachable);
    BOOST_TEST(reachable());
}

BOOST_AUTO_TEST_CASE(a_refusal_counts_regardless_of_when_its_call_was_sent) {
    auto refused = send_call();
    inner.reply_to(send_call(), status::ok);
    advance();
    inner.reply_to(refused, status::refused);
    BOOST_TEST(!reachable());
}

BOOST_AUTO_TEST_CASE(a_call_without_a_reply_makes_it_unreachable) {
    send_call(); // gets no reply, but is older than the next reply
    inner.reply_to(send_call(), status::ok);
    advance();
    send_call();
    advance(coordination::monitored_store::max_silence +
            base::milliseconds(20));
    BOOST_TEST(!reachable());
}

BOOST_AUTO_TEST_SUITE_END()
