#include "eelgrasslever/kernel/loop.hpp"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <optional>
#include <sys/wait.h>
#include <thread>
#include <tuple>
#include <unistd.h>

using namespace eelgrasslever;
using base::milliseconds;

namespace {

constexpr milliseconds threshold{60};
constexpr milliseconds blocked_time{100};

/// @return the first long turn of a loop that runs @p prepare's callbacks, if
/// there is one within 300 ms.
template <typename Prepare>
std::optional<kernel::loop_turn> first_long_turn(Prepare prepare) {
    kernel::loop event_loop;
    std::optional<kernel::loop_turn> out;
    event_loop.report_long_turns(threshold, [&](const auto& turn) {
        if (!out) {
            out = turn;
        }
    });
    auto kept = prepare(event_loop);
    kernel::timer end(event_loop, [&] { event_loop.stop(); });
    end.start_once(milliseconds(300));
    event_loop.run();
    return out;
}

} // namespace

// Guards: a callback that blocks can't be told from a process that is kept
// from running.
BOOST_AUTO_TEST_CASE(a_callback_that_blocks_is_reported_with_its_type) {
    auto block = [] { std::this_thread::sleep_for(blocked_time); };
    auto turn = first_long_turn([&](kernel::loop& event_loop) {
        auto timer = std::make_unique<kernel::timer>(event_loop, block);
        timer->start_once(milliseconds(10));
        return timer;
    });
    BOOST_REQUIRE(turn);
    BOOST_TEST((turn->handled >= blocked_time));
    BOOST_TEST((turn->longest >= blocked_time));
    BOOST_TEST(turn->callbacks == 1U);
    BOOST_TEST(turn->longest_callback == typeid(block).name());
    BOOST_TEST((turn->overslept < threshold));
    // It sleeps, so it hardly uses the processor.
    BOOST_TEST((turn->cpu < turn->cpu_period / 2));
}

// Guards: a wait that lasts longer than its timer goes unnoticed.
BOOST_AUTO_TEST_CASE(a_process_that_is_stopped_in_its_wait_is_reported) {
    std::array<int, 2> pipe_ends{};
    BOOST_REQUIRE(pipe(pipe_ends.data()) == 0);
    pid_t child = fork();
    if (child == 0) {
        auto turn = first_long_turn([](kernel::loop& event_loop) {
            auto timer = std::make_unique<kernel::timer>(event_loop, [] {});
            timer->start_every(milliseconds(20));
            return timer;
        });
        bool is_expected =
            turn && turn->overslept >= threshold && turn->handled < threshold;
        char outcome = is_expected ? 'y' : 'n';
        std::ignore = write(pipe_ends[1], &outcome, 1);
        _exit(0);
    }
    std::this_thread::sleep_for(milliseconds(50));
    kill(child, SIGSTOP);
    std::this_thread::sleep_for(milliseconds(150));
    kill(child, SIGCONT);
    char outcome = 0;
    BOOST_TEST(read(pipe_ends[0], &outcome, 1) == 1);
    BOOST_TEST(outcome == 'y');
    waitpid(child, nullptr, 0);
    close(pipe_ends[0]);
    close(pipe_ends[1]);
}

// Guards: a wait without events is taken for a stall.
BOOST_AUTO_TEST_CASE(a_wait_for_events_is_not_reported) {
    auto turn = first_long_turn([](kernel::loop& event_loop) {
        auto timer = std::make_unique<kernel::timer>(event_loop, [] {});
        timer->start_once(milliseconds(200));
        return timer;
    });
    BOOST_TEST(!turn);
}

// Guards: kinds of work that overlap, or leave a part out, so that they don't
// add up to the time that the process was busy.
BOOST_AUTO_TEST_CASE(activities_are_counted_once_and_add_up) {
    static constexpr const char* inner_name = "inner";
    kernel::loop event_loop;
    auto started_at = std::chrono::steady_clock::now();
    int left = 3;
    auto outer = [&] {
        std::this_thread::sleep_for(milliseconds(2));
        {
            kernel::activity measured(event_loop, inner_name);
            std::this_thread::sleep_for(milliseconds(4));
        }
        std::this_thread::sleep_for(milliseconds(2));
        if (--left == 0) {
            event_loop.stop();
        }
    };
    kernel::timer timer(event_loop, outer);
    timer.start_every(milliseconds(1));
    event_loop.run();
    auto elapsed = std::chrono::steady_clock::now() - started_at;
    auto usage = event_loop.take_usage();

    auto row_of = [&](const char* name) {
        auto found =
            std::find_if(usage.begin(), usage.end(),
                         [&](const auto& row) { return row.name == name; });
        BOOST_REQUIRE((found != usage.end()));
        return *found;
    };
    auto inner_row = row_of(inner_name);
    BOOST_TEST(inner_row.pieces == 3U);
    BOOST_TEST(!inner_row.is_callback);
    BOOST_TEST((inner_row.total >= milliseconds(12)));
    BOOST_TEST((inner_row.longest >= milliseconds(4)));
    auto outer_row = row_of(typeid(outer).name());
    BOOST_TEST(outer_row.pieces == 3U);
    BOOST_TEST(outer_row.is_callback);
    BOOST_TEST((outer_row.total >= milliseconds(12)));
    BOOST_TEST((outer_row.longest >= milliseconds(8)));

    std::chrono::microseconds sum{0};
    for (const auto& row : usage) {
        sum += row.total;
    }
    BOOST_TEST((sum >= milliseconds(24)));
    BOOST_TEST((sum <= elapsed));
    BOOST_TEST((outer_row.total <= sum - inner_row.total));

    for (const auto& row : event_loop.take_usage()) {
        BOOST_TEST(row.pieces == 0U);
        BOOST_TEST((row.total < milliseconds(4)));
    }
}

// Guards: the log names the kind of work that reads the usage by a mangled
// type.
BOOST_AUTO_TEST_CASE(a_callback_that_takes_the_usage_is_listed_as_one) {
    kernel::loop event_loop;
    std::vector<kernel::activity_usage> usage;
    auto callback = [&] {
        std::this_thread::sleep_for(milliseconds(2));
        usage = event_loop.take_usage();
        event_loop.stop();
    };
    kernel::timer timer(event_loop, callback);
    timer.start_once(milliseconds(1));
    event_loop.run();
    auto row = std::find_if(usage.begin(), usage.end(), [&](const auto& each) {
        return each.name == typeid(callback).name();
    });
    BOOST_REQUIRE((row != usage.end()));
    BOOST_TEST(row->is_callback);
    BOOST_TEST((row->total >= milliseconds(2)));
}
