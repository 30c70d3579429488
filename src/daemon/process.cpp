#include "eelgrasslever/daemon/process.hpp"

#include "eelgrasslever/daemon/http_front.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <csignal>
#include <random>

namespace eelgrasslever::daemon {

namespace {

constexpr base::milliseconds drain_check_period{20};
constexpr base::milliseconds farewell{150};

std::int64_t unix_offset_ms() {
    auto wall = std::chrono::duration_cast<base::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return (wall - base::monotonic_now().time_since_epoch()).count();
}

node::node_config make_config(const settings::entry_settings& from) {
    std::random_device entropy;
    std::uint64_t incarnation =
        (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(incarnation));
    node::node_config out;
    out.id = from.name + "@" + text;
    out.failure_domain = from.failure_domain;
    out.http_address = from.http_address;
    out.peer_address = from.peer_address;
    out.timing.claim_ttl = from.claim_ttl;
    out.timing.task_lease = from.task_lease;
    out.timing.poll_wait = from.poll_wait;
    out.timing.call_timeout = from.call_timeout;
    out.membership_timing.suspect_after = from.suspect_after;
    out.membership_timing.departed_after = from.departed_after;
    out.heartbeat_period = from.heartbeat_period;
    out.journal_shards = static_cast<std::size_t>(from.journal_shards);
    out.seed = incarnation;
    out.unix_offset_ms = unix_offset_ms();
    out.operators = from.operators;
    return out;
}

int report_failure(const base::error& problem) {
    observe::log_error("start_failed", {{"why", problem.message()}});
    return 1;
}

/// All tasks of the process; they reach one another only by mailboxes.
class entry_process {
  public:
    explicit entry_process(const settings::entry_settings& from)
        : m_config(make_config(from)), m_tracer(from.name, m_config.seed),
          m_scheduler(m_loop, m_config, from.seeds, m_metrics, m_tracer),
          m_endpoints(m_loop, m_scheduler.inbox()),
          m_store(m_loop, from.platform_url, from.store_timeout,
                  m_scheduler.inbox()),
          m_drain_check(m_loop, [this] { check_drained(); }),
          m_farewell(m_loop, [this] { m_loop.stop(); }) {}

    base::result<void> listen() {
        auto links = peer_links::listen(m_loop, m_config.peer_address,
                                        m_scheduler.inbox());
        if (!links) {
            return tl::unexpected(links.error());
        }
        m_links = std::move(*links);
        auto front = http_front::listen(m_loop, m_config.http_address,
                                        m_scheduler, m_metrics, m_tracer,
                                        [this] { refresh_gauges(); });
        if (!front) {
            return tl::unexpected(front.error());
        }
        m_front = std::move(*front);
        m_scheduler.connect(&m_front->inbox(), &m_endpoints.inbox(),
                            &m_store.inbox(), &m_links->inbox());
        return {};
    }

    void run() {
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
        m_front->release_status_waits();
        m_drain_check.start_every(drain_check_period);
    }

    void check_drained() {
        if (!m_scheduler.drained() || !m_front->idle()) {
            return;
        }
        m_drain_check.cancel();
        m_scheduler.say_left();
        m_farewell.start_once(farewell);
    }

    void refresh_gauges() {
        const node::context& state = m_scheduler.state().state();
        auto totals = state.endpoint_pool.totals();
        auto as_double = [](auto value) { return static_cast<double>(value); };
        m_metrics.set("endpoints_held", as_double(totals.held_endpoints));
        m_metrics.set("slots_capacity", as_double(totals.capacity.slots));
        m_metrics.set("slots_committed", as_double(totals.committed.slots));
        m_metrics.set("packing_ratio",
                      totals.capacity.slots == 0
                          ? 0.0
                          : as_double(totals.committed.slots) /
                                as_double(totals.capacity.slots));
        m_metrics.set("queue_items", as_double(state.queue.size()));
        m_metrics.set("requests_known", as_double(state.requests.all().size()));
        m_metrics.set("bundle_version", as_double(state.bundle_version()));
        auto usage = observe::read_process_usage();
        m_metrics.set("process_cpu_seconds", usage.cpu_seconds);
        m_metrics.set("process_resident_bytes", usage.resident_bytes);
        auto bytes = [&](const char* link, const char* way, auto value) {
            m_metrics.set(std::string("bytes{link=\"") + link +
                              "\",direction=\"" + way + "\"}",
                          as_double(value));
        };
        bytes("endpoint", "out", m_endpoints.client().bytes_sent());
        bytes("endpoint", "in", m_endpoints.client().bytes_received());
        bytes("store", "out", m_store.client().bytes_sent());
        bytes("store", "in", m_store.client().bytes_received());
        bytes("peer", "out", m_links->totals().bytes_sent);
        bytes("peer", "in", m_links->totals().bytes_received);
        m_metrics.set("store_calls{kind=\"read\"}", as_double(m_store.reads()));
        m_metrics.set("store_calls{kind=\"write\"}",
                      as_double(m_store.writes()));
    }

    node::node_config m_config;
    kernel::loop m_loop;
    observe::metrics m_metrics;
    observe::tracer m_tracer;
    scheduler_task m_scheduler;
    endpoint_gateway m_endpoints;
    store_gateway m_store;
    std::unique_ptr<peer_links> m_links;
    std::unique_ptr<http_front> m_front;
    kernel::timer m_drain_check;
    kernel::timer m_farewell;
};

} // namespace

int run_entry(const settings::entry_settings& settings) {
    std::signal(SIGPIPE, SIG_IGN);
    entry_process process(settings);
    auto listening = process.listen();
    if (!listening) {
        return report_failure(listening.error());
    }
    process.run();
    return 0;
}

} // namespace eelgrasslever::daemon
