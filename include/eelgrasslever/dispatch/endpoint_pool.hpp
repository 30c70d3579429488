/// @file
/// All endpoints that an entry VM holds or wants, with the index of their room
/// and the groups of tasks that wait for room to be freed.
#pragma once

#include "eelgrasslever/dispatch/endpoint_session.hpp"
#include "eelgrasslever/placement/planner.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrasslever::dispatch {

/// Tasks of one work item, placed but not all sent.
struct unstarted_group {
    std::string request_id;
    std::vector<std::string> tasks;
    std::vector<std::string> endpoints; ///< one for each task
};

/// Amounts over all endpoints that are held.
struct endpoint_pool_totals {
    base::resources capacity;
    base::resources committed;
    base::resources largest; ///< component-wise, of one endpoint
    std::size_t held_endpoints{0};
};

class endpoint_pool {
  public:
    endpoint_pool(std::string holder, const timing& times, std::uint64_t seed);

    /// Adds endpoints that are new in @p listed and marks the others unwanted.
    void set_listed_endpoints(const std::set<std::string>& listed);
    void set_claim_desired(const std::string& endpoint, bool desired);
    void set_leaving(const std::string& endpoint, bool leaving);
    void release_all_claims();
    void set_weights(const bundle::placement_weights& weights);

    /// Plans @p item; see `placement::planner::plan`.
    [[nodiscard]] std::optional<std::vector<placement::assignment>>
    plan_placement(const admission::work_item& item);

    /// Sets room aside for @p tasks at the planned endpoints, stops what has
    /// to give way and starts all tasks together once they fit.
    void
    commit_placement(const std::string& request_id,
                     std::vector<local_task> tasks,
                     const std::vector<placement::assignment>& assignments);

    /// Asks for a stop of a task at one endpoint.
    void stop_task(const std::string& endpoint, const std::string& task);

    /// Collects the calls that are due at every endpoint; for the tick.
    void advance(base::instant now, std::vector<outgoing_call>& calls);
    /// Collects the calls that are due where something changed since the last
    /// time; cheap enough for every event.
    void advance_changed(base::instant now, std::vector<outgoing_call>& calls);
    void on_reply(const std::string& endpoint, const endpoint::call& call,
                  const endpoint::reply& reply, base::instant now);

    /// @return the events since the last call.
    [[nodiscard]] std::vector<event> take_events();

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
    void record_outcome(endpoint_session& session, const event& ended,
                        const local_task& task);

    base::instant m_now{}; ///< as of the last call that gave it
    std::string m_holder;
    timing m_times;
    placement::planner m_planner;
    placement::capacity_tree m_free_capacity;
    std::map<std::string, std::unique_ptr<endpoint_session>> m_sessions;
    std::map<std::string, unstarted_group> m_unstarted_groups;
    std::vector<event> m_events;
    std::set<std::string>
        m_changed_endpoints; ///< endpoints, for `advance_changed`
    failure_rate m_pool_failures;
};

} // namespace eelgrasslever::dispatch
