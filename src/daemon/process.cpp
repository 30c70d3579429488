#include "eelgrasslever/daemon/process.hpp"

#include "eelgrasslever/daemon/http_api.hpp"
#include "eelgrasslever/daemon/stall_report.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <csignal>
#include <random>

namespace eelgrasslever::daemon {

namespace {

constexpr base::milliseconds drain_check_period{20};
/// Time for the departure announcement to be sent before the process exits.
constexpr base::milliseconds departure_delay{150};

std::int64_t unix_offset_ms() {
    auto wall = std::chrono::duration_cast<base::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return (wall - base::monotonic_now().time_since_epoch()).count();
}

node::node_config make_config(const settings::entry_settings& settings) {
    std::random_device entropy;
    std::uint64_t incarnation =
        (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
    char incarnation_hex[17];
    std::snprintf(incarnation_hex, sizeof incarnation_hex, "%016llx",
                  static_cast<unsigned long long>(incarnation));
    node::node_config out;
    out.id = settings.name + "@" + incarnation_hex;
    out.failure_domain = settings.failure_domain;
    out.http_address = settings.http_address;
    out.peer_address = settings.peer_address;
    out.timing.claim_ttl = settings.claim_ttl;
    out.timing.task_lease = settings.task_lease;
    out.timing.poll_wait = settings.poll_wait;
    out.timing.call_timeout = settings.call_timeout;
    out.membership_timing.suspect_after = settings.suspect_after;
    out.membership_timing.departed_after = settings.departed_after;
    out.heartbeat_period = settings.heartbeat_period;
    out.journal_shards = static_cast<std::size_t>(settings.journal_shards);
    out.seed = incarnation;
    out.unix_offset_ms = unix_offset_ms();
    out.operators = settings.operators;
    return out;
}

int log_start_failure(const base::error& error) {
    observe::log_error("start_failed", {{"why", error.message()}});
    return 1;
}

/// All tasks of the process. They communicate only through mailboxes.
class entry_process {
  public:
    explicit entry_process(const settings::entry_settings& settings)
        : m_config(make_config(settings)),
          m_tracer(settings.name, m_config.seed),
          m_scheduler(m_loop, m_config, settings.seeds, m_metrics, m_tracer),
          m_endpoints(m_loop, m_scheduler.inbox()),
          m_store(m_loop, settings.platform_url, settings.store_timeout,
                  m_scheduler.inbox()),
          m_drain_check(m_loop, [this] { check_drained(); }),
          m_exit_timer(m_loop, [this] { m_loop.stop(); }) {}

    base::result<void> listen() {
        auto links = peer_links::listen(m_loop, m_config.peer_address,
                                        m_scheduler.inbox());
        if (!links) {
            return tl::unexpected(links.error());
        }
        m_links = std::move(*links);
        auto api =
            http_api::listen(m_loop, m_config.http_address, m_scheduler,
                             m_metrics, m_tracer, [this] { refresh_gauges(); });
        if (!api) {
            return tl::unexpected(api.error());
        }
        m_api = std::move(*api);
        m_scheduler.connect(&m_api->inbox(), &m_endpoints.inbox(),
                            &m_store.inbox(), &m_links->inbox());
        return {};
    }

    void run() {
        report_stalls(m_loop, m_metrics);
        kernel::signal_watch terminate(m_loop, SIGTERM, [this] { drain(); });
        kernel::signal_watch interrupt(m_loop, SIGINT, [this] { drain(); });
        observe::log_event("started", {{"member", m_config.id},
                                       {"fd", m_config.failure_domain},
                                       {"http", m_config.http_address},
                                       {"peer", m_config.peer_address}});
        m_loop.run();
        observe::log_event("stopped", {{"member", m_config.id}});
    }

  private:
    void drain() {
        m_scheduler.drain();
        m_api->end_status_waits();
        m_drain_check.start_every(drain_check_period);
    }

    void check_drained() {
        if (!m_scheduler.drained() || !m_api->is_idle()) {
            return;
        }
        m_drain_check.cancel();
        m_scheduler.announce_departure();
        m_exit_timer.start_once(departure_delay);
    }

    void refresh_gauges() {
        const node::context& state = m_scheduler.entry_node().state();
        auto totals = state.endpoint_pool.totals();
        auto to_double = [](auto value) { return static_cast<double>(value); };
        m_metrics.set("endpoints_held", to_double(totals.held_endpoints));
        m_metrics.set("slots_capacity", to_double(totals.capacity.slots));
        m_metrics.set("slots_committed", to_double(totals.committed.slots));
        m_metrics.set("packing_ratio",
                      totals.capacity.slots == 0
                          ? 0.0
                          : to_double(totals.committed.slots) /
                                to_double(totals.capacity.slots));
        m_metrics.set("queue_items", to_double(state.queue.size()));
        m_metrics.set("requests_known", to_double(state.requests.all().size()));
        m_metrics.set("bundle_version", to_double(state.bundle_version()));
        auto usage = observe::read_process_usage();
        m_metrics.set("process_cpu_seconds", usage.cpu_seconds);
        m_metrics.set("process_resident_bytes", usage.resident_bytes);
        auto bytes = [&](const char* link, const char* direction, auto value) {
            m_metrics.set(std::string("bytes{link=\"") + link +
                              "\",direction=\"" + direction + "\"}",
                          to_double(value));
        };
        bytes("endpoint", "out", m_endpoints.client().bytes_sent());
        bytes("endpoint", "in", m_endpoints.client().bytes_received());
        bytes("store", "out", m_store.client().bytes_sent());
        bytes("store", "in", m_store.client().bytes_received());
        bytes("peer", "out", m_links->totals().bytes_sent);
        bytes("peer", "in", m_links->totals().bytes_received);
        m_metrics.set("store_calls{kind=\"read\"}", to_double(m_store.reads()));
        m_metrics.set("store_calls{kind=\"write\"}",
                      to_double(m_store.writes()));
    }

    node::node_config m_config;
    kernel::loop m_loop;
    observe::metrics m_metrics;
    observe::tracer m_tracer;
    scheduler_task m_scheduler;
    endpoint_gateway m_endpoints;
    store_gateway m_store;
    std::unique_ptr<peer_links> m_links;
    std::unique_ptr<http_api> m_api;
    kernel::timer m_drain_check;
    kernel::timer m_exit_timer;
};

} // namespace

int run_entry(const settings::entry_settings& settings) {
    std::signal(SIGPIPE, SIG_IGN);
    entry_process process(settings);
    auto listening = process.listen();
    if (!listening) {
        return log_start_failure(listening.error());
    }
    process.run();
    return 0;
}

} // namespace eelgrasslever::daemon
