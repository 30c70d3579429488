/// @file
/// One VM of the cluster: follows the store, answers clients, and orders the
/// endpoints while it leads.
#pragma once

#include "eelgrasslever/cluster/job_book.hpp"
#include "eelgrasslever/cluster/job_desk.hpp"
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
#include "eelgrasslever/service/request_router.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace eelgrasslever::service {

/// Reads the records of others in the store; nothing where one is unreadable.
struct foreign_records {
    std::string registry_prefix;
    std::string configuration_prefix;
    std::function<std::optional<cluster::endpoint_listing>(
        const coordination::key_value&)>
        read_endpoint;
    std::function<std::optional<cluster::queue_table>(
        const coordination::key_value&)>
        read_configuration;
};

struct cluster_options {
    std::string vm;
    std::string peer_address; ///< "IP:port" for other VMs
    std::string incarnation;  ///< differs for each start of the process
    double cores{1.0};        ///< processor share of this VM
    cluster::scheduler_limits limits;
};

class cluster_service final : public cluster::scheduler_effects {
  public:
    cluster_service(kernel::loop& owner, cluster_options options,
                    coordination::store& store, endpoint_gateway& endpoints,
                    advice_gateway& advice, foreign_records records,
                    observe::metrics& metrics);
    ~cluster_service() override;
    cluster_service(const cluster_service&) = delete;
    cluster_service& operator=(const cluster_service&) = delete;

    [[nodiscard]] base::result<void> start();
    /// Gives leadership up and takes no more part; clients are still answered.
    void drain();
    /// Ends this VM's lease.
    void leave();

    /// @return the configuration in force, or nullptr before the first.
    [[nodiscard]] const cluster::queue_table* queues() const;
    [[nodiscard]] request_router& requests() { return *m_router; }
    [[nodiscard]] const cluster::job_book& book() const { return m_book; }
    /// Whether this VM can serve new clients.
    [[nodiscard]] bool ready(base::instant now) const;
    /// @return for how long the store has been away; 0 where it is reachable.
    [[nodiscard]] base::milliseconds store_away(base::instant now) const {
        return m_store.unreachable_for(now);
    }
    /// @return when a client that is refused now should come back.
    [[nodiscard]] std::chrono::seconds retry_after(base::instant now) const;
    void refresh_gauges();

    // scheduler_effects
    void start(const cluster::endpoint_listing& at,
               cluster::fencing_token token,
               const cluster::start_order& order) override;
    void stop(const cluster::endpoint_listing& at, cluster::fencing_token token,
              const cluster::stop_order& order) override;
    void hold(const cluster::endpoint_listing& at, cluster::fencing_token token,
              const cluster::hold_order& order, bool fresh_connection) override;
    void ask_advice(const std::string& channel,
                    const cluster::advice_call& call) override;
    void record(const std::string& job, std::uint64_t version,
                const std::string& progress, bool terminal) override;
    void on_measured(cluster::latency_kind what, const std::string& queue,
                     base::milliseconds took) override;
    void on_fenced(const std::string& endpoint) override;

  private:
    void on_book_item(const coordination::key_value& change);
    void on_registry_item(const coordination::key_value& change);
    void unlist(const std::string& id, base::instant now);
    void unlist_lapsed(base::instant now);
    void on_configuration_item(const coordination::key_value& change);
    void on_member_item(const coordination::key_value& change);
    void on_won(const coordination::leadership& mandate);
    void begin_leading();
    void on_lost();
    void on_recorded(const std::string& job, std::uint64_t version,
                     const std::string& progress,
                     const coordination::proposal& attempt,
                     const coordination::commit_outcome& outcome);
    void on_peer(daemon::peer_spoke&& message);
    void on_stored(const std::string& id, const std::string& record);
    void on_job_notice(const wire::job_notice& notice);
    void on_end_notice(const wire::end_notice& notice);
    void send_end_notices();
    void refresh_peers();
    /// Leaves the lead to a much fitter VM.
    void consider_handover();
    void answer_advice(const std::string& reply_to,
                       const wire::advice_request& request);
    [[nodiscard]] bool may_order() const;
    void tick();
    void tick_soon();
    void collect_garbage();
    void send(const std::string& address, wire::message content);
    /// Counts an order's time since @p sent by its kind and outcome.
    void observe_order(const char* kind, base::instant sent,
                       cluster::order_status outcome);
    /// Runs @p act with the scheduler of @p reign if that still leads.
    template <typename Act>
    void with_scheduler(std::uint64_t reign, Act act) {
        if (m_reign == reign && m_scheduler) {
            act(*m_scheduler, base::monotonic_now());
            tick_soon();
        }
    }

    kernel::loop& m_owner;
    cluster_options m_options;
    coordination::monitored_store m_store;
    endpoint_gateway& m_endpoints;
    advice_gateway& m_advice;
    foreign_records m_records;
    observe::metrics& m_metrics;
    cluster::job_book m_book;
    std::unique_ptr<cluster::queue_table> m_queues;
    std::shared_ptr<coordination::prefix_watcher> m_book_follower;
    std::shared_ptr<coordination::prefix_watcher> m_registry_follower;
    std::shared_ptr<coordination::prefix_watcher> m_configuration_follower;
    std::shared_ptr<coordination::lease_session> m_session;
    std::shared_ptr<coordination::election> m_election;
    std::shared_ptr<coordination::committer> m_writer;
    std::shared_ptr<cluster::job_desk> m_desk;
    std::shared_ptr<request_router> m_router;
    kernel::mailbox<daemon::to_scheduler> m_peer_inbox;
    std::unique_ptr<daemon::peer_links> m_links;
    member_table m_members;
    std::map<std::string, cluster::endpoint_listing> m_listings;
    /// Listings that vanished in an outage of the store, and until when they
    /// may come back.
    std::map<std::string, base::instant> m_lapsed;
    kernel::timer m_tick_timer;
    kernel::timer m_slow_timer;
    kernel::timer m_notice_timer;
    base::instant m_ticked_at{};
    bool m_tick_scheduled{false};
    bool m_drained{false};

    // While leading.
    std::uint64_t m_reign{0};
    std::optional<coordination::leadership> m_mandate;
    std::unique_ptr<cluster::scheduler> m_scheduler;
    std::shared_ptr<coordination::committer> m_recorder;
    /// Revision of each progress record written in this reign; never shrinks,
    /// so that a job that has ended is not taken up again.
    std::unordered_map<std::string, coordination::revision> m_progress_at;
    wire::end_notice m_ended; ///< gathered, not yet sent
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

} // namespace eelgrasslever::service
