/// @file
/// Event loop of a process: RAII wrappers for a libev loop and its timer,
/// descriptor and signal watchers.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <chrono>
#include <cstddef>
#include <ev.h>
#include <functional>
#include <memory>
#include <vector>

namespace eelgrasslever::kernel {

/// A turn of an event loop: a wait for events, and the callbacks after it.
struct loop_turn {
    std::chrono::microseconds waited{0};
    /// Part of the wait after a timer was due: the process did not run.
    std::chrono::microseconds overslept{0};
    std::chrono::microseconds handled{0}; ///< by all callbacks
    std::size_t callbacks{0};
    std::chrono::microseconds longest{0}; ///< of one callback
    const char* longest_callback{""};     ///< mangled name of its type
    /// Processor time of the process in the last `cpu_period`, which includes
    /// the turn.
    std::chrono::microseconds cpu{0};
    std::chrono::microseconds cpu_period{0};
};

/// Time spent on one kind of work since the previous report, without that spent
/// on other kinds within it.
struct activity_usage {
    const char* name{""};
    bool is_callback{false}; ///< `name` is the mangled type of a callback
    std::chrono::microseconds total{0};
    std::chrono::microseconds longest{0}; ///< of one piece of work, in full
    std::size_t pieces{0};
};

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

    /// @param on_turn receives each turn whose callbacks take longer than
    /// @p threshold, or whose wait ends that much later than a timer is due.
    void report_long_turns(std::chrono::microseconds threshold,
                           std::function<void(const loop_turn&)> on_turn);

    /// @return the usage since the previous call, the largest total first. The
    /// totals add up to the time outside of waits.
    [[nodiscard]] std::vector<activity_usage> take_usage();

    [[nodiscard]] struct ev_loop* native() { return m_loop; }

  private:
    friend class activity;
    friend class timer;
    friend class descriptor_watch;
    friend class signal_watch;
    struct deferred_queue;
    struct turn_clock;

    /// Calls @p callback and accounts its time to the current turn.
    template <typename... Arguments>
    void invoke(const std::function<void(Arguments...)>& callback,
                Arguments... arguments);

    struct ev_loop* m_loop;
    std::unique_ptr<deferred_queue> m_deferred;
    std::unique_ptr<turn_clock> m_turns;
};

/// Accounts the time from its construction to its destruction to @p name.
class activity {
  public:
    /// @param name must have static storage duration. Equal names are told
    /// apart by address, so each has one definition.
    activity(loop& event_loop, const char* name);
    ~activity();
    activity(const activity&) = delete;
    activity& operator=(const activity&) = delete;

  private:
    loop& m_event_loop;
    const char* m_enclosing;
    std::chrono::steady_clock::time_point m_started_at;
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
    std::chrono::steady_clock::time_point m_due_at{};
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
