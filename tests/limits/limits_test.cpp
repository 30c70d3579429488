// The limits of workspaces while configurations change and leaders are lost,
// with the system's own processes and the stand-ins of `review/cell_3`.
#include "cell.hpp"
#include "working_folder.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace {

using namespace std::chrono_literals;
using review::cell::deployment;
using review::cell::milliseconds;
using review::cell::vm;

constexpr int vm_count = 3;
constexpr int worker_count = 6;
constexpr int worker_cpu = 16'000;
/// Work has to start within this time beside free room.
constexpr milliseconds start_bound = 3s;
/// Jobs must have ended this long after the end of the traffic, by the settings
/// that the stand-ins write.
constexpr milliseconds finish_bound = 14s;
const review::cell::queue desk{"q-desk", "/desk/", "desk"};

/// What a job asks for.
struct request {
    int count{1};
    int cpu{1000};
    bool lasts{false};
};

/// Three VMs and six workers, with one workspace that is under a limit and one
/// that is not.
class course {
  public:
    explicit course(int cap) {
        m_cell.tenants = {{"limited", "key-limited", cap},
                          {"free", "key-free", 0}};
        m_cell.limits.stop_duration = 800ms;
        m_cell.course = [this](const std::string& task, int) {
            const request& of = m_requests.at(task.substr(0, task.find('.')));
            return review::cell::task_course{1s, false, of.lasts};
        };
        const char* zones[] = {"north", "south", "west"};
        for (int i = 0; i < worker_count; ++i) {
            m_cell.add_worker("worker-" + std::to_string(i), zones[i % 3],
                              {"a", "r" + std::to_string(i % 3)}, worker_cpu);
        }
        m_cell.configure({desk});
        check(m_cell.start(vm_count) && m_cell.wait_ready(15s),
              "the VMs are ready");
        // The leader knows the workers by then.
        deployment::wait(m_cell.limits.contact + 1s);
    }

    std::string submit(const request& asked,
                       const std::string& key = "key-limited") {
        std::string id =
            "11a17000000000" + std::to_string(10 + m_requests.size());
        m_requests[id] = asked;
        m_keys[id] = key;
        m_cell.key = key;
        std::string step = R"([{"count":)" + std::to_string(asked.count) +
                           R"(,"cpu":)" + std::to_string(asked.cpu) +
                           R"(,"memMb":256,)" +
                           (asked.lasts ? R"("longRunning":true}])"
                                        : R"("estimateMs":1000}])");
        check(m_cell.submit(serving_vm(), desk, id, step) == 200,
              id + " is accepted");
        return id;
    }
    void cancel(const std::string& id) {
        m_cell.key = m_keys.at(id);
        check(m_cell.cancel(serving_vm(), desk, id) == 200,
              id + " is cancelled");
    }
    void set_cap(int cap) {
        m_cell.tenants.front().cap_cpu = cap;
        m_cell.configure({desk});
    }
    void signal_leader(int signal) {
        vm* leader = m_cell.leader();
        check(leader != nullptr, "there is a leader");
        if (leader != nullptr) {
            m_stopped.push_back(leader->name);
            m_cell.send_signal(*leader, signal);
        }
    }
    [[nodiscard]] std::size_t starts(const std::string& id) const {
        std::size_t count = 0;
        for (const auto& event : m_cell.runs.of_job(id)) {
            count += event.how == "start" ? 1 : 0;
        }
        return count;
    }
    /// @return whether all tasks of the job are started within the time.
    [[nodiscard]] bool starts_within(const std::string& id,
                                     milliseconds limit) const {
        auto count = static_cast<std::size_t>(m_requests.at(id).count);
        constexpr milliseconds period = 20ms;
        for (milliseconds waited{0}; waited < limit; waited += period) {
            if (starts(id) >= count) {
                return true;
            }
            deployment::wait(period);
        }
        return starts(id) >= count;
    }
    std::string state(const std::string& id) {
        m_cell.key = m_keys.at(id);
        return m_cell.state(serving_vm(), desk, id);
    }
    /// @return the most that the limited workspace had running at a start that
    /// came later than @p from.
    [[nodiscard]] int most_running(milliseconds from = 0ms) const {
        std::multimap<milliseconds, int> changes;
        for (const auto& [id, key] : m_keys) {
            for (const auto& event : m_cell.runs.of_job(id)) {
                int cpu = m_requests.at(id).cpu;
                if (key == "key-limited") {
                    changes.emplace(event.at,
                                    event.how == "start" ? cpu : -cpu);
                }
            }
        }
        int running = 0;
        int most = 0;
        for (const auto& [at, change] : changes) {
            running += change;
            most = change > 0 && at > from ? std::max(most, running) : most;
        }
        return most;
    }
    [[nodiscard]] milliseconds now() const { return m_cell.notes.now(); }
    [[nodiscard]] const std::map<std::string, request>& requests() const {
        return m_requests;
    }

    void check(bool condition, const std::string& what) {
        if (!condition) {
            std::cerr << "not so: " << what << "\n";
            m_holds = false;
        }
    }
    /// @return whether all checks have passed.
    [[nodiscard]] bool holds() const { return m_holds; }
    void end() { m_cell.end_processes(); }

  private:
    const vm& serving_vm() {
        for (const vm& each : m_cell.vms) {
            if (std::find(m_stopped.begin(), m_stopped.end(), each.name) ==
                m_stopped.end()) {
                return each;
            }
        }
        return m_cell.vms.front();
    }

    deployment m_cell{"."};
    std::map<std::string, request> m_requests;
    std::map<std::string, std::string> m_keys; ///< of the callers, by job
    std::vector<std::string> m_stopped;
    bool m_holds{true};
};

/// Plays a course in a process of its own, as the stand-ins take their
/// addresses from its id and their threads end with it.
bool holds(int cap, const std::function<void(course&)>& play) {
    eelgrasslever::test::working_folder folder;
    pid_t child = fork();
    if (child == 0) {
        std::signal(SIGPIPE, SIG_IGN);
        auto* played = new course(cap);
        if (played->holds()) {
            play(*played);
        }
        played->end();
        _exit(played->holds() ? 0 : 1);
    }
    int status = -1;
    waitpid(child, &status, 0);
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limits)

// Tasks of an accepted job were never started again once the limit had become
// smaller than one of them, also under the next leader and beside smaller jobs.
BOOST_AUTO_TEST_CASE(tasks_larger_than_a_lowered_limit_run) {
    bool held = holds(16'000, [](course& played) {
        played.submit({4, 6000});
        std::string lasting = played.submit({1, 6000, true});
        deployment::wait(500ms);
        played.set_cap(4000);
        milliseconds lowered_at = played.now();
        deployment::wait(500ms);
        played.signal_leader(SIGKILL);
        deployment::wait(4s);
        played.cancel(lasting);
        for (int i = 0; i < 15; ++i) {
            played.submit({1, 1000});
            deployment::wait(400ms);
        }
        deployment::wait(finish_bound);
        for (const auto& [id, asked] : played.requests()) {
            played.check(id == lasting || played.state(id) == "completed",
                         id + " is completed");
        }
        constexpr milliseconds in_force = 2s;
        played.check(played.most_running(lowered_at + in_force) <=
                         4000 * 11 / 10 + 6000,
                     "no start passes the limit by more than a task");
    });
    BOOST_TEST(held);
}

// A leader that stopped just after a job was cancelled left its runs to the
// next one, which counted them against no workspace and started as many beside
// them; so did the one after it.
BOOST_AUTO_TEST_CASE(runs_of_a_cancelled_job_count_under_the_next_leaders) {
    constexpr int cap = 8000;
    bool held = holds(cap, [](course& played) {
        std::string first = played.submit({8, 1000, true});
        played.check(played.starts_within(first, start_bound), "first starts");
        std::string second = played.submit({8, 1000, true});
        deployment::wait(1s);
        played.cancel(first);
        deployment::wait(200ms);
        played.signal_leader(SIGTERM);
        std::string other = played.submit({2, 1000}, "key-free");
        deployment::wait(300ms);
        played.signal_leader(SIGTERM);
        played.check(played.starts_within(other, start_bound),
                     "another workspace starts");
        // The stops take 0.8 s.
        played.check(played.starts_within(second, 1s + start_bound),
                     "second starts");
        played.check(played.most_running() <= cap * 11 / 10 + 1000,
                     "no start passes the limit");
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()
