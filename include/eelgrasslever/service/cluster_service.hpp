/// @file
/// One VM of the cluster: watches the store, serves client requests and, while
/// it is the leader, schedules tasks on the endpoints.
#pragma once

#include "eelgrasslever/cluster/job_service.hpp"
#include "eelgrasslever/cluster/job_view.hpp"
#include "eelgrasslever/cluster/queue_table.hpp"
#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/coordination/committer.hpp"
#include "eelgrasslever/coordination/election.hpp"
#include "eelgrasslever/coordination/lease_session.hpp"
#include "eelgrasslever/coordination/prefix_watcher.hpp"
#include "eelgrasslever/daemon/peer_links.hpp"
#include "eelgrasslever/observe/metrics.hpp"
#include "eelgrasslever/service/gateways.hpp"
#include "eelgrasslever/service/member_table.hpp"
#include "eelgrasslever/service/order_carrier.hpp"
#include "eelgrasslever/service/order_relay.hpp"
#include "eelgrasslever/service/request_router.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrasslever::service {

/// Key prefixes and decoders of the store records that other programs write.
/// A decoder returns nothing if the record can't be decoded.
struct external_records {
    std::string registry_prefix;
    std::string configuration_prefix;
    std::function<std::optional<cluster::endpoint_listing>(
        const coordination::key_value&)>
        decode_endpoint;
    std::function<std::optional<cluster::queue_table>(
        const coordination::key_value&)>
        decode_configuration;
};

struct cluster_options {
    std::string vm;
    std::string peer_address; ///< "IP:port" for messages from other VMs
    std::string incarnation;  ///< unique for each start of the process
    double cores{1.0};        ///< processor share of this VM, in cores
    std::string failure_domain{};
    cluster::scheduler_limits limits;
};

/// Names under which the event loop accounts a VM's work.
namespace activities {
inline constexpr const char* placement = "placement"; ///< scheduler passes
/// Replies of endpoints to renewals.
inline constexpr const char* renewals = "renewals";
inline constexpr const char* orders = "orders"; ///< replies to starts and stops
inline constexpr const char* advice = "advice"; ///< replies to advice calls
/// Outcomes of writes to the store.
inline constexpr const char* records = "records";
inline constexpr const char* view = "view";         ///< changes of jobs
inline constexpr const char* registry = "registry"; ///< changes of endpoints
/// Telling the other VMs of ended jobs.
inline constexpr const char* notices = "notices";
/// Messages of peers that none of the others stands for.
inline constexpr const char* peers = "peer_messages";
} // namespace activities

class cluster_service final : public cluster::scheduler_effects {
  public:
    cluster_service(kernel::loop& owner, cluster_options options,
                    coordination::store& store, endpoint_gateway& endpoints,
                    advice_gateway& advice, external_records records,
                    observe::metrics& metrics);
    ~cluster_service() override;
    cluster_service(const cluster_service&) = delete;
    cluster_service& operator=(const cluster_service&) = delete;

    /// @return an error if the peer address can't be listened on.
    [[nodiscard]] base::result<void> start();
    /// Resigns leadership, stops bidding for it and reports this VM as not
    /// ready. Client requests are still served.
    void drain();
    /// Stops renewing this VM's lease and revokes it.
    void leave();

    /// @return the active configuration, or nullptr before the first one.
    [[nodiscard]] const cluster::queue_table* queues() const;
    /// @return when the read was sent that showed the active configuration to
    /// be the newest, on a clock that counts suspended time.
    [[nodiscard]] base::instant configuration_proven_at() const {
        return m_configuration_watcher->current_as_of_uptime();
    }
    [[nodiscard]] request_router& router() { return *m_router; }
    [[nodiscard]] const cluster::job_view& jobs() const { return m_job_view; }
    /// @return the latest time at which the view of the jobs was known to
    /// contain all changes, or nothing if this VM does not follow the jobs.
    [[nodiscard]] std::optional<base::instant> jobs_current_as_of() const;
    /// @return whether this VM schedules tasks.
    [[nodiscard]] bool leading() const { return m_scheduler != nullptr; }
    /// @return whether this VM can serve new clients.
    [[nodiscard]] bool is_ready(base::instant now) const;
    /// @return how long the store has been unreachable; 0 if it is reachable.
    [[nodiscard]] base::milliseconds
    store_unreachable_for(base::instant now) const {
        return m_store.unreachable_for(now);
    }
    /// @return how long a client whose request is refused now should wait
    /// before it retries.
    [[nodiscard]] std::chrono::seconds retry_after(base::instant now) const;
    void refresh_gauges();

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
                     base::milliseconds latency) override;
    void on_fenced(const std::string& endpoint) override;

  private:
    /// Handles a change of any key under `cluster::keys::root`.
    void on_cluster_key_change(const coordination::key_value& change);
    /// Handles a change of the members, the leader or the term. Two watchers
    /// may report it while this VM starts or stops following the jobs; changes
    /// that are not newer than the known ones are ignored.
    void on_cell_key_change(const coordination::key_value& change);
    /// @return whether @p change is newer than the known changes of its key.
    [[nodiscard]] bool record_cell_key(const coordination::key_value& change);
    [[nodiscard]] std::shared_ptr<coordination::prefix_watcher>
    make_cluster_watcher();
    /// Watches the members, the leader and the term alone.
    void start_cell_watchers();
    [[nodiscard]] bool are_cell_watchers_loaded() const;
    /// @return the latest time at which the members and the leader were known
    /// with all changes.
    [[nodiscard]] base::instant cell_current_as_of() const;
    /// @return whether another VM holds the leader key, as far as is known.
    [[nodiscard]] bool is_led_by_another() const;
    /// Starts or stops following the jobs, as the ranks of the members require,
    /// and drops the watchers that others have replaced. While this VM or
    /// nobody leads, it does not stop.
    void evaluate_following();
    void start_following();
    /// Reports keys of the cell as deleted that another watcher has reported
    /// and @p source shows to have been deleted since.
    void remove_vanished_cell_keys(const coordination::prefix_watcher& source);
    void stop_following();
    void on_registry_change(const coordination::key_value& change);
    void remove_endpoint(const std::string& name, base::instant now);
    void remove_lapsed_endpoints(base::instant now);
    void on_configuration_change(const coordination::key_value& change);
    /// Passes the configuration to the scheduler, if this VM leads.
    void configure_scheduler();
    /// @return what this VM tells the others about itself.
    [[nodiscard]] std::string member_record() const;
    void on_member_change(const coordination::key_value& change);
    /// Starts the scheduler once the view includes the previous leader's
    /// writes.
    void on_leadership_won(const coordination::leadership& leadership);
    void start_scheduler();
    void on_leadership_lost();
    void on_recorded(const std::string& job, std::uint64_t version,
                     const std::string& progress,
                     const coordination::proposal& attempt,
                     const coordination::commit_outcome& outcome);
    void on_peer_message(daemon::peer_message_received&& message);
    void on_job_stored(const std::string& id, const std::string& record);
    void on_accepted_job_notice(const wire::accepted_job_notice& notice);
    void on_completion_notice(const wire::completion_notice& notice);
    void send_completion_notice();
    /// Reports the leases of this VM's latest term to the present leader, or to
    /// all VMs if the view does not show it yet.
    void send_lease_report();
    void on_lease_report(const wire::lease_report& report);
    /// Passes the current members to the router, the election and the
    /// scheduler.
    void update_members();
    /// Chooses the VMs that pass this leader's orders on.
    void update_carriers();
    /// Hands leadership over if a VM with far more cores is available.
    void evaluate_handover();
    void handle_advice_request(const std::string& reply_address,
                               const wire::advice_request& request);
    /// @return whether the lease was confirmed recently enough to send orders.
    [[nodiscard]] bool has_order_authority() const;
    /// Decides whether the leader may start tasks, and logs when that changes.
    [[nodiscard]] bool evaluate_placement(base::instant now);
    void tick();
    void schedule_tick();
    /// Logs what the leader did since the previous call: where its time went,
    /// and how its placement passes used the room and the tickets.
    void log_leader_summary(const std::vector<kernel::activity_usage>& usage,
                            base::milliseconds cpu_used);
    /// Logs what a VM that doesn't lead spent its time on since the previous
    /// call, unless it did nothing.
    void log_follower_summary(const std::vector<kernel::activity_usage>& usage,
                              base::milliseconds cpu_used);
    void log_work_summary();
    /// Removes the records of jobs that finished long ago.
    void remove_expired_jobs();
    /// @return the peer address of the leader that the view shows, or an empty
    /// string if it is unknown or this VM.
    [[nodiscard]] std::string leader_address() const;
    void send_to_peer(const std::string& address, wire::message content);
    /// Records the time since an order was sent at @p sent_at, by the kind and
    /// the outcome of the order.
    void record_order_latency(const char* kind, base::instant sent_at,
                              cluster::order_status outcome);
    /// Calls @p action with the scheduler if it is still the one of leadership
    /// @p generation. Its time is accounted to @p activity.
    template <typename Action>
    void with_scheduler(std::uint64_t generation, const char* activity,
                        Action action) {
        if (m_leadership_generation == generation && m_scheduler) {
            kernel::activity measured(m_owner, activity);
            action(*m_scheduler, base::monotonic_now());
            schedule_tick();
        }
    }

    /// Peers announce new jobs and completions. The watch matters only if such
    /// a notice is lost, and the latency objectives are 1.75 s and more. A view
    /// gets as old as two watches and a call to the store, 1.3 s with a slow
    /// one; counts may be 1.85 s old.
    static constexpr coordination::prefix_watcher_timing cluster_watcher_timing{
        .watch_timeout = base::milliseconds(500),
        .batch_delay = base::milliseconds(300),
        .retry_delay = base::milliseconds(150)};

    kernel::loop& m_owner;
    cluster_options m_options;
    coordination::monitored_store m_store;
    pause_detector m_pauses;
    order_relay m_orders;    ///< to endpoints, by this VM as the leader
    order_carrier m_carrier; ///< of other leaders' orders
    advice_gateway& m_advice;
    external_records m_external_records;
    observe::metrics& m_metrics;
    cluster::job_view m_job_view;
    std::shared_ptr<const cluster::queue_table> m_queues;
    /// Watches all keys. Runs only while this VM follows the jobs, or until the
    /// cell watchers have taken over from it.
    std::shared_ptr<coordination::prefix_watcher> m_cluster_watcher;
    /// Watch the members, the leader and the term while the cluster watcher
    /// does not; empty otherwise.
    std::vector<std::shared_ptr<coordination::prefix_watcher>> m_cell_watchers;
    /// The latest change of a key of the cell, also of a deleted one.
    struct cell_key {
        coordination::revision revision{coordination::absent};
        bool exists{false};
    };
    std::map<std::string, cell_key> m_cell_keys;
    bool m_is_following{false};    ///< the jobs
    bool m_has_loaded_jobs{false}; ///< since this VM follows them
    std::shared_ptr<coordination::prefix_watcher> m_registry_watcher;
    std::shared_ptr<coordination::prefix_watcher> m_configuration_watcher;
    std::shared_ptr<coordination::lease_session> m_lease_session;
    std::shared_ptr<coordination::election> m_election;
    std::shared_ptr<coordination::committer> m_job_committer;
    std::shared_ptr<cluster::job_service> m_job_service;
    std::shared_ptr<request_router> m_router;
    kernel::mailbox<daemon::scheduler_message> m_peer_inbox;
    std::unique_ptr<daemon::peer_links> m_peer_links;
    member_table m_members;
    /// By name, whatever the life.
    std::map<std::string, cluster::endpoint_listing> m_endpoint_listings;
    /// Endpoints whose registry entries lapsed in an outage of the store, and
    /// until when each of them is still considered listed.
    std::map<std::string, base::instant> m_lapsed_listings;
    kernel::timer m_tick_timer;
    kernel::timer m_maintenance_timer;
    kernel::timer m_completion_timer;
    kernel::timer m_following_timer;
    base::instant m_last_tick_at{};
    double m_cpu_seconds_logged{0.0}; ///< of the process, at the last summary
    bool m_tick_scheduled{false};
    bool m_is_placement_paused{false}; ///< as the view of the jobs is too old
    bool m_is_draining{false};

    /// Leases of this VM's latest term, and when that term ended.
    std::optional<cluster::lease_table> m_former_leases;
    base::instant m_led_until{};
    /// A predecessor's leases, received before this VM's scheduler was started.
    std::optional<cluster::lease_table> m_reported_leases;

    // State of the current leadership.

    /// Incremented when leadership is won or lost, so that replies to an
    /// earlier leadership can be told apart.
    std::uint64_t m_leadership_generation{0};
    std::optional<coordination::leadership> m_leadership;
    std::unique_ptr<cluster::scheduler> m_scheduler;
    std::shared_ptr<coordination::committer> m_progress_committer;
    std::shared_ptr<coordination::committer> m_removal_committer;
    std::size_t m_removals_pending{0}; ///< proposals without an outcome
    /// Revision of each progress record written under this leadership. Entries
    /// are kept until the next leadership, so that a finished job is not
    /// scheduled again.
    std::unordered_map<std::string, coordination::revision>
        m_progress_revisions;
    /// Completions that have not been sent to the other VMs yet.
    wire::completion_notice m_pending_completions;
    /// Callbacks share the flag and return early once it is false.
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace eelgrasslever::service
