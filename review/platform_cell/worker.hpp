/// @file
/// Stand-in of a worker that starts whatever it is told to start. A task's
/// payload says how it behaves: "work=MS" (its duration), "fail=MS" (fails
/// after that time), "lasting" (at work until it is stopped).
#pragma once

#include "http.hpp"
#include "store.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review::cell {

/// A start or an end on some worker.
struct run_event {
    std::chrono::steady_clock::time_point at{};
    std::string worker;
    std::string task;
    int run{0};
    /// "start", how the run ended, or "noted" when its end `done` is taken note
    /// of with no lapse of the worker's lease between the two.
    std::string what;
    std::string payload;
};

struct worker_options {
    std::string id;
    std::string service;
    std::string zone;
    std::string rack;
    std::string kind{"a"};
    int cpu{16000};
    int memory_mb{65536};
    std::chrono::milliseconds max_hold{6000};
    /// Says when its life began, and counts its clock from there.
    bool tells_life{false};
    /// Takes an order that gets no answer and is carried out later. @return
    /// whether it takes this one; empty: all orders are answered.
    std::function<bool(const http_request&)> postpone;
};

class worker {
  public:
    using observer = std::function<void(const run_event&)>;

    worker(std::string ip, int port, worker_options options, store& registry,
           observer observe);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    /// Listens and registers the worker in the store.
    [[nodiscard]] bool open();
    /// Ends like a crash: connections break, and nothing is said. The entry in
    /// the store stays for the caller to remove.
    void crash();
    /// Changes the worker's entry to "draining".
    void announce_draining();
    /// Lets a task that lasts fail.
    void fail(const std::string& task);
    [[nodiscard]] const worker_options& options() const { return m_options; }
    [[nodiscard]] int port() const { return m_server->port(); }
    [[nodiscard]] bool is_up() const { return m_is_up; }

    struct live_run {
        std::string task;
        int run{0};
        std::string payload;
    };
    [[nodiscard]] std::vector<live_run> running();
    /// Carries out an order, also one that was postponed.
    http_reply carry_out(const http_request& request);

  private:
    using instant = std::chrono::steady_clock::time_point;
    struct execution {
        int run{0};
        std::string payload;
        instant started{};
        std::chrono::milliseconds work{0};
        std::optional<std::chrono::milliseconds> fails_after;
        bool is_lasting{false};
        std::optional<instant> stops_at;
    };
    struct end {
        std::uint64_t number{0};
        std::string task;
        int run{0};
        std::string how;
        bool is_lapsed{false}; ///< the worker's lease has lapsed since
    };

    http_reply handle(const http_request& request);
    http_reply start(const std::string& body);
    http_reply stop(const std::string& body);
    http_reply hold(const std::string& body);
    void advance();

    // With the mutex held.
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] http_reply refuse(const char* reason) const;
    [[nodiscard]] bool is_fenced(std::uint64_t token);
    void extend(std::int64_t deadline);
    void finish(const std::string& task, const std::string& how);
    void report(const std::string& task, const execution& run,
                const std::string& what);
    void write_entry(const char* state);
    [[nodiscard]] std::string encode(nlohmann::json reply) const;

    worker_options m_options;
    store& m_registry;
    observer m_observe;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, execution> m_running;
    std::vector<end> m_ends;
    std::map<std::string, int> m_highest_ended;
    std::uint64_t m_last_end{0};
    std::uint64_t m_highest_token{0};
    std::int64_t m_deadline{0};
    instant m_born{};
    std::int64_t m_born_ms{0}; ///< since 1970
    int m_sequence{0};
    std::atomic<bool> m_is_up{false};
    std::thread m_clock;
    std::unique_ptr<http_server> m_server;
};

} // namespace review::cell
