// Serves one or more stand-in endpoints from one process over HTTP. Faults are
// injected by POST /faults; every task run is written to an audit file.
#include "endpoint_state.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/http/code.hpp"
#include "eelgrasslever/http/server.hpp"
#include "eelgrasslever/observe/trace.hpp"

#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <list>
#include <random>

DEFINE_string(listen, "127.0.0.1:9101", "IP:port of the first endpoint");
DEFINE_string(name, "endpoint-1", "name of the first endpoint");
DEFINE_int32(count, 1, "number of endpoints, on successive ports");
DEFINE_string(name_prefix, "", "with --count: names are PREFIX0, PREFIX1, ...");
DEFINE_int64(slots, 8, "slots of each endpoint");
DEFINE_int64(cpu_milli, 16000,
             "CPU of each endpoint, in thousandths of a core");
DEFINE_int64(memory_mb, 65536, "memory of each endpoint, in MB");
DEFINE_int64(accelerators, 0, "accelerators of each endpoint");
DEFINE_int64(task_lease_ms, 3000,
             "a task stops if its lease is not renewed for this long, in ms");
DEFINE_string(audit, "",
              "file to which audit events are appended as JSON lines");

namespace {

namespace base = eelgrasslever::base;
namespace http = eelgrasslever::http;
namespace kernel = eelgrasslever::kernel;
namespace observe = eelgrasslever::observe;
namespace protocol = eelgrasslever::endpoint;
using standins::endpoint::audit_event;
using standins::endpoint::endpoint_state;

constexpr base::milliseconds tick_interval{5};
constexpr base::milliseconds alive_interval{100};

const char* name_of(audit_event::event_kind kind) {
    switch (kind) {
    case audit_event::event_kind::start:
        return "start";
    case audit_event::event_kind::end:
        return "end";
    case audit_event::event_kind::over_capacity:
        return "over_capacity";
    case audit_event::event_kind::late_start:
        return "late_start";
    }
    return "end";
}

/// Appends audit events as JSON lines; an empty path discards them.
class audit_file {
  public:
    explicit audit_file(const std::string& path) {
        if (!path.empty()) {
            m_file.open(path, std::ios::app);
        }
    }
    void write(const std::string& endpoint, const audit_event& event) {
        nlohmann::json line = {{"endpoint", endpoint},
                               {"event", name_of(event.kind)},
                               {"task", event.task},
                               {"at_ms", event.at.time_since_epoch().count()},
                               {"state", protocol::to_string(event.state)},
                               {"repeatable", event.repeatable},
                               {"kind", event.work_kind},
                               {"tier", event.tier},
                               {"slots_used", event.used.slots}};
        m_file << line.dump() << "\n" << std::flush;
    }
    // The audit takes the last 'alive' line of a killed process as the end of
    // the tasks that it ran.
    void write_alive(const std::string& endpoint, std::uint64_t boot) {
        nlohmann::json line = {
            {"endpoint", endpoint},
            {"event", "alive"},
            {"boot", boot},
            {"at_ms", base::monotonic_now().time_since_epoch().count()}};
        m_file << line.dump() << "\n" << std::flush;
    }

  private:
    std::ofstream m_file;
};

/// HTTP server of one stand-in endpoint.
class endpoint_server {
  public:
    endpoint_server(kernel::loop& loop,
                    standins::endpoint::endpoint_config config,
                    audit_file& audit)
        : m_name(config.name), m_boot(config.boot), m_audit(audit),
          m_state(std::move(config),
                  [this](const audit_event& event) { record(event); }),
          m_tracer(m_name, m_boot), m_tick(loop, [this] { advance(); }) {
        m_tick.start_every(tick_interval);
        m_audit.write_alive(m_name, m_boot);
    }

    base::result<void> listen(kernel::loop& loop, const std::string& address) {
        auto server = http::server::listen(
            loop, address,
            [this](const std::shared_ptr<http::exchange>& exchange) {
                on_exchange(exchange);
            });
        if (!server) {
            return tl::unexpected(server.error());
        }
        m_server = std::move(*server);
        return {};
    }

  private:
    /// A poll that waits for a report until its wait has passed.
    struct pending_poll {
        std::shared_ptr<http::exchange> exchange;
        protocol::call call;
        base::instant answer_by;
    };

    void record(const audit_event& event) {
        m_audit.write(m_name, event);
        if (event.kind != audit_event::event_kind::end) {
            return;
        }
        auto found = m_traces.find(event.task);
        if (found == m_traces.end()) {
            return;
        }
        observe::span span;
        span.context = m_tracer.child_of(found->second.parent);
        span.parent_span_id = found->second.parent.span_id;
        span.name = "task";
        span.process = m_name;
        span.request_id = event.task;
        span.start_unix_ms = found->second.start_unix_ms;
        span.duration = event.at - found->second.started;
        m_tracer.record(std::move(span));
        m_traces.erase(found);
    }

    void advance() {
        base::instant now = base::monotonic_now();
        m_state.advance(now);
        for (auto it = m_pending_polls.begin(); it != m_pending_polls.end();) {
            bool is_due = now >= it->answer_by ||
                          m_state.has_report_after(it->call.acknowledged);
            if (!is_due) {
                ++it;
                continue;
            }
            respond(it->exchange, m_state.handle(it->call, now));
            it = m_pending_polls.erase(it);
        }
        if (now >= m_next_alive_at) {
            m_next_alive_at = now + alive_interval;
            m_audit.write_alive(m_name, m_boot);
        }
    }

    static void respond(const std::shared_ptr<http::exchange>& exchange,
                        const protocol::reply& reply) {
        http::response out;
        out.body = nlohmann::json(reply).dump();
        exchange->respond(std::move(out));
    }

    void on_exchange(const std::shared_ptr<http::exchange>& exchange) {
        if (exchange->path() == "/faults") {
            set_faults(exchange);
            return;
        }
        if (exchange->path().starts_with("/v1/traces/")) {
            send_trace(exchange);
            return;
        }
        auto call = base::parse_message<protocol::call>(exchange->body(),
                                                        "endpoint", "caller");
        if (!call) {
            http::response out;
            out.status = http::code::bad_request;
            out.body = call.error().message();
            exchange->respond(std::move(out));
            return;
        }
        for (protocol::call_kind kind :
             {protocol::call_kind::claim, protocol::call_kind::poll,
              protocol::call_kind::start, protocol::call_kind::stop,
              protocol::call_kind::release}) {
            if (exchange->path() == protocol::call_path(kind)) {
                call->kind = kind;
            }
        }
        base::instant now = base::monotonic_now();
        remember_traces(*call, now);
        protocol::reply reply = m_state.handle(*call, now);
        bool must_wait = call->kind == protocol::call_kind::poll &&
                         reply.accepted && reply.reports.empty() &&
                         call->wait.count() > 0;
        if (!must_wait) {
            respond(exchange, reply);
            return;
        }
        m_pending_polls.push_back({exchange, *call, now + call->wait});
    }

    void remember_traces(const protocol::call& call, base::instant now) {
        for (const protocol::task_spec& spec : call.starts) {
            auto parent = observe::parse_traceparent(spec.traceparent);
            if (parent) {
                auto wall = std::chrono::system_clock::now();
                auto unix_ms = std::chrono::duration_cast<base::milliseconds>(
                    wall.time_since_epoch());
                m_traces[spec.id] = {*parent, now, unix_ms.count()};
            }
        }
    }

    void set_faults(const std::shared_ptr<http::exchange>& exchange) {
        auto parsed = base::parse_object(exchange->body(), "faults", "caller");
        if (parsed) {
            auto& faults = m_state.injected_faults();
            faults.fail_all = parsed->value("fail_all", faults.fail_all);
            faults.leaving = parsed->value("leaving", faults.leaving);
            faults.slowness = parsed->value("slowness", faults.slowness);
        }
        http::response out;
        out.body = "{}";
        exchange->respond(std::move(out));
    }

    void send_trace(const std::shared_ptr<http::exchange>& exchange) {
        nlohmann::json spans = nlohmann::json::array();
        std::string id =
            exchange->path().substr(exchange->path().rfind('/') + 1);
        for (const observe::span& span : m_tracer.find(id)) {
            spans.push_back({{"trace_id", span.context.trace_id},
                             {"span_id", span.context.span_id},
                             {"parent_span_id", span.parent_span_id},
                             {"name", span.name},
                             {"process", span.process},
                             {"request_id", span.request_id},
                             {"start_unix_ms", span.start_unix_ms},
                             {"duration_ms", span.duration.count()}});
        }
        http::response out;
        out.body = nlohmann::json{{"spans", spans}}.dump();
        exchange->respond(std::move(out));
    }

    /// The parent span and the start of a running task that carries a trace.
    struct traced_run {
        observe::trace_context parent;
        base::instant started{};
        std::int64_t start_unix_ms{0};
    };

    std::string m_name;
    std::uint64_t m_boot;
    audit_file& m_audit;
    std::map<std::string, traced_run> m_traces;
    endpoint_state m_state;
    observe::tracer m_tracer;
    std::list<pending_poll> m_pending_polls;
    base::instant m_next_alive_at{};
    kernel::timer m_tick;
    std::unique_ptr<http::server> m_server;
};

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "serves stand-in endpoints; see standins/README.md");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    kernel::loop loop;
    audit_file audit(FLAGS_audit);
    std::random_device entropy;
    std::list<endpoint_server> servers;
    auto colon = FLAGS_listen.rfind(':');
    std::string ip = FLAGS_listen.substr(0, colon);
    int first_port = std::atoi(FLAGS_listen.c_str() + colon + 1);
    for (int i = 0; i < FLAGS_count; ++i) {
        standins::endpoint::endpoint_config config;
        config.name = FLAGS_name_prefix.empty()
                          ? FLAGS_name
                          : FLAGS_name_prefix + std::to_string(i);
        config.capacity = {FLAGS_slots, FLAGS_cpu_milli, FLAGS_memory_mb,
                           FLAGS_accelerators};
        config.task_lease = base::milliseconds(FLAGS_task_lease_ms);
        config.boot = (static_cast<std::uint64_t>(entropy()) << 20) | 1;
        config.first_epoch = config.boot;
        servers.emplace_back(loop, config, audit);
        std::string address = ip + ":" + std::to_string(first_port + i);
        auto listening = servers.back().listen(loop, address);
        if (!listening) {
            std::cerr << listening.error().message() << "\n";
            return 1;
        }
    }
    loop.run();
    return 0;
}
