/// @file
/// Simulates the endpoints, the advice service and the store around the
/// scheduler, with faults drawn from a seed. Each start is checked against the
/// invariants of the scheduler.
#pragma once

#include "eelgrasslever/cluster/incarnation.hpp"
#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace eelgrasslever::test {

using base::instant;
using base::milliseconds;

struct fleet_faults {
    /// Share of orders that are carried out and whose reply is lost.
    double lost_reply{0.0};
    /// Share of starts that are carried out seconds late and without a reply.
    double late_order{0.0};
    /// Late orders take any time up to `max_lateness`, and stops and renewals
    /// may be late as well.
    bool vary_late_orders{false};
    milliseconds max_lateness{12'000}; ///< of orders whose lateness varies
    double lost_stop{0.0};             ///< share of stops that never arrive
    double failed_run{0.0};            ///< share of runs that end as failed
    milliseconds store_delay{5};
};

/// Starts every run that is ordered, regardless of its capacity, and reports
/// each completion until it is acknowledged.
struct fake_endpoint {
    struct run {
        instant started_at{};
        instant ends_at{};
        bool fails{false};
        bool hangs{false};
        bool gang_incomplete{false}; ///< some members have not started
        milliseconds work{0};
    };
    cluster::endpoint_listing listing;
    /// What the registry shows instead of `listing` until it learns of a
    /// restart.
    std::optional<cluster::endpoint_listing> former_listing;
    /// Capacities before the endpoint shrank, and until when each one counts.
    std::vector<std::pair<instant, base::resources>> former_capacities;
    instant draining_since{};
    bool reachable{true};
    /// Leaders that can't reach the endpoint, by their terms.
    std::set<std::uint64_t> cut_off_from;
    bool registered{true};
    bool gone{false};    ///< its process has ended
    bool refuses{false}; ///< nothing listens at its address
    /// Another incarnation answers at the address.
    bool replaced{false};
    std::string successor; ///< id of the next incarnation after a crash
    bool hangs{false};
    /// Speed of the endpoint's clock; it may run 2% slow.
    int clock_percent{100};
    instant clock_set_at{}; ///< the clock shows `clock_start` then
    instant clock_start{};
    cluster::fencing_token token{0};
    std::map<cluster::run_key, run> runs;
    /// Highest run number that was stopped or has ended. Starts up to this
    /// number are refused.
    std::map<workload::task_key, int> highest_ended_run;
    std::vector<cluster::finished_task> completions;
    std::uint64_t next_sequence{1};
    instant lease_until{};     ///< on the endpoint's clock
    instant lease_lapsed_at{}; ///< most recently
    /// When the runs that have not been acknowledged ended as done.
    std::map<std::uint64_t, instant> done_at;
    /// Highest sequence number of a completion that the leader of each term has
    /// read.
    std::map<std::uint64_t, std::uint64_t> read_upto;

    /// @return the registry entry.
    [[nodiscard]] const cluster::endpoint_listing& entry() const {
        return former_listing ? *former_listing : listing;
    }
};

class fake_fleet final : public cluster::scheduler_effects {
  public:
    fake_fleet(std::uint64_t seed, fleet_faults faults);

    fake_endpoint& add_endpoint(const std::string& id, base::resources capacity,
                                const std::string& service = "s");
    /// Replaces the leader, as after the loss of a VM.
    /// @param pause how long there is no leader.
    void elect_leader(milliseconds pause = milliseconds(0));
    /// Likewise, but the former leader is only cut off from the store and goes
    /// on ordering for as long as it may.
    void supersede_leader(milliseconds pause = milliseconds(0));
    void submit(workload::job job);
    void cancel(const std::string& id);
    /// Ends all runs on the endpoint and removes it from the registry.
    void remove_endpoint(const std::string& id);
    /// Likewise, and another incarnation answers at its address.
    void replace_endpoint(const std::string& id);
    /// Ends the endpoint's process and all runs on it. After @p outage another
    /// incarnation with a new id answers at its address.
    void crash_endpoint(const std::string& id, milliseconds outage);
    /// Ends the endpoint's process and all runs on it. After @p outage it
    /// starts again under its name; the registry shows that @p registry_delay
    /// later. It carries out orders for its former lives.
    void restart_endpoint(const std::string& name, milliseconds outage,
                          milliseconds registry_delay);
    /// Writes an entry to the registry, whatever the endpoint is.
    void show_entry(const cluster::endpoint_listing& entry);
    /// The endpoints begin to tell in which life they are, as after an upgrade
    /// of the platform.
    void announce_lives();
    /// @return the id of the latest incarnation of the endpoint.
    [[nodiscard]] std::string latest_incarnation(const std::string& id) const;
    /// Removes the registry entry of an endpoint that goes on running, as if
    /// it were cut off from the registry.
    void unlist_endpoint(const std::string& id);
    /// Puts the endpoint's registry entry back.
    void list_endpoint(const std::string& id);
    /// Changes the capacity; the registry shows it after a heartbeat.
    void resize_endpoint(const std::string& id, base::resources capacity);
    /// Lists the endpoint as draining. It goes on running.
    void drain_endpoint(const std::string& id);
    /// Passes the limits of workspaces to this leader and the next ones. From
    /// now on each start is checked against them.
    void set_workspaces(std::vector<workspace::policy> policies);
    /// Passes the next version of the configuration to this leader and the next
    /// ones. From now on the starts that they order are checked against it.
    void set_queues(const std::vector<workload::queue_policy>& policies);
    /// @return the version of the configuration, 0 before the first one.
    [[nodiscard]] std::uint64_t configuration_version() const {
        return m_queues ? m_queues->version() : 0;
    }
    /// @return what the workspace has running on all endpoints.
    [[nodiscard]] base::resources running(const std::string& workspace) const;
    void run_for(milliseconds time);
    /// Runs until every job has ended, at most for @p limit.
    /// @return whether every job has ended.
    bool run_until_jobs_end(milliseconds limit);

    [[nodiscard]] const workload::progress& progress_of(const std::string& id);
    [[nodiscard]] const std::vector<std::string>& violations() const {
        return m_violations;
    }
    [[nodiscard]] instant now() const { return m_now; }
    [[nodiscard]] cluster::fencing_token term() const { return m_term; }
    /// For changes during a test.
    [[nodiscard]] fleet_faults& faults() { return m_faults; }
    [[nodiscard]] cluster::scheduler& leader() { return *m_leader; }
    [[nodiscard]] fake_endpoint& endpoint(const std::string& name) {
        return m_endpoints.at(name);
    }
    [[nodiscard]] const std::map<std::string, fake_endpoint>&
    endpoints() const {
        return m_endpoints;
    }
    /// @return the ids and progress records of the jobs that have not ended.
    [[nodiscard]] std::string describe_open_jobs() const;
    [[nodiscard]] std::size_t starts() const { return m_starts; }
    [[nodiscard]] std::size_t crashes() const { return m_crashes; }
    /// @return how many endpoints have crashed under the task.
    [[nodiscard]] int crashes_under(const workload::task_key& task) const;
    [[nodiscard]] instant first_start(const std::string& job) const {
        return m_first_start.at(job);
    }

    /// @return when the final state of the job was stored, if it was.
    [[nodiscard]] std::optional<instant> ended_at(const std::string& id) const;

    std::function<milliseconds(const workload::task_key&)> task_duration;
    /// Speed of an endpoint, by name.
    std::function<double(const std::string&)> speed_of;
    /// Whether the advice service admits a step to an endpoint.
    std::function<bool(const workload::task_key&, const std::string&)> admits;
    /// How long the advice service takes for a call.
    std::function<milliseconds(const cluster::advice_call&)> advice_duration;
    /// Whether a call is answered that a VM makes. If not, or later than the
    /// call's timeout, the leader learns at the timeout that it failed.
    std::function<bool(const std::string& channel)> answers_advice;
    bool advice_times_out{false};
    /// Whether a run fails, in addition to the share in `fleet_faults`.
    std::function<bool(const workload::task_key&)> fails;
    /// How long after its start a run crashes its endpoint, if it does.
    std::function<std::optional<milliseconds>(const workload::task_key&)>
        crashes_after;
    /// Whether an endpoint that a run has crashed starts again under its name.
    bool crashed_endpoints_restart{false};
    /// How long an endpoint is away that a run has crashed.
    milliseconds crash_outage{3000};
    /// Whether connections to a crashed endpoint are refused; else they get no
    /// reply.
    bool crashed_endpoints_refuse{true};
    /// Whether endpoints tell in which life they are. The others keep their id
    /// in a restart.
    bool tells_lives{false};
    bool store_up{true};
    /// Whether the leader may send orders and place tasks.
    bool may_order{true};
    /// Whether stored placements contain the addresses of their endpoints, as
    /// those of older versions don't.
    bool records_addresses{true};
    /// Whether the records of ended jobs tell their workspaces and needs, as
    /// those of older versions don't.
    bool records_owners{true};
    /// Whether a leader passes its leases on to its successor.
    bool passes_leases_on{false};
    /// How long a new leader takes to read the registry.
    milliseconds registry_read_time{0};
    /// VMs that can make advice calls, from the next election on.
    std::vector<std::string> channels{"vm-1", "vm-2"};
    int max_violations{10};

    // scheduler_effects
    void start(const cluster::endpoint_listing& endpoint,
               cluster::fencing_token token,
               const cluster::start_order& order) override;
    void stop(const cluster::endpoint_listing& endpoint,
              cluster::fencing_token token,
              const cluster::stop_order& order) override;
    void renew(const cluster::endpoint_listing& endpoint,
               cluster::fencing_token token, const cluster::renew_order& order,
               bool fresh_connection) override;
    void ask_advice(const std::string& channel,
                    const cluster::advice_call& call) override;
    void record_progress(const std::string& job, std::uint64_t version,
                         const std::string& progress, bool terminal) override;
    [[nodiscard]] const workload::progress*
    find_ended_job(const std::string& job) const override;
    void on_measured(cluster::latency_kind kind, const std::string& queue,
                     milliseconds took) override;
    void on_fenced(const std::string& endpoint) override;

  private:
    struct stored_job {
        cluster::job_entry entry;
        std::optional<instant> ended_at;
        std::map<workload::task_key, instant> last_start;
        /// Done tasks of each step, as seen by the endpoints.
        std::map<workload::step_key, std::set<int>> done;
        std::map<workload::task_key, std::set<int>> failed;
        /// Failed runs whose ends were lost with their endpoint before they
        /// were acknowledged.
        std::map<workload::task_key, std::set<int>> failed_and_lost;
        /// Endpoints that crashed under each task.
        std::map<workload::task_key, int> crashes;
        /// Starts of each task since the third of them.
        std::map<workload::task_key, int> starts_after_crashes;
    };
    void schedule(milliseconds delay, std::function<void()> action);
    void advance();
    void start_term(const std::optional<cluster::lease_table>& former_leases);
    /// Shows the registry to the leader of the present term.
    void show_registry();
    /// Passes something to the leader of the term if that still acts.
    void tell(std::uint64_t term,
              const std::function<void(cluster::scheduler&)>& message);
    /// @return how late an order is carried out that gets no reply, if it is.
    std::optional<milliseconds> draw_lateness();
    [[nodiscard]] static bool reaches(cluster::fencing_token token,
                                      const fake_endpoint& endpoint);
    void carry_out_renewal(fake_endpoint& endpoint,
                           cluster::fencing_token token,
                           const cluster::renew_order& order);
    void carry_out_stop(fake_endpoint& endpoint, cluster::fencing_token token,
                        const cluster::stop_order& order);
    void finish_run(fake_endpoint& endpoint, const cluster::run_key& key,
                    cluster::task_outcome outcome);
    void start_gang(const cluster::run_key& member);
    void finish_gang(const cluster::run_key& member,
                     cluster::task_outcome outcome);
    cluster::order_reply start_run(fake_endpoint& endpoint,
                                   cluster::fencing_token token,
                                   const cluster::start_order& order);
    /// @param addressed the life that the order is for.
    /// @param life the one that carried it out.
    void answer_renewal(const std::string& addressed, const std::string& life,
                        cluster::fencing_token token,
                        const cluster::renew_order& order, instant wait_until);
    /// @return the endpoint that gets orders for a life.
    [[nodiscard]] fake_endpoint& endpoint_at(const std::string& id);
    /// Drops the ends that were not acknowledged, which count for nothing.
    void lose_completions(fake_endpoint& endpoint);
    /// Ends the endpoint's process with all that it holds.
    void end_process(fake_endpoint& endpoint);
    /// @return the id of a life that begins now.
    [[nodiscard]] std::string name_life(const std::string& name) const;
    /// Checks that an order has an address to go to.
    void check_address(const cluster::endpoint_listing& to, const char* order);
    void check_start(const fake_endpoint& endpoint,
                     const cluster::start_order& order);
    /// Checks that the leader, which knows the newest configuration, orders a
    /// start at the service of the job's queue only.
    void check_service(const cluster::endpoint_listing& endpoint,
                       const cluster::start_order& order);
    /// Checks that a start keeps the limit of the job's workspace.
    void check_limit(const cluster::start_order& order);
    /// Checks that no task was started again after an end that the leader
    /// acknowledges.
    void check_acknowledgement(const fake_endpoint& endpoint,
                               const cluster::finished_task& end);
    /// Checks that a job which is stored as failed has a task that may be given
    /// up.
    void check_failure(const std::string& id, const stored_job& job);
    void add_violation(const std::string& description);
    [[nodiscard]] cluster::endpoint_time
    clock_of(const fake_endpoint& endpoint) const;
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] const workload::step&
    step_spec(const workload::task_key& key);

    std::mt19937_64 m_random;
    fleet_faults m_faults;
    instant m_now{milliseconds(1'000'000)};
    std::multimap<instant, std::function<void()>> m_events;
    std::map<std::string, fake_endpoint> m_endpoints; ///< by name
    std::map<std::string, stored_job> m_jobs;
    std::unique_ptr<cluster::scheduler> m_leader;
    std::uint64_t m_term{0};
    /// A former leader that is cut off from the store.
    std::unique_ptr<cluster::scheduler> m_former;
    std::uint64_t m_former_term{0};
    instant m_former_authority_until{};
    std::uint64_t m_acting_term{0}; ///< of the leader that is being called
    std::size_t m_starts{0};
    std::size_t m_crashes{0};
    std::map<std::string, instant> m_first_start;
    std::shared_ptr<const cluster::queue_table> m_queues;
    std::shared_ptr<const workspace::directory> m_workspaces;
    /// The limits before the present ones, which starts may still meet.
    std::shared_ptr<const workspace::directory> m_former_workspaces;
    instant m_workspaces_since{};
    std::vector<std::string> m_violations;
};

/// @return a job with one step of @p count tasks, in a queue without advice.
[[nodiscard]] workload::job make_job(const std::string& id, int count,
                                     std::int64_t cpu_milli);

} // namespace eelgrasslever::test
