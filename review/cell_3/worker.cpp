#include "worker.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

namespace review::cell {

using nlohmann::json;

namespace {

constexpr milliseconds work_period{10};
constexpr std::size_t max_listed_ends = 500;
/// A task that lasts is at work after this time.
constexpr milliseconds startup{200};

std::string random_id() {
    static std::mt19937_64 source{std::random_device{}()};
    constexpr const char* hex = "0123456789abcdef";
    constexpr int id_digits = 10;
    constexpr std::uint64_t mask = 15;
    std::uint64_t bits = source();
    std::string out = "i-";
    for (int i = 0; i < id_digits; ++i) {
        out += hex[bits >> (4 * i) & mask];
    }
    return out;
}

int percent_of(milliseconds elapsed, const task_course& course) {
    constexpr int whole = 100;
    if (course.lasts) {
        return elapsed >= startup ? whole : 0;
    }
    auto share = elapsed.count() * whole /
                 std::max<std::int64_t>(1, course.duration.count());
    return static_cast<int>(std::min<std::int64_t>(whole - 1, share));
}

} // namespace

void run_log::add(run_event event) {
    std::lock_guard lock(m_mutex);
    m_events.push_back(std::move(event));
}

std::vector<run_event> run_log::of_job(const std::string& job) const {
    std::lock_guard lock(m_mutex);
    std::vector<run_event> result;
    std::copy_if(
        m_events.begin(), m_events.end(), std::back_inserter(result),
        [&](const run_event& e) { return e.task.starts_with(job + "."); });
    return result;
}

worker::worker(worker_options options, store& registry, record& notes,
               run_log& runs, course_function course, milliseconds max_hold,
               milliseconds heartbeat)
    : m_options(std::move(options)), m_registry(registry), m_notes(notes),
      m_runs(runs), m_course(std::move(course)), m_max_hold(max_hold),
      m_heartbeat(heartbeat) {
    std::thread([this] { work(); }).detach();
}

worker::~worker() = default;

bool worker::start() {
    std::lock_guard lock(m_mutex);
    m_id = random_id();
    m_up = true;
    m_server = std::make_unique<http_server>(
        m_options.at, [this](const request& call) { return handle(call); });
    bool started = m_server->start();
    m_notes.note(m_options.name, "up as " + m_id);
    beat();
    return started;
}

std::size_t worker::running_count() const {
    std::lock_guard lock(m_mutex);
    return m_running.size();
}

std::int64_t worker::clock() const {
    return std::chrono::duration_cast<milliseconds>(
               steady::now().time_since_epoch())
        .count();
}

void worker::beat() {
    m_last_beat = steady::now();
    json entry{
        {"service", m_options.service},
        {"address", to_string(m_options.at)},
        {"zone", m_options.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"warmupLeftMs", 0},
        {"capacity",
         {{"cpu", m_options.cpu}, {"memMb", m_options.memory_mb}, {"gpu", 0}}},
        {"labels", m_options.labels},
        {"clockMs", clock()},
        {"seq", ++m_sequence}};
    m_registry.put("servers/" + m_id, entry.dump());
}

void worker::work() {
    for (;;) {
        std::this_thread::sleep_for(work_period);
        std::lock_guard lock(m_mutex);
        if (!m_up) {
            continue;
        }
        advance();
        if (steady::now() - m_last_beat >= m_heartbeat) {
            beat();
        }
    }
}

void worker::advance() {
    auto now = steady::now();
    bool has_lapsed = m_deadline < clock();
    std::vector<std::pair<run_name, std::string>> ended;
    for (const auto& [name, state] : m_running) {
        bool is_over = (!state.course.lasts || state.course.fails) &&
                       now - state.started_at >= state.course.duration;
        if (is_over) {
            ended.emplace_back(name, state.course.fails ? "failed" : "done");
        } else if (state.stop_at <= now) {
            ended.emplace_back(name, "stopped");
        } else if (has_lapsed) {
            ended.emplace_back(name, "lapsed");
        }
    }
    for (const auto& [name, how] : ended) {
        end_run(name, how);
    }
}

void worker::end_run(const run_name& name, const std::string& how) {
    m_running.erase(name);
    int& closed = m_closed[name.first];
    closed = std::max(closed, name.second);
    m_ends.push_back({++m_last_end, name.first, name.second, how});
    m_runs.add({m_notes.now(), m_options.name, name.first, name.second, how});
    m_notes.note(m_options.name, "run " + name.first + "/" +
                                     std::to_string(name.second) + " ends " +
                                     how);
    m_ended.notify_all();
}

response worker::reply(int status, const std::string& reason) const {
    json out{{"clockMs", clock()}};
    if (!reason.empty()) {
        out["reason"] = reason;
    }
    return {status, out.dump()};
}

bool worker::take_token(std::uint64_t token) {
    if (token < m_highest_token) {
        return false;
    }
    m_highest_token = token;
    return true;
}

void worker::extend(std::int64_t deadline) {
    m_deadline =
        std::max(m_deadline, std::min(deadline, clock() + m_max_hold.count()));
}

response worker::handle(const request& call) {
    if (call.path == "/healthz") {
        return {200, "{}"};
    }
    std::unique_lock lock(m_mutex);
    auto target = call.headers.find("x-eelgrasslever-target-instance");
    if (target != call.headers.end() && target->second != m_id) {
        return reply(421, "");
    }
    advance();
    if (call.path == "/run-start") {
        return start_run(call);
    }
    if (call.path == "/run-stop") {
        return stop_run(call);
    }
    if (call.path == "/hold") {
        return hold(call, lock);
    }
    return {404, "{}"};
}

response worker::start_run(const request& call) {
    json in = json::parse(call.body);
    std::string task = in.at("task");
    int number = in.at("run");
    std::int64_t deadline = in.at("deadlineMs");
    auto refuse = [&](const char* why) {
        m_notes.note(m_options.name, "refuses start of " + task + "/" +
                                         std::to_string(number) + ": " + why);
        return reply(409, why);
    };
    if (!take_token(in.at("fencingToken"))) {
        return refuse("fence");
    }
    if (deadline < clock()) {
        return refuse("late");
    }
    extend(deadline);
    if (m_running.contains({task, number})) {
        return reply(200, "");
    }
    auto closed = m_closed.find(task);
    if (closed != m_closed.end() && number <= closed->second) {
        return refuse("old");
    }
    run& started = m_running[{task, number}];
    started.started_at = steady::now();
    started.course = m_course(task, number);
    m_runs.add({m_notes.now(), m_options.name, task, number, "start"});
    m_notes.note(m_options.name, "starts " + task + "/" +
                                     std::to_string(number) + " token " +
                                     std::to_string(m_highest_token) +
                                     " spec " + in.value("spec", ""));
    return reply(200, "");
}

response worker::stop_run(const request& call) {
    json in = json::parse(call.body);
    std::string task = in.at("task");
    int number = in.at("run");
    if (!take_token(in.at("fencingToken"))) {
        return reply(409, "fence");
    }
    int& closed = m_closed[task];
    closed = std::max(closed, number);
    auto found = m_running.find({task, number});
    if (found != m_running.end()) {
        m_notes.note(m_options.name,
                     "told to stop " + task + "/" + std::to_string(number));
        found->second.stop_at = std::min(
            found->second.stop_at, steady::now() + m_options.stop_duration);
    }
    return reply(200, "");
}

response worker::hold(const request& call, std::unique_lock<std::mutex>& lock) {
    json in = json::parse(call.body);
    if (!take_token(in.at("fencingToken"))) {
        return reply(409, "fence");
    }
    if (in.contains("deadlineMs")) {
        extend(in.at("deadlineMs"));
    }
    auto seen = in.value("seenUpto", std::uint64_t{0});
    while (!m_ends.empty() && m_ends.front().number <= seen) {
        m_ends.pop_front();
    }
    auto until = steady::now() + milliseconds(in.value("waitMs", 0));
    m_ended.wait_until(lock, until, [&] { return !m_ends.empty(); });
    json running = json::array();
    for (const auto& [name, state] : m_running) {
        auto elapsed = std::chrono::duration_cast<milliseconds>(
            steady::now() - state.started_at);
        running.push_back(
            {name.first, name.second, "", percent_of(elapsed, state.course)});
    }
    json ended = json::array();
    for (const end& each : m_ends) {
        if (ended.size() == max_listed_ends) {
            break;
        }
        ended.push_back({each.number, each.task, each.run, each.how, ""});
    }
    json out{{"clockMs", clock()},
             {"running", std::move(running)},
             {"ended", std::move(ended)}};
    return {200, out.dump()};
}

} // namespace review::cell
