/// @file
/// State of a stand-in endpoint (worker VM): claims, tasks under leases and an
/// audit of every run. It does no I/O and reads no clock; the caller passes the
/// current time, so that tests control it.
#pragma once

#include "eelgrasslever/endpoint/protocol.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace standins::endpoint {

namespace base = eelgrasslever::base;
namespace protocol = eelgrasslever::endpoint;

/// Faults that a test or an operator injects.
struct faults {
    bool fail_all{false}; ///< every task started from now on fails
    bool leaving{false};  ///< replies announce that the endpoint will leave
    double slowness{1.0}; ///< factor applied to the run time of new tasks
};

/// An event in the audit of task runs.
struct audit_event {
    enum class event_kind { start, end, over_capacity, late_start };
    event_kind kind{event_kind::start};
    std::string task;
    base::instant at{}; ///< monotonic clock
    protocol::task_state state{protocol::task_state::running};
    bool repeatable{true};
    std::string work_kind;
    std::string tier;
    base::resources used; ///< resources in use after the event
};

struct endpoint_config {
    std::string name;
    base::resources capacity;
    /// A task stops when no poll has renewed its lease for this long.
    base::milliseconds task_lease{3000};
    std::uint64_t boot{1};           ///< identifies this start of the process
    std::uint64_t first_sequence{1}; ///< of the reports of finished tasks
    /// Epochs must not repeat across restarts: a start call that is under way
    /// during a restart must not match a claim taken after it.
    std::uint64_t first_epoch{0};
};

/// Answers the calls of the endpoint protocol.
class endpoint_state {
  public:
    using audit_callback = std::function<void(const audit_event&)>;

    endpoint_state(endpoint_config config, audit_callback on_event);

    /// Handles a call without waiting: a poll returns the reports available at
    /// @p now, which may be none.
    protocol::reply handle(const protocol::call& call, base::instant now);
    /// Finishes tasks whose run time or lease has expired at @p now.
    void advance(base::instant now);
    /// @return whether a finished task has a report with a sequence above
    /// @p acknowledged.
    [[nodiscard]] bool has_report_after(std::uint64_t acknowledged) const;
    [[nodiscard]] const base::resources& used() const { return m_used; }
    /// @return the number of running tasks.
    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    [[nodiscard]] faults& injected_faults() { return m_faults; }
    [[nodiscard]] const std::string& name() const { return m_config.name; }

  private:
    struct running_task {
        protocol::task_spec spec;
        base::instant started_at{};
        base::instant finishes_at{};
        base::instant lease_expires_at{};
        bool fails{false};
        std::string result;
    };

    [[nodiscard]] bool is_claim_valid(const protocol::call& call,
                                      base::instant now) const;
    protocol::reply refuse(base::instant now) const;
    protocol::reply accept() const;
    protocol::reply on_claim(const protocol::call& call, base::instant now);
    protocol::reply on_poll(const protocol::call& call, base::instant now);
    protocol::reply on_start(const protocol::call& call, base::instant now);
    protocol::reply on_stop(const protocol::call& call, base::instant now);
    protocol::task_report start_one(const protocol::task_spec& spec,
                                    base::instant now);
    void finish_task(const std::string& id, protocol::task_state state,
                     const std::string& reason, base::instant at);
    /// Appends the reports with a sequence above @p acknowledged.
    void append_reports_after(std::uint64_t acknowledged,
                              protocol::reply& reply) const;

    endpoint_config m_config;
    audit_callback m_on_event;
    faults m_faults;
    std::uint64_t m_epoch;
    std::string m_holder;
    base::instant m_claim_expires_at{};
    base::resources m_used;
    std::map<std::string, running_task> m_running;
    std::deque<protocol::task_report> m_finished_reports;
    std::uint64_t m_next_sequence;
};

} // namespace standins::endpoint
