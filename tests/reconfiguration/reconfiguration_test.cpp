// The configuration sends queues to other services while jobs wait and run,
// with the system's own processes and the stand-ins of `review/platform_cell`.
#include "cell.hpp"
#include "environment.hpp"
#include "working_folder.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <unistd.h>

namespace {

using eelgrasslever::test::from_environment;
using review::cell::queue;
using review::cell::step;

constexpr int vm_count = 3;
constexpr int cores = 16'000;
/// Within this time a version must be in force, by the settings that the cell
/// writes.
constexpr int configuration_bound_ms = 2000;
/// Work must run within this time beside free room.
constexpr int start_bound_ms = 3000;
/// A lasting task must run again within this time of its last run, beside free
/// room.
constexpr int restart_bound_ms = 6000 + start_bound_ms;
constexpr int sample_ms = 50;
/// Jobs must have ended this long after the end of the traffic, by the settings
/// that the cell writes.
constexpr int finish_bound_ms = 14'000;

/// Two services of four endpoints. "full" is occupied by tasks of the queue
/// "occupant"; the queue "moved" is sent from it to "idle".
struct fixture {
    fixture() {
        BOOST_REQUIRE(cell.begin(queues()));
        // Endpoints that start again under their ids tell when their lives
        // began, as the platform's do.
        cell.tell_lives();
        for (int i = 0; i < 8; ++i) {
            BOOST_REQUIRE(cell.add_worker(i < 4 ? "full" : "idle",
                                          i < 4 ? "r-1" : "r-2",
                                          cores) != nullptr);
        }
        BOOST_REQUIRE(cell.start_members(vm_count));
    }
    ~fixture() { check_runs(); }

    [[nodiscard]] std::vector<queue> queues() const {
        return {occupant, visitor, moved};
    }
    void change(const std::string& service) {
        moved.service = service;
        cell.configure(queues());
    }
    std::string submit(const queue& to, const step& spec) {
        std::string id = cell.make_id();
        BOOST_REQUIRE(cell.submit(to, id, {spec},
                                  spec.is_lasting ? "lasting" : "work=60000"));
        return id;
    }
    /// Leaves a twentieth of each endpoint free.
    void occupy() {
        std::string id = submit(occupant, {8, 7600, 1024, 60'000, true});
        BOOST_REQUIRE(
            wait_for([&] { return cell.count_running(id) == 8; }, 5000));
    }
    void restart_vms() {
        cell.end_members();
        BOOST_REQUIRE(cell.start_members(vm_count));
    }
    /// @return whether the condition held within the time.
    static bool wait_for(const std::function<bool()>& holds, int limit_ms) {
        for (int waited = 0; waited < limit_ms; waited += sample_ms) {
            if (holds()) {
                return true;
            }
            review::cell::cell::sleep_ms(sample_ms);
        }
        return holds();
    }
    /// @return how many tasks of the job run at the service.
    int count_running(const std::string& id, const std::string& service) {
        int count = 0;
        for (review::cell::worker* each : cell.workers()) {
            for (const auto& run : each->running()) {
                count += each->options().service == service &&
                         run.task.starts_with(id + ".");
            }
        }
        return count;
    }
    int count_starts(const std::string& id) {
        int count = 0;
        for (const auto& event : cell.events()) {
            count += event.what == "start" && event.task.starts_with(id + ".");
        }
        return count;
    }
    /// Checks that no task had two runs at the same time, or was started after
    /// its end was recorded.
    void check_runs() {
        std::map<std::string, int> alive;
        std::set<std::string> recorded;
        for (const auto& event : cell.events()) {
            if (event.what == "start") {
                BOOST_TEST(++alive[event.task] == 1,
                           "two runs of " << event.task);
                BOOST_TEST(!recorded.contains(event.task),
                           event.task << " is started after its end");
            } else if (event.what == "noted") {
                recorded.insert(event.task);
            } else {
                alive[event.task]--;
            }
        }
    }

    /// Sends a signal to one of the system's processes.
    static void signal_vm(std::size_t number, int signal) {
        std::string own = std::to_string(getpid());
        std::ifstream children("/proc/" + own + "/task/" + own + "/children");
        std::vector<pid_t> processes{std::istream_iterator<pid_t>(children),
                                     {}};
        if (number < processes.size()) {
            kill(processes[number], signal);
        }
    }

    eelgrasslever::test::working_folder folder;
    queue occupant{"occupant", "desk.example", "/occupant/", "full"};
    queue visitor{"visitor", "desk.example", "/visitor/", "idle"};
    queue moved{"moved", "desk.example", "/moved/", "full"};
    review::cell::cell cell{"record.txt"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(reconfiguration, fixture)

// Jobs stayed with the service that their queue had when they were accepted,
// beside the idle one that it was sent to.
BOOST_AUTO_TEST_CASE(waiting_jobs_follow_their_queue) {
    occupy();
    std::map<std::string, int> tasks;
    tasks[submit(moved, {2, 4000, 1024, 2000})] = 2;
    tasks[submit(moved, {8, 2000, 1024, 2000, false, true})] = 8;
    tasks[submit(moved, {4, 2000, 1024, 2000, true})] = 4;
    for (int i = 0; i < 6; ++i) {
        tasks[submit(moved, {1, 1000, 1024, 2000})] = 1;
    }
    cell.sleep_ms(3000);
    for (const auto& [id, count] : tasks) {
        BOOST_TEST(cell.count_running(id) == 0);
    }
    change("idle");
    auto all_run = [&] {
        return std::all_of(tasks.begin(), tasks.end(), [&](const auto& row) {
            return count_running(row.first, "idle") == row.second;
        });
    };
    BOOST_TEST(wait_for(all_run, configuration_bound_ms + start_bound_ms));
}

// The next leader read the former service from the jobs' records.
BOOST_AUTO_TEST_CASE(waiting_jobs_follow_their_queue_after_a_restart) {
    occupy();
    std::string id = submit(moved, {2, 4000, 1024, 2000});
    cell.sleep_ms(2000);
    change("idle");
    cell.end_members();
    std::string early = id;
    BOOST_REQUIRE(cell.start_members(vm_count));
    BOOST_TEST(wait_for([&] { return count_running(id, "idle") == 2; },
                        configuration_bound_ms + start_bound_ms));
    change("full");
    cell.sleep_ms(configuration_bound_ms);
    id = submit(moved, {2, 4000, 1024, 2000});
    cell.sleep_ms(1000);
    restart_vms();
    change("idle");
    BOOST_TEST(wait_for([&] { return count_running(id, "idle") == 2; },
                        configuration_bound_ms + start_bound_ms));
    BOOST_TEST(count_running(early, "idle") == 2);
}

// The queue is absent for a while, is sent to a service that is full as well,
// and to one whose endpoints come later.
BOOST_AUTO_TEST_CASE(waiting_jobs_follow_their_queue_through_several_changes) {
    occupy();
    std::string id = submit(moved, {8, 2000, 1024, 2000, false, true});
    cell.sleep_ms(1000);
    cell.configure({occupant, visitor});
    cell.sleep_ms(3000);
    std::string other = submit(visitor, {8, 7600, 1024, 60'000, true});
    change("idle");
    cell.sleep_ms(configuration_bound_ms);
    BOOST_TEST(cell.count_running(id) == 0);
    change("late");
    cell.sleep_ms(configuration_bound_ms + 1000);
    BOOST_TEST(cell.count_running(id) == 0);
    for (int i = 0; i < 3; ++i) {
        BOOST_REQUIRE(cell.add_worker("late", "r-3", cores) != nullptr);
    }
    BOOST_TEST(wait_for([&] { return count_running(id, "late") == 8; },
                        start_bound_ms));
    BOOST_TEST(count_running(other, "idle") == 8);
}

// What runs when the queue is sent away goes on, once; a task that is lost
// afterwards waited for the former service.
BOOST_AUTO_TEST_CASE(running_jobs_go_on_and_lost_tasks_follow_their_queue) {
    std::string finite = submit(moved, {2, 2000, 1024, 60'000});
    std::string lasting = submit(moved, {4, 2000, 1024, 60'000, true});
    BOOST_REQUIRE(wait_for(
        [&] {
            return count_running(finite, "full") == 2 &&
                   count_running(lasting, "full") == 4;
        },
        start_bound_ms));
    change("idle");
    cell.sleep_ms(configuration_bound_ms + start_bound_ms);
    restart_vms();
    cell.sleep_ms(start_bound_ms);
    BOOST_TEST(count_running(finite, "full") == 2);
    BOOST_TEST(count_running(lasting, "full") == 4);
    BOOST_TEST(count_starts(finite) == 2);
    BOOST_TEST(count_starts(lasting) == 4);
    int lost = 0;
    for (review::cell::worker* each : cell.workers()) {
        int here = 0;
        for (const auto& run : each->running()) {
            here += run.task.starts_with(lasting + ".");
        }
        if (here > 0 && lost == 0) {
            lost = here;
            cell.crash(*each);
        }
    }
    BOOST_REQUIRE(lost > 0);
    BOOST_TEST(wait_for([&] { return count_running(lasting, "idle") == lost; },
                        restart_bound_ms));
    BOOST_TEST(count_running(lasting, "full") == 4 - lost);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Queues move between the services, are taken out and come back, while jobs
/// arrive, endpoints crash and VMs pause and restart.
class random_changes {
  public:
    random_changes(fixture& cell, std::uint64_t seed)
        : m_fixture(cell), m_random(seed) {}

    void run() {
        constexpr int turns = 40;
        for (int turn = 0; turn < turns; ++turn) {
            // What is lost late has no time to run again before the bounds.
            act(turn < turns / 2 ? draw_below(12) : draw_below(9));
            review::cell::cell::sleep_ms(static_cast<int>(draw_below(500)));
        }
        resume_vm();
        m_fixture.change("idle");
        review::cell::cell::sleep_ms(finish_bound_ms);
        BOOST_TEST(!m_finite.empty());
        for (const auto& [id, of] : m_finite) {
            std::string state = m_fixture.cell.state(of, id);
            BOOST_TEST(state == "completed", id << " is " << state);
        }
        for (const auto& [id, count] : m_lasting) {
            BOOST_TEST(m_fixture.cell.count_running(id) == count, id);
        }
    }

  private:
    std::uint64_t draw_below(std::uint64_t bound) { return m_random() % bound; }

    void act(std::uint64_t event) {
        queue& changed =
            draw_below(2) == 0 ? m_fixture.moved : m_fixture.visitor;
        switch (event) {
        case 0:
        case 1:
        case 2:
            changed.service = changed.service == "full" ? "idle" : "full";
            m_fixture.cell.configure(m_fixture.queues());
            break;
        case 3:
            m_fixture.cell.configure({m_fixture.occupant, m_fixture.visitor});
            break;
        case 9:
            crash_and_restart();
            break;
        case 10:
            resume_vm();
            m_paused = draw_below(vm_count);
            m_fixture.signal_vm(*m_paused, SIGSTOP);
            break;
        case 11:
            resume_vm();
            m_fixture.restart_vms();
            break;
        default:
            resume_vm();
            submit();
        }
    }

    void submit() {
        // "moved" may be absent at present; then the job is not accepted.
        const queue& chosen =
            draw_below(2) == 0 ? m_fixture.visitor : m_fixture.moved;
        std::string id = m_fixture.cell.make_id();
        bool lasts = draw_below(6) == 0;
        step spec{1 + static_cast<int>(draw_below(4)), 1000, 512, 1000, lasts,
                  !lasts && draw_below(3) == 0};
        std::string work = "work=" + std::to_string(300 + draw_below(2000));
        if (!m_fixture.cell.submit(chosen, id, {spec},
                                   lasts ? "lasting" : work)) {
            return;
        }
        if (lasts) {
            m_lasting[id] = spec.count;
        } else {
            m_finite.emplace(id, chosen);
        }
    }

    void crash_and_restart() {
        auto workers = m_fixture.cell.workers();
        review::cell::worker* target = workers[draw_below(workers.size())];
        if (target->is_up()) {
            m_fixture.cell.crash(*target);
            review::cell::cell::sleep_ms(static_cast<int>(draw_below(1000)));
            BOOST_REQUIRE(m_fixture.cell.restart(*target) != nullptr);
        }
    }

    void resume_vm() {
        if (m_paused) {
            m_fixture.signal_vm(*m_paused, SIGCONT);
            m_paused.reset();
        }
    }

    fixture& m_fixture;
    std::mt19937_64 m_random;
    std::optional<std::size_t> m_paused;
    std::map<std::string, queue> m_finite;
    std::map<std::string, int> m_lasting; ///< number of tasks
};

} // namespace

// Accepted jobs were lost, or tasks run twice, while their queues moved beside
// crashes, pauses and restarts. EEL_FIRST_SEED and EEL_SEEDS select other
// seeds.
BOOST_AUTO_TEST_CASE(random_changes_lose_no_job_and_run_no_task_twice) {
    std::uint64_t first = from_environment("EEL_FIRST_SEED", 1);
    std::uint64_t count = from_environment("EEL_SEEDS", 1);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            fixture cell;
            random_changes(cell, seed).run();
        }
    }
}
