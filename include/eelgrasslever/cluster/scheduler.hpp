/// @file
/// The leader's scheduling decisions: which task runs where and when. The
/// scheduler does no I/O and reads no clock; replies and the current time are
/// passed in.
#pragma once

#include "eelgrasslever/cluster/advice_call_pool.hpp"
#include "eelgrasslever/cluster/endpoint_health.hpp"
#include "eelgrasslever/cluster/endpoint_state.hpp"
#include "eelgrasslever/cluster/fit.hpp"
#include "eelgrasslever/cluster/job_execution.hpp"
#include "eelgrasslever/cluster/job_view.hpp"
#include "eelgrasslever/cluster/placement_statistics.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrasslever::cluster {

struct scheduler_limits {
    /// Longest lease that an endpoint grants under its protocol.
    base::milliseconds max_lease{6000};
    /// How long a leader keeps sending orders after its own lease was last
    /// confirmed.
    base::milliseconds authority_timeout{6000};
    /// Share of each endpoint's processors kept free of work that is not
    /// urgent, so that urgent work starts at once. Urgent work is 11% of the
    /// offered load at both deployments; a third more covers bursts.
    double urgent_headroom{0.15};
};

/// The leadership term in which a scheduler gives orders.
struct scheduler_term {
    fencing_token token{0};
    int run_base{0}; ///< runs of this term get higher numbers
    base::instant since{};
};

class scheduler {
  public:
    scheduler(scheduler_effects& effects, scheduler_limits limits,
              scheduler_term term);

    // Changes of the store.
    void on_listed(const endpoint_listing& listing, base::instant now);
    void on_unlisted(const std::string& endpoint, base::instant now);
    /// Takes on a job that has not ended. Known jobs are ignored.
    void on_job_accepted(const job_entry& entry, base::instant now);
    void on_cancel(const std::string& job, base::instant now);
    /// @param version the version of the job that was stored.
    void on_recorded(const std::string& job, std::uint64_t version,
                     base::instant now);
    void on_record_failed(const std::string& job, base::instant now);
    /// Sets the VMs that can make advice calls.
    void set_channels(const std::vector<std::string>& vms, base::instant now);

    // Replies to orders and calls.
    void on_started(const std::string& endpoint, const start_order& order,
                    const order_reply& reply, base::instant now);
    void on_stopped(const std::string& endpoint, const stop_order& order,
                    const order_reply& reply, base::instant now);
    void on_renewed(const std::string& endpoint, const renew_reply& reply,
                    base::instant now);
    void on_advice(std::uint64_t query, const advice_reply& reply,
                   base::instant now);

    /// What the leader may do at present.
    struct permissions {
        bool order{true}; ///< send orders to endpoints
        bool place{true}; ///< place tasks; needs the store to be reachable
    };
    /// Does everything that is due at @p now.
    /// @param wall wall-clock time, which determines due occurrences.
    void tick(base::instant now, std::chrono::sys_time<base::milliseconds> wall,
              permissions allowed);

    struct totals {
        std::size_t jobs{0};
        std::size_t endpoints_usable{0};
        std::size_t running{0}; ///< runs that are or may be alive
        std::size_t waiting{0}; ///< tasks that wait for placement
        base::resources capacity;
        base::resources used;
    };
    [[nodiscard]] totals compute_totals(base::instant now) const;
    /// @return the counts since the previous call and the present state.
    [[nodiscard]] placement_statistics take_statistics(base::instant now);
    [[nodiscard]] const std::map<std::string, endpoint_state, std::less<>>&
    endpoints() const {
        return m_endpoints;
    }

  private:
    /// Identifies a waiting step and orders it by priority, then by age.
    struct step_rank {
        int priority{0};
        base::instant since{};
        std::string job;
        int occurrence{0};
        int step{0};
        auto operator<=>(const step_rank&) const = default;
    };
    /// Which endpoints to consider for a step.
    enum class candidate_filter {
        with_ticket,         ///< the step has a valid ticket for the endpoint
        without_ticket,      ///< no valid ticket, and not rejected
        ignore_reservations, ///< as without_ticket, even if reserved for others
    };
    /// Endpoints reserved for a gang that waits for free capacity.
    struct reservation {
        step_rank gang;
        std::vector<const endpoint_state*> endpoints;
    };
    /// A start that is sent once its placement is stored.
    struct unsent_start {
        std::string endpoint;
        run_key key;
        std::uint64_t version{0}; ///< first job version with the placement
        base::instant placed_at{};
    };
    struct tracked_job {
        std::unique_ptr<job_execution> execution;
        std::uint64_t recorded_version{0};
        std::uint64_t in_flight_version{0}; ///< 0: no write is in flight
        base::instant record_due_at{};
        bool dirty{false}; ///< has changes that are not being written
        std::vector<unsent_start> unsent_starts;
    };

    // Jobs.
    void unlock_ready_steps(tracked_job& job, base::instant now);
    /// Schedules a write of the job's progress, no later than @p record_at.
    void schedule_record(tracked_job& job, base::instant record_at);
    void finish_job(tracked_job& job, workload::job_state state,
                    const std::string& why, base::instant now);
    void complete_job_if_done(tracked_job& job, base::instant now);
    void note_job_started(const std::string& job, base::instant now);
    void send_due_records(base::instant now);
    void inherit_placements(tracked_job& job, base::instant now);
    void send_recorded_starts(tracked_job& job, base::instant now);
    void abandon_unrecorded_starts(base::instant now);
    std::vector<std::pair<std::string, run_key>>
    find_runs(const std::function<bool(const run_key&)>& matches) const;
    void requeue_task(const task_key& key, int run,
                      const std::string& checkpoint, base::instant now);
    void stop_other_runs(const task_key& key, const std::string& except,
                         base::instant now);
    void stop_matching_runs(const std::function<bool(const run_key&)>& matches,
                            base::instant now);
    void stop_gang(const task_key& member, int run, base::instant now);
    tracked_job* find_job(const std::string& id);
    [[nodiscard]] bool is_gang(const task_key& key);

    // Endpoints.
    void release_run(endpoint_state& endpoint, const run_key& key);
    void adjust_live_runs(const task_key& key, int change);
    void process_completion(endpoint_state& endpoint, const finished_task& end,
                            base::instant now);
    void apply_completion(endpoint_state& endpoint, const finished_task& end,
                          tracked_job& job, base::instant now);
    void process_running_task(endpoint_state& endpoint, const running_task& row,
                              base::instant now);
    void adopt_run(endpoint_state& endpoint, const running_task& row,
                   base::instant now);
    /// Requeues runs that the endpoint should have reported and did not.
    void requeue_missing_runs(endpoint_state& endpoint,
                              const std::set<run_key>& running,
                              base::instant now);
    void send_start(endpoint_state& endpoint, const run_key& key,
                    tracked_job& job, base::instant now);
    void abandon_run(endpoint_state& endpoint, const run_key& key,
                     base::instant now);
    void drop_all_runs(endpoint_state& endpoint, const char* why,
                       base::instant now);
    void acknowledge_recorded_completions(endpoint_state& endpoint,
                                          base::instant now);
    void check_lease(endpoint_state& endpoint, base::instant now);
    void renew_if_due(endpoint_state& endpoint, base::instant now);
    void stop_run(endpoint_state& endpoint, const run_key& key,
                  base::instant now);
    /// The run that an order refers to.
    struct ordered_run {
        endpoint_state& endpoint;
        allocation& run;
    };
    /// Finds the run of a reply, and reports a reply that shows another
    /// leader.
    /// @return nothing if the run is not known any more or the order was
    /// fenced.
    std::optional<ordered_run> find_ordered_run(const std::string& id,
                                                const run_key& key,
                                                order_status outcome);
    void retry_stops(endpoint_state& endpoint, base::instant now);
    void send_stop(endpoint_state& endpoint, const run_key& key,
                   allocation& run, base::instant now);
    /// @return whether work may be placed on the endpoint.
    [[nodiscard]] bool is_usable(const endpoint_state& endpoint,
                                 base::instant now) const;

    // Placement.
    void place_ready_steps(base::instant now);
    [[nodiscard]] std::vector<step_rank> select_steps();
    bool place_step(const step_rank& rank, base::instant now);
    void place_tasks(tracked_job& job, const step_rank& rank,
                     step_execution& step, base::instant now);
    bool place_gang(tracked_job& job, const step_rank& rank,
                    step_execution& step, base::instant now);
    /// Allocates the run; its start is sent once the placement is stored.
    void place_task(tracked_job& job, const task_key& key, int run,
                    const std::string& checkpoint, endpoint_state& endpoint,
                    base::instant now);
    [[nodiscard]] std::vector<fit_candidate>
    find_candidates(const tracked_job& job, const step_rank& rank,
                    const step_execution& step, base::instant now,
                    candidate_filter filter) const;
    /// @return what the step may use of the endpoint at present.
    [[nodiscard]] base::resources
    available_resources(const endpoint_state& endpoint,
                        const step_rank& rank) const;
    /// @return what the step could use of the endpoint if it were idle.
    [[nodiscard]] base::resources
    usable_capacity(const endpoint_state& endpoint,
                    const step_rank& rank) const;
    /// @return how many tasks of the step would fit on its admitted endpoints
    /// if they were idle.
    [[nodiscard]] int admitted_task_capacity(const step_rank& rank,
                                             const workload::step& spec,
                                             const step_execution& step,
                                             base::instant now) const;
    [[nodiscard]] endpoint_state& endpoint_by_id(std::string_view id);
    [[nodiscard]] int count_runs_of_step(const endpoint_state& endpoint,
                                         const step_rank& rank) const;
    /// @param missing tasks of the step that found no endpoint.
    [[nodiscard]] std::vector<std::string>
    select_advice_candidates(const tracked_job& job, const step_rank& rank,
                             const step_execution& step, int missing,
                             base::instant now);
    void request_advice(tracked_job& job, const step_rank& rank,
                        step_execution& step, int missing, base::instant now);
    void reserve_for_gang(const tracked_job& job, const step_rank& rank,
                          const step_execution& step, base::instant now);
    void release_reservation(const step_rank& rank);
    void index_reservations();
    [[nodiscard]] bool is_reserved(const endpoint_state& endpoint) const;
    [[nodiscard]] bool
    is_reserved_for_higher_rank(const endpoint_state& endpoint,
                                const step_rank& rank) const;

    scheduler_effects& m_effects;
    scheduler_limits m_limits;
    scheduler_term m_term;
    std::unordered_map<std::string, tracked_job> m_jobs;
    std::map<std::string, endpoint_state, std::less<>> m_endpoints;
    std::vector<const endpoint_state*> m_usable; ///< during a placement pass
    /// Endpoints with completions that may not be stored yet.
    std::set<std::string> m_endpoints_with_unrecorded;
    base::instant m_last_sweep_at{};
    std::set<step_rank> m_ready; ///< steps with tasks that wait
    step_rank m_last_rotated;    ///< last step examined in rotation
    std::list<reservation> m_reservations;
    /// For each reserved endpoint, the highest-ranked gang that reserves it.
    std::unordered_map<const endpoint_state*, const step_rank*> m_reserved_for;
    std::set<std::string> m_dirty_jobs;
    std::set<std::string> m_jobs_with_unsent_starts;
    advice_call_pool m_advice_calls;
    endpoint_health m_health;
    bool m_placement_needed{true};
    base::instant m_last_placement_at{};
    placement_statistics m_statistics; ///< counts since they were taken last
    bool m_can_order{true};
    std::chrono::sys_time<base::milliseconds> m_wall{}; ///< at the last tick
};

} // namespace eelgrasslever::cluster
