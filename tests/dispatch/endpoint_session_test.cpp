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

dispatch::local_task task_of(const std::string& id, int run_ms,
                             bool repeatable = true) {
    dispatch::local_task out;
    out.spec.id = id;
    out.spec.need = {1, 0, 0, 0};
    out.spec.declared_run = milliseconds(run_ms);
    out.spec.repeatable = repeatable;
    return out;
}

/// A session and the calls that it has sent but not heard of.
struct driven_session {
    explicit driven_session(const std::string& holder)
        : session("e", holder, times) {
        session.set_claim_desired(true);
    }
    std::vector<dispatch::outgoing_call> advance(instant now) {
        std::vector<dispatch::outgoing_call> calls;
        session.advance(now, calls, events);
        return calls;
    }
    /// Sends what is due and answers it at once.
    void exchange(endpoint_state& with, instant now) {
        for (const auto& item : advance(now)) {
            session.on_reply(item.call, with.handle(item.call, now), now,
                             events);
        }
    }
    /// Sends what is due; nothing is heard of it before the timeout.
    /// @return the start among it.
    endpoint::call lose_calls(instant now) {
        endpoint::call start;
        for (const auto& item : advance(now)) {
            if (item.call.kind == endpoint::call_kind::start) {
                start = item.call;
            }
            session.on_reply(item.call, {}, now + milliseconds(990), events);
        }
        return start;
    }
    int count(event_kind kind, const std::string& task = "") const {
        int out = 0;
        for (const dispatch::event& item : events) {
            bool matches =
                item.kind == kind && (task.empty() || item.task == task);
            out += matches ? 1 : 0;
        }
        return out;
    }
    dispatch::endpoint_session session;
    std::vector<dispatch::event> events;
};

instant ms(int value) {
    return instant(milliseconds(value));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_task_is_started_and_its_end_reported) {
    auto endpoint = make_endpoint();
    driven_session a("a@1");
    a.exchange(endpoint, ms(0));
    BOOST_TEST(a.session.has_claim());
    a.session.reserve_task(task_of("t", 50));
    a.session.start_task("t");
    a.exchange(endpoint, ms(10));
    BOOST_TEST(a.count(event_kind::started, "t") == 1);
    a.exchange(endpoint, ms(100));
    BOOST_TEST(a.count(event_kind::ended, "t") == 1);
    BOOST_TEST((a.session.committed() == base::resources{}));
}

BOOST_AUTO_TEST_CASE(a_start_that_was_lost_is_settled_by_a_new_epoch) {
    auto endpoint = make_endpoint();
    driven_session a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(task_of("t", 50));
    a.session.start_task("t");
    auto lost_start = a.lose_calls(ms(10));
    a.exchange(endpoint, ms(1010));
    BOOST_TEST(a.count(event_kind::not_started, "t") == 1);
    // The start arrives after all, with the epoch that is over.
    auto late = endpoint.handle(lost_start, ms(1020));
    BOOST_TEST(!late.accepted);
    BOOST_TEST(endpoint.running() == 0u);
}

BOOST_AUTO_TEST_CASE(a_start_whose_reply_was_lost_is_found_running) {
    auto endpoint = make_endpoint();
    driven_session a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(task_of("t", 5000));
    a.session.start_task("t");
    for (const auto& item : a.advance(ms(10))) {
        endpoint.handle(item.call, ms(10));
        a.session.on_reply(item.call, {}, ms(1000), a.events);
    }
    a.exchange(endpoint, ms(1010));
    BOOST_TEST(a.count(event_kind::started, "t") == 1);
    BOOST_TEST(a.count(event_kind::not_started) == 0);
}

BOOST_AUTO_TEST_CASE(a_paused_holder_is_fenced_and_its_task_adopted) {
    auto endpoint = make_endpoint();
    driven_session a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(task_of("t", 60000));
    a.session.start_task("t");
    a.exchange(endpoint, ms(10));
    driven_session b("b@1");
    b.exchange(endpoint, ms(500));
    BOOST_TEST(!b.session.has_claim());
    BOOST_TEST(b.session.other_holder() == "a@1");
    b.exchange(endpoint, ms(2600)); // a's claim has lapsed
    BOOST_TEST(b.session.has_claim());
    BOOST_TEST(b.count(event_kind::adopted, "t") == 1);
    // a wakes up and believes that it still holds the endpoint.
    a.session.reserve_task(task_of("u", 50));
    a.session.start_task("u");
    a.exchange(endpoint, ms(2700));
    // Whichever reply comes first, "u" is not taken for running here.
    BOOST_TEST(a.count(event_kind::started, "u") == 0);
    BOOST_TEST(endpoint.running() == 1u);
    BOOST_TEST(a.count(event_kind::moved, "t") == 1);
    BOOST_TEST(!a.session.has_claim());
}

BOOST_AUTO_TEST_CASE(a_restarted_endpoint_may_have_run_an_unconfirmed_start) {
    auto endpoint = make_endpoint();
    driven_session a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(task_of("t", 50, false));
    a.session.start_task("t");
    for (const auto& item : a.advance(ms(10))) {
        a.session.on_reply(item.call, {}, ms(1000), a.events);
    }
    endpoint_config config;
    config.capacity = {2, 1000, 1000, 0};
    config.boot = 2;
    config.first_epoch = 1000;
    endpoint_state reborn(config, [](const auto&) {});
    a.exchange(reborn, ms(1010));
    BOOST_TEST(a.count(event_kind::lost, "t") == 1);
}

BOOST_AUTO_TEST_CASE(a_start_from_before_a_restart_is_not_taken_after_it) {
    auto endpoint = make_endpoint();
    driven_session a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(task_of("t", 50));
    a.session.start_task("t");
    auto lost_start = a.lose_calls(ms(10));
    endpoint_config config;
    config.capacity = {2, 1000, 1000, 0};
    config.boot = 2;
    config.first_epoch = 1000;
    endpoint_state reborn(config, [](const auto&) {});
    a.exchange(reborn, ms(1010));
    BOOST_TEST(!reborn.handle(lost_start, ms(1020)).accepted);
    BOOST_TEST(reborn.running() == 0u);
}

BOOST_AUTO_TEST_CASE(an_unreachable_endpoint_loses_its_tasks_after_the_lease) {
    auto endpoint = make_endpoint();
    driven_session a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(task_of("t", 60000));
    a.session.start_task("t");
    a.exchange(endpoint, ms(10));
    int now = 10;
    auto lost_at = static_cast<int>(times.lost_after().count());
    for (; a.count(event_kind::lost) == 0 && now < 60000; now += 50) {
        for (const auto& item : a.advance(ms(now))) {
            a.session.on_reply(item.call, {}, ms(now), a.events);
        }
    }
    BOOST_TEST(now >= lost_at);
    BOOST_TEST(now <= lost_at + 200);
    endpoint.advance(ms(now));
    BOOST_TEST(endpoint.running() == 0u);
}

BOOST_AUTO_TEST_CASE(an_end_may_be_heard_before_the_start) {
    auto endpoint = make_endpoint();
    driven_session a("a@1");
    a.exchange(endpoint, ms(0));
    a.session.reserve_task(task_of("t", 5));
    a.session.start_task("t");
    endpoint::call start;
    endpoint::call poll;
    for (const auto& item : a.advance(ms(10))) {
        bool starts = item.call.kind == endpoint::call_kind::start;
        (starts ? start : poll) = item.call;
    }
    auto started = endpoint.handle(start, ms(10));
    auto ended = endpoint.handle(poll, ms(20));
    a.session.on_reply(poll, ended, ms(21), a.events);
    a.session.on_reply(start, started, ms(22), a.events);
    BOOST_TEST(a.count(event_kind::ended, "t") == 1);
    BOOST_TEST(a.count(event_kind::adopted) == 0);
    BOOST_TEST(a.session.tasks().empty());
}

BOOST_AUTO_TEST_CASE(an_old_ending_does_not_end_a_later_run_of_the_id) {
    auto endpoint = make_endpoint();
    driven_session a("a@1");
    a.exchange(endpoint, ms(0));
    for (int round = 0; round < 2; ++round) {
        a.session.reserve_task(task_of("t", 60000));
        a.session.start_task("t");
        a.exchange(endpoint, ms(10 + round * 100));
        if (round == 0) {
            a.session.stop_task("t", a.events);
            a.exchange(endpoint, ms(20));
            a.exchange(endpoint, ms(30));
        }
    }
    driven_session b("b@1"); // has acknowledged nothing yet
    b.exchange(endpoint, ms(2300));
    BOOST_TEST(b.count(event_kind::adopted, "t") == 1);
    BOOST_TEST(b.session.tasks().contains("t"));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_fails_everything_is_quarantined) {
    dispatch::endpoint_health bad;
    dispatch::failure_rate all;
    for (int i = 0; i < 50; ++i) {
        all.record(false);
    }
    int failures = 0;
    while (!bad.is_quarantined() && failures < 100) {
        bad.record_outcome(true, all, ms(0), milliseconds(1000));
        failures++;
    }
    BOOST_TEST(failures <= 5);
    BOOST_TEST(bad.slot_limit(8, ms(500)) == 0);
    BOOST_TEST(bad.slot_limit(8, ms(1500)) == 1); // one probe
    for (int i = 0; i < 8; ++i) {
        bad.record_outcome(false, all, ms(1600), milliseconds(1000));
    }
    BOOST_TEST(bad.slot_limit(8, ms(1700)) == 8);
}

BOOST_AUTO_TEST_CASE(work_that_fails_everywhere_quarantines_nobody) {
    dispatch::endpoint_health one;
    dispatch::failure_rate all;
    for (int i = 0; i < 100; ++i) {
        all.record(true);
        one.record_outcome(true, all, ms(0), milliseconds(1000));
    }
    // The first failures come before it shows that all fail.
    dispatch::endpoint_health other;
    for (int i = 0; i < 100; ++i) {
        other.record_outcome(true, all, ms(0), milliseconds(1000));
    }
    BOOST_TEST(!other.is_quarantined());
}

BOOST_AUTO_TEST_CASE(preemption_never_puts_two_tasks_into_one_slot) {
    auto endpoint = make_endpoint(1);
    dispatch::endpoint_pool pool("a@1", times, 1);
    pool.set_listed_endpoints({"e"});
    pool.set_claim_desired("e", true);
    auto exchange = [&](instant now) {
        std::vector<dispatch::outgoing_call> calls;
        pool.advance(now, calls);
        for (const auto& item : calls) {
            auto reply = endpoint.handle(item.call, now);
            pool.on_reply("e", item.call, reply, now);
        }
    };
    exchange(ms(0));
    auto trial = task_of("trial", 60000);
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
    pool.commit_placement("urgent", {task_of("urgent", 50)}, *plan);
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
