/// @file
/// Open-loop load generator: requests arrive at a given rate, whether or not
/// earlier ones were answered, and each caller retries as the API asks it to.
#pragma once

#include "experiment.hpp"

#include "eelgrasslever/base/answer.hpp"
#include "eelgrasslever/http/client.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace eelload {

namespace http = eelgrasslever::http;
namespace kernel = eelgrasslever::kernel;

/// The result of a request as its caller saw it.
struct request_result {
    std::string id;
    std::string work; ///< name of the work class
    base::answer answer;
    bool answered{false}; ///< false: the caller ran out of attempts or time
    int attempts{0};
    base::milliseconds latency{0};    ///< first attempt to final answer
    base::milliseconds actual_run{0}; ///< run time of each task
    bool late{false}; ///< an attempt was answered after its timeout
};

/// Sends the requests of an experiment to a cell.
class generator {
  public:
    /// @param servers entry VMs as IP:port; each call goes to a random one.
    /// @param id_prefix the start of every request id.
    generator(experiment plan, std::vector<std::string> servers,
              std::string id_prefix);

    /// Runs the experiment to its end and prints its progress to standard
    /// error.
    /// @return the results of all requests, in the order of their answers.
    std::vector<request_result> run();

  private:
    struct pending_request;
    using request_ptr = std::shared_ptr<pending_request>;

    void schedule_arrivals(std::size_t index);
    void start_request(const work_class& work);
    void send(const request_ptr& pending);
    void on_reply(const request_ptr& pending, const http::reply& reply,
                  base::instant sent);
    void poll_job(const request_ptr& pending);
    void retry(const request_ptr& pending, base::milliseconds delay);
    void finish(const request_ptr& pending, const base::answer& answer,
                bool answered);
    void run_after(base::milliseconds delay, std::function<void()> work);
    void print_progress();
    void stop_if_done();
    [[nodiscard]] std::string pick_server();
    [[nodiscard]] std::string
    request_body(const pending_request& pending) const;

    experiment m_experiment;
    std::vector<std::string> m_servers;
    std::string m_id_prefix;
    std::mt19937_64 m_random;
    kernel::loop m_loop;
    http::client m_client;
    std::list<std::unique_ptr<kernel::timer>> m_timers;
    base::instant m_started_at{};
    base::instant m_arrivals_end_at{};
    std::uint64_t m_next_id{1};
    std::size_t m_open_requests{0};
    std::size_t m_open_arrivals{0}; ///< work classes still sending
    std::vector<request_result> m_results;
};

} // namespace eelload
