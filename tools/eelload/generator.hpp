/// @file
/// Open-loop load: arrivals come at their time, whether or not earlier ones
/// were answered, and each caller retries as callers do.
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

/// The end of one request as its caller saw it.
struct ending {
    std::string id;
    std::string work;
    base::answer answer;
    bool answered{false};
    int sendings{0};
    base::milliseconds latency{0}; ///< first sending to final answer
    base::milliseconds actual_run{0};
    bool late{false}; ///< an answer came after its own deadline
};

class generator {
  public:
    generator(experiment plan, std::vector<std::string> servers,
              std::string id_prefix);

    /// Runs the whole experiment, with a line of progress now and then.
    /// @return every request's ending.
    std::vector<ending> run();

  private:
    struct caller;
    using caller_ptr = std::shared_ptr<caller>;

    void schedule(std::size_t work);
    void arrive(const work_kind& what);
    void send(const caller_ptr& at);
    void on_reply(const caller_ptr& at, const http::reply& reply,
                  base::instant sent);
    void watch_job(const caller_ptr& at);
    void retry(const caller_ptr& at, base::milliseconds after);
    void finish(const caller_ptr& at, const base::answer& value, bool answered);
    void after(base::milliseconds delay, std::function<void()> work);
    void show_progress();
    void stop_if_done();
    [[nodiscard]] std::string any_server();
    [[nodiscard]] std::string request_body(const caller& at) const;

    experiment m_plan;
    std::vector<std::string> m_servers;
    std::string m_prefix;
    std::mt19937_64 m_random;
    kernel::loop m_loop;
    http::client m_client;
    std::list<std::unique_ptr<kernel::timer>> m_timers;
    base::instant m_started{};
    base::instant m_ends{};
    std::uint64_t m_next_id{1};
    std::size_t m_open{0};
    std::size_t m_arrivals_open{0};
    std::vector<ending> m_endings;
};

} // namespace eelload
