#include "eelgrasslever/service/cluster_service.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/daemon/stall_report.hpp"
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <algorithm>
#include <boost/core/demangle.hpp>
#include <utility>

namespace eelgrasslever::service {

namespace {

/// Shortest interval between two scheduler passes, so that events that arrive
/// close together are handled in one pass.
constexpr base::milliseconds min_tick_interval{10};
/// Longest interval between two scheduler passes. It bounds how late a timeout
/// is detected.
constexpr base::milliseconds max_tick_interval{50};
constexpr base::milliseconds maintenance_interval{1000};
/// A VM that neither leads nor changed its view logs its work only if that took
/// a hundredth of a core, so that idle VMs stay silent.
constexpr base::milliseconds min_logged_cpu{10};
/// A VM with an older view of the store is not ready, so that clients are sent
/// to other VMs. The limit exceeds two watches of the members (1 s each) and a
/// call to a slow store (0.3 s).
constexpr base::milliseconds max_view_age{2500};
/// A leader with an older view of the jobs starts no task: no task of a job may
/// be started 3 s after its cancellation, less the way of an order. A leader
/// whose processor is full in a burst has a view that is 2 s old.
constexpr base::milliseconds max_placement_view_age{2500};
/// A VM that has not reached the store for this long is not ready. The limit is
/// longer than the slowest known reply of the store.
constexpr base::milliseconds max_store_outage{400};
/// Registry entries that lapsed during an outage of the store are written again
/// within 2 s of its end. Until then their endpoints are considered listed.
constexpr base::milliseconds relisting_grace_period{2200};
/// Run numbers reserved for one task in each term. Failed runs are bounded by
/// the few attempts of a task, and stopped or lost runs occur at most every
/// 100 ms.
constexpr int runs_per_term = 10'000;
/// The leader learns of cancellations, and of jobs whose notice was lost, from
/// the watch. It must do so within half of the 250 ms that urgent work may
/// wait.
constexpr base::milliseconds leader_batch_delay{100};
/// Minimum intervals between transactions, in which proposals are batched. The
/// store accepts 400 write calls per second from all VMs together; the commit
/// time of the leader's records adds to the delay of each start.
constexpr base::milliseconds job_commit_interval{10};
constexpr base::milliseconds progress_commit_interval{20};
/// Removals of expired records have no haste, and must not delay other writes
/// of the leader. A pass of them takes at most 20 transactions.
constexpr base::milliseconds removal_commit_interval{40};
/// Heartbeats change the registry continuously, so changes are read in groups.
/// A draining endpoint must be detected well within its grace period of 2 s.
constexpr coordination::prefix_watcher_timing registry_watcher_timing{
    .watch_timeout = base::milliseconds(1000),
    .batch_delay = base::milliseconds(300),
    .retry_delay = base::milliseconds(150)};
constexpr coordination::prefix_watcher_timing configuration_watcher_timing{
    .watch_timeout = base::milliseconds(800),
    .batch_delay = base::milliseconds(0),
    .retry_delay = base::milliseconds(150)};

} // namespace

cluster_service::cluster_service(kernel::loop& owner, cluster_options options,
                                 coordination::store& store,
                                 endpoint_gateway& endpoints,
                                 advice_gateway& advice,
                                 external_records records,
                                 observe::metrics& metrics)
    : m_owner(owner), m_options(std::move(options)), m_store(store),
      m_pauses(owner),
      m_orders(
          owner, endpoints,
          [this](const std::string& address, wire::message content) {
              send_to_peer(address, std::move(content));
          },
          metrics),
      m_carrier(
          owner, endpoints,
          [this](const std::string& address, wire::message content) {
              send_to_peer(address, std::move(content));
          },
          m_pauses, metrics),
      m_advice(advice), m_external_records(std::move(records)),
      m_metrics(metrics),
      m_job_committer(std::make_shared<coordination::committer>(
          owner, m_store, job_commit_interval)),
      m_job_service(std::make_shared<cluster::job_service>(
          m_store, m_job_view, [this] { return jobs_current_as_of(); },
          m_job_committer,
          [this](const std::string& id, const std::string& record) {
              on_job_stored(id, record);
          })),
      m_router(std::make_shared<request_router>(
          owner, *m_job_service, m_job_view, m_store, m_pauses,
          [this](const std::string& address, wire::message content) {
              send_to_peer(address, std::move(content));
          },
          [this] { return leader_address(); })),
      m_peer_inbox(
          owner,
          [this](daemon::scheduler_message&& message) {
              if (auto* received =
                      std::get_if<daemon::peer_message_received>(&message)) {
                  on_peer_message(std::move(*received));
              }
          }),
      m_members(m_options.vm, m_options.cores, m_options.failure_domain),
      m_tick_timer(owner, [this] { tick(); }),
      m_maintenance_timer(owner,
                          [this] {
                              remove_expired_jobs();
                              evaluate_handover();
                              update_carriers();
                              send_lease_report();
                              log_work_summary();
                          }),
      m_completion_timer(owner, [this] { send_completion_notice(); }),
      m_following_timer(owner, [this] { evaluate_following(); }) {
    using coordination::key_value;
    using coordination::prefix_watcher;
    m_cluster_watcher = make_cluster_watcher();
    m_registry_watcher = std::make_shared<prefix_watcher>(
        owner, m_store, m_external_records.registry_prefix,
        registry_watcher_timing,
        [this](const key_value& change) { on_registry_change(change); },
        [this] { schedule_tick(); });
    m_configuration_watcher = std::make_shared<prefix_watcher>(
        owner, m_store, m_external_records.configuration_prefix,
        configuration_watcher_timing,
        [this](const key_value& change) { on_configuration_change(change); },
        [] {});
    m_lease_session = std::make_shared<coordination::lease_session>(
        owner, m_store, cluster::keys::member + m_options.vm, member_record(),
        coordination::lease_session::handlers{
            [this] { m_election->consider_bid(); },
            [this] { m_election->on_lease_expired(); }});
    m_election = std::make_shared<coordination::election>(
        owner, m_store, *m_lease_session,
        coordination::election_keys{cluster::keys::leader, cluster::keys::term,
                                    cluster::keys::successor},
        m_options.vm, m_options.vm + "@" + m_options.incarnation,
        coordination::election::handlers{
            [this] {
                // A VM that reads the jobs again can't lead before it has
                // finished, like one that reads them for the first time.
                return coordination::view_state{
                    m_cluster_watcher->loaded() &&
                        !m_cluster_watcher->reading(),
                    m_cluster_watcher->current_as_of()};
            },
            [this](const coordination::leadership& leadership) {
                on_leadership_won(leadership);
            },
            [this](const char*) { on_leadership_lost(); }});
}

cluster_service::~cluster_service() {
    *m_alive = false;
}

base::result<void> cluster_service::start() {
    daemon::report_stalls(m_owner, m_metrics);
    auto links = daemon::peer_links::listen(m_owner, m_options.peer_address,
                                            m_peer_inbox);
    if (!links) {
        return tl::unexpected(links.error());
    }
    m_peer_links = std::move(*links);
    m_configuration_watcher->start();
    start_cell_watchers();
    m_lease_session->start();
    m_maintenance_timer.start_every(maintenance_interval);
    return {};
}

void cluster_service::drain() {
    if (m_is_draining) {
        return;
    }
    m_is_draining = true;
    m_election->resign(m_members.restarted_successor(base::monotonic_now()));
}

void cluster_service::leave() {
    m_lease_session->stop();
}

const cluster::queue_table* cluster_service::queues() const {
    return m_queues.get();
}

std::optional<base::instant> cluster_service::jobs_current_as_of() const {
    if (!m_is_following || !m_cluster_watcher->loaded()) {
        return std::nullopt;
    }
    return m_cluster_watcher->current_as_of();
}

bool cluster_service::is_ready(base::instant now) const {
    return !m_is_draining && m_queues &&
           m_store.unreachable_for(now) < max_store_outage &&
           now - cell_current_as_of() < max_view_age;
}

// A short outage may end at any moment; a longer one is likely to continue.
std::chrono::seconds cluster_service::retry_after(base::instant now) const {
    constexpr base::milliseconds short_outage{1500};
    return std::chrono::seconds(
        m_store.unreachable_for(now) < short_outage ? 1 : 2);
}

void cluster_service::on_registry_change(
    const coordination::key_value& change) {
    kernel::activity measured(m_owner, activities::registry);
    std::string name =
        change.key.substr(m_external_records.registry_prefix.size());
    auto now = base::monotonic_now();
    std::optional<cluster::endpoint_listing> listing;
    if (!change.deleted) {
        listing = m_external_records.decode_endpoint(change);
    }
    if (!listing) {
        auto previous = m_endpoint_listings.find(name);
        bool may_be_relisted =
            change.deleted && previous != m_endpoint_listings.end() &&
            !previous->second.draining &&
            now - m_store.recovered_at() < relisting_grace_period;
        if (may_be_relisted) {
            m_lapsed_listings[name] =
                m_store.recovered_at() + relisting_grace_period;
        } else {
            remove_endpoint(name, now);
        }
        return;
    }
    m_lapsed_listings.erase(name);
    m_endpoint_listings[name] = *listing;
    if (m_scheduler) {
        m_scheduler->on_listed(*listing, now);
    }
}

void cluster_service::remove_endpoint(const std::string& name,
                                      base::instant now) {
    auto known = m_endpoint_listings.extract(name);
    m_lapsed_listings.erase(name);
    if (m_scheduler && known) {
        m_scheduler->on_unlisted(known.mapped().id, now);
    }
}

void cluster_service::remove_lapsed_endpoints(base::instant now) {
    std::vector<std::string> expired;
    for (const auto& [name, until] : m_lapsed_listings) {
        if (until <= now) {
            expired.push_back(name);
        }
    }
    for (const std::string& name : expired) {
        remove_endpoint(name, now);
    }
}

void cluster_service::on_configuration_change(
    const coordination::key_value& change) {
    auto next = m_external_records.decode_configuration(change);
    if (!next) {
        return;
    }
    std::uint64_t active_version = m_queues ? m_queues->version() : 0;
    bool is_newer = next->version() > active_version;
    observe::log_event(
        is_newer ? "configuration_in_force" : "configuration_ignored",
        {{"version", std::to_string(next->version())},
         {"present", std::to_string(active_version)},
         {"queues", std::to_string(next->size())},
         {"workspaces",
          std::to_string(next->workspaces()->policies().size())}});
    if (is_newer) {
        m_queues =
            std::make_shared<const cluster::queue_table>(*std::move(next));
        configure_scheduler();
    }
}

void cluster_service::configure_scheduler() {
    if (m_scheduler && m_queues) {
        m_scheduler->set_workspaces(m_queues->workspaces());
        m_scheduler->set_queues(m_queues);
    }
}

void cluster_service::on_leadership_won(
    const coordination::leadership& leadership) {
    m_leadership = leadership;
    if (!m_cluster_watcher->loaded()) {
        // A bid was under way when this VM stopped following. Loading the jobs
        // would take longer than another VM's bid.
        m_owner.defer([this, alive = m_alive] {
            if (*alive && m_election->leading()) {
                m_election->hand_over("");
            }
        });
        return;
    }
    std::uint64_t generation = ++m_leadership_generation;
    m_registry_watcher->start();
    m_progress_committer = std::make_shared<coordination::committer>(
        m_owner, m_store, progress_commit_interval,
        std::vector{leadership.guard});
    m_removal_committer = std::make_shared<coordination::committer>(
        m_owner, m_store, removal_commit_interval,
        std::vector{leadership.guard});
    m_removals_pending = 0;
    // The view may not contain the last writes of the previous leader. None of
    // them is later than this VM's own write of the leader key, which is a
    // condition of them all.
    m_cluster_watcher->when_current(
        leadership.guard.revision, [this, generation, alive = m_alive] {
            if (*alive && m_leadership_generation == generation &&
                m_leadership) {
                start_scheduler();
            }
        });
}

void cluster_service::start_scheduler() {
    auto now = base::monotonic_now();
    cluster::scheduler_term term;
    term.token = m_leadership->term;
    term.run_base = static_cast<int>(m_leadership->term - 1) * runs_per_term;
    term.since = now;
    term.wall = base::wall_now();
    m_progress_revisions.clear();
    m_scheduler =
        std::make_unique<cluster::scheduler>(*this, m_options.limits, term);
    configure_scheduler();
    for (const auto& known : {m_former_leases, m_reported_leases}) {
        if (known) {
            m_scheduler->on_predecessor_leases(*known, now);
        }
    }
    m_reported_leases.reset();
    m_orders.begin_term(m_leadership->term);
    update_members();
    m_cluster_watcher->set_batch_delay(leader_batch_delay);
    for (const auto& [name, listing] : m_endpoint_listings) {
        m_scheduler->on_listed(listing, now);
    }
    std::size_t open_jobs = 0;
    for (const auto& [id, entry] : m_job_view.all()) {
        if (entry.job) {
            m_scheduler->on_job_accepted(entry, now);
            open_jobs++;
        } else if (workload::is_terminal(entry.progress.state)) {
            m_scheduler->on_ended_job(id, entry.progress, now);
        }
    }
    m_election->on_leading();
    base::milliseconds vacancy = now - m_leadership->vacant_since;
    m_metrics.observe_latency("takeover_seconds", "", vacancy);
    observe::log_event(
        "leading", {{"term", std::to_string(m_leadership->term)},
                    {"jobs", std::to_string(open_jobs)},
                    {"endpoints", std::to_string(m_endpoint_listings.size())},
                    {"vacant_ms", std::to_string(vacancy.count())}});
    schedule_tick();
}

void cluster_service::on_leadership_lost() {
    m_leadership_generation++;
    if (m_scheduler) {
        m_former_leases = m_scheduler->leases();
        m_led_until = base::monotonic_now();
    } else if (m_former_leases &&
               m_former_leases->token + 1 == m_leadership->term) {
        // No order was given in this term, so the table holds for it, too.
        m_former_leases->token = m_leadership->term;
        m_led_until = base::monotonic_now();
    }
    m_leadership.reset();
    m_is_placement_paused = false;
    m_orders.end_term();
    m_following_timer.start_once(base::milliseconds(0));
    m_registry_watcher->stop();
    m_cluster_watcher->set_batch_delay(cluster_watcher_timing.batch_delay);
    for (const auto& committer : {m_progress_committer, m_removal_committer}) {
        if (committer) {
            committer->stop();
        }
    }
    // This may be called from within the scheduler, so its destruction is
    // deferred.
    auto previous = std::make_shared<std::unique_ptr<cluster::scheduler>>(
        std::move(m_scheduler));
    m_owner.defer([previous] { previous->reset(); });
}

void cluster_service::schedule_tick() {
    if (!m_scheduler || m_tick_scheduled) {
        return;
    }
    m_tick_scheduled = true;
    auto elapsed = base::monotonic_now() - m_last_tick_at;
    m_tick_timer.start_once(
        std::max(base::milliseconds(0), min_tick_interval - elapsed));
}

bool cluster_service::has_order_authority() const {
    return base::uptime_now() - m_lease_session->renewal_sent_at() <
           m_options.limits.authority_timeout;
}

bool cluster_service::evaluate_placement(base::instant now) {
    base::milliseconds view_age = now - m_cluster_watcher->current_as_of();
    bool is_view_old = view_age > max_placement_view_age;
    if (std::exchange(m_is_placement_paused, is_view_old) != is_view_old) {
        observe::log_event(is_view_old ? "placement_paused"
                                       : "placement_resumed",
                           {{"view_age_ms", std::to_string(view_age.count())}});
    }
    // The limits of workspaces aren't known before the configuration is.
    return !is_view_old && m_store.reachable(now) &&
           m_configuration_watcher->loaded();
}

void cluster_service::tick() {
    m_tick_scheduled = false;
    if (!m_scheduler) {
        return;
    }
    kernel::activity measured(m_owner, activities::placement);
    m_last_tick_at = base::monotonic_now();
    remove_lapsed_endpoints(m_last_tick_at);
    m_scheduler->tick(
        m_last_tick_at, base::wall_now(),
        {has_order_authority(), evaluate_placement(m_last_tick_at)});
    if (!m_tick_scheduled) {
        m_tick_timer.start_once(max_tick_interval);
    }
}

void cluster_service::log_work_summary() {
    auto usage = m_owner.take_usage();
    double cpu_seconds = observe::read_process_usage().cpu_seconds;
    double cpu_used =
        cpu_seconds - std::exchange(m_cpu_seconds_logged, cpu_seconds);
    base::milliseconds cpu_used_ms(static_cast<int>(cpu_used * 1000.0));
    if (m_scheduler) {
        log_leader_summary(usage, cpu_used_ms);
    } else {
        log_follower_summary(usage, cpu_used_ms);
    }
}

void cluster_service::log_follower_summary(
    const std::vector<kernel::activity_usage>& usage,
    base::milliseconds cpu_used) {
    kernel::activity_usage view;
    for (const auto& row : usage) {
        if (row.name == activities::view) {
            view = row;
        }
    }
    if (view.pieces == 0 && cpu_used < min_logged_cpu) {
        return;
    }
    auto as_of = jobs_current_as_of();
    observe::log_event(
        "follower_work",
        {{"cpu_ms", std::to_string(cpu_used.count())},
         {"view_ms", std::to_string(view.total.count() / 1000)},
         {"view_changes", std::to_string(view.pieces)},
         {"view_loaded", as_of ? "1" : "0"},
         {"view_age_ms",
          as_of ? std::to_string((base::monotonic_now() - *as_of).count())
                : ""},
         {"jobs", std::to_string(m_job_view.all().size())}});
}

void cluster_service::log_leader_summary(
    const std::vector<kernel::activity_usage>& usage,
    base::milliseconds cpu_used) {
    // Time passes faster than the processor time on a VM with a share of a
    // core, so the activities add up to `busy_ms` rather than to `cpu_ms`.
    auto whole_ms = [](std::chrono::microseconds value) {
        return std::to_string(
            std::chrono::duration_cast<base::milliseconds>(value).count());
    };
    std::chrono::microseconds busy{0};
    std::chrono::microseconds longest_pass{0};
    for (const auto& row : usage) {
        busy += row.total;
        if (row.name == activities::placement) {
            longest_pass = row.longest;
        }
    }
    observe::log_fields fields{{"cpu_ms", std::to_string(cpu_used.count())},
                               {"busy_ms", whole_ms(busy)}};
    std::chrono::microseconds callbacks{0};
    const char* largest_callback = nullptr;
    for (const auto& row : usage) {
        if (!row.is_callback) {
            fields.emplace_back(std::string(row.name) + "_ms",
                                whole_ms(row.total));
            continue;
        }
        callbacks += row.total;
        if (largest_callback == nullptr) {
            largest_callback = row.name;
        }
    }
    // The work of callbacks that has no name of its own.
    fields.emplace_back("callbacks_ms", whole_ms(callbacks));
    if (largest_callback != nullptr) {
        std::string name = boost::core::demangle(largest_callback);
        fields.emplace_back("largest_callback", name.substr(0, name.find('(')));
    }
    fields.emplace_back("longest_pass_us",
                        std::to_string(longest_pass.count()));
    observe::log_event("leader_work", fields);

    auto placement = m_scheduler->take_statistics(base::monotonic_now());
    m_metrics.add("placement_passes", static_cast<double>(placement.passes));
    m_metrics.add("placement_steps_examined",
                  static_cast<double>(placement.steps_examined));
    m_metrics.add("placement_endpoints_weighed",
                  static_cast<double>(placement.endpoints_weighed));
    m_metrics.add("placement_searches",
                  static_cast<double>(placement.searches));
    m_metrics.add("placement_searches_without_call",
                  static_cast<double>(placement.searches_without_call));
    m_metrics.set("steps_ready", static_cast<double>(placement.steps_ready));
    m_metrics.set("cpu_milli_reserved",
                  static_cast<double>(placement.cpu_reserved));
    observe::log_event(
        "placement_summary",
        {{"passes", std::to_string(placement.passes)},
         {"steps_examined", std::to_string(placement.steps_examined)},
         {"endpoints_weighed", std::to_string(placement.endpoints_weighed)},
         {"searches", std::to_string(placement.searches)},
         {"searches_without_call",
          std::to_string(placement.searches_without_call)},
         {"steps_ready", std::to_string(placement.steps_ready)},
         {"oldest_unexamined_ms",
          std::to_string(placement.oldest_unexamined.count())},
         {"cpu_capacity", std::to_string(placement.cpu_capacity)},
         {"cpu_running", std::to_string(placement.cpu_running)},
         {"cpu_reserved", std::to_string(placement.cpu_reserved)}});
    for (const auto& [queue, counts] : placement.queues) {
        std::string label = "{queue=\"" + queue + "\"}";
        m_metrics.add("tickets_issued" + label,
                      static_cast<double>(counts.tickets_issued));
        m_metrics.add("tickets_used" + label,
                      static_cast<double>(counts.tickets_used));
        observe::log_event(
            "queue_summary",
            {{"queue", queue},
             {"tasks_placed", std::to_string(counts.tasks_placed)},
             {"calls_first", std::to_string(counts.advice_calls[0])},
             {"calls_tickets_expired", std::to_string(counts.advice_calls[1])},
             {"calls_more_endpoints", std::to_string(counts.advice_calls[2])},
             {"tickets_issued", std::to_string(counts.tickets_issued)},
             {"tickets_used", std::to_string(counts.tickets_used)}});
    }
    for (const auto& [key, counts] : placement.widths) {
        const auto& [queue, width] = key;
        std::string label =
            "{queue=\"" + queue + "\",width=\"" + std::to_string(width) + "\"}";
        m_metrics.add("steps_started" + label,
                      static_cast<double>(counts.started));
        m_metrics.add("step_wait_seconds" + label,
                      std::chrono::duration<double>(counts.waited).count());
        m_metrics.add("steps_overdue" + label,
                      static_cast<double>(counts.became_overdue));
        observe::log_event(
            "width_summary",
            {{"queue", queue},
             {"width", std::to_string(width)},
             {"started", std::to_string(counts.started)},
             {"waited_ms", std::to_string(counts.waited.count())},
             {"became_overdue", std::to_string(counts.became_overdue)},
             {"waiting", std::to_string(counts.waiting)},
             {"longest_wait_ms", std::to_string(counts.longest_wait.count())}});
    }
}

void cluster_service::refresh_gauges() {
    m_metrics.set("jobs_known", static_cast<double>(m_job_view.all().size()));
    auto view_as_of = jobs_current_as_of();
    m_metrics.set("follows_jobs", view_as_of ? 1.0 : 0.0);
    if (view_as_of) {
        std::chrono::duration<double> age = base::monotonic_now() - *view_as_of;
        m_metrics.set("job_view_age_seconds", age.count());
    }
    m_metrics.set("leading", m_scheduler ? 1.0 : 0.0);
    m_metrics.set("members", static_cast<double>(m_members.size()));
    m_metrics.set("configuration_version",
                  m_queues ? static_cast<double>(m_queues->version()) : 0.0);
    auto usage = observe::read_process_usage();
    m_metrics.set("process_cpu_seconds", usage.cpu_seconds);
    m_metrics.set("process_resident_bytes", usage.resident_bytes);
    if (!m_scheduler) {
        return;
    }
    auto totals = m_scheduler->compute_totals(base::monotonic_now());
    m_metrics.set("jobs_open", static_cast<double>(totals.jobs));
    m_metrics.set("endpoints_usable",
                  static_cast<double>(totals.endpoints_usable));
    m_metrics.set("tasks_running", static_cast<double>(totals.running));
    m_metrics.set("tasks_waiting", static_cast<double>(totals.waiting));
    m_metrics.set("cpu_milli_capacity",
                  static_cast<double>(totals.capacity.cpu_milli));
    m_metrics.set("cpu_milli_used", static_cast<double>(totals.used.cpu_milli));
    for (const auto& state : m_scheduler->workspace_states()) {
        std::string label = "{workspace=\"" + state.name + "\"}";
        m_metrics.set("workspace_cpu_milli_running" + label,
                      static_cast<double>(state.running.cpu_milli));
        m_metrics.set("workspace_cpu_milli_cap" + label,
                      static_cast<double>(state.cap.cpu_milli));
        m_metrics.set("workspace_steps_limited" + label,
                      static_cast<double>(state.limited_steps));
    }
}

} // namespace eelgrasslever::service
