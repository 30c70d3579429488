/// @file
/// Event loop of a process: RAII wrappers for a libev loop and its timer,
/// descriptor and signal watchers.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <ev.h>
#include <functional>
#include <memory>

namespace eelgrasslever::kernel {

/// Owns a libev loop. All tasks of a process run on its thread.
class loop {
  public:
    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    /// Dispatches events until `stop` is called.
    void run();
    void stop();

    /// Runs @p work after the current callback has returned.
    void defer(std::function<void()> work);

    [[nodiscard]] struct ev_loop* native() { return m_loop; }

  private:
    struct deferred_queue;
    struct ev_loop* m_loop;
    std::unique_ptr<deferred_queue> m_deferred;
};

/// Invokes a callback after a delay, once or periodically. The destructor
/// cancels it.
class timer {
  public:
    timer(loop& event_loop, std::function<void()> on_fire);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Fires once after @p delay. Replaces any previous schedule.
    void start_once(base::milliseconds delay);
    /// Fires every @p period. Replaces any previous schedule.
    void start_every(base::milliseconds period);
    void cancel();

  private:
    static void fired(struct ev_loop* native, ev_timer* watcher, int events);
    loop& m_event_loop;
    std::function<void()> m_on_fire;
    ev_timer m_watcher{};
};

/// Invokes a callback when a file descriptor is ready. The descriptor is not
/// owned.
class descriptor_watch {
  public:
    /// @param events EV_READ, EV_WRITE or both.
    /// @param on_ready receives the events that occurred.
    descriptor_watch(loop& event_loop, int descriptor, int events,
                     std::function<void(int events)> on_ready);
    ~descriptor_watch();
    descriptor_watch(const descriptor_watch&) = delete;
    descriptor_watch& operator=(const descriptor_watch&) = delete;

    /// Changes the watched events; 0 pauses the watch.
    void set_events(int events);

  private:
    static void ready(struct ev_loop* native, ev_io* watcher, int events);
    loop& m_event_loop;
    std::function<void(int)> m_on_ready;
    ev_io m_watcher{};
};

/// Invokes a callback on a POSIX signal.
class signal_watch {
  public:
    signal_watch(loop& event_loop, int signal_number,
                 std::function<void()> on_fire);
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

  private:
    static void fired(struct ev_loop* native, ev_signal* watcher, int events);
    loop& m_event_loop;
    std::function<void()> m_on_fire;
    ev_signal m_watcher{};
};

} // namespace eelgrasslever::kernel
