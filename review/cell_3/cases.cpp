#include "cases.hpp"

#include <algorithm>
#include <csignal>
#include <set>

namespace review::cell {

namespace {

using namespace std::chrono_literals;

const queue desk{"q-desk", "/desk/", "desk"};

std::string text(milliseconds value) {
    return std::to_string(value.count()) + " ms";
}

/// Starts VMs and workers, and waits until they are in use.
bool prepare(deployment& cell, int vms, const std::vector<queue>& queues) {
    cell.configure(queues);
    if (!cell.start(vms) || !cell.wait_ready(15s)) {
        return false;
    }
    // All machines are in touch and the leader knows the workers.
    deployment::wait(cell.limits.contact + 1s);
    return true;
}

void add_workers(deployment& cell, int count) {
    const char* zones[] = {"north", "south", "west"};
    for (int i = 0; i < count; ++i) {
        cell.add_worker("worker-" + std::to_string(i), zones[i % 3],
                        {"a", "r" + std::to_string(i % 3)}, 16000);
    }
}

verdict dropped_queue(deployment& cell, bool trouble) {
    const queue old_queue{"q-old", "/old/", "desk"};
    const std::string job = "d409000000000001";
    cell.course = [](const std::string&, int) -> task_course { return {}; };
    add_workers(cell, 6);
    if (!prepare(cell, 3, {desk, old_queue})) {
        return verdict::not_run;
    }
    // Any machine that isn't the leader.
    vm* leader = cell.leader();
    vm& turned_away = leader == &cell.vms[0] ? cell.vms[1] : cell.vms[0];
    if (trouble) {
        turned_away.gate->turns_away = true;
        cell.notes.note("platform",
                        "the store turns " + turned_away.name + " away");
    }
    deployment::wait(300ms);
    cell.configure({desk});
    auto acknowledged_at = cell.notes.now();
    deployment::wait(cell.limits.config_apply + cell.limits.max_skew + 300ms);
    auto sent_at = cell.notes.now();
    int counted = cell.count(turned_away, old_queue);
    int status = cell.submit(
        turned_away, old_queue, job,
        R"([{"count":1,"cpu":1000,"memMb":256,"estimateMs":1000}])");
    deployment::wait(500ms);
    turned_away.gate->turns_away = false;
    cell.notes.note("platform", "the store serves all machines");
    deployment::wait(3s);
    std::size_t runs = cell.runs.of_job(job).size();
    cell.notes.note(
        "check", "sent " + text(sent_at - acknowledged_at) +
                     " after the acknowledgement: count -> " +
                     std::to_string(counted) + ", job -> " +
                     std::to_string(status) +
                     "; starts and ends of the job: " + std::to_string(runs));
    return status == 200 ? verdict::broken : verdict::held;
}

/// @return how many tasks of a job have ended `done`.
std::size_t count_done(const std::vector<run_event>& events) {
    std::set<std::string> done;
    for (const run_event& event : events) {
        if (event.how == "done") {
            done.insert(event.task);
        }
    }
    return done.size();
}

/// Hands in a job, and small jobs after it, and looks whether they go on.
/// @param tasks of the first job, all of which are due.
verdict small_jobs_beside(deployment& cell, const std::string& first,
                          std::size_t tasks, const std::string& steps,
                          const std::string& more) {
    constexpr int small_jobs = 6;
    constexpr std::size_t tasks_of_small_job = 2;
    constexpr std::chrono::seconds finish{14};
    std::map<std::string, std::size_t> accepted; ///< with their tasks
    if (cell.submit(cell.vms[0], desk, first, steps, more) != 200) {
        cell.notes.note("check", "the job was not accepted");
        return verdict::held;
    }
    accepted[first] = tasks;
    for (int i = 0; i < small_jobs; ++i) {
        deployment::wait(2s);
        std::string id = "57a1100000000000";
        id.back() = static_cast<char>('1' + i);
        int status = cell.submit(
            cell.vms[static_cast<std::size_t>(i) % cell.vms.size()], desk, id,
            R"([{"count":2,"cpu":1000,"memMb":256,"estimateMs":500}])");
        if (status == 200) {
            accepted[id] = tasks_of_small_job;
        }
    }
    // The rule is judged later than this after the end of the traffic, over 3
    // s.
    deployment::wait(finish);
    std::map<std::string, std::size_t> before;
    for (const auto& [id, count] : accepted) {
        before[id] = cell.runs.of_job(id).size();
    }
    deployment::wait(3s);
    std::size_t running = 0;
    for (const auto& each : cell.workers) {
        running += each->running_count();
    }
    cell.notes.note("check", std::to_string(cell.workers.size()) +
                                 " workers of 16 processors run " +
                                 std::to_string(running) + " tasks");
    bool broken = false;
    for (const auto& [id, count] : accepted) {
        auto events = cell.runs.of_job(id);
        std::size_t done = count_done(events);
        bool stands_still =
            running == 0 && done < count && events.size() == before[id];
        broken = broken || stands_still;
        cell.notes.note(
            "check",
            "job " + id + ": " + std::to_string(done) + " of " +
                std::to_string(count) + " tasks are done; " +
                (stands_still ? "nothing for 3 s" : "all, or it goes on"));
    }
    for (const auto& [id, count] : accepted) {
        cell.state(cell.vms[0], desk, id);
    }
    return broken ? verdict::broken : verdict::held;
}

verdict large_job(deployment& cell, bool trouble) {
    const std::string large = "1a29e00000000000";
    cell.course = [&](const std::string& task, int) -> task_course {
        return {task.starts_with(large) ? 2s : 500ms, false, false};
    };
    add_workers(cell, 12);
    if (!prepare(cell, 3, {desk})) {
        return verdict::not_run;
    }
    // Far below half of the workers' room: 82 of 192 processors.
    std::string step = R"({"count":)" + std::string(trouble ? "4096" : "60") +
                       R"(,"cpu":4,"memMb":4,"estimateMs":2000})";
    constexpr std::size_t steps = 5;
    return small_jobs_beside(cell, large, steps * (trouble ? 4096 : 60),
                             "[" + step + "," + step + "," + step + "," + step +
                                 "," + step + "]",
                             "");
}

verdict long_schedule(deployment& cell, bool trouble) {
    const std::string schedule = "5c4ed00000000000";
    cell.course = [&](const std::string&, int) -> task_course {
        return {500ms, false, false};
    };
    add_workers(cell, 12);
    if (!prepare(cell, 3, {desk})) {
        return verdict::not_run;
    }
    // Once a second since a day ago, or since 20 s ago.
    int count = trouble ? 86400 : 20;
    auto now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    auto first = now - std::chrono::seconds(count);
    return small_jobs_beside(
        cell, schedule, static_cast<std::size_t>(count),
        R"([{"count":1,"cpu":100,"memMb":64,"estimateMs":500}])",
        R"("repeatCount":)" + std::to_string(count) + R"(,"startAtMs":)" +
            std::to_string(first.count()) + R"(,"intervalMs":1000)");
}

verdict limit_at_hand_over(deployment& cell, bool trouble) {
    const std::string first = "407a000000000001";
    const std::string second = "407a000000000002";
    constexpr int cap = 8000;
    constexpr int task_cpu = 1000;
    cell.tenants = {{"ledger", "key-of-ledger", cap}};
    cell.key = "key-of-ledger";
    cell.limits.stop_duration = 800ms;
    cell.course = [](const std::string&, int) -> task_course {
        return {0ms, false, true};
    };
    add_workers(cell, 6);
    if (!prepare(cell, 3, {desk})) {
        return verdict::not_run;
    }
    const std::string steps =
        R"([{"count":8,"cpu":1000,"memMb":256,"longRunning":true}])";
    if (cell.submit(cell.vms[0], desk, first, steps) != 200) {
        return verdict::not_run;
    }
    deployment::wait(2s);
    vm* leader = cell.leader();
    if (leader == nullptr ||
        cell.submit(cell.vms[1], desk, second, steps) != 200) {
        return verdict::not_run;
    }
    deployment::wait(2s);
    vm& other = leader == &cell.vms[0] ? cell.vms[1] : cell.vms[0];
    if (cell.cancel(other, desk, first) != 200) {
        return verdict::not_run;
    }
    deployment::wait(200ms);
    if (trouble) {
        cell.send_signal(*leader, SIGTERM);
    }
    deployment::wait(8s);
    int running = 0;
    int most = 0;
    auto events = cell.runs.of_job(first);
    auto others = cell.runs.of_job(second);
    events.insert(events.end(), others.begin(), others.end());
    std::stable_sort(events.begin(), events.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    for (const run_event& event : events) {
        running += event.how == "start" ? task_cpu : -task_cpu;
        most = std::max(most, running);
    }
    // The bound: `cap` x (1 + `quotaOverage`), and one task more.
    constexpr int bound = cap * 11 / 10 + task_cpu;
    cell.notes.note("check", "the tenant had " + std::to_string(most) +
                                 " running at most; cap " +
                                 std::to_string(cap) + ", bound " +
                                 std::to_string(bound));
    return most > bound ? verdict::broken : verdict::held;
}

verdict lowered_limit(deployment& cell, bool trouble) {
    const std::string job = "10e4ed0000000001";
    constexpr std::chrono::seconds finish{14};
    cell.tenants = {{"ledger", "key-of-ledger", 16000}};
    cell.key = "key-of-ledger";
    cell.course = [](const std::string&, int) -> task_course {
        return {2s, false, false};
    };
    add_workers(cell, 6);
    if (!prepare(cell, 3, {desk})) {
        return verdict::not_run;
    }
    if (cell.submit(
            cell.vms[0], desk, job,
            R"([{"count":4,"cpu":6000,"memMb":256,"estimateMs":2000}])") !=
        200) {
        return verdict::not_run;
    }
    deployment::wait(1s);
    if (trouble) {
        cell.tenants.front().cap_cpu = 4000;
        cell.configure({desk});
        cell.notes.note("operator", "the tenant's cap is 4 processors now");
    }
    deployment::wait(finish);
    std::size_t before = cell.runs.of_job(job).size();
    deployment::wait(3s);
    std::size_t after = cell.runs.of_job(job).size();
    std::size_t running = 0;
    for (const auto& each : cell.workers) {
        running += each->running_count();
    }
    std::string state = cell.state_anywhere(desk, job);
    cell.notes.note("check",
                    "job " + job + " is " + state +
                        "; starts and ends: " + std::to_string(before) +
                        ", 3 s later " + std::to_string(after) + "; " +
                        std::to_string(running) + " tasks run");
    bool stands_still = running == 0 && before == after && state == "running";
    return stands_still ? verdict::broken : verdict::held;
}

} // namespace

course_of_case find_case(const std::string& name) {
    static const std::map<std::string, course_of_case> cases{
        {"large", &large_job},          {"schedule", &long_schedule},
        {"quota", &limit_at_hand_over}, {"lowered", &lowered_limit},
        {"dropped", &dropped_queue},
    };
    auto found = cases.find(name);
    return found == cases.end() ? nullptr : found->second;
}

} // namespace review::cell
