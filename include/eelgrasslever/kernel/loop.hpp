/// @file
/// The event loop of a process: libev with timers, descriptors and signals
/// behind small owning handles.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <ev.h>
#include <functional>
#include <memory>

namespace eelgrasslever::kernel {

/// Owns one libev loop. Everything of a process runs on this loop's thread.
class loop {
  public:
    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    /// Runs until `stop` is called.
    void run();
    void stop();

    /// Runs @p work once the present callback has returned.
    void defer(std::function<void()> work);

    [[nodiscard]] struct ev_loop* native() { return m_loop; }

  private:
    struct deferred_queue;
    struct ev_loop* m_loop;
    std::unique_ptr<deferred_queue> m_deferred;
};

/// Calls back after a delay, once or repeatedly, until destroyed.
class timer {
  public:
    timer(loop& event_loop, std::function<void()> on_fire);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Fires once after @p delay; replaces an earlier schedule.
    void start_once(base::milliseconds delay);
    /// Fires every @p period.
    void start_every(base::milliseconds period);
    void cancel();

  private:
    static void fired(struct ev_loop* native, ev_timer* watcher, int events);
    loop& m_event_loop;
    std::function<void()> m_on_fire;
    ev_timer m_watcher{};
};

/// Calls back when a file descriptor is ready, until destroyed.
class descriptor_watch {
  public:
    /// @param events EV_READ, EV_WRITE or both.
    descriptor_watch(loop& event_loop, int descriptor, int events,
                     std::function<void(int events)> on_ready);
    ~descriptor_watch();
    descriptor_watch(const descriptor_watch&) = delete;
    descriptor_watch& operator=(const descriptor_watch&) = delete;

    /// Changes which events are watched.
    void set_events(int events);

  private:
    static void ready(struct ev_loop* native, ev_io* watcher, int events);
    loop& m_event_loop;
    std::function<void(int)> m_on_ready;
    ev_io m_watcher{};
};

/// Calls back on a POSIX signal, until destroyed.
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
