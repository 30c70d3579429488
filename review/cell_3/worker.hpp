/// @file
/// A worker that runs tasks by the clock.
#pragma once

#include "record.hpp"
#include "store.hpp"

#include <condition_variable>
#include <deque>
#include <set>

namespace review::cell {

/// What a task does once it runs.
struct task_course {
    milliseconds duration{1000};
    bool fails{false}; ///< at the end of `duration`
    bool lasts{false}; ///< until it is stopped
};

struct worker_options {
    std::string name;
    address at;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    int cpu{16000};
    int memory_mb{65536};
    milliseconds stop_duration{50};
};

/// A start or an end of a run, as the worker sees it.
struct run_event {
    milliseconds at{0};
    std::string worker;
    std::string task;
    int run{0};
    std::string how; ///< "start", or how the run ended
};

/// The runs of all workers.
class run_log {
  public:
    void add(run_event event);
    [[nodiscard]] std::vector<run_event> of_job(const std::string& job) const;

  private:
    mutable std::mutex m_mutex;
    std::vector<run_event> m_events;
};

class worker {
  public:
    using course_function =
        std::function<task_course(const std::string& task, int run)>;

    worker(worker_options options, store& registry, record& notes,
           run_log& runs, course_function course, milliseconds max_hold,
           milliseconds heartbeat);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    bool start();
    [[nodiscard]] std::size_t running_count() const;

  private:
    struct run {
        steady::time_point started_at;
        steady::time_point stop_at{steady::time_point::max()};
        task_course course;
    };
    struct end {
        std::uint64_t number{0};
        std::string task;
        int run{0};
        std::string how;
    };
    using run_name = std::pair<std::string, int>;

    response handle(const request& call);
    response start_run(const request& call);
    response stop_run(const request& call);
    response hold(const request& call, std::unique_lock<std::mutex>& lock);
    response reply(int status, const std::string& reason) const;
    /// @return false for a lower token than the highest one.
    bool take_token(std::uint64_t token);
    void extend(std::int64_t deadline);
    [[nodiscard]] std::int64_t clock() const;
    void end_run(const run_name& name, const std::string& how);
    void advance();
    void beat();
    void work();

    worker_options m_options;
    store& m_registry;
    record& m_notes;
    run_log& m_runs;
    course_function m_course;
    milliseconds m_max_hold;
    milliseconds m_heartbeat;
    mutable std::mutex m_mutex;
    std::condition_variable m_ended;
    std::unique_ptr<http_server> m_server;
    bool m_up{false};
    std::string m_id;
    std::uint64_t m_sequence{0};
    steady::time_point m_last_beat;
    std::uint64_t m_highest_token{0};
    std::int64_t m_deadline{0};
    std::uint64_t m_last_end{0};
    std::map<run_name, run> m_running;
    std::map<std::string, int> m_closed; ///< highest run that ended or stopped
    std::deque<end> m_ends;
};

} // namespace review::cell
