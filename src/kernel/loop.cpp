#include "eelgrasslever/kernel/loop.hpp"

#include <algorithm>
#include <deque>
#include <sys/resource.h>
#include <unordered_map>
#include <utility>

namespace eelgrasslever::kernel {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::steady_clock;

/// The loop's own work between callbacks.
constexpr const char* loop_activity = "event_loop";
constexpr double milliseconds_per_second = 1000.0;
/// Reading the processor time is a system call, so it is not read each turn.
constexpr microseconds cpu_sample_interval{100'000};

double seconds_of(base::milliseconds value) {
    return static_cast<double>(value.count()) / milliseconds_per_second;
}

// Not from CLOCK_PROCESS_CPUTIME_ID: some hosts return the elapsed time for it.
microseconds process_cpu_time() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    auto of = [](const timeval& value) {
        return std::chrono::seconds(value.tv_sec) + microseconds(value.tv_usec);
    };
    return of(usage.ru_utime) + of(usage.ru_stime);
}

} // namespace

/// Measures each turn: the wait, and the callbacks after it.
struct loop::turn_clock {
    microseconds threshold{microseconds::max()};
    std::function<void(const loop_turn&)> on_turn;
    loop_turn turn;
    steady_clock::time_point phase_started_at{steady_clock::now()};
    steady_clock::time_point cpu_sampled_at{phase_started_at};
    microseconds cpu_sample{process_cpu_time()};
    /// By the address of the name.
    std::unordered_map<const char*, activity_usage> usage;
    const char* current{loop_activity};
    steady_clock::time_point current_since{phase_started_at};

    microseconds end_phase() {
        auto started_at = std::exchange(phase_started_at, steady_clock::now());
        return duration_cast<microseconds>(phase_started_at - started_at);
    }

    void on_wait_ended() {
        turn.waited = end_phase();
        current_since = phase_started_at;
    }

    /// @return the activity that ran so far.
    const char* switch_to(const char* next, steady_clock::time_point now) {
        usage[current].total += duration_cast<microseconds>(
            now - std::exchange(current_since, now));
        return std::exchange(current, next);
    }

    void count_piece(const char* name, microseconds duration) {
        activity_usage& row = usage[name];
        row.longest = std::max(row.longest, duration);
        row.pieces++;
    }

    void on_wait_started() {
        turn.handled = end_phase();
        switch_to(current, phase_started_at);
        bool is_long = std::max(turn.handled, turn.overslept) > threshold;
        auto cpu_period =
            duration_cast<microseconds>(phase_started_at - cpu_sampled_at);
        if (is_long || cpu_period > cpu_sample_interval) {
            auto earlier = std::exchange(cpu_sample, process_cpu_time());
            turn.cpu = cpu_sample - earlier;
            turn.cpu_period = cpu_period;
            cpu_sampled_at = phase_started_at;
        }
        loop_turn finished = std::exchange(turn, {});
        if (is_long && on_turn) {
            on_turn(finished);
        }
    }

    void on_timer_fired(steady_clock::time_point due_at) {
        auto late = duration_cast<microseconds>(phase_started_at - due_at);
        turn.overslept = std::max(turn.overslept, std::min(late, turn.waited));
    }

    void on_callback(const char* type, microseconds duration) {
        count_piece(type, duration);
        usage[type].is_callback = true;
        turn.callbacks++;
        if (duration >= turn.longest) {
            turn.longest = duration;
            turn.longest_callback = type;
        }
    }

    static void wait_started(struct ev_loop* native) noexcept {
        static_cast<turn_clock*>(ev_userdata(native))->on_wait_started();
    }
    static void wait_ended(struct ev_loop* native) noexcept {
        static_cast<turn_clock*>(ev_userdata(native))->on_wait_ended();
    }
};

activity::activity(loop& event_loop, const char* name)
    : m_event_loop(event_loop), m_started_at(steady_clock::now()) {
    m_enclosing = event_loop.m_turns->switch_to(name, m_started_at);
}

activity::~activity() {
    auto now = steady_clock::now();
    auto& turns = *m_event_loop.m_turns;
    turns.count_piece(turns.switch_to(m_enclosing, now),
                      duration_cast<microseconds>(now - m_started_at));
}

// The callback may destroy itself, so its type is read first.
template <typename... Arguments>
void loop::invoke(const std::function<void(Arguments...)>& callback,
                  Arguments... arguments) {
    const char* type = callback.target_type().name();
    auto started_at = steady_clock::now();
    const char* enclosing = m_turns->switch_to(type, started_at);
    // Known before the callback runs, which may take the usage.
    m_turns->usage[type].is_callback = true;
    callback(arguments...);
    auto ended_at = steady_clock::now();
    m_turns->switch_to(enclosing, ended_at);
    m_turns->on_callback(type,
                         duration_cast<microseconds>(ended_at - started_at));
}

struct loop::deferred_queue {
    loop& owner;
    std::deque<std::function<void()>> work;
    ev_async wake{};

    static void run(struct ev_loop*, ev_async* watcher, int) {
        auto& self = *static_cast<deferred_queue*>(watcher->data);
        std::deque<std::function<void()>> batch;
        batch.swap(self.work);
        for (auto& item : batch) {
            self.owner.invoke(item);
        }
    }
};

loop::loop()
    : m_loop(ev_loop_new(EVFLAG_AUTO)),
      m_deferred(new deferred_queue{*this, {}, {}}),
      m_turns(std::make_unique<turn_clock>()) {
    ev_set_userdata(m_loop, m_turns.get());
    ev_set_loop_release_cb(m_loop, turn_clock::wait_started,
                           turn_clock::wait_ended);
    ev_async_init(&m_deferred->wake, deferred_queue::run);
    m_deferred->wake.data = m_deferred.get();
    ev_async_start(m_loop, &m_deferred->wake);
}

loop::~loop() {
    // Deferred work may own watches, whose destructors use the loop.
    m_deferred->work.clear();
    ev_async_stop(m_loop, &m_deferred->wake);
    ev_loop_destroy(m_loop);
}

void loop::run() {
    ev_run(m_loop, 0);
}

void loop::stop() {
    ev_break(m_loop, EVBREAK_ALL);
}

void loop::defer(std::function<void()> work) {
    m_deferred->work.push_back(std::move(work));
    ev_async_send(m_loop, &m_deferred->wake);
}

void loop::report_long_turns(microseconds threshold,
                             std::function<void(const loop_turn&)> on_turn) {
    m_turns->threshold = threshold;
    m_turns->on_turn = std::move(on_turn);
}

std::vector<activity_usage> loop::take_usage() {
    m_turns->switch_to(m_turns->current, steady_clock::now());
    std::vector<activity_usage> out;
    for (auto& [name, row] : std::exchange(m_turns->usage, {})) {
        row.name = name;
        out.push_back(row);
    }
    std::sort(out.begin(), out.end(),
              [](const auto& a, const auto& b) { return a.total > b.total; });
    return out;
}

timer::timer(loop& event_loop, std::function<void()> on_fire)
    : m_event_loop(event_loop), m_on_fire(std::move(on_fire)) {
    ev_timer_init(&m_watcher, timer::fired, 0.0, 0.0);
    m_watcher.data = this;
}

timer::~timer() {
    cancel();
}

void timer::fired(struct ev_loop*, ev_timer* watcher, int) {
    auto& self = *static_cast<timer*>(watcher->data);
    self.m_event_loop.m_turns->on_timer_fired(std::exchange(
        self.m_due_at, steady_clock::now() + duration_cast<microseconds>(
                                                 std::chrono::duration<double>(
                                                     watcher->repeat))));
    self.m_event_loop.invoke(self.m_on_fire);
}

void timer::start_once(base::milliseconds delay) {
    cancel();
    ev_now_update(m_event_loop.native());
    m_due_at = steady_clock::now() + delay;
    ev_timer_set(&m_watcher, seconds_of(delay), 0.0);
    ev_timer_start(m_event_loop.native(), &m_watcher);
}

void timer::start_every(base::milliseconds period) {
    cancel();
    ev_now_update(m_event_loop.native());
    m_due_at = steady_clock::now() + period;
    ev_timer_set(&m_watcher, seconds_of(period), seconds_of(period));
    ev_timer_start(m_event_loop.native(), &m_watcher);
}

void timer::cancel() {
    ev_timer_stop(m_event_loop.native(), &m_watcher);
}

descriptor_watch::descriptor_watch(loop& event_loop, int descriptor, int events,
                                   std::function<void(int)> on_ready)
    : m_event_loop(event_loop), m_on_ready(std::move(on_ready)) {
    ev_io_init(&m_watcher, descriptor_watch::ready, descriptor, events);
    m_watcher.data = this;
    ev_io_start(m_event_loop.native(), &m_watcher);
}

descriptor_watch::~descriptor_watch() {
    ev_io_stop(m_event_loop.native(), &m_watcher);
}

void descriptor_watch::set_events(int events) {
    ev_io_stop(m_event_loop.native(), &m_watcher);
    ev_io_set(&m_watcher, m_watcher.fd, events);
    ev_io_start(m_event_loop.native(), &m_watcher);
}

void descriptor_watch::ready(struct ev_loop*, ev_io* watcher, int events) {
    auto& self = *static_cast<descriptor_watch*>(watcher->data);
    self.m_event_loop.invoke(self.m_on_ready, events);
}

signal_watch::signal_watch(loop& event_loop, int signal_number,
                           std::function<void()> on_fire)
    : m_event_loop(event_loop), m_on_fire(std::move(on_fire)) {
    ev_signal_init(&m_watcher, signal_watch::fired, signal_number);
    m_watcher.data = this;
    ev_signal_start(m_event_loop.native(), &m_watcher);
}

signal_watch::~signal_watch() {
    ev_signal_stop(m_event_loop.native(), &m_watcher);
}

void signal_watch::fired(struct ev_loop*, ev_signal* watcher, int) {
    auto& self = *static_cast<signal_watch*>(watcher->data);
    self.m_event_loop.invoke(self.m_on_fire);
}

} // namespace eelgrasslever::kernel
