#include "cell.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review::cell {

using nlohmann::json;

namespace {

constexpr const char* program = "target/eelgrasslever-platformd";
constexpr const char* host = "desk.example";
constexpr int front_port = 8161;
constexpr int readiness_port = 8167;
constexpr int store_port = 8169;
constexpr int worker_port = 8080;
constexpr int first_vm = 20;
constexpr int first_store = 60;
constexpr int first_worker = 100;
constexpr int advice_host = 3;
constexpr milliseconds client_timeout{3000};
constexpr const char* zones[] = {"north", "south", "west"};

} // namespace

deployment::deployment(const std::string& folder)
    : notes(folder + "/record.txt") {
    // A network of its own for each run, so that all ports are free.
    constexpr int networks = 250;
    constexpr int first_network = 64;
    int number = getpid();
    m_network =
        "127." +
        std::to_string(first_network + number / networks % networks % 100) +
        "." + std::to_string(1 + number % networks) + ".";
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-cell-XXXXXX")
            .string();
    m_temporary = mkdtemp(pattern.data());
}

void deployment::end_processes() {
    for (vm& one : vms) {
        if (one.process > 0) {
            kill(one.process, SIGKILL);
            waitpid(one.process, nullptr, 0);
        }
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_temporary, ignored);
    }
}

void deployment::write_settings(const vm& one) const {
    std::ofstream out(one.settings_path);
    auto ms = [](milliseconds value) { return value.count(); };
    out << "node=" << one.name << "\nrole=entry\nmachineClass=front\n"
        << "serves=front\nip=" << one.ip << "\nzone=" << one.zone
        << "\nregion=home\n";
    for (const char* zone : zones) {
        out << "zones." << zone << "=home\n";
    }
    out << "listen.front=" << to_string(one.front)
        << "\nlisten.readiness=" << to_string(one.ready)
        << "\nportRange=7720,7735\nseeds=\nfirstStart=true\n"
           "inTolerance=false\nlimits.cpuShare=0.25\nlimits.cores=1\n"
           "limits.memoryMb=260\nlimits.maxFds=4100\n"
           "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n"
           "entry=vip\nheartbeatMs="
        << ms(limits.heartbeat)
        << "\ncontracts=base,drain,config,cost,recover,sched,platform\n"
           "faultTolerance.machines=2\nfaultTolerance.zones=1\n"
           "faultTolerance.regions=0\nbounds.seedLagS=3\n"
           "bounds.reuseAfterS=2\nbounds.contactMs="
        << ms(limits.contact)
        << "\nbounds.ackMs=4000\nbounds.syncS=4\nbounds.drainMs="
        << ms(limits.drain)
        << "\nbounds.graceS=6\nbounds.lossSlackMs=200\n"
           "bounds.configApplyMs="
        << ms(limits.config_apply)
        << "\nbounds.rollbackSlackMs=250\nbounds.maxSkewMs="
        << ms(limits.max_skew)
        << "\nbounds.recoveryS=12\nbounds.maxHoldMs=" << ms(limits.max_hold)
        << "\nbounds.stopTimeoutMs=" << ms(limits.stop_timeout)
        << "\nbounds.gangTimeoutMs=3000\nbounds.cancel_ms=" << ms(limits.cancel)
        << "\nbounds.visible_ms=" << ms(limits.visible)
        << "\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
           "bounds.remoteFactor=3\nbounds.checkpointS=0.5\n"
           "bounds.restoreMs=250\nbounds.noticeMs=4500\nbounds.moveS=1.5\n"
           "bounds.maintenanceS=2\nbounds.fencing=false\n"
           "bounds.leaseMs=3000\nbounds.thawSlackMs=300\n"
           "bounds.paceMs=100\nbounds.harmMs=4000\norders=rpc\nadvice="
        << m_network << advice_host << ":" << store_port
        << "\nplatform.address=" << to_string(one.store_address)
        << "\nplatform.form=kv\nplatform.writesPerS=400\n"
           "platform.readsPerS=2000\nplatform.retentionS=20\n"
           "platform.valueBytes=1048576\nplatform.minTtlMs=1000\n"
           "cloud.address="
        << m_network << advice_host
        << ":8170\ncloud.ratePerS=60.0\ncloud.duties=\n"
           "cloud.dutiesPerS=60.0\n";
}

bool deployment::start(int count) {
    if (access(program, X_OK) != 0) {
        return false;
    }
    m_advice = std::make_unique<http_server>(
        address{m_network + std::to_string(advice_host), store_port},
        [](const request&) {
            return response{429, "{}"};
        });
    bool started = m_advice->start();
    for (int i = 0; i < count; ++i) {
        vm one;
        one.zone = zones[i % 3];
        one.name = "front-" + one.zone + "-" + std::to_string(1 + i / 3);
        one.ip = m_network + std::to_string(first_vm + i);
        one.front = {one.ip, front_port};
        one.ready = {one.ip, readiness_port};
        one.store_address = {m_network + std::to_string(first_store + i),
                             store_port};
        one.gate = std::make_shared<store_gate>();
        one.settings_path = m_temporary + "/" + one.name + ".conf";
        one.log_path = m_temporary + "/" + one.name + ".log";
        started = started && platform.listen(one.store_address, one.gate);
        write_settings(one);
        vms.push_back(std::move(one));
    }
    for (vm& one : vms) {
        started = started && start_process(one);
    }
    return started;
}

bool deployment::start_process(vm& one) {
    pid_t child = fork();
    if (child < 0) {
        return false;
    }
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int log = open(one.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                       S_IRUSR | S_IWUSR);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        setenv("EELGRASSLEVER_SETTINGS", one.settings_path.c_str(), 1);
        execl(program, program, nullptr);
        _exit(1);
    }
    one.process = child;
    notes.note(one.name, "process started");
    return true;
}

void deployment::send_signal(vm& one, int number) {
    notes.note(one.name, std::string("gets the signal ") + strsignal(number));
    kill(one.process, number);
    if (number == SIGKILL) {
        waitpid(one.process, nullptr, 0);
        one.process = -1;
    }
}

bool deployment::wait_ready(milliseconds limit) {
    auto until = steady::now() + limit;
    for (const vm& one : vms) {
        for (;;) {
            auto answer =
                call(one.ready, "GET", "/ready", host, "", milliseconds(500));
            if (answer && answer->status == 200) {
                break;
            }
            if (steady::now() > until) {
                notes.note(one.name, "is not ready");
                return false;
            }
            wait(milliseconds(100));
        }
    }
    notes.note("platform", "all machines are ready");
    return true;
}

worker& deployment::add_worker(const std::string& name, const std::string& zone,
                               std::vector<std::string> labels, int cpu,
                               const std::string& service) {
    worker_options options;
    options.name = name;
    options.at = {m_network + std::to_string(first_worker +
                                             static_cast<int>(workers.size())),
                  worker_port};
    options.service = service;
    options.zone = zone;
    options.labels = std::move(labels);
    options.cpu = cpu;
    options.stop_duration = limits.stop_duration;
    workers.push_back(std::make_unique<worker>(
        options, platform, notes, runs,
        [this](const std::string& task, int run) { return course(task, run); },
        limits.max_hold, limits.heartbeat));
    workers.back()->start();
    return *workers.back();
}

void deployment::configure(const std::vector<queue>& queues) {
    json routes = json::array();
    json services = json::object();
    for (const queue& each : queues) {
        routes.push_back({{"name", each.name},
                          {"host", host},
                          {"prefix", each.prefix},
                          {"kind", "unsafe"},
                          {"timeoutMs", 3000},
                          {"targetLatencyMs", 1000},
                          {"priority", each.priority},
                          {"service", each.service},
                          {"attempts", each.attempts},
                          {"stretch", 2.2}});
    }
    m_version += 3;
    json rows = json::array();
    for (const auto& known : queues) {
        if (!services.contains(known.service)) {
            services[known.service] = true;
            rows.push_back({{"name", known.service}, {"admissionCheck"}});
        }
    }
    json content{{"version", m_version},
                 {"routes", routes},
                 {"services", rows},
                 {"limits", {{"maxBodyBytes", 262144}}}};
    for (const tenant& each : tenants) {
        content["tenants"].push_back({{"name", each.name},
                                      {"apiKeys", {each.key}},
                                      {"weight", 100},
                                      {"cap", {{"cpu", each.cap_cpu}}}});
    }
    platform.put("op/config", content.dump());
    std::string names;
    for (const queue& each : queues) {
        names += " " + each.prefix + "->" + each.service;
    }
    notes.note("operator", "configuration " + std::to_string(m_version) +
                               " acknowledged:" + names);
}

int deployment::submit(const vm& to, const queue& into, const std::string& id,
                       const std::string& steps, const std::string& more) {
    std::string body = R"({"spec":"work of )" + id + R"(","steps":)" + steps +
                       (more.empty() ? "" : "," + more) + "}";
    notes.note("client",
               "POST " + into.prefix + id + " to " + to.name + " " + body);
    auto answer = call(to.front, "POST", into.prefix + id, host, body,
                       client_timeout, key);
    int status = answer ? answer->status : 0;
    notes.note("client",
               "POST " + into.prefix + id + " -> " + std::to_string(status));
    return status;
}

int deployment::cancel(const vm& to, const queue& of, const std::string& id) {
    auto answer =
        call(to.front, "DELETE", of.prefix + id, host, "", client_timeout, key);
    int status = answer ? answer->status : 0;
    notes.note("client", "DELETE " + of.prefix + id + " at " + to.name +
                             " -> " + std::to_string(status));
    return status;
}

int deployment::count(const vm& to, const queue& of) {
    auto answer =
        call(to.front, "GET", of.prefix, host, "", client_timeout, key);
    int status = answer ? answer->status : 0;
    notes.note("client", "GET " + of.prefix + " at " + to.name + " -> " +
                             std::to_string(status) + " " +
                             (answer ? answer->body : ""));
    return status;
}

std::string deployment::state(const vm& to, const queue& of,
                              const std::string& id) {
    auto answer =
        call(to.front, "GET", of.prefix + id, host, "", client_timeout, key);
    std::string found =
        !answer ? "no answer"
        : answer->status == 200
            ? json::parse(answer->body).value("state", "unreadable")
            : std::to_string(answer->status);
    notes.note("client",
               "GET " + of.prefix + id + " at " + to.name + " -> " + found);
    return found;
}

std::string deployment::state_anywhere(const queue& of, const std::string& id) {
    std::string found;
    for (const vm& one : vms) {
        found = state(one, of, id);
        if (found != "no answer" && found != "503" && found != "504") {
            break;
        }
    }
    return found;
}

void deployment::wait(milliseconds time) {
    std::this_thread::sleep_for(time);
}

vm* deployment::leader() {
    auto value = platform.find("eel/leader");
    if (!value) {
        return nullptr;
    }
    std::string name = value->substr(0, value->find('@'));
    auto found = std::find_if(vms.begin(), vms.end(),
                              [&](const vm& one) { return one.name == name; });
    return found == vms.end() ? nullptr : &*found;
}

} // namespace review::cell
