/// @file
/// A worker as PROTOCOL.md describes it: runs tasks under a lease, lists what
/// runs and what has ended, and obeys fencing tokens. The text of a task's
/// `spec` is a JSON object: `work_ms` is the time that the task takes, and
/// `lasts` that it runs until it is stopped.
#pragma once

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

#include <condition_variable>
#include <nlohmann/json.hpp>
#include <vector>

namespace review {

/// A start of a task, for the checks.
struct task_start {
    std::string task;
    int run{0};
    std::string worker; ///< its id
    std::chrono::steady_clock::time_point started_at{};
    std::optional<std::chrono::steady_clock::time_point> ended_at;
    std::string how;      ///< as listed by the worker; "lost" in a crash
    bool is_noted{false}; ///< `seenUpto` has reached the end
};

/// Starts of all workers, in order.
class run_log {
  public:
    std::size_t add(task_start start);
    void end(std::size_t number, const std::string& how);
    void note(std::size_t number);
    [[nodiscard]] std::vector<task_start> all();

  private:
    std::mutex m_mutex;
    std::vector<task_start> m_starts;
};

struct worker_options {
    std::string ip;
    std::string service;
    std::string zone;
    std::vector<std::string> labels; ///< kind, rack
    std::int64_t cpu{64000};
    std::int64_t memory_mb{262144};
    milliseconds heartbeat{1500};
    milliseconds max_hold{10000};
};

/// One machine with a worker; a crash ends the worker, and a restart begins
/// another one at the same address.
class worker {
  public:
    worker(std::string name, worker_options options, store& registry,
           run_log& log, record_file& record);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    /// Ends everything on the worker. Connections are refused until `restart`.
    /// The entry of the lost worker goes after three heartbeats of silence.
    void crash();
    void restart();
    /// Reports that it drains, in its entry of the store.
    void drain();
    /// Leaves as planned: everything on it ends, and its entry is removed.
    void leave();
    [[nodiscard]] std::string id();
    [[nodiscard]] bool runs(const std::string& task);
    [[nodiscard]] std::size_t running_count();

  private:
    struct active_run {
        int run{0};
        milliseconds work{0};
        bool lasts{false};
        std::chrono::steady_clock::time_point started_at{};
        std::size_t log_number{0};
    };

    std::optional<http_response> handle(const http_request& request);
    http_response start_run(const nlohmann::json& order);
    http_response stop_run(const nlohmann::json& order);
    http_response hold(const nlohmann::json& order,
                       std::unique_lock<std::mutex>& lock);
    bool is_fenced(const nlohmann::json& order);
    void extend_lease(const nlohmann::json& order);
    void end_run(const std::string& task, const std::string& how);
    void advance();
    void send_heartbeats();
    void register_entry();
    [[nodiscard]] std::int64_t clock() const;

    std::string m_name;
    worker_options m_options;
    store& m_registry;
    run_log& m_log;
    record_file& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_life{0};
    std::string m_id;
    bool m_is_up{false};
    bool m_drains{false};
    bool m_stopping{false};
    std::chrono::steady_clock::time_point m_born{};
    std::uint64_t m_sequence{0};
    std::uint64_t m_token{0};
    std::int64_t m_deadline{0};
    std::uint64_t m_last_end{0};
    std::map<std::string, active_run> m_running;
    std::map<std::string, int> m_highest_ended;
    std::vector<nlohmann::json> m_ended;
    std::map<std::uint64_t, std::size_t> m_unnoted; ///< log numbers of ends
    std::vector<std::pair<std::chrono::steady_clock::time_point, std::string>>
        m_lost_entries;
    std::thread m_ticker;
    std::unique_ptr<http_server> m_server;
};

} // namespace review
