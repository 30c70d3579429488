#include "cases.hpp"

#include <algorithm>
#include <csignal>
#include <thread>

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

/// Longest time in which a task that lasts had no run after its first one.
milliseconds longest_gap(const std::vector<run_event>& events,
                         milliseconds until) {
    milliseconds gap{0};
    milliseconds ended{-1};
    int running = 0;
    for (const run_event& event : events) {
        if (event.how == "start") {
            if (running++ == 0 && ended.count() >= 0) {
                gap = std::max(gap, event.at - ended);
            }
        } else if (--running == 0) {
            ended = event.at;
        }
    }
    return running == 0 && ended.count() >= 0 ? std::max(gap, until - ended)
                                              : gap;
}

verdict lasting_task_fails(deployment& cell, bool trouble) {
    const std::string failing = "1a57000000000001";
    const std::string sound = "1a57000000000002";
    std::atomic<bool> is_failing{trouble};
    cell.course = [&](const std::string& task, int) -> task_course {
        bool fails = is_failing && task.starts_with(failing);
        return {500ms, fails, true};
    };
    add_workers(cell, 6);
    if (!prepare(cell, 3, {desk})) {
        return verdict::not_run;
    }
    if (cell.submit(
            cell.vms[0], desk, failing,
            R"([{"count":6,"cpu":9000,"memMb":256,"longRunning":true}])") !=
        200) {
        return verdict::not_run;
    }
    deployment::wait(18s);
    is_failing = false;
    cell.notes.note("worker", "the tasks of " + failing + " no longer fail");
    if (cell.submit(
            cell.vms[1], desk, sound,
            R"([{"count":1,"cpu":1000,"memMb":256,"longRunning":true}])") !=
        200) {
        return verdict::not_run;
    }
    auto accepted_at = cell.notes.now();
    deployment::wait(25s);
    milliseconds gap = longest_gap(cell.runs.of_job(failing), cell.notes.now());
    auto of_sound = cell.runs.of_job(sound);
    milliseconds wait_of_sound =
        (of_sound.empty() ? cell.notes.now() : of_sound.front().at) -
        accepted_at;
    cell.notes.note("check",
                    "longest time without a run of " + failing + ": " +
                        text(gap) + "; " + sound +
                        " waited for its start: " + text(wait_of_sound));
    // A task that lasts has to run again 3 s after the 6 s that follow its
    // last run.
    return gap > 9s || wait_of_sound > 9s ? verdict::broken : verdict::held;
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

verdict flapping_workers(deployment& cell, bool trouble) {
    const std::string batch = "f1a9000000000001";
    const std::string lasting = "f1a9000000000002";
    cell.course = [&](const std::string& task, int) -> task_course {
        return {4s, false, task.starts_with(lasting)};
    };
    add_workers(cell, 18);
    std::vector<worker*> rack;
    for (const char* name : {"worker-18", "worker-19"}) {
        rack.push_back(&cell.add_worker(name, "north", {"b", "r3"}, 16000));
    }
    if (!prepare(cell, 3, {desk})) {
        return verdict::not_run;
    }
    std::thread flapping([&] {
        for (int entry = 0; trouble && entry < 3; ++entry) {
            deployment::wait(1s);
            for (int round = 0; round < 2; ++round) {
                deployment::wait(2300ms);
                for (worker* each : rack) {
                    each->crash();
                }
                deployment::wait(500ms);
                for (worker* each : rack) {
                    each->start();
                }
            }
        }
    });
    bool accepted =
        cell.submit(
            cell.vms[0], desk, batch,
            R"([{"count":2,"cpu":1000,"memMb":256,"estimateMs":3000,"requires":"b"}])") ==
            200 &&
        cell.submit(
            cell.vms[1], desk, lasting,
            R"([{"count":2,"cpu":1000,"memMb":256,"longRunning":true,"requires":"b"}])") ==
            200;
    flapping.join();
    if (!accepted) {
        return verdict::not_run;
    }
    deployment::wait(25s);
    bool broken = false;
    for (const std::string& job : {batch, lasting}) {
        std::string state = cell.state_anywhere(desk, job);
        auto events = cell.runs.of_job(job);
        auto failures =
            std::count_if(events.begin(), events.end(),
                          [](const auto& e) { return e.how == "failed"; });
        cell.notes.note("check", "job " + job + " is shown as " + state +
                                     "; ends `failed` of its tasks: " +
                                     std::to_string(failures));
        broken = broken || (state == "failed" && failures == 0);
    }
    return broken ? verdict::broken : verdict::held;
}

/// Hands in @p first, and small jobs after it, and looks whether they run.
verdict small_jobs_beside(deployment& cell, const std::string& first,
                          const std::string& steps, const std::string& more) {
    constexpr int small_jobs = 6;
    constexpr std::chrono::seconds finish{14};
    std::vector<std::string> accepted;
    if (cell.submit(cell.vms[0], desk, first, steps, more) != 200) {
        cell.notes.note("check", "the job was not accepted");
        return verdict::held;
    }
    accepted.push_back(first);
    for (int i = 0; i < small_jobs; ++i) {
        deployment::wait(2s);
        std::string id = "57a1100000000000";
        id.back() = static_cast<char>('1' + i);
        int status = cell.submit(
            cell.vms[static_cast<std::size_t>(i) % cell.vms.size()], desk, id,
            R"([{"count":2,"cpu":1000,"memMb":256,"estimateMs":500}])");
        if (status == 200) {
            accepted.push_back(id);
        }
    }
    // The rule is judged later than this after the end of the traffic, over 3
    // s.
    deployment::wait(finish);
    std::vector<std::size_t> before;
    for (const std::string& id : accepted) {
        before.push_back(cell.runs.of_job(id).size());
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
    for (std::size_t i = 0; i < accepted.size(); ++i) {
        std::string state = cell.state_anywhere(desk, accepted[i]);
        std::size_t events = cell.runs.of_job(accepted[i]).size();
        bool stands_still = events == 0 && state == "queued";
        broken = broken || stands_still;
        cell.notes.note("check",
                        "job " + accepted[i] + " is " + state +
                            "; starts and ends: " + std::to_string(before[i]) +
                            ", 3 s later " + std::to_string(events));
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
    return small_jobs_beside(cell, large,
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
        cell, schedule,
        R"([{"count":1,"cpu":100,"memMb":64,"estimateMs":500}])",
        R"("repeatCount":)" + std::to_string(count) + R"(,"startAtMs":)" +
            std::to_string(first.count()) + R"(,"intervalMs":1000)");
}

verdict one_crash(deployment& cell, bool trouble) {
    const std::string lasting = "0c2a540000000000";
    constexpr int tasks = 24;
    cell.course = [&](const std::string&, int) -> task_course {
        return {0ms, false, true};
    };
    add_workers(cell, 12);
    if (!prepare(cell, 3, {desk})) {
        return verdict::not_run;
    }
    int status =
        cell.submit(cell.vms[0], desk, lasting,
                    R"([{"count":)" + std::to_string(tasks) +
                        R"(,"cpu":500,"memMb":256,"longRunning":true}])");
    if (status != 200) {
        return verdict::not_run;
    }
    deployment::wait(500ms);
    auto busiest =
        std::max_element(cell.workers.begin(), cell.workers.end(),
                         [](const auto& a, const auto& b) {
                             return a->running_count() < b->running_count();
                         });
    if (trouble) {
        (*busiest)->crash();
        deployment::wait(1s);
        (*busiest)->start();
    }
    deployment::wait(40s);
    // Each task has to run again 3 s after the 6 s that follow its last run.
    std::map<std::string, std::vector<run_event>> by_task;
    for (const run_event& event : cell.runs.of_job(lasting)) {
        by_task[event.task].push_back(event);
    }
    int late = 0;
    milliseconds longest{0};
    for (const auto& [task, events] : by_task) {
        milliseconds gap = longest_gap(events, cell.notes.now());
        longest = std::max(longest, gap);
        late += gap > 9s ? 1 : 0;
    }
    cell.notes.note(
        "check",
        std::to_string(late) + " of " + std::to_string(by_task.size()) +
            " tasks had no run for more than 9 s; longest: " + text(longest));
    return late > 0 ? verdict::broken : verdict::held;
}

} // namespace

course_of_case find_case(const std::string& name) {
    static const std::map<std::string, course_of_case> cases{
        {"lasting", &lasting_task_fails}, {"dropped", &dropped_queue},
        {"flapping", &flapping_workers},  {"large", &large_job},
        {"schedule", &long_schedule},     {"crash", &one_crash},
    };
    auto found = cases.find(name);
    return found == cases.end() ? nullptr : found->second;
}

} // namespace review::cell
