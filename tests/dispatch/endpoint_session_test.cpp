#include "eelgrasslever/dispatch/endpoint_pool.hpp"

#include "endpoint/endpoint_state.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using base::instant;
using base::milliseconds;
using dispatch::event_kind;
using standins::endpoint::endpoint_config;
using standins::endpoint::endpoint_state;

namespace {

constexpr dispatch::timing times{};

endpoint_state make_endpoint(std::int64_t slots = 2) {
    endpoint_config config;
    config.name = "e";
    config.capacity = {slots, 1000, 1000, 0};
    return {config, [](const auto&) {}};
}

dispatch::local_task make_task(const std::string& id, int run_ms,
                               bool repeatable = true) {
    dispatch::local_task task;
    task.spec.id = id;
    task.spec.need = {1, 0, 0, 0};
    task.spec.declared_run = milliseconds(run_ms);
    task.spec.repeatable = repeatable;
    return task;
}

/// Drives a session by hand and collects its events.
struct session_driver {
    explicit session_driver(const std::string& holder)
        : session("e", holder, times) {
        session.set_claim_desired(true);
    }
    std::vector<dispatch::outgoing_call> advance(instant now) {
        std::vector<dispatch::outgoing_call> calls;
        session.advance(now, calls, events);
        return calls;
    }
    /// Delivers the calls that are due and their replies at once.
    void exchange(endpoint_state& endpoint, instant now) {
        for (const auto& outgoing : advance(now)) {
            session.on_reply(outgoing.call, endpoint.handle(outgoing.call, now),
                             now, events);
        }
    }
    /// Loses the calls that are due; each of them times out.
    /// @return the start call among them.
    endpoint::call time_out_calls(instant now) {
        endpoint::call start;
        for (const auto& outgoing : advance(now)) {
            if (outgoing.call.kind == endpoint::call_kind::start) {
                start = outgoing.call;
            }
            session.on_reply(outgoing.call, {}, now + milliseconds(990),
                             events);
        }
        return start;
    }
    int count_events(event_kind kind, const std::string& task = "") const {
        int matching = 0;
        for (const dispatch::event& event : events) {
            bool matches =
                event.kind == kind && (task.empty() || event.task == task);
            matching += matches ? 1 : 0;
        }
        return matching;
    }
    dispatch::endpoint_session session;
    std::vector<dispatch::event> events;
};

instant ms(int value) {
    return instant(milliseconds(value));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_task_is_reported_as_started_and_then_ended) {
    auto endpoint = make_endpoint();
    session_driver a("a@1");
    a.exchange(endpoint, ms(0));
    BOOST_TEST(a.session.has_claim());
    a.session.reserve_task(make_task("t", 50));
    a.session.start_task("t");
    a.exchange(endpoint, ms(10));
    BOOST_TEST(a.count_events(event_kind::started, "t") == 1);
    a.exchange(endpoint, ms(100));
    BOOST_TEST(a.count_events(event_kind::ended, "t") == 1);
    BOOST_TEST((a.session.committed() == base::resources{}));
}

BOOST_AUTO_TEST_CASE(
    a_lost_start_is_reported_as_not_started_after_a_new_claim) {
    auto endpoint = make_endpoint();
    session_driver a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(make_task("t", 50));
    a.session.start_task("t");
    auto lost_start = a.time_out_calls(ms(10));
    a.exchange(endpoint, ms(1010));
    BOOST_TEST(a.count_events(event_kind::not_started, "t") == 1);
    // The lost start arrives late and carries the superseded epoch.
    auto late_reply = endpoint.handle(lost_start, ms(1020));
    BOOST_TEST(!late_reply.accepted);
    BOOST_TEST(endpoint.running() == 0u);
}

BOOST_AUTO_TEST_CASE(a_start_whose_reply_was_lost_is_reported_as_started) {
    auto endpoint = make_endpoint();
    session_driver a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(make_task("t", 5000));
    a.session.start_task("t");
    for (const auto& outgoing : a.advance(ms(10))) {
        endpoint.handle(outgoing.call, ms(10));
        a.session.on_reply(outgoing.call, {}, ms(1000), a.events);
    }
    a.exchange(endpoint, ms(1010));
    BOOST_TEST(a.count_events(event_kind::started, "t") == 1);
    BOOST_TEST(a.count_events(event_kind::not_started) == 0);
}

BOOST_AUTO_TEST_CASE(a_paused_claim_holder_is_fenced_and_its_task_adopted) {
    auto endpoint = make_endpoint();
    session_driver a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(make_task("t", 60000));
    a.session.start_task("t");
    a.exchange(endpoint, ms(10));
    session_driver b("b@1");
    b.exchange(endpoint, ms(500));
    BOOST_TEST(!b.session.has_claim());
    BOOST_TEST(b.session.other_holder() == "a@1");
    b.exchange(endpoint, ms(2600)); // a's claim has expired
    BOOST_TEST(b.session.has_claim());
    BOOST_TEST(b.count_events(event_kind::adopted, "t") == 1);
    // a resumes and still assumes that it holds the claim.
    a.session.reserve_task(make_task("u", 50));
    a.session.start_task("u");
    a.exchange(endpoint, ms(2700));
    // Whichever reply comes first, "u" must not be reported as started.
    BOOST_TEST(a.count_events(event_kind::started, "u") == 0);
    BOOST_TEST(endpoint.running() == 1u);
    BOOST_TEST(a.count_events(event_kind::moved, "t") == 1);
    BOOST_TEST(!a.session.has_claim());
}

BOOST_AUTO_TEST_CASE(an_unconfirmed_start_is_lost_when_the_endpoint_restarts) {
    auto endpoint = make_endpoint();
    session_driver a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(make_task("t", 50, false));
    a.session.start_task("t");
    for (const auto& outgoing : a.advance(ms(10))) {
        a.session.on_reply(outgoing.call, {}, ms(1000), a.events);
    }
    endpoint_config config;
    config.capacity = {2, 1000, 1000, 0};
    config.boot = 2;
    config.first_epoch = 1000;
    endpoint_state restarted(config, [](const auto&) {});
    a.exchange(restarted, ms(1010));
    BOOST_TEST(a.count_events(event_kind::lost, "t") == 1);
}

BOOST_AUTO_TEST_CASE(a_start_sent_before_a_restart_is_refused_after_it) {
    auto endpoint = make_endpoint();
    session_driver a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(make_task("t", 50));
    a.session.start_task("t");
    auto lost_start = a.time_out_calls(ms(10));
    endpoint_config config;
    config.capacity = {2, 1000, 1000, 0};
    config.boot = 2;
    config.first_epoch = 1000;
    endpoint_state restarted(config, [](const auto&) {});
    a.exchange(restarted, ms(1010));
    BOOST_TEST(!restarted.handle(lost_start, ms(1020)).accepted);
    BOOST_TEST(restarted.running() == 0u);
}

BOOST_AUTO_TEST_CASE(
    tasks_of_an_unreachable_endpoint_are_lost_after_the_lease) {
    auto endpoint = make_endpoint();
    session_driver a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(make_task("t", 60000));
    a.session.start_task("t");
    a.exchange(endpoint, ms(10));
    int now = 10;
    auto lost_at = static_cast<int>(times.lost_after().count());
    for (; a.count_events(event_kind::lost) == 0 && now < 60000; now += 50) {
        for (const auto& outgoing : a.advance(ms(now))) {
            a.session.on_reply(outgoing.call, {}, ms(now), a.events);
        }
    }
    BOOST_TEST(now >= lost_at);
    BOOST_TEST(now <= lost_at + 200);
    endpoint.advance(ms(now));
    BOOST_TEST(endpoint.running() == 0u);
}

BOOST_AUTO_TEST_CASE(a_completion_may_be_reported_before_the_start) {
    auto endpoint = make_endpoint();
    session_driver a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(make_task("t", 5));
    a.session.start_task("t");
    endpoint::call start;
    endpoint::call poll;
    for (const auto& outgoing : a.advance(ms(10))) {
        bool starts = outgoing.call.kind == endpoint::call_kind::start;
        (starts ? start : poll) = outgoing.call;
    }
    auto started = endpoint.handle(start, ms(10));
    auto ended = endpoint.handle(poll, ms(20));
    a.session.on_reply(poll, ended, ms(21), a.events);
    a.session.on_reply(start, started, ms(22), a.events);
    BOOST_TEST(a.count_events(event_kind::ended, "t") == 1);
    BOOST_TEST(a.count_events(event_kind::adopted) == 0);
    BOOST_TEST(a.session.tasks().empty());
}

BOOST_AUTO_TEST_CASE(a_report_on_an_old_run_does_not_end_a_later_run) {
    auto endpoint = make_endpoint();
    session_driver a("a@1");
    a.exchange(endpoint, ms(0));
    for (int round = 0; round < 2; ++round) {
        a.session.reserve_task(make_task("t", 60000));
        a.session.start_task("t");
        a.exchange(endpoint, ms(10 + round * 100));
        if (round == 0) {
            a.session.stop_task("t", a.events);
            a.exchange(endpoint, ms(20));
            a.exchange(endpoint, ms(30));
        }
    }
    session_driver b("b@1"); // has acknowledged no report yet
    b.exchange(endpoint, ms(2300));
    BOOST_TEST(b.count_events(event_kind::adopted, "t") == 1);
    BOOST_TEST(b.session.tasks().contains("t"));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_fails_everything_is_quarantined) {
    dispatch::endpoint_health failing;
    dispatch::failure_rate all_endpoints;
    for (int i = 0; i < 50; ++i) {
        all_endpoints.record(false);
    }
    int failures = 0;
    while (!failing.is_quarantined() && failures < 100) {
        failing.record_outcome(true, all_endpoints, ms(0), milliseconds(1000));
        failures++;
    }
    BOOST_TEST(failures <= 5);
    BOOST_TEST(failing.slot_limit(8, ms(500)) == 0);
    BOOST_TEST(failing.slot_limit(8, ms(1500)) == 1); // one probe task
    for (int i = 0; i < 8; ++i) {
        failing.record_outcome(false, all_endpoints, ms(1600),
                               milliseconds(1000));
    }
    BOOST_TEST(failing.slot_limit(8, ms(1700)) == 8);
}

BOOST_AUTO_TEST_CASE(work_that_fails_everywhere_quarantines_no_endpoint) {
    dispatch::endpoint_health first;
    dispatch::failure_rate all_endpoints;
    for (int i = 0; i < 100; ++i) {
        all_endpoints.record(true);
        first.record_outcome(true, all_endpoints, ms(0), milliseconds(1000));
    }
    // The first endpoint may be quarantined, because it fails before the rate
    // across all endpoints is high; the second one must not be.
    dispatch::endpoint_health second;
    for (int i = 0; i < 100; ++i) {
        second.record_outcome(true, all_endpoints, ms(0), milliseconds(1000));
    }
    BOOST_TEST(!second.is_quarantined());
}

BOOST_AUTO_TEST_CASE(preemption_never_puts_two_tasks_into_one_slot) {
    auto endpoint = make_endpoint(1);
    dispatch::endpoint_pool pool("a@1", times, 1);
    pool.set_listed_endpoints({"e"});
    pool.set_claim_desired("e", true);
    auto exchange = [&](instant now) {
        std::vector<dispatch::outgoing_call> calls;
        pool.advance(now, calls);
        for (const auto& outgoing : calls) {
            auto reply = endpoint.handle(outgoing.call, now);
            pool.on_reply("e", outgoing.call, reply, now);
        }
    };
    exchange(ms(0));
    auto trial = make_task("trial", 60000);
    trial.reclaimed_as = admission::reclaim_level::trial;
    pool.commit_placement("trial", {trial},
                          {{"e", admission::reclaim_level::none}});
    exchange(ms(10));
    exchange(ms(20));
    admission::work_item urgent;
    urgent.need = {1, 0, 0, 0};
    urgent.level = admission::reclaim_level::trial;
    auto plan = pool.plan_placement(urgent);
    BOOST_REQUIRE(plan);
    pool.commit_placement("urgent", {make_task("urgent", 50)}, *plan);
    for (int now = 30; now < 100; now += 10) {
        exchange(ms(now));
        BOOST_TEST(endpoint.used().slots <= 1);
    }
    bool started = false;
    for (const auto& event : pool.take_events()) {
        started = started ||
                  (event.kind == event_kind::started && event.task == "urgent");
        BOOST_TEST((event.kind != event_kind::not_started));
    }
    BOOST_TEST(started);
}
