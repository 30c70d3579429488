/// @file
/// Task that serves callers and operators over HTTP.
#pragma once

#include "eelgrasslever/daemon/messages.hpp"
#include "eelgrasslever/daemon/scheduler_task.hpp"
#include "eelgrasslever/http/server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace eelgrasslever::daemon {

class http_front {
  public:
    /// @param refresh updates gauges just before the metrics page is shown.
    [[nodiscard]] static base::result<std::unique_ptr<http_front>>
    listen(kernel::loop& owner, const std::string& address,
           scheduler_task& scheduler, observe::metrics& numbers,
           observe::tracer& spans, std::function<void()> refresh);

    [[nodiscard]] kernel::mailbox<to_front>& inbox() { return m_inbox; }
    [[nodiscard]] const http::server_totals& totals() const {
        return m_server->totals();
    }
    /// Answers callers that only ask for a status, at a planned stop.
    void release_status_waits();
    /// @return whether no caller waits for an answer.
    [[nodiscard]] bool idle() const { return m_waiting.empty(); }

  private:
    using exchange_ptr = std::shared_ptr<http::exchange>;
    struct route {
        const char* method;
        const char* path; ///< a trailing '*' matches the rest
        void (http_front::*handle)(const exchange_ptr& caller,
                                   const std::string& rest);
    };
    struct waiting_caller {
        exchange_ptr exchange;
        std::string id;
        bool status_only{false}; ///< a GET: pending is an answer too
        observe::trace_context context;
        std::string parent_span;
        base::instant since{};
        std::unique_ptr<kernel::timer> limit;
    };

    http_front(kernel::loop& owner, scheduler_task& scheduler,
               observe::metrics& numbers, observe::tracer& spans,
               std::function<void()> refresh);
    void on_exchange(const exchange_ptr& caller);
    void on_message(to_front&& message);

    void submit(const exchange_ptr& caller, const std::string& rest);
    void list_requests(const exchange_ptr& caller, const std::string& rest);
    void show_request(const exchange_ptr& caller, const std::string& rest);
    void cancel(const exchange_ptr& caller, const std::string& rest);
    void show_endpoints(const exchange_ptr& caller, const std::string& rest);
    void show_members(const exchange_ptr& caller, const std::string& rest);
    void show_queue(const exchange_ptr& caller, const std::string& rest);
    void show_bundle(const exchange_ptr& caller, const std::string& rest);
    void roll_out(const exchange_ptr& caller, const std::string& rest);
    void show_trace(const exchange_ptr& caller, const std::string& rest);
    void show_metrics(const exchange_ptr& caller, const std::string& rest);
    void health(const exchange_ptr& caller, const std::string& rest);
    void ready(const exchange_ptr& caller, const std::string& rest);

    caller_token add_waiting(waiting_caller entry);
    void finish_span(const waiting_caller& entry);
    void explain(const exchange_ptr& caller, const std::string& id);

    kernel::loop& m_owner;
    scheduler_task& m_scheduler;
    observe::metrics& m_metrics;
    observe::tracer& m_tracer;
    std::function<void()> m_refresh;
    kernel::mailbox<to_front> m_inbox;
    std::unique_ptr<http::server> m_server;
    std::map<caller_token, waiting_caller> m_waiting;
    caller_token m_next_token{1};
};

} // namespace eelgrasslever::daemon
