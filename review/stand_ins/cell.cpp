#include "cell.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

using nlohmann::json;
using steady = std::chrono::steady_clock;

namespace {

constexpr const char* host = "queue.example";
constexpr const char* prefix = "/queue/";
constexpr const char* service = "patronaje";
constexpr milliseconds startup_limit{15'000};
constexpr milliseconds poll_period{100};
constexpr int first_port = 7700;
constexpr int ports_per_node = 40;
/// Last byte of the first VM's address.
constexpr int first_node = 10;
/// The port of the programs' own metrics, by deploy/system.toml.
constexpr int metrics_port = 9464;

bool is_free(const std::string& ip, int port) {
    try {
        http_server probe(ip, port, [](const http_request&) {
            return std::optional<http_response>();
        });
        return true;
    } catch (const std::runtime_error&) {
        return false;
    }
}

/// @return the first bytes of a loopback network that no other cell uses.
std::string choose_network() {
    std::random_device entropy;
    std::uniform_int_distribution<int> byte(2, 250);
    while (true) {
        std::string network = "127." + std::to_string(byte(entropy)) + "." +
                              std::to_string(byte(entropy)) + ".";
        if (is_free(network + std::to_string(first_node), metrics_port) &&
            is_free(network + std::to_string(first_node), first_port)) {
            return network;
        }
    }
}

} // namespace

cell::cell(std::string folder, record_file& record, cell_options options)
    : m_folder(std::move(folder)), m_options(std::move(options)),
      m_record(record), m_network(choose_network()), m_store(m_network + "1"),
      m_advice(m_network + "2", 0, [](const http_request&) {
          return http_response{200, R"({"good":[],"validMs":2500})"};
      }) {}

cell::~cell() {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        kill_node(i);
    }
    m_advice.close();
}

void cell::configure(const json& route_fields) {
    json route{{"name", "r-1"},     {"host", host},
               {"prefix", prefix},  {"kind", "unsafe"},
               {"timeoutMs", 3000}, {"targetLatencyMs", 1000},
               {"priority", 1},     {"service", service},
               {"attempts", 3},     {"stretch", 4.0}};
    route.update(route_fields);
    json services{{service, {{"admissionCheck", false}}}};
    json body{{"version", m_version++},
              {"routes", json::array({route})},
              {"services", services},
              {"limits", json::object()}};
    body.update(m_options.configuration);
    m_store.put("op/config", body.dump());
}

worker& cell::add_worker(const std::string& name, const std::string& kind,
                         const std::string& rack) {
    worker_options options;
    options.ip =
        m_network + std::to_string(100 + static_cast<int>(m_workers.size()));
    options.service = service;
    options.zone = "heredia";
    options.labels = {kind, rack};
    m_workers.push_back(
        std::make_unique<worker>(name, options, m_store, m_runs, m_record));
    return *m_workers.back();
}

void cell::add_node(const std::string& zone) {
    node_process node;
    auto number = static_cast<int>(m_nodes.size());
    node.name = "front-" + zone + "-" + std::to_string(number + 1);
    node.zone = zone;
    node.ip = m_network + std::to_string(first_node + number);
    node.base_port = first_port + number * ports_per_node;
    m_nodes.push_back(node);
    write_settings(node);
    start_node(m_nodes.size() - 1);
}

void cell::write_settings(const node_process& node) {
    std::ofstream out(m_folder + "/" + node.name + ".conf");
    auto port = [&](int offset) {
        return std::to_string(node.base_port + offset);
    };
    out << "node=" << node.name << "\nrole=entry\nmachineClass=front\n"
        << "serves=front\nip=" << node.ip << "\nzone=" << node.zone
        << "\nregion=valle-central\nzones.escazu=valle-central\n"
        << "zones.heredia=valle-central\n"
        << "zones.cartago=valle-central\n"
        << "zones.alajuela=valle-central\n"
        << "listen.front=" << node.front()
        << "\nlisten.readiness=" << node.readiness()
        << "\nportRange=" << port(10) << "," << port(25)
        << "\nseeds=\nfirstStart=true\n"
        << "inTolerance=false\nlimits.cpuShare=0.25\nlimits.cores=1\n"
        << "limits.memoryMb=" << m_options.memory_mb
        << "\nlimits.maxFds=" << m_options.max_descriptors << "\n"
        << "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n"
        << "entry=vip\nheartbeatMs=1500\n"
        << "contracts=base,drain,config,cost,recover,sched,platform,advice,"
        << "upkeep,sharing\nfaultTolerance.machines=2\n"
        << "faultTolerance.zones=1\nfaultTolerance.regions=0\n"
        << "bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.drainMs=2000\n"
        << "bounds.graceS=6\nbounds.configApplyMs=2000\n"
        << "bounds.recoveryS=12\nbounds.maxHoldMs=10000\n"
        << "bounds.stopTimeoutMs=200\nbounds.gangTimeoutMs=3000\n"
        << "bounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
        << "bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
        << "bounds.fencing=false\nbounds.leaseMs=3000\norders=rpc\n"
        << "advice=" << m_advice.address()
        << "\nplatform.address=" << m_store.address()
        << "\nplatform.form=kv\nplatform.writesPerS=400\n"
        << "platform.readsPerS=2000\nplatform.retentionS=20\n"
        << "platform.valueBytes=1048576\nplatform.minTtlMs=1000\n"
        << m_options.more_settings;
}

void cell::start_node(std::size_t number) {
    node_process& node = m_nodes[number];
    std::string settings = m_folder + "/" + node.name + ".conf";
    std::string log = m_folder + "/" + node.name + ".log";
    auto text = [](const char* name) {
        const char* value = std::getenv(name);
        return std::string(name) + "=" + (value == nullptr ? "" : value);
    };
    std::vector<std::string> environment{text("PATH"), text("HOME"),
                                         text("LANG"),
                                         "EELGRASSLEVER_SETTINGS=" + settings};
    std::vector<char*> pointers;
    for (std::string& each : environment) {
        pointers.push_back(each.data());
    }
    pointers.push_back(nullptr);
    std::string path = m_options.program;
    char* arguments[] = {path.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t log_mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    int error = posix_spawn(&node.pid, path.c_str(), &actions, nullptr,
                            arguments, pointers.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw setup_error("can't start " + path);
    }
    m_record.write("node " + node.name + " is started");
}

void cell::signal_node(std::size_t number, int signal) {
    if (m_nodes[number].pid > 0) {
        m_record.write("node " + m_nodes[number].name + " gets signal " +
                       std::to_string(signal));
        kill(m_nodes[number].pid, signal);
    }
}

void cell::kill_node(std::size_t number) {
    node_process& node = m_nodes[number];
    if (node.pid > 0) {
        kill(node.pid, SIGKILL);
        waitpid(node.pid, nullptr, 0);
        node.pid = -1;
        m_record.write("node " + node.name + " is killed");
    }
}

bool cell::is_alive(std::size_t number) {
    node_process& node = m_nodes[number];
    if (node.pid > 0 && waitpid(node.pid, nullptr, WNOHANG) == node.pid) {
        node.pid = -1;
    }
    return node.pid > 0;
}

std::optional<std::size_t> cell::leader() {
    auto value = m_store.get("eel/leader");
    for (std::size_t i = 0; value && i < m_nodes.size(); ++i) {
        if (value->starts_with(m_nodes[i].name + "@")) {
            return i;
        }
    }
    return std::nullopt;
}

void cell::wait_until_serving() {
    auto limit = steady::now() + startup_limit;
    for (const node_process& node : m_nodes) {
        while (true) {
            auto reply = send_request(node.readiness(), "GET", "/ready", {}, "",
                                      milliseconds(1000));
            if (reply && reply->status == 200) {
                break;
            }
            if (steady::now() > limit) {
                throw setup_error(node.name + " is not ready");
            }
            std::this_thread::sleep_for(poll_period);
        }
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!is_alive(i)) {
            throw setup_error(m_nodes[i].name + " has ended");
        }
    }
    const std::string job = "00000000000000aa";
    submit(0, job, make_job({{"work_ms", 100}}, json::object()));
    if (wait_for(0, job, {"completed"}, startup_limit) != "completed") {
        throw setup_error("the first job is not completed");
    }
}

std::optional<http_response>
cell::call(std::size_t node, const std::string& method, const std::string& path,
           const std::string& body, milliseconds timeout) {
    std::map<std::string, std::string> headers{
        {"Host", host},
        {"Content-Type", "application/json"},
        {"X-Eelgrasslever-Deadline-Ms", std::to_string(timeout.count())}};
    if (!m_key.empty()) {
        headers["Authorization"] = "Bearer " + m_key;
    }
    return send_request(m_nodes[node].front(), method, path, headers, body,
                        timeout);
}

std::optional<http_response> cell::submit(std::size_t node,
                                          const std::string& job,
                                          const json& body,
                                          milliseconds timeout) {
    m_record.write("client: POST " + job + " to " + m_nodes[node].name);
    auto reply = call(node, "POST", prefix + job, body.dump(), timeout);
    m_record.write("client: POST " + job + " answered " +
                   (reply ? std::to_string(reply->status) : "not"));
    return reply;
}

std::optional<http_response>
cell::cancel(std::size_t node, const std::string& job, milliseconds timeout) {
    m_record.write("client: DELETE " + job + " to " + m_nodes[node].name);
    auto reply = call(node, "DELETE", prefix + job, "", timeout);
    m_record.write("client: DELETE " + job + " answered " +
                   (reply ? std::to_string(reply->status) : "not"));
    return reply;
}

std::optional<http_response> cell::ask_unknown_queue(std::size_t node,
                                                     milliseconds timeout) {
    auto reply = call(node, "GET", "/unknown/", "", timeout);
    m_record.write("client: GET of an unknown queue answered " +
                   (reply ? std::to_string(reply->status) : "not"));
    return reply;
}

std::string cell::state(std::size_t node, const std::string& job) {
    auto reply = call(node, "GET", prefix + job, "", milliseconds(3000));
    std::string result = "no answer";
    if (reply && reply->status == 200) {
        result = json::parse(reply->body).value("state", "none");
    } else if (reply) {
        result = std::to_string(reply->status);
    }
    m_record.write("client: GET " + job + " answered " + result);
    return result;
}

std::string cell::wait_for(std::size_t node, const std::string& job,
                           const std::vector<std::string>& wanted,
                           milliseconds limit) {
    auto until = steady::now() + limit;
    while (true) {
        std::string last = state(node, job);
        for (const std::string& each : wanted) {
            if (each == last) {
                return last;
            }
        }
        if (steady::now() >= until) {
            return last;
        }
        std::this_thread::sleep_for(5 * poll_period);
    }
}

json make_job(const json& spec, const json& step) {
    json task{{"count", 1}, {"cpu", 2000}, {"memMb", 1024}};
    task["estimateMs"] = spec.value("work_ms", 1000);
    task.update(step);
    return {{"spec", spec.dump()}, {"steps", json::array({task})}};
}

bool is_trouble_wanted() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
