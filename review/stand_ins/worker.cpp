#include "worker.hpp"

#include <algorithm>
#include <utility>

namespace review {

using nlohmann::json;
using steady = std::chrono::steady_clock;

namespace {

constexpr milliseconds tick_period{10};
constexpr std::int64_t clock_offset = 100'000;

} // namespace

std::size_t run_log::add(task_start start) {
    std::lock_guard lock(m_mutex);
    m_starts.push_back(std::move(start));
    return m_starts.size() - 1;
}

void run_log::end(std::size_t number, const std::string& how) {
    std::lock_guard lock(m_mutex);
    m_starts[number].ended_at = steady::now();
    m_starts[number].how = how;
}

void run_log::note(std::size_t number) {
    std::lock_guard lock(m_mutex);
    m_starts[number].is_noted = true;
}

std::vector<task_start> run_log::all() {
    std::lock_guard lock(m_mutex);
    return m_starts;
}

worker::worker(std::string name, worker_options options, store& registry,
               run_log& log, record_file& record)
    : m_name(std::move(name)), m_options(std::move(options)),
      m_registry(registry), m_log(log), m_record(record) {
    m_server = std::make_unique<http_server>(
        m_options.ip, 0,
        [this](const http_request& request) { return handle(request); });
    m_server->close();
    restart();
    m_ticker = std::thread([this] { advance(); });
}

worker::~worker() {
    m_server->close();
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_ticker.join();
}

std::int64_t worker::clock() const {
    return clock_offset +
           std::chrono::duration_cast<milliseconds>(steady::now() - m_born)
               .count();
}

std::string worker::id() {
    std::lock_guard lock(m_mutex);
    return m_id;
}

bool worker::runs(const std::string& task) {
    std::lock_guard lock(m_mutex);
    return m_running.contains(task);
}

std::size_t worker::running_count() {
    std::lock_guard lock(m_mutex);
    return m_running.size();
}

void worker::restart() {
    {
        std::lock_guard lock(m_mutex);
        m_id = m_name + "-" + std::to_string(++m_life);
        m_is_up = true;
        m_born = steady::now();
        m_token = 0;
        m_deadline = 0;
        m_last_end = 0;
        m_ended.clear();
        m_unnoted.clear();
        m_highest_ended.clear();
    }
    m_server->open();
    m_record.write("worker " + id() + " is up at " + m_server->address());
    std::lock_guard lock(m_mutex);
    register_entry();
}

void worker::crash() {
    m_server->close();
    {
        std::lock_guard lock(m_mutex);
        m_is_up = false;
        for (const auto& [task, run] : m_running) {
            m_record.write("worker " + m_id + " crashes, run " +
                           std::to_string(run.run) + " of " + task +
                           " is lost");
            m_log.end(run.log_number, "lost");
        }
        m_running.clear();
        m_lost_entries.emplace_back(steady::now() + 3 * m_options.heartbeat,
                                    "servers/" + m_id);
        m_record.write("worker " + m_id + " has crashed");
    }
    m_changed.notify_all();
}

void worker::drain() {
    std::lock_guard lock(m_mutex);
    m_drains = true;
    register_entry();
    m_record.write("worker " + m_id + " reports that it drains");
}

void worker::leave() {
    crash();
    std::lock_guard lock(m_mutex);
    m_registry.remove(m_lost_entries.back().second);
    m_lost_entries.pop_back();
    m_record.write("worker " + m_id + " has left");
}

void worker::register_entry() {
    json entry{
        {"service", m_options.service},
        {"address", m_server->address()},
        {"zone", m_options.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", m_drains ? "draining" : "ready"},
        {"warmupLeftMs", 0},
        {"capacity",
         {{"cpu", m_options.cpu}, {"memMb", m_options.memory_mb}, {"gpu", 0}}},
        {"labels", m_options.labels},
        {"clockMs", clock()},
        {"seq", ++m_sequence}};
    if (m_drains) {
        entry["remainingMs"] = 2000;
    }
    m_registry.put("servers/" + m_id, entry.dump());
}

void worker::advance() {
    auto next_heartbeat = steady::now() + m_options.heartbeat;
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        auto now = steady::now();
        if (m_is_up && now >= next_heartbeat) {
            register_entry();
            next_heartbeat = now + m_options.heartbeat;
        }
        std::erase_if(m_lost_entries, [&](const auto& row) {
            if (row.first <= now) {
                m_registry.remove(row.second);
            }
            return row.first <= now;
        });
        std::vector<std::pair<std::string, std::string>> ends;
        for (const auto& [task, run] : m_running) {
            if (clock() > m_deadline) {
                ends.emplace_back(task, "lapsed");
            } else if (!run.lasts && now - run.started_at >= run.work) {
                ends.emplace_back(task, "done");
            }
        }
        for (const auto& [task, how] : ends) {
            end_run(task, how);
        }
        lock.unlock();
        std::this_thread::sleep_for(tick_period);
        lock.lock();
    }
}

void worker::end_run(const std::string& task, const std::string& how) {
    active_run run = m_running.at(task);
    m_running.erase(task);
    m_highest_ended[task] = std::max(m_highest_ended[task], run.run);
    m_ended.push_back({++m_last_end, task, run.run, how, ""});
    m_log.end(run.log_number, how);
    m_unnoted[m_last_end] = run.log_number;
    m_record.write("worker " + m_id + ": run " + std::to_string(run.run) +
                   " of " + task + " has ended: " + how);
    m_changed.notify_all();
}

bool worker::is_fenced(const json& order) {
    auto token = order.value("fencingToken", std::uint64_t{0});
    if (token < m_token) {
        return true;
    }
    m_token = token;
    return false;
}

void worker::extend_lease(const json& order) {
    if (order.contains("deadlineMs")) {
        m_deadline = std::max(
            m_deadline, std::min(order.at("deadlineMs").get<std::int64_t>(),
                                 clock() + m_options.max_hold.count()));
    }
}

std::optional<http_response> worker::handle(const http_request& request) {
    json order =
        request.body.empty() ? json::object() : json::parse(request.body);
    std::unique_lock lock(m_mutex);
    if (!m_is_up) {
        return std::nullopt;
    }
    if (request.method == "GET") {
        return http_response{200, "{}"};
    }
    auto target = request.headers.find("x-eelgrasslever-target-instance");
    if (target != request.headers.end() && target->second != m_id) {
        return http_response{421, json{{"clockMs", clock()}}.dump()};
    }
    if (is_fenced(order)) {
        return http_response{
            409, json{{"clockMs", clock()}, {"reason", "fence"}}.dump()};
    }
    if (request.path == "/run-start") {
        return start_run(order);
    }
    if (request.path == "/run-stop") {
        return stop_run(order);
    }
    if (request.path == "/hold") {
        return hold(order, lock);
    }
    return http_response{400, json{{"clockMs", clock()}}.dump()};
}

http_response worker::start_run(const json& order) {
    std::string task = order.at("task");
    int run = order.at("run");
    auto reject = [&](const char* reason) {
        return http_response{
            409, json{{"clockMs", clock()}, {"reason", reason}}.dump()};
    };
    if (order.at("deadlineMs").get<std::int64_t>() < clock()) {
        return reject("late");
    }
    extend_lease(order);
    auto found = m_running.find(task);
    if (found != m_running.end() && found->second.run == run) {
        return {200, json{{"clockMs", clock()}}.dump()};
    }
    auto ended = m_highest_ended.find(task);
    if (found != m_running.end() ||
        (ended != m_highest_ended.end() && run <= ended->second)) {
        return reject("old");
    }
    json spec = json::parse(order.value("spec", "{}"));
    active_run started;
    started.run = run;
    started.work = milliseconds(spec.value("work_ms", 1000));
    started.lasts = spec.value("lasts", false);
    started.started_at = steady::now();
    started.log_number =
        m_log.add({task, run, m_id, started.started_at, std::nullopt, ""});
    m_running[task] = started;
    m_record.write("worker " + m_id + " starts run " + std::to_string(run) +
                   " of " + task);
    return {200, json{{"clockMs", clock()}}.dump()};
}

http_response worker::stop_run(const json& order) {
    std::string task = order.at("task");
    int run = order.at("run");
    auto found = m_running.find(task);
    if (found != m_running.end() && found->second.run == run) {
        end_run(task, "stopped");
    } else {
        m_highest_ended[task] = std::max(m_highest_ended[task], run);
    }
    return {200, json{{"clockMs", clock()}}.dump()};
}

http_response worker::hold(const json& order,
                           std::unique_lock<std::mutex>& lock) {
    extend_lease(order);
    auto seen = order.value("seenUpto", std::uint64_t{0});
    std::erase_if(m_ended, [&](const json& row) {
        return row.at(0).get<std::uint64_t>() <= seen;
    });
    auto last_noted = m_unnoted.upper_bound(seen);
    for (auto row = m_unnoted.begin(); row != last_noted; ++row) {
        m_log.note(row->second);
    }
    m_unnoted.erase(m_unnoted.begin(), last_noted);
    int life = m_life;
    auto until = steady::now() + milliseconds(order.value("waitMs", 0));
    while (m_ended.empty() && m_life == life && m_is_up && !m_stopping &&
           steady::now() < until) {
        m_changed.wait_until(lock, until);
    }
    json running = json::array();
    for (const auto& [task, run] : m_running) {
        auto age = std::chrono::duration_cast<milliseconds>(steady::now() -
                                                            run.started_at);
        auto percent =
            run.lasts
                ? 100
                : std::min<std::int64_t>(
                      99, 100 * age.count() /
                              std::max<std::int64_t>(1, run.work.count()));
        running.push_back({task, run.run, "", percent, 0});
    }
    return {200, json{{"clockMs", clock()},
                      {"running", std::move(running)},
                      {"ended", m_ended}}
                     .dump()};
}

} // namespace review
