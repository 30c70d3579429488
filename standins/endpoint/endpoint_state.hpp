/// @file
/// Stand-in for an endpoint (worker VM): claims, tasks under leases, an audit
/// of every run. No I/O and no clock, so that tests can drive it by hand.
#pragma once

#include "eelgrasslever/endpoint/protocol.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace standins::endpoint {

namespace base = eelgrasslever::base;
namespace protocol = eelgrasslever::endpoint;

struct faults {
    bool fail_all{false};
    bool leaving{false};
    double slowness{1.0};
};

/// One event of the audit.
struct audit_event {
    enum class event_kind { start, end, over_capacity, late_start };
    event_kind kind{event_kind::start};
    std::string task;
    base::instant at{};
    protocol::task_state state{protocol::task_state::running};
    bool repeatable{true};
    std::string work_kind;
    std::string tier;
    base::resources used; ///< at the endpoint after the event
};

struct endpoint_config {
    std::string name;
    base::resources capacity;
    base::milliseconds task_lease{3000};
    std::uint64_t boot{1};
    std::uint64_t first_sequence{1};
    /// Epochs never repeat over restarts: a start that was under way across one
    /// must not match a claim taken after it.
    std::uint64_t first_epoch{0};
};

class endpoint_state {
  public:
    using auditor = std::function<void(const audit_event&)>;

    endpoint_state(endpoint_config config, auditor on_event);

    /// Handles any call but never waits; a poll returns what is there.
    protocol::reply handle(const protocol::call& call, base::instant now);
    /// Ends tasks whose time or lease has run out.
    void advance(base::instant now);
    /// @return whether a poll would find an ending it has not seen.
    [[nodiscard]] bool has_report_after(std::uint64_t acknowledged) const;
    [[nodiscard]] const base::resources& used() const { return m_used; }
    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    [[nodiscard]] faults& injected_faults() { return m_faults; }
    [[nodiscard]] const std::string& name() const { return m_config.name; }

  private:
    struct running_task {
        protocol::task_spec spec;
        base::instant started{};
        base::instant ends{};
        base::instant lease_until{};
        bool fails{false};
        std::string result;
    };

    [[nodiscard]] bool claim_valid(const protocol::call& call,
                                   base::instant now) const;
    protocol::reply refuse(base::instant now) const;
    protocol::reply accept() const;
    protocol::reply on_claim(const protocol::call& call, base::instant now);
    protocol::reply on_poll(const protocol::call& call, base::instant now);
    protocol::reply on_start(const protocol::call& call, base::instant now);
    protocol::reply on_stop(const protocol::call& call, base::instant now);
    protocol::task_report start_one(const protocol::task_spec& spec,
                                    base::instant now);
    void end_task(const std::string& id, protocol::task_state state,
                  const std::string& reason, base::instant at);
    void append_ended(std::uint64_t acknowledged, protocol::reply& to) const;

    endpoint_config m_config;
    auditor m_on_event;
    faults m_faults;
    std::uint64_t m_epoch;
    std::string m_holder;
    base::instant m_claim_until{};
    base::resources m_used;
    std::map<std::string, running_task> m_running;
    std::deque<protocol::task_report> m_ended;
    std::uint64_t m_next_sequence;
};

} // namespace standins::endpoint
