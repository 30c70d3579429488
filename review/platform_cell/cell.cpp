#include "cell.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review::cell {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int front_port = 8161;
constexpr int readiness_port = 8167;
constexpr int control_port = 8166;
constexpr int first_peer_port = 7720;
constexpr int last_peer_port = 7735;
constexpr int metrics_port = 9464;
constexpr int client_deadline_ms = 3000;
constexpr int max_attempts = 5;
constexpr int max_members = 5;
constexpr milliseconds silent_heartbeats{3 * 1500};
constexpr const char* program = "target/eelgrasslever-platformd";
constexpr const char* bounds = R"(bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.syncS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxSkewMs=5000
bounds.recoveryS=12
bounds.maxHoldMs=6000
bounds.stopTimeoutMs=900
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=3
bounds.checkpointS=0.5
bounds.restoreMs=250
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.maintenanceS=2
bounds.fencing=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.paceMs=100
bounds.harmMs=4000
)";

std::string zone_of(int number) {
    return "zone-" + std::to_string(number % 3);
}

json encode(const step& in) {
    json out{{"count", in.count},
             {"cpu", in.cpu},
             {"memMb", in.memory_mb},
             {"estimateMs", in.estimate_ms}};
    if (in.is_lasting) {
        out["longRunning"] = true;
    }
    if (in.is_gang) {
        out["gang"] = true;
    }
    return out;
}

json encode(const queue& in) {
    return {{"name", in.name},
            {"host", in.host},
            {"prefix", in.prefix},
            {"kind", "unsafe"},
            {"timeoutMs", client_deadline_ms},
            {"targetLatencyMs", in.target_latency_ms},
            {"priority", in.priority},
            {"service", in.service},
            {"attempts", in.attempts},
            {"stretch", in.stretch}};
}

} // namespace

cell::cell(const std::string& record_path)
    : m_began(steady_clock::now()),
      m_record(std::fopen(record_path.c_str(), "w")) {
    std::signal(SIGPIPE, SIG_IGN);
    std::string pattern =
        (std::filesystem::temp_directory_path() / "cell-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
}

cell::~cell() {
    note("the case ends");
    {
        std::lock_guard lock(m_mutex);
        m_is_ending = true;
    }
    m_ending.notify_all();
    for (std::thread& each : m_removals) {
        each.join();
    }
    if (m_late_thread.joinable()) {
        m_late_thread.join();
    }
    end_members();
    m_workers.clear();
    if (m_advice) {
        m_advice->close();
    }
    m_store.reset();
    if (std::getenv("KEEP_LOGS") != nullptr) {
        std::fprintf(stderr, "logs: %s\n", m_folder.c_str());
    } else {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    if (m_record != nullptr) {
        std::fclose(m_record);
    }
}

bool cell::has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void cell::sleep_ms(int duration) {
    std::this_thread::sleep_for(milliseconds(duration));
}

milliseconds cell::elapsed() const {
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    m_began);
}

void cell::note(const std::string& text) {
    std::lock_guard lock(m_mutex);
    if (m_record != nullptr) {
        std::fprintf(m_record, "%7.3f %s\n",
                     static_cast<double>(elapsed().count()) / 1000.0,
                     text.c_str());
        std::fflush(m_record);
    }
}

// The metrics' port is fixed, so each process has an address of its own.
bool cell::choose_addresses() {
    constexpr int tries = 50;
    std::random_device entropy;
    for (int i = 0; i < tries; ++i) {
        m_network = "127." + std::to_string(16 + entropy() % 200) + "." +
                    std::to_string(1 + entropy() % 200);
        bool is_usable = true;
        for (int k = 1; k <= max_members && is_usable; ++k) {
            std::string ip = m_network + "." + std::to_string(k);
            for (int port : {front_port, readiness_port, control_port,
                             first_peer_port, metrics_port}) {
                is_usable &= is_free(ip, port);
            }
        }
        if (is_usable) {
            return true;
        }
    }
    return false;
}

bool cell::begin(const std::vector<queue>& queues) {
    if (m_record == nullptr || !choose_addresses() ||
        access(program, X_OK) != 0) {
        return false;
    }
    m_store = std::make_unique<store>(m_network + ".100");
    // No queue here has an advice policy, so nobody calls this one.
    m_advice = std::make_unique<http_server>(
        m_network + ".101", 0, [](const http_request&) {
            return http_reply{200, R"({"good":[]})"};
        });
    if (!m_store->open() || !m_advice->open()) {
        return false;
    }
    configure(queues);
    m_late_thread = std::thread([this] { carry_out_late_orders(); });
    return true;
}

void cell::configure(const std::vector<queue>& queues) {
    json routes = json::array();
    std::map<std::string, json> services;
    for (const queue& each : queues) {
        routes.push_back(encode(each));
        services[each.service] = {
            {"name", each.service}, {"healthPath", "/healthz"},
            {"maxConns", 64},       {"protocol", "h1"},
            {"tls", false},         {"admissionCheck", false},
            {"standby", false}};
    }
    json rows = json::array();
    for (const auto& [name, row] : services) {
        rows.push_back(row);
    }
    json configuration{{"version", ++m_version},
                       {"routes", std::move(routes)},
                       {"services", std::move(rows)},
                       {"limits",
                        {{"maxHeaderBytes", 16384},
                         {"maxBodyBytes", 262144},
                         {"headerTimeoutMs", 3000},
                         {"idleTimeoutMs", 15000}}}};
    m_store->put("op/config", configuration.dump());
    note("configuration " + configuration.dump());
}

std::string cell::settings_of(int number) const {
    std::ostringstream out;
    std::string ip = m_network + "." + std::to_string(number + 1);
    out << "node=front-" << number << "\nrole=entry\nmachineClass=front\n"
        << "serves=front\nip=" << ip << "\nzone=" << zone_of(number)
        << "\nregion=region-1\n";
    for (int i = 0; i < 3; ++i) {
        out << "zones." << zone_of(i) << "=region-1\n";
    }
    out << "listen.front=" << ip << ":" << front_port
        << "\nlisten.readiness=" << ip << ":" << readiness_port
        << "\nlisten.control=" << ip << ":" << control_port
        << "\nportRange=" << first_peer_port << "," << last_peer_port
        << "\nseeds=" << m_network << ".1:" << control_port
        << "\nfirstStart=true\ninTolerance=false\nlimits.cpuShare=0.25\n"
        << "limits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
        << "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n"
        << "entry=vip\nheartbeatMs=1500\n"
        << "contracts=base,drain,config,cost,recover,sched,platform,advice,"
           "upkeep,sharing\n"
        << "faultTolerance.machines=2\nfaultTolerance.zones=1\n"
        << "faultTolerance.regions=0\n"
        << bounds << "orders=rpc\nadvice=" << m_advice->address()
        << "\nplatform.address=" << m_store->address()
        << "\nplatform.form=kv\nplatform.writesPerS=400\n"
        << "platform.readsPerS=2000\nplatform.retentionS=20\n"
        << "platform.valueBytes=1048576\nplatform.minTtlMs=1000\n"
        << "cloud.address=" << m_advice->address()
        << "\ncloud.ratePerS=60.0\ncloud.duties=\ncloud.dutiesPerS=60.0\n";
    return out.str();
}

bool cell::start_members(int count) {
    for (int i = 0; i < count; ++i) {
        std::string base = m_folder + "/member-" + std::to_string(i);
        std::ofstream(base + ".conf") << settings_of(i);
        std::string setting = "EELGRASSLEVER_SETTINGS=" + base + ".conf";
        std::string path = "PATH=/usr/bin:/bin";
        std::string log = base + ".out";
        pid_t child = fork();
        if (child == 0) {
            // It ends with this process, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            std::string name = program;
            std::vector<char*> arguments{name.data(), nullptr};
            std::vector<char*> variables{setting.data(), path.data(), nullptr};
            execve(program, arguments.data(), variables.data());
            _exit(127);
        }
        m_members.push_back({m_network + "." + std::to_string(i + 1), child});
        note("process " + std::to_string(i) + " started at " +
             m_members.back().ip);
    }
    constexpr int max_wait_ms = 15'000;
    constexpr int pause_ms = 100;
    for (int waited = 0; waited < max_wait_ms; waited += pause_ms) {
        bool are_ready = std::all_of(
            m_members.begin(), m_members.end(), [](const member& it) {
                return send_request(it.ip, readiness_port, "GET", "/ready", {},
                                    "", 500)
                           .status == 200;
            });
        if (are_ready) {
            note("all processes are ready");
            return true;
        }
        sleep_ms(pause_ms);
    }
    return false;
}

bool cell::are_members_alive() {
    return std::all_of(m_members.begin(), m_members.end(),
                       [](const member& it) {
                           return it.process != 0 &&
                                  waitpid(it.process, nullptr, WNOHANG) == 0;
                       });
}

void cell::end_members() {
    for (member& each : m_members) {
        if (each.process != 0) {
            kill(each.process, SIGKILL);
            waitpid(each.process, nullptr, 0);
            each.process = 0;
        }
    }
}

worker* cell::add_worker(const std::string& service, const std::string& rack,
                         int cpu, int port) {
    worker_options options;
    options.id = "i-" + std::to_string(1000 + m_workers.size());
    options.service = service;
    options.zone = zone_of(static_cast<int>(m_workers.size()));
    options.rack = rack;
    options.cpu = cpu;
    options.tells_life = m_tells_lives;
    if (m_tells_lives) {
        options.postpone = [this](const http_request& request) {
            return postpone(request);
        };
    }
    return add_worker(options, port);
}

worker* cell::restart(const worker& crashed) {
    return add_worker(crashed.options(), crashed.port());
}

worker* cell::add_worker(const worker_options& options, int port) {
    auto added = std::make_unique<worker>(
        m_network + ".150", port, options, *m_store,
        [this](const run_event& event) { observe(event); });
    if (!added->open()) {
        return nullptr;
    }
    note("worker " + options.id + " of " + options.service + " is up, " +
         std::to_string(options.cpu) + " cpu, rack " + options.rack);
    std::lock_guard lock(m_mutex);
    m_workers.push_back(std::move(added));
    return m_workers.back().get();
}

bool cell::postpone(const http_request& request) {
    constexpr int min_delay_ms = 2000;
    constexpr int max_delay_ms = 12'000;
    std::lock_guard lock(m_mutex);
    if (std::uniform_real_distribution<>(0.0, 1.0)(m_random) >= m_late_share) {
        return false;
    }
    milliseconds delay(
        std::uniform_int_distribution<>(min_delay_ms, max_delay_ms)(m_random));
    m_late_orders.emplace(steady_clock::now() + delay, request);
    return true;
}

void cell::carry_out_late_orders() {
    constexpr milliseconds period{2};
    std::unique_lock lock(m_mutex);
    while (!m_ending.wait_for(lock, period, [this] { return m_is_ending; })) {
        while (!m_late_orders.empty() &&
               m_late_orders.begin()->first <= steady_clock::now()) {
            http_request order =
                m_late_orders.extract(m_late_orders.begin()).mapped();
            worker* addressed = nullptr;
            for (const auto& each : m_workers) {
                if (each->is_up() &&
                    each->options().id ==
                        order.headers["x-eelgrasslever-target-instance"]) {
                    addressed = each.get();
                }
            }
            lock.unlock();
            if (order.path == "/hold") {
                // Its wait is over.
                json body = json::parse(order.body);
                body.erase("waitMs");
                order.body = body.dump();
            }
            if (addressed != nullptr) {
                http_reply reply = addressed->carry_out(order);
                note("late " + order.path + " " + order.body + " at " +
                     addressed->options().id + ": " +
                     std::to_string(reply.status));
            }
            lock.lock();
        }
    }
}

std::vector<worker*> cell::workers() {
    std::lock_guard lock(m_mutex);
    std::vector<worker*> out;
    for (const auto& each : m_workers) {
        out.push_back(each.get());
    }
    return out;
}

void cell::crash(worker& target) {
    note("worker " + target.options().id + " crashes");
    target.crash();
    m_removals.emplace_back([this, key = "servers/" + target.options().id] {
        std::unique_lock lock(m_mutex);
        if (m_ending.wait_for(lock, silent_heartbeats,
                              [this] { return m_is_ending; })) {
            return;
        }
        bool is_back = std::any_of(
            m_workers.begin(), m_workers.end(), [&](const auto& it) {
                return it->is_up() && "servers/" + it->options().id == key;
            });
        lock.unlock();
        if (!is_back) {
            m_store->remove(key);
            note("entry " + key + " is removed");
        }
    });
}

void cell::observe(const run_event& event) {
    {
        std::lock_guard lock(m_mutex);
        m_events.push_back(event);
    }
    note("run " + event.task + " #" + std::to_string(event.run) + " on " +
         event.worker + ": " + event.what);
}

std::vector<run_event> cell::events() {
    std::lock_guard lock(m_mutex);
    return m_events;
}

std::string cell::make_id() {
    constexpr std::size_t digits = 16;
    char text[digits + 1];
    std::snprintf(text, sizeof text, "%08x%08x", 0x5c0e7a21U,
                  static_cast<unsigned>(++m_next_job));
    return text;
}

http_reply cell::call(const std::string& method, const queue& to,
                      const std::string& id, const std::string& body) {
    const member& through =
        m_members[static_cast<std::size_t>(m_next_member++) % m_members.size()];
    std::string target = to.prefix + id;
    http_reply reply = send_request(
        through.ip, front_port, method, target,
        {{"Host", to.host},
         {"Content-Type", "application/json"},
         {"X-Eelgrasslever-Deadline-Ms", std::to_string(client_deadline_ms)}},
        body, client_deadline_ms);
    note(method + " " + target + " at " + through.ip + " -> " +
         std::to_string(reply.status) + " " + reply.body);
    return reply;
}

bool cell::submit(const queue& to, const std::string& id,
                  const std::vector<step>& steps, const std::string& payload) {
    {
        std::lock_guard lock(m_mutex);
        m_jobs[id] = steps;
    }
    json rows = json::array();
    for (const step& each : steps) {
        rows.push_back(encode(each));
    }
    std::string body =
        json{{"spec", payload}, {"steps", std::move(rows)}}.dump();
    note("job " + id + " for " + to.name + ": " + body);
    for (int i = 0; i < max_attempts; ++i) {
        int status = call("POST", to, id, body).status;
        if (status >= 200 && status < 300) {
            return true;
        }
        sleep_ms(500);
    }
    return false;
}

std::string cell::state(const queue& of, const std::string& id) {
    http_reply reply = call("GET", of, id, "");
    if (reply.status != 200) {
        return {};
    }
    return json::parse(reply.body).value("state", "");
}

int cell::count_running(const std::string& id) {
    int count = 0;
    for (worker* each : workers()) {
        for (const auto& run : each->running()) {
            count += run.task.starts_with(id + ".") ? 1 : 0;
        }
    }
    return count;
}

int cell::cpu_of(const std::string& task) const {
    std::string id = task.substr(0, task.find('.'));
    auto step_end = task.rfind('.');
    auto step_begin = task.rfind('.', step_end - 1) + 1;
    auto number = static_cast<std::size_t>(
        std::atoi(task.substr(step_begin, step_end - step_begin).c_str()));
    return m_jobs.at(id).at(number).cpu;
}

std::pair<int, int> cell::usage(const std::string& service) {
    int used = 0;
    int capacity = 0;
    for (worker* each : workers()) {
        if (each->is_up() && each->options().service == service) {
            capacity += each->options().cpu;
            for (const auto& run : each->running()) {
                used += cpu_of(run.task);
            }
        }
    }
    return {used, capacity};
}

int cell::free_slots(const std::string& service, int cpu) {
    int slots = 0;
    for (worker* each : workers()) {
        if (each->is_up() && each->options().service == service) {
            int used = 0;
            for (const auto& run : each->running()) {
                used += cpu_of(run.task);
            }
            slots += std::max(0, each->options().cpu - used) / cpu;
        }
    }
    return slots;
}

} // namespace review::cell
