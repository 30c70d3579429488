/// @file
/// Sessions with all endpoints that an entry VM claims or wants to claim, an
/// index of their free capacity, and the groups of tasks that wait for capacity
/// before they start.
#pragma once

#include "eelgrasslever/dispatch/endpoint_session.hpp"
#include "eelgrasslever/placement/planner.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrasslever::dispatch {

/// Tasks of one work item that are placed but not yet started.
struct unstarted_group {
    std::string request_id;
    std::vector<std::string> tasks;     ///< task ids
    std::vector<std::string> endpoints; ///< endpoint of each task
};

/// Sums over all endpoints whose claim this VM holds.
struct endpoint_pool_totals {
    base::resources capacity;
    base::resources committed;
    base::resources largest; ///< component-wise maximum over the endpoints
    std::size_t held_endpoints{0};
};

/// Places tasks at the endpoints that this VM claims, and drives the sessions.
class endpoint_pool {
  public:
    /// @param holder "VM@incarnation" of this process.
    /// @param seed seeds the random choices of the placement planner.
    endpoint_pool(std::string holder, const timing& times, std::uint64_t seed);

    /// Adds a session for each new endpoint in @p listed, marks the claims of
    /// the others as not desired and drops their idle sessions.
    void set_listed_endpoints(const std::set<std::string>& listed);
    void set_claim_desired(const std::string& endpoint, bool desired);
    void set_leaving(const std::string& endpoint, bool leaving);
    /// Releases every claim, even where tasks are running.
    void release_all_claims();
    void set_weights(const bundle::placement_weights& weights);

    /// Plans @p item; see `placement::planner::plan`.
    [[nodiscard]] std::optional<std::vector<placement::assignment>>
    plan_placement(const admission::work_item& item);

    /// Reserves resources for @p tasks at the planned endpoints, stops the
    /// tasks that must be reclaimed and starts all @p tasks together once they
    /// fit.
    /// @param assignments one for each task, from `plan_placement`.
    void
    commit_placement(const std::string& request_id,
                     std::vector<local_task> tasks,
                     const std::vector<placement::assignment>& assignments);

    /// Requests a stop of a task at one endpoint.
    void stop_task(const std::string& endpoint, const std::string& task_id);

    /// Appends the calls that are due at any endpoint. Call it periodically,
    /// because claims and leases also come due without an event.
    void advance(base::instant now, std::vector<outgoing_call>& calls);
    /// Appends the calls that are due at endpoints that changed since the last
    /// call. Cheap enough to run after every event.
    void advance_changed(base::instant now, std::vector<outgoing_call>& calls);
    /// Applies the reply to a call returned by `advance` or `advance_changed`.
    void on_reply(const std::string& endpoint, const endpoint::call& call,
                  const endpoint::reply& reply, base::instant now);

    /// @return the events since the last call.
    [[nodiscard]] std::vector<event> take_events();

    /// @return the session with @p endpoint, or nullptr.
    [[nodiscard]] const endpoint_session*
    find_session(const std::string& endpoint) const;
    [[nodiscard]] const std::map<std::string,
                                 std::unique_ptr<endpoint_session>>&
    sessions() const {
        return m_sessions;
    }
    [[nodiscard]] endpoint_pool_totals totals() const;

  private:
    void update_free_capacity(endpoint_session& session);
    void preempt_tasks(endpoint_session& session,
                       admission::reclaim_level level);
    void start_ready_groups();
    [[nodiscard]] bool group_fits(const unstarted_group& group) const;
    /// Updates the failure rate and the health of the endpoint.
    void record_outcome(endpoint_session& session, const event& ended,
                        const local_task& task);

    base::instant m_now{}; ///< time of the last call that passed one
    std::string m_holder;
    timing m_times;
    placement::planner m_planner;
    placement::capacity_tree m_free_capacity;
    std::map<std::string, std::unique_ptr<endpoint_session>> m_sessions;
    std::map<std::string, unstarted_group> m_unstarted_groups; ///< by request
    std::vector<event> m_events;
    std::set<std::string> m_changed_endpoints; ///< for `advance_changed`
    failure_rate m_pool_failures;
};

} // namespace eelgrasslever::dispatch
