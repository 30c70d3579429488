/// @file
/// Task that serves the HTTP API for clients and operators.
#pragma once

#include "eelgrasslever/daemon/messages.hpp"
#include "eelgrasslever/daemon/scheduler_task.hpp"
#include "eelgrasslever/http/server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace eelgrasslever::daemon {

/// Routes HTTP requests, passes them to the scheduler and sends its answers.
class http_api {
  public:
    /// @param refresh updates the gauges; called for each GET of /metrics.
    [[nodiscard]] static base::result<std::unique_ptr<http_api>>
    listen(kernel::loop& event_loop, const std::string& address,
           scheduler_task& scheduler, observe::metrics& metrics,
           observe::tracer& tracer, std::function<void()> refresh);

    [[nodiscard]] kernel::mailbox<api_message>& inbox() { return m_inbox; }
    [[nodiscard]] const http::server_totals& totals() const {
        return m_server->totals();
    }
    /// Responds immediately to all blocking status queries, for shutdown.
    void end_status_waits();
    /// @return whether no caller is waiting for an answer.
    [[nodiscard]] bool is_idle() const { return m_waiting.empty(); }

  private:
    using exchange_ptr = std::shared_ptr<http::exchange>;
    struct route {
        const char* method;
        const char* path; ///< a trailing '*' matches any non-empty suffix
        void (http_api::*handle)(const exchange_ptr& exchange,
                                 const std::string& path_suffix);
    };
    struct waiting_caller {
        exchange_ptr exchange;
        std::string id;
        bool is_status_query{false}; ///< a GET, which may be answered "pending"
        observe::trace_context context;
        std::string parent_span;
        base::instant received_at{};
        std::unique_ptr<kernel::timer> timeout;
    };

    http_api(kernel::loop& event_loop, scheduler_task& scheduler,
             observe::metrics& metrics, observe::tracer& tracer,
             std::function<void()> refresh);
    void route_exchange(const exchange_ptr& exchange);
    void on_message(api_message&& message);

    void submit(const exchange_ptr& exchange, const std::string& path_suffix);
    void list_requests(const exchange_ptr& exchange,
                       const std::string& path_suffix);
    void show_request(const exchange_ptr& exchange,
                      const std::string& path_suffix);
    void cancel(const exchange_ptr& exchange, const std::string& path_suffix);
    void show_endpoints(const exchange_ptr& exchange,
                        const std::string& path_suffix);
    void show_members(const exchange_ptr& exchange,
                      const std::string& path_suffix);
    void show_queue(const exchange_ptr& exchange,
                    const std::string& path_suffix);
    void show_bundle(const exchange_ptr& exchange,
                     const std::string& path_suffix);
    void roll_out(const exchange_ptr& exchange, const std::string& path_suffix);
    void show_trace(const exchange_ptr& exchange,
                    const std::string& path_suffix);
    void show_metrics(const exchange_ptr& exchange,
                      const std::string& path_suffix);
    void show_health(const exchange_ptr& exchange,
                     const std::string& path_suffix);
    void show_readiness(const exchange_ptr& exchange,
                        const std::string& path_suffix);

    caller_token add_waiting_caller(waiting_caller entry);
    void finish_span(const waiting_caller& entry);
    void explain(const exchange_ptr& exchange, const std::string& id);

    kernel::loop& m_event_loop;
    scheduler_task& m_scheduler;
    observe::metrics& m_metrics;
    observe::tracer& m_tracer;
    std::function<void()> m_refresh;
    kernel::mailbox<api_message> m_inbox;
    std::unique_ptr<http::server> m_server;
    std::map<caller_token, waiting_caller> m_waiting;
    caller_token m_next_token{1};
};

} // namespace eelgrasslever::daemon
