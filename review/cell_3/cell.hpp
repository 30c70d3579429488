/// @file
/// A small deployment: processes of the system on loopback addresses, with the
/// platform's store, workers and an operator around them.
#pragma once

#include "worker.hpp"

#include <sys/types.h>

namespace review::cell {

struct vm {
    std::string name;
    std::string zone;
    std::string ip;
    address front;
    address ready;
    address store_address;
    std::shared_ptr<store_gate> gate;
    std::string settings_path;
    std::string log_path;
    pid_t process{-1};
};

/// A queue of the configuration.
struct queue {
    std::string name;
    std::string prefix;
    std::string service;
    int priority{1};
    int attempts{3};
};

/// A tenant of the configuration, with one key.
struct tenant {
    std::string name;
    std::string key;
    int cap_cpu{0};
};

/// The bounds of the deployment, as in the settings of a small one.
struct bounds {
    milliseconds config_apply{2000};
    milliseconds max_skew{5000};
    milliseconds contact{3000};
    milliseconds max_hold{6000};
    milliseconds heartbeat{1500};
    milliseconds drain{2000};
    milliseconds cancel{3000};
    milliseconds stop_timeout{900};
    milliseconds stop_duration{50}; ///< that a worker takes
    milliseconds visible{3000};
};

class deployment {
  public:
    /// @param folder for `record.txt`.
    explicit deployment(const std::string& folder);
    ~deployment() = default;
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// @return false if some address or program can't be used.
    bool start(int vms);
    bool start_process(vm& one);
    /// Ends all processes and removes the temporary folder.
    void end_processes();
    /// Sends a signal to the process of @p one.
    void send_signal(vm& one, int number);
    /// Waits until all VMs are ready.
    bool wait_ready(milliseconds limit);
    worker& add_worker(const std::string& name, const std::string& zone,
                       std::vector<std::string> labels, int cpu,
                       const std::string& service = "desk");
    /// Writes a configuration; returns when the store has accepted it.
    void configure(const std::vector<queue>& queues);

    /// Calls a VM as a client does.
    /// @return the status, or 0 without an answer.
    int submit(const vm& to, const queue& into, const std::string& id,
               const std::string& steps, const std::string& more = "");
    int cancel(const vm& to, const queue& of, const std::string& id);
    int count(const vm& to, const queue& of);
    /// @return the state of a job, or the status of the answer.
    std::string state(const vm& to, const queue& of, const std::string& id);
    /// Asks all VMs in turn until one knows.
    std::string state_anywhere(const queue& of, const std::string& id);

    static void wait(milliseconds time);
    /// @return the VM that leads by the store, or nullptr.
    vm* leader();

    bounds limits;
    record notes;
    run_log runs;
    store platform;
    std::vector<vm> vms;
    std::vector<tenant> tenants; ///< of the next configurations
    std::string key;             ///< that the client sends
    std::vector<std::unique_ptr<worker>> workers;
    worker::course_function course;

  private:
    void write_settings(const vm& one) const;

    std::string m_network; ///< first three parts of all addresses
    std::string m_temporary;
    std::unique_ptr<http_server> m_advice;
    int m_version{0};
};

} // namespace review::cell
