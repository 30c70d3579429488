// Client requests on a VM that can't use the store, with a peer that can. The
// router must not lose a job, and must not report a job as refused that may
// have been stored.
#include "eelgrasslever/service/request_router.hpp"

#include "eelgrasslever/workload/codec.hpp"
#include "scripted_store.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <thread>
#include <vector>

using namespace eelgrasslever;
using cluster::submit_result;
using coordination::status;
using test::scripted_store;
using workload::job_state;

namespace {

constexpr base::milliseconds reply_time{150};
constexpr base::milliseconds client_timeout{1500};

/// A VM with its own store, so that each test can make either store fail.
struct vm {
    vm(kernel::loop& loop, std::map<std::string, vm*>& vms, std::string name)
        : address(std::move(name)), store(loop), monitored(store), pauses(loop),
          committer(std::make_shared<coordination::committer>(
              loop, monitored, base::milliseconds(1))),
          job_service(std::make_shared<cluster::job_service>(
              monitored, job_view, [this] { return view_time; }, committer)) {
        vms[address] = this;
        router = std::make_shared<service::request_router>(
            loop, *job_service, job_view, monitored, pauses,
            [this, &vms, &loop](const std::string& to,
                                const wire::message& content) {
                loop.defer([this, &vms, to, content] {
                    vms.at(to)->receive(address, content);
                });
            },
            [this] { return leader; });
    }

    void receive(const std::string& from, const wire::message& content) {
        if (const auto* request = std::get_if<wire::job_request>(&content)) {
            last_query = request->query;
        }
        if (is_silent) {
            return;
        }
        if (const auto* request = std::get_if<wire::job_request>(&content)) {
            count_questions += request->kind == wire::job_request_kind::count;
            router->on_request(from, *request);
        } else {
            router->on_response(std::get<wire::job_response>(content));
        }
    }

    std::string address;
    bool is_silent{false};
    int count_questions{0};
    std::uint64_t last_query{0}; ///< that was sent to this VM
    std::string leader;          ///< as known to this VM
    /// Nothing means that the view has not been loaded.
    std::optional<base::instant> view_time{base::monotonic_now()};
    scripted_store store;
    coordination::monitored_store monitored;
    service::pause_detector pauses;
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

    struct count_result {
        bool answered{false};
        std::optional<std::size_t> count;
    };

    /// Adds jobs to the view of @p to, without the store.
    static void fill_view(vm& to, int jobs) {
        for (int i = 0; i < jobs; ++i) {
            workload::job job;
            job.id = "j" + std::to_string(i);
            job.queue.name = "q";
            job.steps.emplace_back();
            to.job_view.apply({cluster::keys::job + job.id,
                               workload::encode(job), 1, 0, false},
                              base::monotonic_now());
        }
    }

    /// Leaves the view without a complete read for longer than clients accept.
    static void age_view(vm& of, base::milliseconds age) {
        of.view_time = base::monotonic_now() - age;
    }

    static void put(vm& to, const char* prefix, const std::string& value) {
        coordination::transaction change;
        change.puts.push_back({std::string(prefix) + "j0", value, 0});
        to.store.apply(change);
    }

    static void remove_job(vm& from) {
        coordination::transaction change;
        change.removals.push_back(std::string(cluster::keys::job) + "j0");
        from.store.apply(change);
    }

    static std::string encoded(job_state state) {
        workload::progress progress;
        progress.state = state;
        return workload::encode(progress);
    }

    std::shared_ptr<cluster::state_result> start_get_state() {
        auto result = std::make_shared<cluster::state_result>();
        local.router->get_job_state(
            "j0", base::monotonic_now() + client_timeout,
            [result](const cluster::state_result& found) { *result = found; });
        return result;
    }

    cluster::state_result get_state() {
        auto result = start_get_state();
        test::run_loop(loop, reply_time);
        return *result;
    }

    count_result
    count_jobs(base::milliseconds wait = base::milliseconds(1000)) {
        auto result = std::make_shared<count_result>();
        local.router->count_pending("q", base::monotonic_now() + client_timeout,
                                    [result](std::optional<std::size_t> count) {
                                        *result = {true, count};
                                    });
        if (!result->answered) {
            test::run_loop(loop, wait);
        }
        return *result;
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

// A peer that takes no more cancellations of unknown jobs is not to be avoided
// for other requests.
BOOST_AUTO_TEST_CASE(a_rejected_cancellation_does_not_back_its_peer_off) {
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    peer.job_service->set_members(cluster::unmet_cancellations::max_stored);
    std::vector<cluster::cancel_result> outcomes;
    for (const char* id : {"a", "b"}) {
        local.router->cancel_job(
            id, base::monotonic_now() + client_timeout,
            [&](cluster::cancel_result result) { outcomes.push_back(result); });
        test::run_loop(loop, reply_time);
    }
    BOOST_REQUIRE(outcomes.size() == 2u);
    BOOST_TEST((outcomes[0] == cluster::cancel_result::unknown_job));
    BOOST_TEST((outcomes[1] == cluster::cancel_result::rejected));
    auto outcome = submit_job();
    test::run_loop(loop, reply_time);
    BOOST_TEST((*outcome == submit_result::accepted));
}

// A client whose job was cancelled is told that it never runs, also if a peer
// has found that out.
BOOST_AUTO_TEST_CASE(a_peer_reports_that_a_job_was_cancelled_before) {
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    coordination::transaction mark;
    mark.puts.push_back({std::string(cluster::keys::cancel) + "j1", "1", 0});
    peer.store.apply(mark);
    auto outcome = submit_job();
    test::run_loop(loop, reply_time);
    BOOST_TEST((*outcome == submit_result::cancelled));
    BOOST_TEST(peer.store.entries().size() == 1u);
}

// Guards against a job that runs for nobody: a peer that did not run for a
// while stored it after the sender had given it up.
BOOST_AUTO_TEST_CASE(a_peer_that_was_paused_does_not_store_a_job) {
    workload::job job;
    job.id = "j1";
    job.queue.name = "q";
    job.steps.emplace_back();
    wire::job_request request;
    request.id = job.id;
    request.job = workload::encode(job);
    request.wait = client_timeout;
    test::run_loop(loop, reply_time);
    std::this_thread::sleep_for(service::request_router::peer_timeout);
    peer.router->on_request("local", request);
    test::run_loop(loop, 2 * reply_time);
    BOOST_TEST(peer.store.entries().empty());
    peer.router->on_request("local", request);
    test::run_loop(loop, reply_time);
    BOOST_TEST(peer.store.entries().size() == 1u);
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

BOOST_AUTO_TEST_CASE(a_recent_view_is_counted_without_asking_anyone) {
    fill_view(local, 4);
    local.leader = "peer";
    BOOST_TEST(count_jobs().count.value() == 4u);
    BOOST_TEST(peer.count_questions == 0);
}

// The pages of the first load are applied one by one, so a count during the
// load is a part of the jobs that wait.
BOOST_AUTO_TEST_CASE(a_count_during_the_first_load_comes_from_the_leader) {
    fill_view(local, 1);
    local.view_time.reset();
    fill_view(peer, 8);
    local.leader = "peer";
    BOOST_TEST(count_jobs(reply_time).count.value() == 8u);
}

// After lost history or in a burst, a view may be seconds behind, and many jobs
// have been accepted meanwhile.
BOOST_AUTO_TEST_CASE(a_count_of_an_old_view_comes_from_the_leader) {
    fill_view(local, 1);
    age_view(local, base::milliseconds(10'000));
    fill_view(peer, 8);
    local.leader = "peer";
    BOOST_TEST(count_jobs(reply_time).count.value() == 8u);
}

// A VM that the store turns away keeps the view that it had.
BOOST_AUTO_TEST_CASE(a_count_without_the_store_comes_from_a_peer) {
    fill_view(local, 1);
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    age_view(local, base::milliseconds(3000));
    fill_view(peer, 8);
    BOOST_TEST(count_jobs(reply_time).count.value() == 8u);
}

BOOST_AUTO_TEST_CASE(a_count_is_refused_at_once_if_no_view_is_recent) {
    age_view(local, base::milliseconds(3000));
    age_view(peer, base::milliseconds(3000));
    local.leader = "peer";
    auto result = count_jobs(reply_time);
    BOOST_TEST(result.answered);
    BOOST_TEST(!result.count.has_value());
}

// Neither a silent leader nor one that is behind may keep the client waiting
// for its whole deadline.
BOOST_AUTO_TEST_CASE(another_peer_is_asked_while_the_leader_is_silent) {
    vm other{loop, vms, "other"};
    local.router->set_peers({{"other", "other"}, {"peer", "peer"}});
    local.leader = "peer";
    peer.is_silent = true;
    local.view_time.reset();
    fill_view(other, 5);
    auto wait = service::request_router::peer_timeout + reply_time;
    BOOST_TEST(count_jobs(wait).count.value() == 5u);
}

// While all VMs restart, most views are behind, and few peers can answer.
BOOST_AUTO_TEST_CASE(peers_are_asked_until_one_has_a_recent_view) {
    std::map<std::string, std::string> peers{{"peer", "peer"}};
    std::vector<std::unique_ptr<vm>> behind;
    for (const char* name : {"a", "b", "c"}) {
        behind.push_back(std::make_unique<vm>(loop, vms, name));
        behind.back()->view_time.reset();
        peers[name] = name;
    }
    local.router->set_peers(peers);
    local.leader = "a";
    local.view_time.reset();
    fill_view(peer, 8);
    BOOST_TEST(count_jobs(reply_time).count.value_or(0) == 8u);
}

// A silent leader and two more silent peers took up all the time of a client
// that waits for 1.5 s.
BOOST_AUTO_TEST_CASE(silent_peers_leave_time_to_ask_others_for_counts) {
    std::map<std::string, std::string> peers{{"peer", "peer"}};
    std::vector<std::unique_ptr<vm>> silent;
    for (const char* name : {"a", "b", "c", "d"}) {
        silent.push_back(std::make_unique<vm>(loop, vms, name));
        silent.back()->is_silent = true;
        peers[name] = name;
    }
    local.router->set_peers(peers);
    local.leader = "a";
    local.view_time.reset();
    fill_view(peer, 8);
    auto result = count_jobs(client_timeout / 2 + reply_time);
    BOOST_TEST(result.count.value_or(0) == 8u);
}

BOOST_AUTO_TEST_CASE(a_client_does_not_wait_for_its_whole_deadline) {
    local.leader = "peer";
    peer.is_silent = true;
    local.view_time.reset();
    auto result = count_jobs(client_timeout / 2 + reply_time);
    BOOST_TEST(result.answered);
    BOOST_TEST(!result.count.has_value());
}

// A peer's count may be recent where it was made and old where it arrives.
BOOST_AUTO_TEST_CASE(the_way_back_counts_towards_the_age_of_a_count) {
    local.view_time.reset();
    local.leader = "peer";
    fill_view(peer, 8);
    age_view(peer, cluster::job_service::max_view_age - base::milliseconds(20));
    auto result = std::make_shared<count_result>();
    local.router->count_pending("q", base::monotonic_now() + client_timeout,
                                [result](std::optional<std::size_t> count) {
                                    *result = {true, count};
                                });
    // The loop stands still while the question is under way.
    loop.defer([] {
        auto until = base::monotonic_now() + base::milliseconds(40);
        while (base::monotonic_now() < until) {
        }
    });
    test::run_loop(loop, reply_time);
    BOOST_TEST(result->answered);
    BOOST_TEST(!result->count.has_value());
}

// Each of 97 VMs may have many clients, and one VM answers them all.
BOOST_AUTO_TEST_CASE(many_clients_cost_the_leader_two_questions_a_second) {
    local.view_time.reset();
    local.leader = "peer";
    fill_view(peer, 8);
    int answers = 0;
    kernel::timer clients(loop, [&] {
        peer.view_time = base::monotonic_now();
        local.router->count_pending("q", base::monotonic_now() + client_timeout,
                                    [&answers](std::optional<std::size_t> n) {
                                        answers += n == 8u ? 1 : 0;
                                    });
    });
    auto started_at = base::monotonic_now();
    clients.start_every(base::milliseconds(5));
    test::run_loop(loop, base::milliseconds(1200));
    clients.cancel();
    BOOST_TEST(answers > 50);
    auto intervals = (base::monotonic_now() - started_at) /
                     service::request_router::count_interval;
    BOOST_TEST(peer.count_questions <= intervals + 1);
}

// Several peers are asked at a time. The number of the one that answers last
// may be the older one, and would serve for the next half second.
BOOST_AUTO_TEST_CASE(a_late_reply_does_not_replace_a_newer_count) {
    vm other{loop, vms, "other"};
    local.router->set_peers({{"other", "other"}, {"peer", "peer"}});
    local.leader = "other";
    other.is_silent = true;
    local.view_time.reset();
    fill_view(peer, 8);
    peer.view_time = base::monotonic_now();
    count_result first;
    for (int i = 0; i < 100 && !first.answered; ++i) {
        first = count_jobs(base::milliseconds(10));
    }
    BOOST_TEST(first.count.value_or(0) == 8u);
    BOOST_REQUIRE(other.last_query != 0u);
    wire::job_response late;
    late.query = other.last_query;
    late.outcome = wire::job_request_outcome::accepted;
    late.age = base::milliseconds(1000);
    late.pending["q"] = 3;
    local.router->on_response(late);
    auto repeated = count_jobs(base::milliseconds(0));
    BOOST_TEST(repeated.answered);
    BOOST_TEST(repeated.count.value_or(0) == 8u);
    BOOST_TEST(peer.count_questions == 1);
}

// Likewise for the first reply to the next question, from a peer whose view is
// behind.
BOOST_AUTO_TEST_CASE(a_later_question_does_not_bring_an_older_count) {
    local.leader = "peer";
    local.view_time.reset();
    fill_view(peer, 8);
    peer.view_time = base::monotonic_now();
    BOOST_TEST(count_jobs(reply_time).count.value_or(0) == 8u);
    test::run_loop(loop, service::request_router::count_interval);
    fill_view(peer, 12);
    age_view(peer, base::milliseconds(1500));
    BOOST_TEST(count_jobs(reply_time).count.value_or(0) == 8u);
    BOOST_TEST(peer.count_questions == 2);
}

// Clients poll for the end of their job. A view that is behind would keep them
// waiting, and would contradict what other VMs said.
BOOST_AUTO_TEST_CASE(
    a_state_that_may_have_changed_is_not_given_from_an_old_view) {
    fill_view(local, 1);
    put(local, cluster::keys::job, "0");
    put(local, cluster::keys::progress, encoded(job_state::running));
    age_view(local, base::milliseconds(3000));
    BOOST_TEST((get_state().state == job_state::running));
    age_view(local, base::milliseconds(0));
    BOOST_TEST((get_state().state == job_state::running));
}

// The view becomes recent again by changes that are older than the state that
// was read from the store.
BOOST_AUTO_TEST_CASE(a_terminal_state_once_given_is_not_taken_back) {
    fill_view(local, 1);
    put(local, cluster::keys::progress, encoded(job_state::completed));
    age_view(local, base::milliseconds(3000));
    BOOST_TEST((get_state().state == job_state::completed));
    age_view(local, base::milliseconds(0));
    BOOST_TEST((get_state().state == job_state::completed));
}

BOOST_AUTO_TEST_CASE(a_terminal_state_from_a_peer_is_not_taken_back) {
    fill_view(local, 1);
    put(peer, cluster::keys::progress, encoded(job_state::completed));
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    age_view(local, base::milliseconds(3000));
    BOOST_TEST((get_state().state == job_state::completed));
    age_view(local, base::milliseconds(0));
    BOOST_TEST((get_state().state == job_state::completed));
}

BOOST_AUTO_TEST_CASE(a_running_job_is_not_reported_as_queued_by_the_store) {
    put(local, cluster::keys::job, "0");
    put(local, cluster::keys::progress, encoded(job_state::running));
    BOOST_TEST((get_state().state == job_state::running));
}

// A peer's view may be older than the read that showed the job as running. A
// client would see its job go back to `queued`.
BOOST_AUTO_TEST_CASE(a_peers_older_view_does_not_take_running_back) {
    local.view_time.reset();
    put(local, cluster::keys::progress, encoded(job_state::running));
    BOOST_TEST((get_state().state == job_state::running));
    fill_view(peer, 1);
    age_view(peer, base::milliseconds(1000));
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    BOOST_TEST((get_state().state == job_state::running));
}

// Likewise for the view of a VM that has begun to follow the jobs since.
BOOST_AUTO_TEST_CASE(a_view_that_begins_does_not_take_running_back) {
    local.view_time.reset();
    put(local, cluster::keys::progress, encoded(job_state::running));
    BOOST_TEST((get_state().state == job_state::running));
    fill_view(local, 1);
    age_view(local, base::milliseconds(1000));
    BOOST_TEST((get_state().state == job_state::running));
}

// Likewise for a view that contains the job only after the answer.
BOOST_AUTO_TEST_CASE(a_job_that_the_view_did_not_contain_stays_running) {
    age_view(local, base::milliseconds(1000));
    put(local, cluster::keys::progress, encoded(job_state::running));
    BOOST_TEST((get_state().state == job_state::running));
    fill_view(local, 1);
    BOOST_TEST((get_state().state == job_state::running));
}

// Likewise for a VM that has told its own view, has stopped following since and
// asks a peer.
BOOST_AUTO_TEST_CASE(a_dropped_view_does_not_take_running_back) {
    fill_view(local, 1);
    local.job_view.apply({std::string(cluster::keys::progress) + "j0",
                          encoded(job_state::running), 2, 0, false},
                         base::monotonic_now());
    BOOST_TEST((get_state().state == job_state::running));
    local.job_view = {};
    local.view_time.reset();
    fill_view(peer, 1);
    age_view(peer, base::milliseconds(1000));
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    BOOST_TEST((get_state().state == job_state::running));
}

// The end may be announced while a peer is asked, whose view is older.
BOOST_AUTO_TEST_CASE(an_end_announced_while_a_peer_is_asked_is_given) {
    local.view_time.reset();
    fill_view(peer, 1);
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    auto result = start_get_state();
    local.job_service->adopt_state("j0", job_state::completed);
    test::run_loop(loop, reply_time);
    BOOST_TEST((result->state == job_state::completed));
}

// One transaction removes the job's record and stores the final state. A client
// that got "no such job" for a job that was accepted would send it again.
BOOST_AUTO_TEST_CASE(a_job_that_ends_between_two_reads_is_known) {
    put(local, cluster::keys::job, "0");
    auto result = start_get_state();
    put(local, cluster::keys::progress, encoded(job_state::completed));
    remove_job(local);
    test::run_loop(loop, reply_time);
    BOOST_TEST(!result->unknown_job);
    BOOST_TEST((result->state == job_state::completed));
}

BOOST_AUTO_TEST_CASE(a_job_without_records_is_unknown) {
    local.view_time.reset();
    BOOST_TEST(get_state().unknown_job);
}

BOOST_AUTO_TEST_CASE(a_peer_does_not_answer_from_an_old_view) {
    fill_view(peer, 1);
    age_view(peer, base::milliseconds(3000));
    put(peer, cluster::keys::progress, encoded(job_state::running));
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    BOOST_TEST((get_state().state == job_state::running));
}

BOOST_AUTO_TEST_CASE(no_state_is_given_if_neither_store_nor_view_is_current) {
    fill_view(local, 1);
    age_view(local, base::milliseconds(3000));
    local.store.default_reply = {status::refused, false};
    peer.store.default_reply = {status::refused, false};
    probe_local_store();
    auto result = get_state();
    BOOST_TEST(!result.state.has_value());
    BOOST_TEST(!result.unknown_job);
}

// A peer may answer a question of this VM's previous process, which had the
// same address. Taken for an answer to a question of the present one, it would
// give a client the state of another job.
BOOST_AUTO_TEST_CASE(a_response_to_an_earlier_process_is_not_taken) {
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    std::vector<std::uint64_t> queries;
    auto start_process = [&] {
        auto router = std::make_shared<service::request_router>(
            loop, *local.job_service, local.job_view, local.monitored,
            local.pauses,
            [&queries](const std::string&, const wire::message& content) {
                queries.push_back(std::get<wire::job_request>(content).query);
            },
            [] { return std::string(); });
        router->set_peers({{"peer", "peer"}});
        return router;
    };
    auto ask = [](service::request_router& router) {
        auto result = std::make_shared<cluster::state_result>();
        router.get_job_state(
            "j0", base::monotonic_now() + client_timeout,
            [result](const cluster::state_result& found) { *result = found; });
        return result;
    };
    ask(*start_process());
    auto present = start_process();
    auto result = ask(*present);
    BOOST_REQUIRE(queries.size() == 2u);
    wire::job_response late;
    late.query = queries[0];
    late.outcome = wire::job_request_outcome::accepted;
    late.state = static_cast<int>(job_state::completed);
    present->on_response(late);
    BOOST_TEST(!result->state.has_value());
    late.query = queries[1];
    present->on_response(late);
    BOOST_TEST((result->state == job_state::completed));
}

// A peer of another version may know more states. Clients can't read those.
BOOST_AUTO_TEST_CASE(a_state_that_this_version_does_not_know_is_not_given) {
    local.store.default_reply = {status::refused, false};
    probe_local_store();
    peer.is_silent = true;
    auto result = start_get_state();
    loop.defer([this] {
        wire::job_response response;
        response.query = peer.last_query;
        response.outcome = wire::job_request_outcome::accepted;
        response.state = 17;
        local.router->on_response(response);
    });
    test::run_loop(loop, reply_time);
    BOOST_REQUIRE(peer.last_query != 0u);
    BOOST_TEST(!result->state.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
