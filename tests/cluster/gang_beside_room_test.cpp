// Gangs that stand beside free room because of their calls for advice, changes
// of the fleet or of the leader. The bound is that of the platform's rule: a
// job that could run, with room for it twice over and under half of the fleet
// in use, does so within 3 s.
#include "eelgrasslever/observe/log.hpp"
#include "environment.hpp"
#include "fake_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace eelgrasslever;
using test::fake_fleet;
using test::from_environment;
using test::make_job;

namespace {

constexpr base::milliseconds second{1000};
constexpr base::milliseconds millisecond{1};
constexpr base::milliseconds longest_wait = 3 * second;
constexpr std::int64_t member_cpu = 12'350; ///< three quarters of an endpoint
constexpr std::int64_t filler_cpu = 14'000; ///< leaves no room for a member
constexpr std::uint64_t seeds = 8;
/// Lines of the longest wait that a failed check prints.
constexpr std::size_t max_trace_lines = 14;

struct scene {
    int endpoints{90};
    int members{13}; ///< of each gang
    int gangs{1};
    int vms{10};
    int admitted_percent{45};
    /// Endpoints are full for this long, and become free within a second.
    base::milliseconds busy{0};
    int failures{0}; ///< of each gang
    int crashes{0};  ///< of endpoints under its first member
    base::milliseconds crash_outage{3000};
    bool mixed_sizes{true};
    /// Sets up the advice service.
    std::function<void(fake_fleet&, std::mt19937_64&)> set_up_advice;
    /// Duration of a call instead of the declared one.
    std::function<base::milliseconds(base::milliseconds, std::mt19937_64&)>
        advice_duration;
    base::milliseconds event_at{0}; ///< since the first leader
    bool replaces_third{false};
    bool changes_leader{false};
};

workload::job make_gang(const std::string& id, int members) {
    workload::job job = make_job(id, members, member_cpu);
    job.steps.front().gang = true;
    job.steps.front().estimated_duration = 2 * second;
    job.queue.name = "gangs";
    job.queue.priority = 1;
    job.queue.max_attempts = 8;
    job.queue.advice = workload::advice_policy{
        380 * millisecond, std::chrono::microseconds(5400), 2500 * millisecond};
    return job;
}

bool is_gang(const std::string& job) {
    return job.front() == 'g';
}

class room_beside_gangs {
  public:
    room_beside_gangs(std::uint64_t seed, scene what)
        : m_seed(seed), m_scene(std::move(what)), m_fleet(seed, {}),
          m_random(seed) {
        m_fleet.admits = [this](const auto& step, const std::string& id) {
            auto name = step.job + "/" + id + "/" + std::to_string(m_seed);
            return !is_gang(step.job) ||
                   std::hash<std::string>{}(name) % 100 <
                       static_cast<std::size_t>(m_scene.admitted_percent);
        };
        m_fleet.advice_times_out = true;
        m_fleet.advice_duration = [this](const cluster::advice_call& call) {
            auto declared = make_gang("", 1).queue.advice->call_duration(
                call.candidates.size());
            return m_scene.advice_duration
                       ? m_scene.advice_duration(declared, m_random)
                       : declared;
        };
        // The first member ends first, or the gang would be done with another.
        m_fleet.task_duration = [this](const workload::task_key& task) {
            if (is_gang(task.job)) {
                return task.index == 0 ? 1900 * millisecond : 2 * second;
            }
            return m_scene.busy + base::milliseconds(m_random() % 1000);
        };
        m_fleet.fails = [this](const workload::task_key& task) {
            return is_gang(task.job) && task.index == 0 &&
                   m_failed[task.job]++ < m_scene.failures;
        };
        m_fleet.crashes_after = [this](const workload::task_key& task)
            -> std::optional<base::milliseconds> {
            bool crashes = is_gang(task.job) && task.index == 0 &&
                           m_fleet.crashes_under(task) < m_scene.crashes;
            return crashes ? std::optional(300 * millisecond) : std::nullopt;
        };
        m_fleet.crash_outage = m_scene.crash_outage;
        m_fleet.channels.clear();
        for (int i = 0; i < m_scene.vms; ++i) {
            m_fleet.channels.push_back("vm-" + std::to_string(i));
        }
        if (m_scene.set_up_advice) {
            m_scene.set_up_advice(m_fleet, m_random);
        }
        for (int i = 0; i < m_scene.endpoints; ++i) {
            add_endpoint();
        }
    }
    ~room_beside_gangs() { observe::set_log_listener({}); }
    room_beside_gangs(const room_beside_gangs&) = delete;
    room_beside_gangs& operator=(const room_beside_gangs&) = delete;

    /// Runs until the gangs have ended, and checks how long one stood.
    void run_and_check() {
        observe::set_logging_enabled(false);
        observe::set_log_listener(
            [this](const auto& event, const auto& fields) {
                note(event, fields);
            });
        m_fleet.elect_leader();
        base::instant begun = m_fleet.now();
        if (m_scene.busy.count() > 0) {
            fill();
            run_for(second);
        }
        for (int i = 0; i < m_scene.gangs; ++i) {
            m_gangs.push_back("g" + std::to_string(i));
            m_needs[m_gangs.back()] = member_cpu;
            m_fleet.submit(make_gang(m_gangs.back(), m_scene.members));
        }
        auto limit = begun + m_scene.busy + 60 * second;
        bool pending = m_scene.replaces_third || m_scene.changes_leader;
        while (m_fleet.now() < limit && (pending || !all_ended())) {
            if (pending && m_fleet.now() - begun >= m_scene.event_at) {
                pending = false;
                disturb();
            }
            run_for(slice);
        }
        observe::set_log_listener({});
        observe::set_logging_enabled(true);
        BOOST_TEST_MESSAGE("seed " << m_seed << ": " << m_longest.count()
                                   << " ms, " << m_longest_gang);
        BOOST_TEST(m_longest <= longest_wait,
                   m_longest_gang << " waited " << m_longest.count()
                                  << " ms; seed " << m_seed << "\n"
                                  << m_trace);
        // In a full fleet none finds room before the others end, but on new
        // endpoints, which are idle.
        bool stays_full = !m_scene.replaces_third;
        for (const std::string& gang : m_gangs) {
            BOOST_TEST((!stays_full ||
                        m_fleet.first_start(gang) >= begun + m_scene.busy),
                       gang << " started in a full fleet; seed " << m_seed);
        }
        BOOST_TEST(all_ended(), "seed " << m_seed);
        BOOST_TEST(m_fleet.crashes() ==
                   static_cast<std::size_t>(m_scene.crashes * m_scene.gangs));
        // Beside an idle fleet, a gang that is never judged tests nothing.
        BOOST_TEST((m_judged || m_scene.busy.count() > 0), "seed " << m_seed);
        BOOST_TEST(m_fleet.violations().empty(), "seed " << m_seed);
    }

  private:
    static constexpr base::milliseconds slice{20};

    void add_endpoint() {
        std::string id = "e" + std::to_string(m_next_endpoint++);
        base::resources capacity;
        capacity.cpu_milli =
            m_scene.mixed_sizes && m_random() % 3 == 0 ? 32'000 : 16'000;
        capacity.memory_mb = 128'000;
        m_fleet.add_endpoint(id, capacity);
        m_capacity[id] = capacity.cpu_milli;
    }

    void fill() {
        std::int64_t count = 0;
        for (const auto& [id, capacity] : m_capacity) {
            count += capacity / filler_cpu;
        }
        workload::job filler =
            make_job("filler", static_cast<int>(count), filler_cpu);
        filler.queue.priority = 0; // leaves no room for urgent work
        filler.steps.front().estimated_duration = m_scene.busy;
        m_needs["filler"] = filler_cpu;
        m_fleet.submit(filler);
    }

    void disturb() {
        if (m_scene.changes_leader) {
            m_fleet.elect_leader(300 * millisecond);
        }
        if (m_scene.replaces_third) {
            for (int i = 0; i < m_scene.endpoints / 3; ++i) {
                auto it = m_capacity.begin();
                std::advance(it, static_cast<std::ptrdiff_t>(
                                     m_random() % m_capacity.size()));
                m_fleet.remove_endpoint(it->first);
                m_capacity.erase(it);
                add_endpoint();
            }
        }
    }

    void run_for(base::milliseconds time) {
        for (auto until = m_fleet.now() + time; m_fleet.now() < until;) {
            m_fleet.run_for(slice);
            measure();
        }
    }

    [[nodiscard]] bool has_ended(const std::string& job) {
        return workload::is_terminal(m_fleet.progress_of(job).state);
    }
    [[nodiscard]] bool all_ended() {
        return std::all_of(m_gangs.begin(), m_gangs.end(),
                           [&](const auto& id) { return has_ended(id); });
    }

    /// @return jobs of which a run is alive, or may be: no task runs again
    /// before the lease of an endpoint that was lost under it has expired.
    std::set<std::string> find_live_jobs() {
        std::set<std::string> result;
        for (const auto& [id, endpoint] : m_fleet.endpoints()) {
            for (const auto& [key, run] : endpoint.runs) {
                result.insert(key.task.job);
            }
        }
        for (const auto& [id, endpoint] : m_fleet.leader().endpoints()) {
            if (!m_capacity.contains(id)) {
                for (const auto& [key, run] : endpoint.runs) {
                    result.insert(key.task.job);
                }
            }
        }
        return result;
    }

    void measure() {
        auto elapsed = m_fleet.now() - m_measured_at;
        m_measured_at = m_fleet.now();
        std::int64_t used = 0;
        std::int64_t total = 0;
        std::erase_if(m_capacity, [&](const auto& row) {
            return m_fleet.endpoint(row.first).gone;
        });
        auto free = m_capacity;
        for (auto& [id, left] : free) {
            total += left;
            for (const auto& [key, run] : m_fleet.endpoint(id).runs) {
                left -= m_needs.at(key.task.job);
                used += m_needs.at(key.task.job);
            }
        }
        auto live = find_live_jobs();
        for (const std::string& gang : m_gangs) {
            std::int64_t slots = 0;
            for (const auto& [id, left] : free) {
                if (m_fleet.admits({gang, 0, 0, 0}, id)) {
                    slots += left / member_cpu;
                }
            }
            bool could_run = 2 * used < total &&
                             slots >= std::int64_t{2} * m_scene.members &&
                             !live.contains(gang) && !has_ended(gang);
            m_judged = m_judged || could_run;
            base::milliseconds& waited = m_waited[gang];
            bool goes_on = could_run && !m_standing.insert(gang).second;
            waited = goes_on ? waited + elapsed : base::milliseconds(0);
            if (!could_run) {
                m_standing.erase(gang);
            }
            if (waited > m_longest) {
                m_longest = waited;
                m_longest_gang = gang;
                m_trace.clear();
                for (const std::string& line : m_lines[gang]) {
                    m_trace += line + "\n";
                }
            }
        }
    }

    void note(const std::string& event, const observe::log_fields& fields) {
        static const std::set<std::string> kept{"advice_asked", "advice",
                                                "step_waits", "step_deferred"};
        if (!kept.contains(event)) {
            return;
        }
        for (const auto& [name, value] : fields) {
            if (name == "step" && is_gang(value)) {
                auto id = value.substr(0, value.find('.'));
                auto& lines = m_lines[id];
                lines.push_back(
                    std::to_string(m_fleet.now().time_since_epoch().count()) +
                    ": " + observe::format_event(event, fields));
                if (lines.size() > max_trace_lines) {
                    lines.erase(lines.begin());
                }
            }
        }
    }

    std::uint64_t m_seed;
    scene m_scene;
    fake_fleet m_fleet;
    std::mt19937_64 m_random;
    std::vector<std::string> m_gangs;
    std::map<std::string, int> m_failed;
    std::map<std::string, std::int64_t> m_capacity; ///< of endpoints in use
    std::map<std::string, std::int64_t> m_needs;    ///< of a task of each job
    std::map<std::string, base::milliseconds> m_waited;
    std::set<std::string> m_standing; ///< beside room, when last measured
    std::map<std::string, std::vector<std::string>> m_lines;
    base::instant m_measured_at{m_fleet.now()};
    base::milliseconds m_longest{0};
    std::string m_longest_gang;
    std::string m_trace;
    bool m_judged{false}; ///< a gang stood beside free room at all
    int m_next_endpoint{0};
};

/// EEL_FIRST_SEED and EEL_SEEDS select other seeds.
void check(const std::function<scene(std::uint64_t)>& make) {
    std::uint64_t first = from_environment("EEL_FIRST_SEED", 1);
    std::uint64_t count = from_environment("EEL_SEEDS", seeds);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        room_beside_gangs(seed, make(seed)).run_and_check();
    }
}

/// @return a share of admitted endpoints between 0.3 and 0.6.
int vary_admission(std::uint64_t seed) {
    return 30 + static_cast<int>(10 * (seed % 4));
}

/// Calls take up to 2.5 times as long as declared.
base::milliseconds slow_advice(base::milliseconds declared,
                               std::mt19937_64& random) {
    return declared * static_cast<std::int64_t>(100 + random() % 151) / 100;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gang_beside_room)

// Eight gangs that ask for the first time wait for one another's calls: each
// call names 100 endpoints, though 30 would do, and takes 0.9 s.
BOOST_AUTO_TEST_CASE(gangs_that_ask_at_once_on_two_channels_start_in_time) {
    check([](std::uint64_t seed) {
        scene what;
        what.endpoints = 160;
        what.gangs = 8;
        what.vms = 2;
        what.admitted_percent = vary_admission(seed);
        return what;
    });
}

// Likewise eleven narrow gangs, for which 20 endpoints a call would do.
BOOST_AUTO_TEST_CASE(narrow_gangs_that_ask_at_once_start_in_time) {
    check([](std::uint64_t) {
        scene what;
        what.members = 4;
        what.gangs = 11;
        what.vms = 2;
        what.admitted_percent = 60;
        return what;
    });
}

// A call that takes longer than declared is given up and made anew, as long as
// before.
BOOST_AUTO_TEST_CASE(gangs_start_in_time_though_advice_is_slow) {
    check([](std::uint64_t seed) {
        scene what;
        what.gangs = 3;
        what.admitted_percent = vary_admission(seed);
        what.advice_duration = slow_advice;
        return what;
    });
}

// Likewise if the room was full as the gangs asked first.
BOOST_AUTO_TEST_CASE(
    gangs_start_in_a_fleet_that_empties_though_advice_is_slow) {
    check([](std::uint64_t seed) {
        scene what;
        what.gangs = 3;
        what.busy = 6 * second;
        what.admitted_percent = vary_admission(seed);
        what.advice_duration = slow_advice;
        return what;
    });
}

// A VM that gets no advice takes a call for its whole timeout, again and again.
BOOST_AUTO_TEST_CASE(gangs_start_in_time_beside_a_dead_channel) {
    check([](std::uint64_t seed) {
        scene what;
        what.gangs = 4;
        what.vms = seed % 2 == 0 ? 2 : 4;
        what.admitted_percent = vary_admission(seed);
        what.set_up_advice = [](fake_fleet& fleet, std::mt19937_64&) {
            fleet.answers_advice = [](const std::string& channel) {
                return channel != "vm-0";
            };
        };
        return what;
    });
}

// A third of all calls is never answered; the step waits for each timeout.
BOOST_AUTO_TEST_CASE(gangs_start_in_time_though_calls_are_not_answered) {
    check([](std::uint64_t seed) {
        scene what;
        what.gangs = 3;
        what.admitted_percent = vary_admission(seed);
        what.set_up_advice = [](fake_fleet& fleet, std::mt19937_64& random) {
            fleet.answers_advice = [&random](const std::string&) {
                return random() % 3 != 0;
            };
        };
        return what;
    });
}

// A third of the endpoints is another one than when the gangs asked.
BOOST_AUTO_TEST_CASE(gangs_start_in_time_on_a_fleet_a_third_of_which_is_new) {
    check([](std::uint64_t seed) {
        scene what;
        what.gangs = 4;
        what.busy = 6 * second;
        what.event_at = base::milliseconds(3000 + 500 * (seed % 4));
        what.replaces_third = true;
        what.failures = 3;
        what.admitted_percent = vary_admission(seed);
        return what;
    });
}

// A third of the endpoints leaves while the gangs ask about them.
BOOST_AUTO_TEST_CASE(gangs_start_in_time_though_a_third_leaves_in_their_call) {
    check([](std::uint64_t seed) {
        scene what;
        what.gangs = 4;
        what.event_at = base::milliseconds(250 * (seed % 4));
        what.replaces_third = true;
        what.admitted_percent = vary_admission(seed);
        return what;
    });
}

// A new leader knows nothing of tickets and asks anew for all that wait.
BOOST_AUTO_TEST_CASE(gangs_that_wait_start_in_time_under_a_new_leader) {
    check([](std::uint64_t seed) {
        scene what;
        what.endpoints = 160;
        what.gangs = 10;
        what.vms = 4;
        what.busy = 6 * second;
        what.event_at = base::milliseconds(5300 + 300 * (seed % 4));
        what.changes_leader = true;
        what.admitted_percent = vary_admission(seed);
        return what;
    });
}

// A call that is under way is lost with the leader.
BOOST_AUTO_TEST_CASE(gangs_start_in_time_though_the_leader_changes_in_a_call) {
    check([](std::uint64_t seed) {
        scene what;
        what.gangs = 4;
        what.event_at = base::milliseconds(200 * (seed % 4) + 200);
        what.changes_leader = true;
        what.admitted_percent = vary_admission(seed);
        return what;
    });
}

// A member that may have crashed its endpoint waits for the proof of it.
BOOST_AUTO_TEST_CASE(a_gang_with_a_suspect_starts_in_time) {
    check([](std::uint64_t seed) {
        scene what;
        what.crashes = 2;
        what.admitted_percent = vary_admission(seed);
        return what;
    });
}

// Likewise if the proof comes later than the lease of the endpoint expires,
// with two crashes and three.
BOOST_AUTO_TEST_CASE(a_gang_with_a_suspect_starts_in_time_without_a_proof) {
    check([](std::uint64_t seed) {
        scene what;
        what.crashes = seed % 2 == 0 ? 2 : 3;
        what.crash_outage = 12 * second;
        what.admitted_percent = vary_admission(seed);
        return what;
    });
}

// The 100 endpoints of one call can't hold a gang of 60 twice, or not once.
BOOST_AUTO_TEST_CASE(a_gang_too_wide_for_one_call_starts_in_time) {
    check([](std::uint64_t seed) {
        scene what;
        what.members = 60;
        what.mixed_sizes = false;
        what.admitted_percent = vary_admission(seed) - 5;
        what.endpoints = 16'000 / what.admitted_percent;
        return what;
    });
}

// Three such gangs ask again and again, one call after another, until the
// tickets of their first calls have expired.
BOOST_AUTO_TEST_CASE(gangs_too_wide_for_one_call_start_once_the_fleet_empties) {
    check([](std::uint64_t seed) {
        scene what;
        what.members = 60;
        what.gangs = 3;
        what.mixed_sizes = false;
        what.busy = 6 * second;
        what.admitted_percent = vary_admission(seed) - 5;
        what.endpoints = 16'000 / what.admitted_percent;
        return what;
    });
}

BOOST_AUTO_TEST_SUITE_END()
