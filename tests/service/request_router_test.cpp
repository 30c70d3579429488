// Client requests on a VM that can't use the store, with a peer that can. The
// router must not lose a job, and must not report a job as refused that may
// have been stored.
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

constexpr base::milliseconds reply_time{150};
constexpr base::milliseconds client_timeout{1500};

/// A VM with its own store, so that each test can make either store fail.
struct vm {
    vm(kernel::loop& loop, std::map<std::string, vm*>& vms, std::string name)
        : address(std::move(name)), store(loop), monitored(store),
          committer(std::make_shared<coordination::committer>(
              loop, monitored, base::milliseconds(1))),
          job_service(std::make_shared<cluster::job_service>(
              monitored, job_view, committer)) {
        vms[address] = this;
        router = std::make_shared<service::request_router>(
            loop, *job_service, job_view, monitored,
            [this, &vms, &loop](const std::string& to,
                                const wire::message& content) {
                loop.defer([this, &vms, to, content] {
                    vms.at(to)->receive(address, content);
                });
            });
    }

    void receive(const std::string& from, const wire::message& content) {
        if (is_silent) {
            return;
        }
        if (const auto* request = std::get_if<wire::job_request>(&content)) {
            router->on_request(from, *request);
        } else {
            router->on_response(std::get<wire::job_response>(content));
        }
    }

    std::string address;
    bool is_silent{false};
    scripted_store store;
    coordination::monitored_store monitored;
    cluster::job_view job_view;
    std::shared_ptr<coordination::committer> committer;
    std::shared_ptr<cluster::job_service> job_service;
    std::shared_ptr<service::request_router> router;
};

struct fixture {
    fixture() {
        local.router->set_peers({{"peer", "peer"}});
        peer.router->set_peers({{"local", "local"}});
    }

    /// Makes a store call on the local VM, so that its monitor detects whether
    /// the store is reachable.
    void probe_local_store() {
        local.monitored.read("x", [](const coordination::read_reply&) {});
        test::run_loop(loop, base::milliseconds(10));
    }

    std::shared_ptr<std::optional<submit_result>> submit_job() {
        auto outcome = std::make_shared<std::optional<submit_result>>();
        workload::job job;
        job.id = "j1";
        job.queue.name = "q";
        job.queue.service = "s";
        job.steps.emplace_back();
        local.router->submit_job(
            job, base::monotonic_now() + client_timeout,
            [outcome](submit_result result) { *outcome = result; });
        return outcome;
    }

    kernel::loop loop;
    std::map<std::string, vm*> vms;
    vm local{loop, vms, "local"};
    vm peer{loop, vms, "peer"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_router_test, fixture)

BOOST_AUTO_TEST_CASE(job_is_stored_locally_when_the_store_is_reachable) {
    auto outcome = submit_job();
    test::run_loop(loop, reply_time);
    BOOST_TEST((*outcome == submit_result::accepted));
    BOOST_TEST(local.store.entries().size() == 1u);
    BOOST_TEST(peer.store.entries().empty());
}

BOOST_AUTO_TEST_CASE(
    job_is_stored_through_a_peer_when_the_store_is_unreachable) {
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    auto outcome = submit_job();
    test::run_loop(loop, reply_time);
    BOOST_TEST((*outcome == submit_result::accepted));
    BOOST_TEST(peer.store.entries().size() == 1u);
    BOOST_TEST(local.store.commit_count == 0);
}

BOOST_AUTO_TEST_CASE(job_is_refused_at_once_when_no_vm_reaches_the_store) {
    local.store.default_reply = {status::refused, false};
    peer.store.default_reply = {status::refused, false};
    probe_local_store();
    peer.monitored.read("x", [](const coordination::read_reply&) {});
    test::run_loop(loop, base::milliseconds(10));
    auto outcome = submit_job();
    test::run_loop(loop, reply_time);
    BOOST_TEST((*outcome == submit_result::refused));
}

// A write without a reply may have taken effect. Reporting it as refused would
// tell the client that the job does not exist although it may run.
BOOST_AUTO_TEST_CASE(write_without_a_reply_is_reported_as_uncertain) {
    local.store.default_reply = {status::unreachable, true};
    peer.is_silent = true;
    auto outcome = submit_job();
    test::run_loop(loop, client_timeout);
    BOOST_TEST((*outcome == submit_result::uncertain));
}

BOOST_AUTO_TEST_CASE(relay_without_a_response_is_reported_as_uncertain) {
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    peer.is_silent = true;
    auto outcome = submit_job();
    test::run_loop(loop, client_timeout);
    BOOST_TEST((*outcome == submit_result::uncertain));
}

BOOST_AUTO_TEST_CASE(job_state_is_read_through_a_peer) {
    auto first = submit_job();
    test::run_loop(loop, reply_time);
    coordination::transaction change;
    change.puts.push_back({std::string(cluster::keys::job) + "j1",
                           local.store.entries().begin()->second.value, 0});
    peer.store.apply(change);
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    cluster::state_result result;
    local.router->get_job_state(
        "j1", base::monotonic_now() + client_timeout,
        [&](const cluster::state_result& found) { result = found; });
    test::run_loop(loop, reply_time);
    BOOST_TEST(result.state.has_value());
    BOOST_TEST(!result.unknown_job);
}

BOOST_AUTO_TEST_SUITE_END()
