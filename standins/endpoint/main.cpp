// Stand-in for one or more endpoints in one process, over HTTP, with faults
// switched by POST /faults and every run written to an audit file.
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
DEFINE_int32(count, 1, "endpoints, on successive ports");
DEFINE_string(name_prefix, "", "with --count: names are PREFIX0, PREFIX1, ...");
DEFINE_int64(slots, 8, "slots of each");
DEFINE_int64(cpu_milli, 16000, "thousandths of a core of each");
DEFINE_int64(memory_mb, 65536, "memory of each");
DEFINE_int64(accelerators, 0, "accelerators of each");
DEFINE_int64(task_lease_ms, 3000, "a task stops unrenewed after it");
DEFINE_string(audit, "", "file to which runs are appended");

namespace {

namespace base = eelgrasslever::base;
namespace http = eelgrasslever::http;
namespace kernel = eelgrasslever::kernel;
namespace observe = eelgrasslever::observe;
namespace protocol = eelgrasslever::endpoint;
using standins::endpoint::audit_event;
using standins::endpoint::endpoint_state;

constexpr base::milliseconds tick_period{5};
constexpr base::milliseconds alive_period{100};

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

class audit_file {
  public:
    explicit audit_file(const std::string& path) {
        if (!path.empty()) {
            m_out.open(path, std::ios::app);
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
        m_out << line.dump() << "\n" << std::flush;
    }
    // The last sign of life dates the end of what a killed process ran.
    void alive(const std::string& endpoint, std::uint64_t boot) {
        nlohmann::json line = {
            {"endpoint", endpoint},
            {"event", "alive"},
            {"boot", boot},
            {"at_ms", base::monotonic_now().time_since_epoch().count()}};
        m_out << line.dump() << "\n" << std::flush;
    }

  private:
    std::ofstream m_out;
};

class endpoint_server {
  public:
    endpoint_server(kernel::loop& owner,
                    standins::endpoint::endpoint_config config,
                    audit_file& audit)
        : m_name(config.name), m_boot(config.boot), m_audit(audit),
          m_state(std::move(config),
                  [this](const audit_event& event) { record(event); }),
          m_tracer(m_name, m_boot), m_tick(owner, [this] { advance(); }) {
        m_tick.start_every(tick_period);
        m_audit.alive(m_name, m_boot);
    }

    base::result<void> listen(kernel::loop& owner, const std::string& address) {
        auto server = http::server::listen(
            owner, address, [this](const std::shared_ptr<http::exchange>& at) {
                on_exchange(at);
            });
        if (!server) {
            return tl::unexpected(server.error());
        }
        m_server = std::move(*server);
        return {};
    }

  private:
    struct waiting_poll {
        std::shared_ptr<http::exchange> exchange;
        protocol::call call;
        base::instant until;
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
        span.start_unix_ms = found->second.started_unix_ms;
        span.duration = event.at - found->second.started;
        m_tracer.record(std::move(span));
        m_traces.erase(found);
    }

    void advance() {
        base::instant now = base::monotonic_now();
        m_state.advance(now);
        for (auto it = m_polls.begin(); it != m_polls.end();) {
            bool due = now >= it->until ||
                       m_state.has_report_after(it->call.acknowledged);
            if (!due) {
                ++it;
                continue;
            }
            respond(it->exchange, m_state.handle(it->call, now));
            it = m_polls.erase(it);
        }
        if (now >= m_next_alive) {
            m_next_alive = now + alive_period;
            m_audit.alive(m_name, m_boot);
        }
    }

    static void respond(const std::shared_ptr<http::exchange>& to,
                        const protocol::reply& reply) {
        http::response out;
        out.body = nlohmann::json(reply).dump();
        to->respond(std::move(out));
    }

    void on_exchange(const std::shared_ptr<http::exchange>& at) {
        if (at->path() == "/faults") {
            set_faults(at);
            return;
        }
        if (at->path().starts_with("/v1/traces/")) {
            show_trace(at);
            return;
        }
        auto call = base::parse_message<protocol::call>(at->body(), "endpoint",
                                                        "caller");
        if (!call) {
            http::response out;
            out.status = http::code::bad_request;
            out.body = call.error().message();
            at->respond(std::move(out));
            return;
        }
        for (protocol::call_kind kind :
             {protocol::call_kind::claim, protocol::call_kind::poll,
              protocol::call_kind::start, protocol::call_kind::stop,
              protocol::call_kind::release}) {
            if (at->path() == protocol::call_path(kind)) {
                call->kind = kind;
            }
        }
        base::instant now = base::monotonic_now();
        note_traces(*call, now);
        protocol::reply reply = m_state.handle(*call, now);
        bool wait = call->kind == protocol::call_kind::poll && reply.accepted &&
                    reply.reports.empty() && call->wait.count() > 0;
        if (!wait) {
            respond(at, reply);
            return;
        }
        m_polls.push_back({at, *call, now + call->wait});
    }

    void note_traces(const protocol::call& call, base::instant now) {
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

    void set_faults(const std::shared_ptr<http::exchange>& at) {
        auto parsed = base::parse_object(at->body(), "faults", "caller");
        if (parsed) {
            auto& faults = m_state.injected_faults();
            faults.fail_all = parsed->value("fail_all", faults.fail_all);
            faults.leaving = parsed->value("leaving", faults.leaving);
            faults.slowness = parsed->value("slowness", faults.slowness);
        }
        http::response out;
        out.body = "{}";
        at->respond(std::move(out));
    }

    void show_trace(const std::shared_ptr<http::exchange>& at) {
        nlohmann::json all = nlohmann::json::array();
        std::string id = at->path().substr(at->path().rfind('/') + 1);
        for (const observe::span& span : m_tracer.find(id)) {
            all.push_back({{"trace_id", span.context.trace_id},
                           {"span_id", span.context.span_id},
                           {"parent_span_id", span.parent_span_id},
                           {"name", span.name},
                           {"process", span.process},
                           {"request_id", span.request_id},
                           {"start_unix_ms", span.start_unix_ms},
                           {"duration_ms", span.duration.count()}});
        }
        http::response out;
        out.body = nlohmann::json{{"spans", all}}.dump();
        at->respond(std::move(out));
    }

    struct traced_task {
        observe::trace_context parent;
        base::instant started{};
        std::int64_t started_unix_ms{0};
    };

    std::string m_name;
    std::uint64_t m_boot;
    audit_file& m_audit;
    std::map<std::string, traced_task> m_traces;
    endpoint_state m_state;
    observe::tracer m_tracer;
    std::list<waiting_poll> m_polls;
    base::instant m_next_alive{};
    kernel::timer m_tick;
    std::unique_ptr<http::server> m_server;
};

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("stand-in for endpoints; see standins/README.md");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    kernel::loop loop;
    audit_file audit(FLAGS_audit);
    std::random_device entropy;
    std::list<endpoint_server> servers;
    auto colon = FLAGS_listen.rfind(':');
    std::string ip = FLAGS_listen.substr(0, colon);
    int port = std::atoi(FLAGS_listen.c_str() + colon + 1);
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
        std::string address = ip + ":" + std::to_string(port + i);
        auto listening = servers.back().listen(loop, address);
        if (!listening) {
            std::cerr << listening.error().message() << "\n";
            return 1;
        }
    }
    loop.run();
    return 0;
}
