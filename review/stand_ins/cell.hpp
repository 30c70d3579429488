/// @file
/// A small deployment: the store, workers, and entry VMs as separate processes
/// with the command of deploy/system.toml. All addresses are loopback ones.
#pragma once

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"
#include "worker.hpp"

#include <nlohmann/json.hpp>
#include <sys/types.h>
#include <vector>

namespace review {

/// Thrown if the case can't run.
struct setup_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct cell_options {
    std::string program{"target/eelgrasslever-platformd"};
    int memory_mb{260};        ///< of a VM
    int max_descriptors{4100}; ///< of a process
    std::string more_settings; ///< further lines for each settings file
    /// Members of the configuration beside the queue, for example the tenants.
    nlohmann::json configuration = nlohmann::json::object();
};

class cell {
  public:
    /// @param folder for settings and logs.
    cell(std::string folder, record_file& record, cell_options options = {});
    ~cell();
    cell(const cell&) = delete;
    cell& operator=(const cell&) = delete;

    /// Writes the operator's configuration: one queue.
    void configure(const nlohmann::json& route_fields);
    worker& add_worker(const std::string& name, const std::string& kind,
                       const std::string& rack);
    /// Starts an entry VM in a zone.
    void add_node(const std::string& zone);
    void start_node(std::size_t number);
    void signal_node(std::size_t number, int signal);
    /// Sends SIGKILL and waits for the end of the process.
    void kill_node(std::size_t number);
    /// @return the number of the VM that leads, by the store's record of it.
    std::optional<std::size_t> leader();
    [[nodiscard]] bool is_alive(std::size_t number);
    /// Waits until all VMs are ready and a first job has been completed.
    void wait_until_serving();

    [[nodiscard]] pid_t process_of(std::size_t number) const {
        return m_nodes[number].pid;
    }
    /// @return "IP:port" for clients.
    [[nodiscard]] std::string client_address(std::size_t number) const {
        return m_nodes[number].front();
    }
    [[nodiscard]] std::string readiness_address(std::size_t number) const {
        return m_nodes[number].readiness();
    }
    /// Sets the key with which requests are sent from now on.
    void use_key(const std::string& key) { m_key = key; }
    /// Replaces `cell_options::configuration`, from the next `configure` on.
    void set_configuration(const nlohmann::json& members) {
        m_options.configuration = members;
    }

    // Requests of clients. The answers are recorded.
    std::optional<http_response>
    submit(std::size_t node, const std::string& job, const nlohmann::json& body,
           milliseconds timeout = milliseconds(3000));
    std::optional<http_response>
    cancel(std::size_t node, const std::string& job,
           milliseconds timeout = milliseconds(3000));
    /// Asks for a job of a queue that no configuration has.
    std::optional<http_response>
    ask_unknown_queue(std::size_t node,
                      milliseconds timeout = milliseconds(3000));
    /// @return the state, the status of another answer, or "no answer".
    std::string state(std::size_t node, const std::string& job);
    /// Asks until the state is one of @p wanted.
    /// @return the last state.
    std::string wait_for(std::size_t node, const std::string& job,
                         const std::vector<std::string>& wanted,
                         milliseconds limit);

    store& platform() { return m_store; }
    run_log& runs() { return m_runs; }

  private:
    struct node_process {
        std::string name;
        std::string zone;
        std::string ip;
        int base_port{0};
        pid_t pid{-1};
        [[nodiscard]] std::string front() const {
            return ip + ":" + std::to_string(base_port);
        }
        [[nodiscard]] std::string readiness() const {
            return ip + ":" + std::to_string(base_port + 1);
        }
    };
    std::optional<http_response>
    call(std::size_t node, const std::string& method, const std::string& path,
         const std::string& body, milliseconds timeout);
    void write_settings(const node_process& node);

    std::string m_folder;
    cell_options m_options;
    std::string m_key;
    record_file& m_record;
    std::string m_network; ///< first bytes of all addresses
    store m_store;
    run_log m_runs;
    http_server m_advice;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::vector<node_process> m_nodes;
    std::uint64_t m_version{1};
};

/// @return the body of a job with one step of one task.
nlohmann::json make_job(const nlohmann::json& spec, const nlohmann::json& step);

/// @return whether the environment asks for the run without the disruption.
bool is_trouble_wanted();

} // namespace review
