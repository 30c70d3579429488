#include "eelgrasslever/kernel/loop.hpp"

#include <deque>
#include <utility>

namespace eelgrasslever::kernel {

namespace {

constexpr double milliseconds_per_second = 1000.0;

double seconds_of(base::milliseconds value) {
    return static_cast<double>(value.count()) / milliseconds_per_second;
}

} // namespace

struct loop::deferred_queue {
    std::deque<std::function<void()>> work;
    ev_async wake{};

    static void run(struct ev_loop*, ev_async* watcher, int) {
        auto& self = *static_cast<deferred_queue*>(watcher->data);
        std::deque<std::function<void()>> batch;
        batch.swap(self.work);
        for (auto& item : batch) {
            item();
        }
    }
};

loop::loop()
    : m_loop(ev_loop_new(EVFLAG_AUTO)),
      m_deferred(std::make_unique<deferred_queue>()) {
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

timer::timer(loop& event_loop, std::function<void()> on_fire)
    : m_event_loop(event_loop), m_on_fire(std::move(on_fire)) {
    ev_timer_init(&m_watcher, timer::fired, 0.0, 0.0);
    m_watcher.data = this;
}

timer::~timer() {
    cancel();
}

void timer::fired(struct ev_loop*, ev_timer* watcher, int) {
    static_cast<timer*>(watcher->data)->m_on_fire();
}

void timer::start_once(base::milliseconds delay) {
    cancel();
    ev_now_update(m_event_loop.native());
    ev_timer_set(&m_watcher, seconds_of(delay), 0.0);
    ev_timer_start(m_event_loop.native(), &m_watcher);
}

void timer::start_every(base::milliseconds period) {
    cancel();
    ev_now_update(m_event_loop.native());
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
    static_cast<descriptor_watch*>(watcher->data)->m_on_ready(events);
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
    static_cast<signal_watch*>(watcher->data)->m_on_fire();
}

} // namespace eelgrasslever::kernel
