/// @file
/// The leader's scheduling decisions: which task runs where and when. The
/// scheduler does no I/O and reads no clock; replies and the current time are
/// passed in.
#pragma once

#include "eelgrasslever/cluster/advice_call_pool.hpp"
#include "eelgrasslever/cluster/endpoint_health.hpp"
#include "eelgrasslever/cluster/endpoint_speeds.hpp"
#include "eelgrasslever/cluster/endpoint_state.hpp"
#include "eelgrasslever/cluster/fit.hpp"
#include "eelgrasslever/cluster/incarnation.hpp"
#include "eelgrasslever/cluster/job_execution.hpp"
#include "eelgrasslever/cluster/job_view.hpp"
#include "eelgrasslever/cluster/lease_table.hpp"
#include "eelgrasslever/cluster/limited_steps.hpp"
#include "eelgrasslever/cluster/lost_endpoints.hpp"
#include "eelgrasslever/cluster/placement_statistics.hpp"
#include "eelgrasslever/cluster/queue_table.hpp"
#include "eelgrasslever/cluster/remaining_runs.hpp"
#include "eelgrasslever/cluster/service_shares.hpp"
#include "eelgrasslever/cluster/step_queue.hpp"
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/workspace/arrivals.hpp"
#include "eelgrasslever/workspace/usage.hpp"

#include <functional>
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
    /// Share of the endpoints kept free of work that is not urgent once the
    /// fleet is busy, so that urgent work starts at once. It also uses the gaps
    /// that other work leaves, and comes first for all room that is released.
    double urgent_headroom{0.08};
    /// See `workspace::usage`.
    double limit_overage{0.0};
};

/// What a workspace uses, for operators.
struct workspace_state {
    std::string name;
    base::resources running;
    base::resources cap;          ///< 0: not limited
    std::size_t limited_steps{0}; ///< that wait for the limit
};

/// The leadership term in which a scheduler gives orders.
struct scheduler_term {
    fencing_token token{0};
    int run_base{0}; ///< runs of this term get higher numbers
    base::instant since{};
    std::chrono::sys_time<base::milliseconds> wall{}; ///< at `since`
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
    /// Takes on the runs of a job that ended under an earlier leader. They are
    /// stopped, and count against their workspace's limit until they end.
    void on_ended_job(const std::string& job, const workload::progress& record,
                      base::instant now);
    void on_cancel(const std::string& job, base::instant now);
    /// @param version the version of the job that was stored.
    void on_recorded(const std::string& job, std::uint64_t version,
                     base::instant now);
    void on_record_failed(const std::string& job, base::instant now);
    /// Shortens the wait for endpoints that this leader can't reach. Ignored
    /// unless the table is that of the directly preceding term.
    void on_predecessor_leases(const lease_table& leases, base::instant now);
    /// Sets the VMs that can make advice calls.
    void set_channels(const std::vector<std::string>& vms, base::instant now);

    /// Sets the limits and shares of workspaces. Runs that are beyond a lowered
    /// limit go on; nothing is started beside them.
    void set_workspaces(std::shared_ptr<const workspace::directory> workspaces);

    /// Applies the policies of the queues to all jobs, also to those that were
    /// accepted under an earlier version (`workload::update_policy`). What runs
    /// goes on; what waits is placed by the new policy. The jobs of a queue
    /// that is not in @p queues keep the policy that they have.
    void set_queues(std::shared_ptr<const queue_table> queues);

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
    /// @return when the leases of all endpoints end if no further orders are
    /// sent.
    [[nodiscard]] lease_table leases() const;
    /// @return what each workspace of the configuration uses.
    [[nodiscard]] std::vector<workspace_state> workspace_states() const;
    [[nodiscard]] const std::map<std::string, endpoint_state, std::less<>>&
    endpoints() const {
        return m_endpoints;
    }

  private:
    /// Which endpoints to consider for a step.
    enum class candidate_filter {
        with_ticket,    ///< the step has a valid ticket for the endpoint
        without_ticket, ///< no valid ticket, and not rejected
        admitted,       ///< known to be admitted, with or without a ticket
        unknown,        ///< neither admitted nor rejected
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
        /// Came when its workspace had used up its rate.
        bool is_surplus{false};
        std::vector<unsent_start> unsent_starts;
        /// Endpoints with a completion of this job that may not be stored yet,
        /// by number.
        std::set<std::uint32_t> endpoints_to_acknowledge;
    };

    // Workspaces.
    /// Adds a run to an endpoint, and to what its workspace uses.
    void add_run(endpoint_state& endpoint, const run_key& key, allocation run);
    /// Judges a new job by its workspace's rate.
    void note_arrival(tracked_job& job);
    /// @return what has to fit in the limit of the step's workspace before any
    /// of its waiting tasks may start.
    [[nodiscard]] static workspace::demand
    limit_demand(const workload::step& spec, int waiting);
    /// @return whether the step has to wait for its workspace's limit.
    [[nodiscard]] bool is_over_limit(const tracked_job& job,
                                     const step_rank& rank,
                                     const step_execution& step) const;
    /// Keeps a step until its workspace's limit leaves room for it.
    void limit_step(const tracked_job& job, const step_rank& rank,
                    step_execution& step);
    /// Logs that a step waits for the limit, or that the limit has become
    /// smaller or larger than the step.
    void report_limited(const tracked_job& job, const step_rank& rank,
                        step_execution& step, bool is_admissible) const;
    /// Queues the steps again for which their workspaces' limits leave room.
    void resume_limited_steps();
    /// @return whether the limit of the job's workspace still admits the run,
    /// which is placed but not started.
    [[nodiscard]] bool is_within_limit(const tracked_job& job,
                                       const run_key& key) const;

    // Queues.
    /// @return the policy that the latest known configuration gives the job.
    [[nodiscard]] workload::queue_policy
    policy_in_force(const tracked_job& job) const;
    /// Replaces the policy of a job, and queues its waiting steps by it.
    /// @return the number of tasks that wait.
    std::size_t apply_policy(tracked_job& job, workload::queue_policy policy);

    // Jobs.
    void open_due_occurrences(base::instant now);
    void unlock_ready_steps(tracked_job& job, base::instant now);
    /// Schedules a write of the job's progress, no later than @p record_at.
    void schedule_record(tracked_job& job, base::instant record_at);
    void finish_job(tracked_job& job, workload::job_state state,
                    const std::string& why, base::instant now);
    void complete_job_if_done(tracked_job& job, base::instant now);
    void note_job_started(const std::string& job, base::instant now);
    void send_due_records(base::instant now);
    void inherit_placements(tracked_job& job, base::instant now);
    /// Adds a run that an earlier leader placed.
    /// @param run what it needs and whose limit it counts against.
    /// @return the endpoint that has it.
    endpoint_state& inherit_run(const run_key& key,
                                const workload::placement& placed,
                                allocation run, base::instant now);
    /// @return how long ago the job was accepted, by the wall clock.
    [[nodiscard]] base::milliseconds age_of(const workload::job& job) const;
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
    /// Stops all runs of the member's gang but one.
    void stop_other_gang_runs(const task_key& member, int run,
                              base::instant now);
    tracked_job* find_job(const std::string& id);
    [[nodiscard]] const step_execution* find_step(const step_rank& rank) const;
    [[nodiscard]] bool is_gang(const task_key& key);

    // Ended jobs.
    /// Names the runs of the ended job in its record that may still be alive.
    void record_remaining_runs(tracked_job& job);
    /// Goes on counting the runs that the job's stored record names.
    void keep_remaining_runs(const tracked_job& job);
    /// Stores the records of ended jobs of which no run is left.
    void send_settled_records(base::instant now);
    /// What a run needs, and whose limit it counts against.
    struct run_owner {
        std::optional<base::resources> need; ///< unset: not known
        std::string workspace;               ///< empty: none, or not known
    };
    /// @return the owner of a run of an open job, or of one that ended lately.
    [[nodiscard]] run_owner find_owner(const task_key& task) const;

    // Endpoints.
    /// @return the endpoint, which is added if it is not known.
    endpoint_state& add_endpoint(const std::string& id, base::instant now);
    /// How the leader learned of a life of an endpoint.
    enum class life_source { registry, reply, record };
    /// Notes that a life of an endpoint has begun. Earlier lives of its name
    /// have ended.
    /// @return the latest known life of the name.
    endpoint_state& note_life(const std::string& id, life_source source,
                              base::instant now);
    /// Ends a life and passes the runs on that the next one may have started.
    void end_life(endpoint_state& former, endpoint_state& next,
                  life_source source, base::instant now);
    /// @return whether the latest known life of the endpoint is another one.
    [[nodiscard]] bool is_former_life(const incarnation& life) const;
    /// Logs an entry of a former life, and takes the endpoint for unlisted.
    void ignore_listing(const endpoint_listing& listing, base::instant now);
    /// Adds a run whose start was meant for a former life.
    void carry_over(endpoint_state& endpoint, const run_key& key,
                    allocation run, base::instant now);
    /// @return the token of orders to the endpoint.
    [[nodiscard]] fencing_token token_for(const endpoint_state& endpoint) const;
    void release_run(endpoint_state& endpoint, const run_key& key);
    void adjust_live_runs(const task_key& key, int change);
    /// Learns the endpoint's speed from a run that has ended as done.
    void measure_speed(const endpoint_state& endpoint,
                       const workload::task_key& task, const allocation& run,
                       base::milliseconds ran);
    void process_completion(endpoint_state& endpoint, const finished_task& end,
                            base::instant now);
    void apply_completion(endpoint_state& endpoint, const finished_task& end,
                          tracked_job& job, base::instant now);
    void process_running_task(endpoint_state& endpoint, const running_task& row,
                              base::instant now);
    void adopt_run(endpoint_state& endpoint, const running_task& row,
                   base::instant now);
    /// Lets runs whose need is not known hold the whole endpoint.
    void update_unknown_needs(endpoint_state& endpoint);
    /// Requeues runs that the endpoint should have reported and did not.
    void requeue_missing_runs(endpoint_state& endpoint,
                              const std::set<run_key>& running,
                              base::instant now);
    void send_start(endpoint_state& endpoint, const run_key& key,
                    tracked_job& job, base::instant now);
    /// Doesn't count the start against the task's limit after crashes.
    void cancel_start(const run_key& key);
    void abandon_run(endpoint_state& endpoint, const run_key& key,
                     base::instant now);
    /// Why the runs of an endpoint have ended.
    enum class loss_cause {
        other_incarnation, ///< another incarnation answers at the address
        lease_expired,
    };
    void drop_all_runs(endpoint_state& endpoint, loss_cause cause,
                       base::instant now);
    /// @return whether an endpoint that is lost now was not shut down as
    /// planned.
    [[nodiscard]] static bool
    has_ended_unplanned(const endpoint_state& endpoint);
    /// Counts the crash of each endpoint whose lease had expired and that
    /// @p listed proves to have ended.
    void confirm_crashes(const endpoint_listing& listed, base::instant now);
    /// Keeps a run of the endpoint, whose lease has expired, until it shows
    /// whether the endpoint crashed, and delays a suspected task meanwhile.
    void await_crash_proof(const endpoint_state& endpoint, const lost_run& lost,
                           base::instant now);
    /// @return whether another incarnation is listed at the endpoint's address.
    /// It may be listed before the lease of the former one expires.
    [[nodiscard]] bool has_successor(const std::string& endpoint,
                                     const std::string& address) const;
    /// Goes on waiting for the proofs that an earlier leader waited for.
    void inherit_lost_runs(tracked_job& job, base::instant now);
    /// Delays a task that may have crashed its endpoint.
    void delay_suspect(tracked_job& job, const task_key& key,
                       base::instant now);
    /// @return whether a renewal is under way that would hide the start of the
    /// run, which is on trial.
    [[nodiscard]] static bool
    is_trial_unobserved(const endpoint_state& endpoint, const run_key& key);
    /// Sends the start that waited for a renewal of the endpoint.
    void send_trial_start(endpoint_state& endpoint, base::instant now);
    /// Counts runs whose endpoint has turned out to have crashed.
    void confirm_crash(const std::string& endpoint,
                       const std::vector<lost_run>& runs, base::instant now);
    /// Forgets runs whose endpoint has not crashed, as far as can be known.
    void forget_lost_runs(const std::vector<lost_run>& runs, base::instant now);
    void count_crash(const std::string& endpoint, const lost_run& lost,
                     base::instant now);
    /// Fails the job if the task has reached the limit of crashes.
    /// @return whether it has.
    bool fail_crashing_task(tracked_job& job, const task_key& key,
                            base::instant now);
    void acknowledge_recorded_completions(endpoint_state& endpoint,
                                          base::instant now);
    void check_lease(endpoint_state& endpoint, base::instant now);
    /// @return when the leases of all runs on the endpoint have certainly
    /// expired.
    [[nodiscard]] static base::instant
    lease_expiry_of(const endpoint_state& endpoint);
    /// @return how long an order that was sent may keep runs alive.
    [[nodiscard]] base::milliseconds order_lifetime() const;
    /// @return when leases that earlier leaders granted on any endpoint have
    /// certainly expired.
    [[nodiscard]] base::instant earlier_leases_bound() const;
    /// @return likewise, on one endpoint.
    [[nodiscard]] base::instant
    earlier_leases_expiry_of(const std::string& endpoint) const;
    /// Notes that no run is alive on the endpoint or ever will be.
    void mark_terminated(endpoint_state& endpoint);
    void forget_terminated_endpoints(base::instant now);
    void forget_old_lives(base::instant now);
    void renew_if_due(endpoint_state& endpoint, base::instant now);
    void stop_run(endpoint_state& endpoint, const run_key& key,
                  base::instant now);
    /// Stops the tasks on a draining endpoint that would only end with it, so
    /// that they continue elsewhere at once.
    void move_lasting_tasks(endpoint_state& endpoint, base::instant now);
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
    /// Counts the usable endpoints and clears their claims.
    void begin_pass(base::instant now);
    /// Compares the speeds of the endpoints when that is due.
    void update_speeds(base::instant now);
    /// @return how well an endpoint's speed suits steps of a priority: fast
    /// ones are for urgent work, and gangs leave them to it.
    [[nodiscard]] static int speed_preference(speed_class speed, int priority,
                                              bool gang);
    /// Determines which usable endpoints are kept for urgent work first.
    void rank_reserve();
    /// @return how much work may wait for room at the same time, as a share of
    /// the fleet.
    [[nodiscard]] double window_size() const;
    /// @return whether so much of the fleet is free that a step that fits must
    /// start soon, even if that costs a call or leaves room idle for a while.
    [[nodiscard]] bool has_spare_room() const;
    /// @return the share of the fleet that the waiting tasks need.
    [[nodiscard]] double waiting_share(const step_rank& rank) const;
    [[nodiscard]] step_rank make_rank(const tracked_job& job, int occurrence,
                                      int step) const;
    void enqueue(tracked_job& job, int occurrence, int step);
    /// Counts a step of which no task waits any more.
    void count_started(const step_rank& rank, base::instant now);
    /// @return the counts of the steps of the same queue and similar width, and
    /// the step; nullptr if it is not known.
    std::pair<width_statistics*, const step_execution*>
    width_counts(const step_rank& rank);
    enum class placement_outcome {
        placed,  ///< no task is waiting any more
        waiting, ///< for a reply, for room, or for an earlier run to end
        blocked, ///< no endpoint that may run the step could hold it
        limited, ///< by what its workspace may run
    };
    placement_outcome place_step(const step_rank& rank, base::instant now);
    placement_outcome place_step_tasks(tracked_job& job, const step_rank& rank,
                                       step_execution& step, base::instant now);
    /// @return whether the step has waited beside room to spare for so long
    /// that a line is due that says what it waits for.
    [[nodiscard]] bool is_wait_report_due(const workload::step& spec,
                                          step_execution& step,
                                          base::instant now) const;
    /// @return what the step waits for; before it claims room itself.
    [[nodiscard]] observe::log_fields describe_wait(const tracked_job& job,
                                                    const step_rank& rank,
                                                    const step_execution& step,
                                                    base::instant now) const;
    /// Defers a step that finds no room, so that others may use the window.
    void defer(const step_rank& rank, step_execution& step, base::instant now);
    placement_outcome place_tasks(tracked_job& job, const step_rank& rank,
                                  step_execution& step, base::instant now);
    placement_outcome place_gang(tracked_job& job, const step_rank& rank,
                                 step_execution& step, base::instant now);
    /// Allocates the run; its start is sent once the placement is stored.
    void place_task(tracked_job& job, const task_key& key, int run,
                    const std::string& checkpoint, endpoint_state& endpoint,
                    base::instant now);
    /// Places tasks that may crash their endpoints where they take the least
    /// other work along, each one apart.
    /// @param suspects indexes of tasks; those that are placed are removed.
    /// @return whether any was placed.
    bool place_suspects(tracked_job& job, const step_rank& rank,
                        step_execution& step, std::vector<int>& suspects,
                        base::instant now);
    /// Places nothing else on the endpoint until the run has outlived those
    /// that were lost in crashes, or has ended.
    void begin_trial(const tracked_job& job, const run_key& run,
                     endpoint_state& endpoint, base::instant now);
    /// @return on how many endpoints such runs may be at the same time.
    [[nodiscard]] std::size_t max_trials() const;
    /// @return the endpoints that may hold a task of the step when idle. Their
    /// available resources exclude what steps of higher rank claim.
    [[nodiscard]] std::vector<fit_candidate>
    find_candidates(const tracked_job& job, const step_rank& rank,
                    const step_execution& step, base::instant now,
                    candidate_filter filter) const;
    /// @return the share of the endpoints that the step has to leave to urgent
    /// work.
    [[nodiscard]] double headroom_for(const step_rank& rank,
                                      const base::resources& need,
                                      const step_execution& step) const;
    [[nodiscard]] endpoint_state& endpoint_by_id(std::string_view id);
    [[nodiscard]] int count_runs_of_step(const endpoint_state& endpoint,
                                         const step_rank& rank) const;

    // Advice.
    /// @param missing tasks of the step that found no endpoint.
    /// @return endpoints on which the missing tasks fit at present, or on
    /// which a gang could gather room; empty if a call would not help.
    [[nodiscard]] std::vector<fit_candidate>
    select_advice_candidates(const tracked_job& job, const step_rank& rank,
                             const step_execution& step, int missing,
                             base::instant now);
    /// @return whether a channel is free for a step of this rank.
    [[nodiscard]] bool may_call(const step_rank& rank, base::instant now) const;
    /// @return in how many calls at once the step may ask about endpoints.
    [[nodiscard]] std::size_t max_calls(const step_rank& rank,
                                        const workload::step& spec,
                                        base::instant now) const;
    /// Where a gang could run among the endpoints that admit it.
    struct gang_room {
        std::vector<fit_candidate> admitted; ///< those of the claims first
        int idle_slots{0}; ///< tasks that fit if nothing else runs
        int free_slots{0}; ///< tasks that fit at present, at most all
        /// Of the claimed slots, those on endpoints whose ticket is valid when
        /// the room is complete.
        int ticketed_slots{0};
        /// The slots that are expected to be free first; empty unless all tasks
        /// have one.
        std::vector<room_claim> claims;
        base::instant complete_at{}; ///< when all of them are free
        bool expected_soon{false};   ///< and the gang need not look elsewhere
    };
    /// Asks about further endpoints, and claims the room that the step is
    /// expected to use on them.
    /// @param known where the step could run already, if it is a gang.
    /// @return whether a call was made.
    bool request_new_candidates(tracked_job& job, const step_rank& rank,
                                step_execution& step, int missing,
                                const gang_room& known, base::instant now);
    /// Likewise, without counting the search.
    bool ask_new_candidates(tracked_job& job, const step_rank& rank,
                            step_execution& step, int missing,
                            const gang_room& known, base::instant now);
    /// @return whether a call about @p candidates, which do not admit the gang
    /// yet, may improve its choice enough.
    bool widens_choice(const tracked_job& job, const workload::step& spec,
                       const std::vector<fit_candidate>& candidates,
                       int missing, const gang_room& known);
    /// Asks about the candidates in as many calls as they need.
    /// @return whether any call was made.
    bool request_gang_advice(tracked_job& job, const step_rank& rank,
                             step_execution& step,
                             const std::vector<fit_candidate>& candidates,
                             base::instant now);
    /// @param claims room that the step holds until the reply.
    /// @return whether the call was made.
    bool request_advice(tracked_job& job, const step_rank& rank,
                        step_execution& step,
                        const std::vector<fit_candidate>& candidates,
                        std::vector<room_claim> claims, base::instant now);
    /// @return the room that @p missing tasks will take if they are spread
    /// evenly over the candidates.
    [[nodiscard]] static std::vector<room_claim>
    make_claims(const workload::step& spec,
                const std::vector<fit_candidate>& candidates, int missing);

    // Room that waiting steps claim.
    /// Claims room for a gang that does not fit at present, and asks for the
    /// advice that it needs next.
    placement_outcome gather_room(tracked_job& job, const step_rank& rank,
                                  step_execution& step, int missing,
                                  base::instant now);
    void apply_pending_claims(const step_execution& step);
    /// @return whether a waiting gang leaves its room as it was worked out.
    [[nodiscard]] bool keeps_gathering(const step_execution& step,
                                       base::instant now) const;
    void reserve_room(const gathering& room, base::instant now);
    /// @return `expected_releases`, worked out at most once in a pass unless
    /// the endpoint's runs change.
    const std::vector<expected_release>& releases_of(endpoint_state& endpoint,
                                                     base::instant now) const;
    /// @param share of the fleet that a gang needs.
    /// @return how long the gang may take to gather its room.
    [[nodiscard]] static base::milliseconds gathering_time(double share);
    [[nodiscard]] gang_room find_gang_room(const tracked_job& job,
                                           const step_rank& rank,
                                           const step_execution& step,
                                           int missing,
                                           base::instant now) const;

    scheduler_effects& m_effects;
    scheduler_limits m_limits;
    scheduler_term m_term;
    std::unordered_map<std::string, tracked_job> m_jobs;
    std::map<std::string, endpoint_state, std::less<>> m_endpoints;
    /// By `endpoint_state::number`; nullptr once the endpoint is forgotten.
    std::vector<endpoint_state*> m_endpoints_by_number;
    /// Endpoints that were forgotten lately, and when. Stored placements may
    /// still refer to them.
    std::map<std::string, base::instant> m_forgotten_endpoints;
    /// The latest known life of an endpoint's name.
    struct latest_life {
        incarnation life;
        std::uint32_t number{0}; ///< within the term
        /// When its endpoint was forgotten.
        std::optional<base::instant> forgotten_at;
        std::string ignored; ///< id of the last entry of a former life
    };
    std::map<std::string, latest_life> m_latest_lives; ///< by name
    /// Some endpoint may be terminated and without runs.
    bool m_may_forget_endpoints{false};
    bool m_may_forget_lives{false}; ///< some life may have been forgotten
    /// At least the number of each life that isn't known any more.
    std::uint32_t m_next_life{0};
    lost_endpoints m_lost_endpoints;
    std::optional<lease_table> m_predecessor_leases;
    base::instant m_last_sweep_at{};
    step_queue m_ready; ///< steps with tasks that wait
    limited_steps m_limited_steps;
    std::shared_ptr<const queue_table> m_queues;
    std::shared_ptr<const workspace::directory> m_workspaces;
    workspace::usage m_usage;
    remaining_runs m_remaining_runs;
    workspace::arrivals m_arrivals;

    // State of a placement pass.
    std::uint64_t m_pass{0}; ///< number of the pass
    /// How many more waiting steps the pass may report.
    std::size_t m_wait_reports_left{0};
    std::vector<endpoint_state*> m_usable;
    base::resources m_usable_total;   ///< capacity of the usable endpoints
    base::resources m_usable_used;    ///< what runs on them
    std::size_t m_trials{0};          ///< usable endpoints with a trial
    base::resources m_largest_usable; ///< largest amount of each kind on one
    base::resources m_largest_free;   ///< likewise, of what was free at first
    double m_gang_claims{0.0}; ///< claims for gangs, as a share of the fleet

    service_shares m_shares;
    /// Share of the fleet that ended runs have released, decaying with
    /// `release_averaging_time`.
    double m_recently_released{0.0};
    std::set<std::string> m_dirty_jobs;
    std::set<std::string> m_jobs_with_unsent_starts;
    advice_call_pool m_advice_calls;
    endpoint_health m_health;
    endpoint_speeds m_speeds;
    base::instant m_speeds_compared_at{};
    bool m_placement_needed{true};
    base::instant m_last_placement_at{};
    /// Counts since they were taken last.
    mutable placement_statistics m_statistics;
    bool m_can_order{true};
    std::chrono::sys_time<base::milliseconds> m_wall{}; ///< at the last tick
};

} // namespace eelgrasslever::cluster
