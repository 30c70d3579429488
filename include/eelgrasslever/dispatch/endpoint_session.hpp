/// @file
/// State machine for one endpoint: its claim, its tasks and the calls in
/// flight.
///
/// The session does no I/O. `advance` returns the calls to send; `advance` and
/// `on_reply` return events for the node. When a call gets no reply, the
/// session claims the endpoint again over a new connection: the new epoch
/// invalidates every start that may still be in flight, and the inventory in
/// the reply lists the tasks that exist.
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

/// Progress of a task as tracked by this VM.
enum class task_phase {
    reserved, ///< resources are reserved; the start is not yet requested
    starting, ///< the start is queued or sent, but not yet confirmed
    running,  ///< the endpoint confirmed that the task runs
    stopping, ///< a stop was requested
};

/// A task that this VM placed at an endpoint or adopted there.
struct local_task {
    endpoint::task_spec spec;
    task_phase phase{task_phase::reserved};
    /// Class in which the task may be stopped for other work.
    admission::reclaim_level reclaimed_as{admission::reclaim_level::none};
    base::milliseconds expected_run{0}; ///< estimated run time; 0 if unknown
};

/// Holds the claim on one endpoint and runs tasks there.
class endpoint_session {
  public:
    /// @param endpoint name of the endpoint.
    /// @param holder "VM@incarnation" of this process.
    endpoint_session(std::string endpoint, std::string holder,
                     const timing& times);

    /// @param desired whether this VM should hold the claim. An undesired claim
    /// is released once no tasks are left.
    void set_claim_desired(bool desired) { m_claim_desired = desired; }
    [[nodiscard]] bool claim_desired() const { return m_claim_desired; }
    /// @param leaving whether the platform's VM list marks the endpoint as
    /// leaving.
    void set_leaving(bool leaving) { m_listed_as_leaving = leaving; }
    /// @return whether the VM list or the endpoint itself reports that it is
    /// leaving.
    [[nodiscard]] bool is_leaving() const {
        return m_listed_as_leaving || m_reported_leaving;
    }

    /// Releases the claim even if tasks are running.
    void force_release() { m_force_release = true; }

    /// Reserves resources for a task without starting it.
    void reserve_task(local_task task);
    /// Queues the start of a reserved task; `advance` sends it.
    void start_task(const std::string& task_id);
    /// Requests a stop. A task whose start was not sent is dropped at once.
    /// @param events receives `not_started` for a dropped task.
    void stop_task(const std::string& task_id, std::vector<event>& events);

    /// Appends the calls that are due, and events for tasks that must be
    /// regarded as lost.
    void advance(base::instant now, std::vector<outgoing_call>& calls,
                 std::vector<event>& events);
    /// Applies the reply to a call returned by `advance`. A call that timed out
    /// or failed gets a reply with `reached` false.
    void on_reply(const endpoint::call& call, const endpoint::reply& reply,
                  base::instant now, std::vector<event>& events);

    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] bool has_claim() const { return m_phase == phase::claimed; }
    /// @return whether new tasks may be placed at the endpoint.
    [[nodiscard]] bool accepts_work() const {
        return has_claim() && m_claim_desired && !is_leaving() &&
               !m_force_release;
    }
    [[nodiscard]] const base::resources& capacity() const { return m_capacity; }
    /// @return resources of all tasks, including those not yet started.
    [[nodiscard]] base::resources committed() const { return m_committed; }
    /// @return resources of the tasks that may already be at the endpoint.
    [[nodiscard]] base::resources occupied() const { return m_occupied; }
    [[nodiscard]] const std::map<std::string, local_task>& tasks() const {
        return m_tasks;
    }
    /// @return whether no claim is held or requested and no task is tracked.
    [[nodiscard]] bool is_idle() const {
        return m_phase == phase::idle && m_tasks.empty();
    }
    /// @return the claim holder named by the last refused claim; empty once
    /// this VM holds the claim.
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
    /// Compares the tracked tasks with the inventory of a new claim.
    void reconcile(const endpoint::reply& reply, std::vector<event>& events);
    void apply_report(const endpoint::task_report& report,
                      std::vector<event>& events);
    void on_unreachable(base::instant now);
    /// Handles a refused call or a release.
    /// @param holder the current claim holder; empty if there is none.
    void on_claim_lost(const std::string& holder, base::instant now,
                       std::vector<event>& events);
    /// Reports the tasks as lost once an unreachable endpoint can no longer be
    /// running them.
    void detect_lost_tasks(base::instant now, std::vector<event>& events);
    void finish_task(const std::string& task_id, event_kind kind,
                     const endpoint::task_report& report,
                     std::vector<event>& events);
    void set_phase(local_task& task, task_phase next);
    /// @return whether a start call with @p task was handed out for sending.
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
    bool m_control_in_flight{false}; ///< a claim, poll or release
    bool m_start_in_flight{false};
    bool m_stop_in_flight{false};
    base::instant m_next_claim_attempt{};
    base::instant m_last_renewal{};
    std::uint64_t m_epoch{0};
    std::uint64_t m_boot_id{0};
    std::uint64_t m_acknowledged{0}; ///< highest report sequence seen
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
