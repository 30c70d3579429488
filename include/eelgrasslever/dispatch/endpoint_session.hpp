/// @file
/// One endpoint as seen by an entry VM: its claim, its tasks, calls under way.
///
/// The state machine has no I/O. `advance` and `on_reply` return calls to send
/// and events for the node. After any call without a reply the session takes a
/// new claim over a fresh connection: the new epoch makes every earlier start
/// that may still be under way ineffective, and the inventory that comes with
/// it says which tasks exist.
#pragma once

#include "eelgrasslever/admission/policy.hpp"
#include "eelgrasslever/dispatch/endpoint_health.hpp"
#include "eelgrasslever/dispatch/events.hpp"
#include "eelgrasslever/dispatch/timing.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslever::dispatch {

enum class task_phase {
    reserved, ///< room is set aside; the start has not been sent
    starting, ///< the start was sent
    running,
    stopping, ///< a stop was asked for
};

struct local_task {
    endpoint::task_spec spec;
    task_phase phase{task_phase::reserved};
    admission::reclaim_level reclaimed_as{admission::reclaim_level::none};
    base::milliseconds expected_run{0};
};

class endpoint_session {
  public:
    /// @param holder "VM@incarnation" of this process.
    endpoint_session(std::string endpoint, std::string holder,
                     const timing& times);

    /// Whether this VM should hold the claim.
    void set_claim_desired(bool desired) { m_claim_desired = desired; }
    [[nodiscard]] bool claim_desired() const { return m_claim_desired; }
    /// The platform's list, or the endpoint itself, says that it is leaving.
    void set_leaving(bool leaving) { m_listed_as_leaving = leaving; }
    [[nodiscard]] bool is_leaving() const {
        return m_listed_as_leaving || m_reported_leaving;
    }

    /// Gives the claim up even with tasks running.
    void force_release() { m_force_release = true; }

    void reserve_task(local_task task);
    /// Sends the start of a reserved task with the next call.
    void start_task(const std::string& task);
    /// Asks for a stop; a task not yet sent is dropped at once.
    void stop_task(const std::string& task, std::vector<event>& events);

    void advance(base::instant now, std::vector<outgoing_call>& calls,
                 std::vector<event>& events);
    void on_reply(const endpoint::call& call, const endpoint::reply& reply,
                  base::instant now, std::vector<event>& events);

    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] bool has_claim() const { return m_phase == phase::claimed; }
    /// @return whether new work may be placed here.
    [[nodiscard]] bool accepts_work() const {
        return has_claim() && m_claim_desired && !is_leaving() &&
               !m_force_release;
    }
    [[nodiscard]] const base::resources& capacity() const { return m_capacity; }
    /// @return what all tasks need, waiting ones included.
    [[nodiscard]] base::resources committed() const { return m_committed; }
    /// @return what tasks that may be at the endpoint need.
    [[nodiscard]] base::resources occupied() const { return m_occupied; }
    [[nodiscard]] const std::map<std::string, local_task>& tasks() const {
        return m_tasks;
    }
    [[nodiscard]] bool is_idle() const {
        return m_phase == phase::idle && m_tasks.empty();
    }
    [[nodiscard]] const std::string& other_holder() const {
        return m_other_holder;
    }
    [[nodiscard]] endpoint_health& health() { return m_health; }
    [[nodiscard]] const endpoint_health& health() const { return m_health; }
    [[nodiscard]] std::uint64_t epoch() const { return m_epoch; }

  private:
    enum class phase { idle, claiming, claimed, releasing };

    void on_claim(const endpoint::reply& reply, base::instant now,
                  std::vector<event>& events);
    void on_poll(const endpoint::reply& reply, base::instant now,
                 std::vector<event>& events);
    void on_start(const endpoint::call& call, const endpoint::reply& reply,
                  std::vector<event>& events);
    void on_release(const endpoint::reply& reply, base::instant now,
                    std::vector<event>& events);
    void reconcile(const endpoint::reply& reply, std::vector<event>& events);
    void apply_report(const endpoint::task_report& report,
                      std::vector<event>& events);
    void on_unreachable(base::instant now);
    void on_claim_lost(const std::string& holder, base::instant now,
                       std::vector<event>& events);
    void detect_lost_tasks(base::instant now, std::vector<event>& events);
    void finish_task(const std::string& task, event_kind kind,
                     const endpoint::task_report& report,
                     std::vector<event>& events);
    void set_phase(local_task& task, task_phase next);
    /// @return whether a start of @p task has left this process.
    [[nodiscard]] bool was_sent(const local_task& task) const;
    [[nodiscard]] std::vector<std::string> task_ids() const;
    [[nodiscard]] endpoint::call make_call(endpoint::call_kind kind) const;

    std::string m_name;
    std::string m_holder;
    timing m_times;
    phase m_phase{phase::idle};
    bool m_claim_desired{false};
    bool m_listed_as_leaving{false};
    bool m_reported_leaving{false};
    bool m_force_release{false};
    bool m_use_fresh_connection{false};
    bool m_control_in_flight{false};
    bool m_start_in_flight{false};
    bool m_stop_in_flight{false};
    base::instant m_next_claim_attempt{};
    base::instant m_last_renewal{};
    std::uint64_t m_epoch{0};
    std::uint64_t m_boot_id{0};
    std::uint64_t m_acknowledged{0};
    std::string m_other_holder;
    base::resources m_capacity;
    base::resources m_committed;
    base::resources m_occupied;
    std::map<std::string, local_task> m_tasks;
    std::vector<std::string> m_pending_starts;
    std::vector<std::string> m_pending_stops;
    endpoint_health m_health;
};

} // namespace eelgrasslever::dispatch
