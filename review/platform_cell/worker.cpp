#include "worker.hpp"

#include <algorithm>
#include <utility>

namespace review::cell {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds clock_period{10};
constexpr milliseconds stop_duration{50};
/// From the start of a task that lasts until it is at work.
constexpr milliseconds startup_time{300};
constexpr std::int64_t first_clock_ms = 480'000;
/// How long a call without an answer is left open.
constexpr milliseconds silence{3000};

std::optional<milliseconds> read_time(const std::string& payload,
                                      const std::string& name) {
    auto found = payload.find(name + "=");
    if (found == std::string::npos) {
        return std::nullopt;
    }
    return milliseconds(std::atoi(payload.c_str() + found + name.size() + 1));
}

} // namespace

worker::worker(std::string ip, int port, worker_options options,
               store& registry, observer observe)
    : m_options(std::move(options)), m_registry(registry),
      m_observe(std::move(observe)),
      m_server(std::make_unique<http_server>(
          std::move(ip), port,
          [this](const http_request& request) { return handle(request); })) {}

worker::~worker() {
    crash();
}

bool worker::open() {
    m_born = steady_clock::now();
    m_born_ms = std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
    m_is_up = true;
    if (!m_server->open()) {
        m_is_up = false;
        return false;
    }
    m_clock = std::thread([this] { advance(); });
    std::lock_guard lock(m_mutex);
    write_entry("ready");
    return true;
}

void worker::crash() {
    if (!m_is_up.exchange(false)) {
        return;
    }
    m_changed.notify_all();
    m_clock.join();
    m_server->close();
    std::lock_guard lock(m_mutex);
    for (const auto& [task, run] : m_running) {
        report(task, run, "lost");
    }
    m_running.clear();
}

void worker::announce_draining() {
    std::lock_guard lock(m_mutex);
    write_entry("draining");
}

void worker::fail(const std::string& task) {
    std::lock_guard lock(m_mutex);
    finish(task, "failed");
}

std::vector<worker::live_run> worker::running() {
    std::lock_guard lock(m_mutex);
    std::vector<live_run> out;
    for (const auto& [task, run] : m_running) {
        out.push_back({task, run.run, run.payload});
    }
    return out;
}

void worker::write_entry(const char* state) {
    m_registry.put("servers/" + m_options.id,
                   encode({{"service", m_options.service},
                           {"address", m_server->address()},
                           {"zone", m_options.zone},
                           {"version", "v1"},
                           {"slots", 8},
                           {"state", state},
                           {"warmupLeftMs", 0},
                           {"capacity",
                            {{"cpu", m_options.cpu},
                             {"memMb", m_options.memory_mb},
                             {"gpu", 0}}},
                           {"labels", {m_options.kind, m_options.rack}},
                           {"clockMs", clock_ms()},
                           {"seq", ++m_sequence}}));
}

std::int64_t worker::clock_ms() const {
    return (m_options.tells_life ? 0 : first_clock_ms) +
           std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    m_born)
               .count();
}

std::string worker::encode(json reply) const {
    if (m_options.tells_life) {
        reply["born"] = m_born_ms;
    }
    return reply.dump();
}

http_reply worker::refuse(const char* reason) const {
    return {409, encode({{"clockMs", clock_ms()}, {"reason", reason}})};
}

bool worker::is_fenced(std::uint64_t token) {
    if (token < m_highest_token) {
        return true;
    }
    m_highest_token = token;
    return false;
}

void worker::extend(std::int64_t deadline) {
    m_deadline =
        std::max(m_deadline,
                 std::min(deadline, clock_ms() + m_options.max_hold.count()));
}

void worker::report(const std::string& task, const execution& run,
                    const std::string& what) {
    m_observe(
        {steady_clock::now(), m_options.id, task, run.run, what, run.payload});
}

void worker::finish(const std::string& task, const std::string& how) {
    auto found = m_running.find(task);
    if (found == m_running.end()) {
        return;
    }
    execution ended = found->second;
    m_running.erase(found);
    m_ends.push_back({++m_last_end, task, ended.run, how, false});
    m_highest_ended[task] = std::max(m_highest_ended[task], ended.run);
    report(task, ended, how);
    m_changed.notify_all();
}

void worker::advance() {
    std::unique_lock lock(m_mutex);
    while (m_is_up) {
        auto now = steady_clock::now();
        bool is_lapsed = clock_ms() > m_deadline;
        for (end& it : m_ends) {
            it.is_lapsed |= is_lapsed;
        }
        std::vector<std::pair<std::string, std::string>> ended;
        for (const auto& [task, run] : m_running) {
            auto age = now - run.started;
            if (is_lapsed) {
                ended.emplace_back(task, "lapsed");
            } else if (run.stops_at && *run.stops_at <= now) {
                ended.emplace_back(task, "stopped");
            } else if (run.fails_after && age >= *run.fails_after) {
                ended.emplace_back(task, "failed");
            } else if (!run.is_lasting && age >= run.work) {
                ended.emplace_back(task, "done");
            }
        }
        for (const auto& [task, how] : ended) {
            finish(task, how);
        }
        m_changed.wait_for(lock, clock_period);
    }
}

http_reply worker::handle(const http_request& request) {
    if (request.path == "/healthz") {
        return {200, "{}"};
    }
    if (m_options.postpone && m_options.postpone(request)) {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, silence, [this] { return !m_is_up; });
        return {};
    }
    return carry_out(request);
}

http_reply worker::carry_out(const http_request& request) {
    auto target = request.headers.find("x-eelgrasslever-target-instance");
    if (target != request.headers.end() && target->second != m_options.id) {
        return {421, "{}"};
    }
    if (request.path == "/run-start") {
        return start(request.body);
    }
    if (request.path == "/run-stop") {
        return stop(request.body);
    }
    if (request.path == "/hold") {
        return hold(request.body);
    }
    return {404, "{}"};
}

http_reply worker::start(const std::string& body) {
    json in = json::parse(body);
    std::lock_guard lock(m_mutex);
    if (is_fenced(in.value("fencingToken", std::uint64_t{0}))) {
        return refuse("fence");
    }
    std::string task = in.at("task");
    int run = in.at("run");
    std::int64_t deadline = in.at("deadlineMs");
    if (deadline < clock_ms()) {
        return refuse("late");
    }
    auto present = m_running.find(task);
    bool is_present = present != m_running.end() && present->second.run == run;
    auto highest = m_highest_ended.find(task);
    bool is_old = (present != m_running.end() && present->second.run > run) ||
                  (highest != m_highest_ended.end() && highest->second >= run);
    extend(deadline);
    if (is_old) {
        return refuse("old");
    }
    if (!is_present) {
        execution begun;
        begun.run = run;
        begun.payload = in.value("spec", "");
        begun.started = steady_clock::now();
        begun.work =
            read_time(begun.payload, "work").value_or(milliseconds(1000));
        begun.fails_after = read_time(begun.payload, "fail");
        begun.is_lasting = begun.payload.find("lasting") != std::string::npos;
        m_running[task] = begun;
        report(task, begun, "start");
    }
    return {200, encode({{"clockMs", clock_ms()}})};
}

http_reply worker::stop(const std::string& body) {
    json in = json::parse(body);
    std::lock_guard lock(m_mutex);
    if (is_fenced(in.value("fencingToken", std::uint64_t{0}))) {
        return refuse("fence");
    }
    std::string task = in.at("task");
    int run = in.at("run");
    m_highest_ended[task] = std::max(m_highest_ended[task], run);
    auto found = m_running.find(task);
    if (found != m_running.end() && found->second.run <= run &&
        !found->second.stops_at) {
        found->second.stops_at = steady_clock::now() + stop_duration;
    }
    return {200, encode({{"clockMs", clock_ms()}})};
}

http_reply worker::hold(const std::string& body) {
    constexpr std::size_t max_listed = 500;
    json in = json::parse(body);
    auto until =
        steady_clock::now() + milliseconds(in.value("waitMs", std::int64_t{0}));
    std::unique_lock lock(m_mutex);
    if (is_fenced(in.value("fencingToken", std::uint64_t{0}))) {
        return refuse("fence");
    }
    extend(in.value("deadlineMs", std::int64_t{0}));
    auto seen = in.value("seenUpto", std::uint64_t{0});
    std::erase_if(m_ends, [&](const end& it) {
        bool is_noted = it.number <= seen;
        if (is_noted && it.how == "done" && !it.is_lapsed) {
            m_observe({steady_clock::now(), m_options.id, it.task, it.run,
                       "noted", ""});
        }
        return is_noted;
    });
    while (m_is_up && m_ends.empty() && steady_clock::now() < until) {
        m_changed.wait_until(lock, until);
    }
    if (!m_is_up) {
        return {};
    }
    json running = json::array();
    auto now = steady_clock::now();
    for (const auto& [task, run] : m_running) {
        auto age = now - run.started;
        int percent =
            run.is_lasting
                ? (age >= startup_time ? 100 : 0)
                : static_cast<int>(std::min<std::int64_t>(
                      99, 100 *
                              std::chrono::duration_cast<milliseconds>(age)
                                  .count() /
                              std::max<std::int64_t>(1, run.work.count())));
        running.push_back({task, run.run, "", percent, 0});
    }
    json ended = json::array();
    for (const end& it : m_ends) {
        if (ended.size() == max_listed) {
            break;
        }
        ended.push_back({it.number, it.task, it.run, it.how, ""});
    }
    return {200, encode({{"clockMs", clock_ms()},
                         {"running", std::move(running)},
                         {"ended", std::move(ended)}})};
}

} // namespace review::cell
