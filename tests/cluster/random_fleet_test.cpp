// Seeded runs of the scheduler among faults. What must always hold is checked
// by the fleet at each start.
#include "fake_fleet.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <set>

using namespace eelgrasslever;
using test::fake_fleet;
using test::make_job;

namespace {

constexpr base::milliseconds second{1000};

class random_day {
  public:
    explicit random_day(std::uint64_t seed)
        : m_random(seed), m_fleet(seed, draw_faults()) {}

    std::vector<std::string> play() {
        base::resources room;
        room.cpu_milli = 8000;
        room.memory_mb = 32'000;
        for (int i = 0; i < 6; ++i) {
            m_fleet.add_endpoint("e" + std::to_string(i), room);
        }
        m_fleet.task_duration = [this](const workload::task_key& key) {
            std::size_t h = std::hash<std::string>{}(key.job + "." +
                                                     std::to_string(key.step));
            return base::milliseconds(100 + h % 3000);
        };
        m_fleet.admits = [](const workload::task_key& key,
                            const std::string& id) {
            // Half of the endpoints always, so that each job can be run.
            return id < "e3" || std::hash<std::string>{}(key.job + id) % 3 != 0;
        };
        m_fleet.elect_leader();
        for (int turn = 0; turn < 60; ++turn) {
            disturb(turn);
            m_fleet.run_for(base::milliseconds(200));
        }
        for (int i = 0; i < 6; ++i) {
            m_fleet.endpoint("e" + std::to_string(i)).reachable = true;
            m_fleet.endpoint("e" + std::to_string(i)).hangs = false;
        }
        m_fleet.store_up = true;
        bool ended = m_fleet.run_until_jobs_end(180 * second);
        auto out = m_fleet.violations();
        if (!ended) {
            out.push_back("not ended: " + m_fleet.describe_open_jobs());
        }
        return out;
    }

  private:
    test::fleet_faults draw_faults() {
        test::fleet_faults out;
        out.lost_reply = pick(3) == 0 ? 0.1 : 0.0;
        out.late_order = pick(3) == 0 ? 0.05 : 0.0;
        out.failed_run = pick(2) == 0 ? 0.05 : 0.0;
        return out;
    }

    std::uint64_t pick(std::uint64_t below) { return m_random() % below; }

    void disturb(int turn) {
        if (pick(2) == 0) {
            submit(turn);
        }
        std::string id = "e" + std::to_string(pick(6));
        switch (pick(14)) {
        case 0:
            m_fleet.elect_leader(base::milliseconds(pick(2000)));
            break;
        case 1:
            m_fleet.endpoint(id).reachable = !m_fleet.endpoint(id).reachable;
            break;
        case 2:
            m_fleet.store_up = !m_fleet.store_up;
            break;
        case 3:
            m_fleet.endpoint(id).hangs = !m_fleet.endpoint(id).hangs;
            break;
        case 4:
            if (m_jobs > 0) {
                m_fleet.cancel("j" + std::to_string(pick(m_jobs)));
            }
            break;
        default:
            break;
        }
    }

    void submit(int turn) {
        workload::job job = make_job(
            "j" + std::to_string(m_jobs++), 1 + static_cast<int>(pick(6)),
            500 + static_cast<std::int64_t>(pick(2500)));
        job.queue.priority = static_cast<int>(pick(3));
        job.steps.front().gang = pick(4) == 0;
        if (pick(3) == 0) {
            workload::step next = job.steps.front();
            next.predecessors = {0};
            job.steps.push_back(next);
        }
        if (pick(2) == 0) {
            job.queue.advice = workload::advice_policy{
                base::milliseconds(20), std::chrono::microseconds(100),
                base::milliseconds(2500)};
        }
        job.payload += std::to_string(turn);
        m_fleet.submit(job);
    }

    std::mt19937_64 m_random;
    fake_fleet m_fleet;
    std::uint64_t m_jobs{0};
};

std::uint64_t from_environment(const char* name, std::uint64_t standard) {
    const char* text = std::getenv(name);
    return text == nullptr ? standard : std::strtoull(text, nullptr, 10);
}

} // namespace

// EEL_FIRST_SEED and EEL_SEEDS play others.
BOOST_AUTO_TEST_CASE(random_fleets_keep_the_rules) {
    std::uint64_t first = from_environment("EEL_FIRST_SEED", 1);
    std::uint64_t count = from_environment("EEL_SEEDS", 40);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        for (const std::string& what : random_day(seed).play()) {
            BOOST_ERROR("seed " + std::to_string(seed) + ": " + what);
        }
    }
}

namespace {

/// What the line of each decision must hold, whatever else it does.
const std::map<std::string, std::set<std::string>> required_fields{
    {"task_placed",
     {"task", "run", "endpoint", "token", "waited_ms", "free_cpu",
      "seen_ms_ago"}},
    {"start_not_done",
     {"task", "run", "endpoint", "token", "why", "placed_ms_ago",
      "seen_ms_ago"}},
    {"task_ended", {"task", "run", "endpoint", "how", "ran_ms"}},
    {"job_begun", {"job", "waited_ms"}},
    {"job_ended", {"job", "state", "why", "age_ms"}},
    {"advice_asked", {"step", "query", "channel", "candidates", "missing"}},
    {"advice", {"step", "query", "answered", "admitted", "asked", "took_ms"}},
    {"endpoint_silent", {"endpoint", "why", "runs"}},
    {"endpoint_back", {"endpoint"}},
    {"endpoint_suspected", {"endpoint", "why", "failures", "rest_ms"}},
    {"endpoint_inventoried", {"endpoint", "running", "ended"}},
    {"run_missing", {"task", "run", "endpoint"}},
    {"runs_lost", {"endpoint", "runs", "why"}},
};

struct event_recorder {
    event_recorder() {
        observe::listen_to_log([this](const std::string& event,
                                      const observe::log_fields& fields) {
            seen.insert(event);
            auto required = required_fields.find(event);
            if (required == required_fields.end()) {
                return;
            }
            std::set<std::string> names;
            for (const auto& [name, value] : fields) {
                names.insert(name);
                if (value.empty()) {
                    faults.insert(event + ": " + name + " is empty");
                }
            }
            for (const std::string& name : required->second) {
                if (!names.contains(name)) {
                    faults.insert(event + ": no " + name);
                }
            }
        });
        observe::enable_logging(false);
    }
    ~event_recorder() {
        observe::listen_to_log(nullptr);
        observe::enable_logging(true);
    }

    std::set<std::string> seen;
    std::set<std::string> faults;
};

} // namespace

BOOST_AUTO_TEST_CASE(the_line_of_each_decision_has_its_fields) {
    event_recorder recorder;
    constexpr std::uint64_t days = 40;
    for (std::uint64_t seed = 1; seed <= days; ++seed) {
        random_day(seed).play();
    }
    for (const std::string& fault : recorder.faults) {
        BOOST_ERROR(fault);
    }
    for (const auto& [event, fields] : required_fields) {
        BOOST_TEST(recorder.seen.contains(event), "never seen: " << event);
    }
}
