/// @file
/// A small deployment on loopback: processes of the system as the deploy file
/// starts them, with stand-ins of the platform's store, the workers and the
/// clients. Writes what happens to a record.
#pragma once

#include "http.hpp"
#include "store.hpp"
#include "worker.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review::cell {

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

/// A queue of the configuration.
struct queue {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    int priority{1};
    int attempts{3};
    double stretch{2.2};
    int target_latency_ms{1000};
};

/// Part of a job's steps. Fields of 0 and false are left out of the job.
struct step {
    int count{1};
    int cpu{1000};
    int memory_mb{512};
    int estimate_ms{1000};
    bool is_lasting{false};
    bool is_gang{false};
};

class cell {
  public:
    /// @param record_path where to write the record.
    explicit cell(const std::string& record_path);
    ~cell();
    cell(const cell&) = delete;
    cell& operator=(const cell&) = delete;

    /// @return whether the case runs with its disruption.
    [[nodiscard]] static bool has_trouble();

    /// Starts the store and writes the configuration.
    [[nodiscard]] bool begin(const std::vector<queue>& queues);
    /// Writes a configuration of a higher version.
    void configure(const std::vector<queue>& queues);
    /// Starts processes of the system and waits until they are ready.
    [[nodiscard]] bool start_members(int count);
    /// Starts a worker. @return nullptr if it can't listen.
    /// @param port 0: a free one.
    worker* add_worker(const std::string& service, const std::string& rack,
                       int cpu, int port = 0);
    /// Starts a crashed worker again, under its id and at its address.
    worker* restart(const worker& crashed);
    /// Lets the workers that are added later tell their lives.
    void tell_lives() { m_tells_lives = true; }
    /// Share of the orders to workers that get no answer from now on and are
    /// carried out 2 to 12 s later, by the life that the worker has then.
    void set_late_share(double share) { m_late_share = share; }
    [[nodiscard]] std::vector<worker*> workers();
    /// Crashes a worker. The platform removes its entry after three silent
    /// heartbeats.
    void crash(worker& target);

    /// Hands a job in, once again after each attempt without a definite
    /// answer. @return whether it was accepted.
    bool submit(const queue& to, const std::string& id,
                const std::vector<step>& steps, const std::string& payload);
    http_reply call(const std::string& method, const queue& to,
                    const std::string& id, const std::string& body);
    /// @return the state that the system tells; empty if it tells none.
    [[nodiscard]] std::string state(const queue& of, const std::string& id);
    /// @return a fresh job id.
    [[nodiscard]] std::string make_id();

    /// Adds a line to the record.
    void note(const std::string& text);
    [[nodiscard]] std::vector<run_event> events();
    /// @return how many runs of the job are alive.
    [[nodiscard]] int count_running(const std::string& id);
    /// @return the processors that runs use on the workers of a service that
    /// are up, and those that these workers have, in thousandths.
    [[nodiscard]] std::pair<int, int> usage(const std::string& service);
    /// @return how many tasks of that size fit beside what runs.
    [[nodiscard]] int free_slots(const std::string& service, int cpu);
    [[nodiscard]] std::chrono::milliseconds elapsed() const;
    static void sleep_ms(int duration);

    /// Ends the processes of the system.
    void end_members();
    [[nodiscard]] bool are_members_alive();

  private:
    struct member {
        std::string ip;
        pid_t process{0};
    };
    [[nodiscard]] bool choose_addresses();
    [[nodiscard]] std::string settings_of(int number) const;
    void observe(const run_event& event);
    [[nodiscard]] int cpu_of(const std::string& task) const;

    std::chrono::steady_clock::time_point m_began;
    std::FILE* m_record;
    std::mutex m_mutex;
    std::string m_folder;  ///< temporary
    std::string m_network; ///< first two numbers of all addresses
    std::unique_ptr<store> m_store;
    std::unique_ptr<http_server> m_advice;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::vector<member> m_members;
    std::vector<run_event> m_events;
    std::map<std::string, std::vector<step>> m_jobs;
    worker* add_worker(const worker_options& options, int port);
    [[nodiscard]] bool postpone(const http_request& request);
    void carry_out_late_orders();

    bool m_tells_lives{false};
    std::atomic<double> m_late_share{0.0};
    std::mt19937 m_random{1};
    std::multimap<std::chrono::steady_clock::time_point, http_request>
        m_late_orders;
    std::thread m_late_thread;
    std::condition_variable m_ending;
    bool m_is_ending{false};
    std::vector<std::thread> m_removals; ///< of the entries of crashed workers
    int m_next_member{0};
    int m_next_job{0};
    int m_version{6}; ///< of the configuration
};

} // namespace review::cell
