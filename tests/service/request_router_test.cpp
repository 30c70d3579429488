// Client calls on a VM that the store turns away, with a peer that it serves.
#include "eelgrasslever/service/request_router.hpp"

#include "scripted_store.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>

using namespace eelgrasslever;
using cluster::submit_result;
using coordination::status;
using test::scripted_store;

namespace {

constexpr base::milliseconds soon{150};
constexpr base::milliseconds patience{1500};

/// A VM with a store of its own, so that each test says what it meets there.
struct vm {
    vm(kernel::loop& loop, std::map<std::string, vm*>& all, std::string name)
        : address(std::move(name)), store(loop), monitored(store),
          writer(std::make_shared<coordination::committer>(
              loop, monitored, base::milliseconds(1))),
          desk(std::make_shared<cluster::job_desk>(monitored, book, writer)) {
        all[address] = this;
        router = std::make_shared<service::request_router>(
            loop, *desk, book, monitored,
            [this, &all, &loop](const std::string& to,
                                const wire::message& content) {
                loop.defer([this, &all, to, content] {
                    all.at(to)->receive(address, content);
                });
            });
    }

    void receive(const std::string& from, const wire::message& content) {
        if (silent) {
            return;
        }
        if (const auto* request = std::get_if<wire::desk_request>(&content)) {
            router->on_request(from, *request);
        } else {
            router->on_response(std::get<wire::desk_response>(content));
        }
    }

    std::string address;
    bool silent{false};
    scripted_store store;
    coordination::monitored_store monitored;
    cluster::job_book book;
    std::shared_ptr<coordination::committer> writer;
    std::shared_ptr<cluster::job_desk> desk;
    std::shared_ptr<service::request_router> router;
};

struct fixture {
    fixture() {
        near.router->set_peers({{"far", "far"}});
        far.router->set_peers({{"near", "near"}});
    }

    /// Makes a call on the near VM, so that its monitor knows the store.
    void probe() {
        near.monitored.read("x", [](const coordination::read_reply&) {});
        test::run_loop(loop, base::milliseconds(10));
    }

    std::shared_ptr<std::optional<submit_result>> submit() {
        auto out = std::make_shared<std::optional<submit_result>>();
        workload::job job;
        job.id = "j1";
        job.queue.name = "q";
        job.queue.service = "s";
        job.steps.emplace_back();
        near.router->submit(job, base::monotonic_now() + patience,
                            [out](submit_result result) { *out = result; });
        return out;
    }

    kernel::loop loop;
    std::map<std::string, vm*> all;
    vm near{loop, all, "near"};
    vm far{loop, all, "far"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_router, fixture)

BOOST_AUTO_TEST_CASE(a_job_is_stored_here_where_the_store_is_reached) {
    auto out = submit();
    test::run_loop(loop, soon);
    BOOST_TEST((*out == submit_result::accepted));
    BOOST_TEST(near.store.entries().size() == 1u);
    BOOST_TEST(far.store.entries().empty());
}

BOOST_AUTO_TEST_CASE(a_job_is_stored_through_a_peer_where_it_is_not) {
    near.store.default_reply = {status::refused, false};
    probe();
    auto out = submit();
    test::run_loop(loop, soon);
    BOOST_TEST((*out == submit_result::accepted));
    BOOST_TEST(far.store.entries().size() == 1u);
    BOOST_TEST(near.store.commit_count == 0);
}

BOOST_AUTO_TEST_CASE(with_no_store_anywhere_a_job_is_refused_at_once) {
    near.store.default_reply = {status::refused, false};
    far.store.default_reply = {status::refused, false};
    probe();
    far.monitored.read("x", [](const coordination::read_reply&) {});
    test::run_loop(loop, base::milliseconds(10));
    auto out = submit();
    test::run_loop(loop, soon);
    BOOST_TEST((*out == submit_result::refused));
}

// The attempt may have taken effect, so a refusal could be untrue.
BOOST_AUTO_TEST_CASE(an_attempt_without_a_reply_is_never_called_refused) {
    near.store.default_reply = {status::unreachable, true};
    far.silent = true;
    auto out = submit();
    test::run_loop(loop, patience);
    BOOST_TEST((*out == submit_result::uncertain));
}

BOOST_AUTO_TEST_CASE(a_silent_peer_leaves_the_outcome_uncertain) {
    near.store.default_reply = {status::refused, false};
    probe();
    far.silent = true;
    auto out = submit();
    test::run_loop(loop, patience);
    BOOST_TEST((*out == submit_result::uncertain));
}

BOOST_AUTO_TEST_CASE(a_state_is_asked_of_a_peer) {
    auto first = submit();
    test::run_loop(loop, soon);
    coordination::transaction change;
    change.puts.push_back({std::string(cluster::keys::job) + "j1",
                           near.store.entries().begin()->second.value, 0});
    far.store.apply(change);
    near.store.default_reply = {status::refused, false};
    probe();
    cluster::state_result out;
    near.router->state(
        "j1", base::monotonic_now() + patience,
        [&](const cluster::state_result& found) { out = found; });
    test::run_loop(loop, soon);
    BOOST_TEST(out.state.has_value());
    BOOST_TEST(!out.unknown_job);
}

BOOST_AUTO_TEST_SUITE_END()
