// Gangs that wait although there is room for them. The bound is that of the
// platform's rule: a job that could run, with room for it twice over and under
// half of the fleet in use, does so within 3 s.
#include "eelgrasslever/observe/log.hpp"
#include "fake_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace eelgrasslever;
using test::fake_fleet;
using test::make_job;

namespace {

constexpr base::milliseconds second{1000};
constexpr base::milliseconds millisecond{1};
constexpr base::milliseconds longest_wait = 3 * second;
constexpr int endpoint_cores = 16;

base::resources cores(std::int64_t count) {
    base::resources out;
    out.cpu_milli = count * 1000;
    out.memory_mb = 64'000;
    return out;
}

workload::job make_gang(int count, int attempts) {
    workload::job job = make_job("gang", count, 5700);
    job.steps.front().gang = true;
    job.steps.front().estimated_duration = 4 * second;
    job.queue.name = "gangs";
    job.queue.priority = 1;
    job.queue.max_attempts = attempts;
    job.queue.advice = workload::advice_policy{
        380 * millisecond, std::chrono::microseconds(5400), 2500 * millisecond};
    return job;
}

/// A job of another queue that keeps room in use.
workload::job make_filler(const std::string& id, int count,
                          std::int64_t cpu_milli) {
    workload::job job = make_job(id, count, cpu_milli);
    job.steps.front().estimated_duration = second;
    job.queue.name = "fillers";
    job.queue.priority = 2;
    job.queue.advice = workload::advice_policy{
        62 * millisecond, std::chrono::microseconds(880), 2500 * millisecond};
    return job;
}

/// Measures how long the gang stands still while the rule asks for it to run.
class room_watch {
  public:
    room_watch(fake_fleet& fleet, const workload::job& gang)
        : m_fleet(fleet), m_gang(gang) {}

    void submit(const workload::job& job) {
        m_needs[job.id] = job.steps.front().need;
        m_fleet.submit(job);
    }
    void add_endpoint(const std::string& id) {
        m_fleet.add_endpoint(id, cores(endpoint_cores));
        m_ids.push_back(id);
    }
    void remove_endpoint(const std::string& id) {
        m_fleet.remove_endpoint(id);
        std::erase(m_ids, id);
    }

    void run_for(base::milliseconds time) {
        constexpr base::milliseconds slice{10};
        for (auto until = m_fleet.now() + time; m_fleet.now() < until;) {
            m_fleet.run_for(slice);
            m_waited = could_run() ? m_waited + slice : base::milliseconds(0);
            m_longest = std::max(m_longest, m_waited);
        }
    }

    [[nodiscard]] base::milliseconds longest() const { return m_longest; }
    [[nodiscard]] bool gang_runs() {
        return std::any_of(m_ids.begin(), m_ids.end(), [&](const auto& id) {
            const auto& runs = m_fleet.endpoint(id).runs;
            return std::any_of(runs.begin(), runs.end(), [&](const auto& row) {
                return row.first.task.job == m_gang.id;
            });
        });
    }

  private:
    [[nodiscard]] bool could_run() {
        if (!m_needs.contains(m_gang.id)) {
            return false;
        }
        const workload::step& step = m_gang.steps.front();
        std::int64_t used = 0;
        std::int64_t slots = 0;
        for (const std::string& id : m_ids) {
            std::int64_t free = cores(endpoint_cores).cpu_milli;
            for (const auto& [key, run] : m_fleet.endpoint(id).runs) {
                free -= m_needs.at(key.task.job).cpu_milli;
            }
            used += cores(endpoint_cores).cpu_milli - free;
            if (m_fleet.admits({m_gang.id, 0, 0, 0}, id)) {
                slots += std::max<std::int64_t>(0, free) / step.need.cpu_milli;
            }
        }
        bool half_free = 2 * used < static_cast<std::int64_t>(m_ids.size()) *
                                        cores(endpoint_cores).cpu_milli;
        return half_free && slots >= 2 * step.count && !gang_runs() &&
               !workload::is_terminal(m_fleet.progress_of(m_gang.id).state);
    }

    fake_fleet& m_fleet;
    workload::job m_gang;
    std::map<std::string, base::resources> m_needs;
    std::vector<std::string> m_ids;
    base::milliseconds m_longest{0};
    base::milliseconds m_waited{0};
};

/// Calls take as long as the queues' policies say.
void use_declared_durations(fake_fleet& fleet) {
    fleet.advice_duration = [](const cluster::advice_call& call) {
        bool gang = call.step.job == "gang";
        return gang ? make_gang(1, 1).queue.advice->call_duration(
                          call.candidates.size())
                    : make_filler("", 1, 1).queue.advice->call_duration(
                          call.candidates.size());
    };
}

/// Endpoints named "x..." admit the gang.
bool admits_gang(const std::string& endpoint) {
    return endpoint.front() == 'x';
}

} // namespace

BOOST_AUTO_TEST_SUITE(gang_wait)

// Each renewal of the tickets made the pause before the next one longer, also
// after a start, so a gang that had failed often stood still for many seconds.
BOOST_AUTO_TEST_CASE(a_gang_that_failed_often_starts_again_beside_free_room) {
    fake_fleet fleet(1, {});
    use_declared_durations(fleet);
    fleet.admits = [](const auto& step, const std::string& id) {
        return step.job != "gang" || admits_gang(id);
    };
    constexpr int failures = 5;
    workload::job gang = make_gang(4, failures + 2);
    room_watch watch(fleet, gang);
    for (int i = 0; i < 14; ++i) {
        watch.add_endpoint("x" + std::to_string(i));
        watch.add_endpoint("y" + std::to_string(i));
    }
    int failed = 0;
    fleet.task_duration = [](const auto&) { return 2600 * millisecond; };
    fleet.fails = [&](const workload::task_key& task) {
        return task.job == "gang" && task.index == 0 && failed++ < failures;
    };
    fleet.elect_leader();
    watch.submit(gang);
    watch.run_for(40 * second);
    BOOST_TEST(watch.longest() <= longest_wait);
    BOOST_TEST(
        (fleet.progress_of("gang").state == workload::job_state::completed));
    BOOST_TEST(fleet.violations().empty());
}

// Room that others took before the tickets arrived made the pauses longer; the
// gang still kept to them when the fleet had emptied.
BOOST_AUTO_TEST_CASE(a_gang_that_found_no_room_starts_once_the_fleet_empties) {
    for (std::uint64_t seed : {1, 2, 3, 4, 5, 6}) {
        observe::set_logging_enabled(false);
        fake_fleet fleet(seed, {});
        use_declared_durations(fleet);
        fleet.admits = [](const auto& step, const std::string& id) {
            return step.job != "gang" || admits_gang(id);
        };
        workload::job gang = make_gang(8, 4);
        room_watch watch(fleet, gang);
        for (int i = 0; i < 8; ++i) {
            watch.add_endpoint("x" + std::to_string(i));
            watch.add_endpoint("y" + std::to_string(i));
            watch.add_endpoint("z" + std::to_string(i));
        }
        std::mt19937_64 random(seed);
        // Their ends come at other times than their estimates say.
        fleet.task_duration = [&](const workload::task_key& task) {
            return task.job == "gang"
                       ? 2600 * millisecond
                       : base::milliseconds(500 + random() % 2500);
        };
        int failed = 0;
        fleet.fails = [&](const workload::task_key& task) {
            return task.job == "gang" && task.index == 0 && failed++ < 3;
        };
        fleet.elect_leader();
        watch.submit(gang);
        // More work than there is room for, and then none.
        for (int i = 0; i < 250; ++i) {
            workload::job filler =
                make_filler("f" + std::to_string(i), 12,
                            static_cast<std::int64_t>(900 + random() % 1500));
            watch.submit(filler);
            watch.run_for(80 * millisecond);
        }
        watch.run_for(40 * second);
        observe::set_logging_enabled(true);
        BOOST_TEST(watch.longest() <= longest_wait,
                   "waited " << watch.longest().count() << " ms; seed "
                             << seed);
        BOOST_TEST(
            (fleet.progress_of("gang").state == workload::job_state::completed),
            "seed " << seed);
        BOOST_TEST(fleet.violations().empty());
    }
}

// Pattern of a trace: a gang had asked while the fleet was small; most of those
// that admitted it were busy for long, and most of the fleet was new. As fewer
// than 24 endpoints were new, it never asked about them.
BOOST_AUTO_TEST_CASE(a_gang_asks_about_the_few_endpoints_that_are_new) {
    fake_fleet fleet(3, {});
    use_declared_durations(fleet);
    // Only the early endpoints run the long work, only the late ones the short.
    fleet.admits = [](const auto& step, const std::string& id) {
        bool late = id.size() > 1 && id[1] == 'n';
        if (step.job == "gang") {
            return admits_gang(id);
        }
        return late == (step.job.front() == 's');
    };
    fleet.task_duration = [](const workload::task_key& task) {
        return task.job.front() == 'l' ? 90 * second : 3 * second;
    };
    workload::job gang = make_gang(4, 3);
    room_watch watch(fleet, gang);
    for (int i = 0; i < 13; ++i) {
        watch.add_endpoint("y" + std::to_string(i));
    }
    for (int i = 0; i < 6; ++i) {
        watch.add_endpoint("x" + std::to_string(i));
    }
    fleet.elect_leader();
    workload::job long_work = make_filler("long", 19 * 3, 4500);
    long_work.queue.priority = 0; // leaves no room for urgent work
    watch.submit(long_work);
    watch.run_for(2 * second);
    watch.submit(gang);
    watch.run_for(2 * second);
    for (const char* id : {"x0", "x1", "y0", "y1", "y2"}) {
        watch.remove_endpoint(id);
    }
    for (int i = 0; i < 20; ++i) {
        watch.add_endpoint((i % 3 == 0 ? "xn" : "yn") + std::to_string(i));
    }
    for (int i = 0; i < 6; ++i) {
        workload::job short_work =
            make_filler("s" + std::to_string(i), 20 * 3, 5000);
        watch.submit(short_work);
    }
    watch.run_for(40 * second);
    BOOST_TEST(watch.longest() <= longest_wait);
    BOOST_TEST(
        (fleet.progress_of("gang").state == workload::job_state::completed));
    BOOST_TEST(fleet.violations().empty());
}

// All endpoints that admitted the gang were gone; as it had asked about nearly
// all of the others, it never asked about the few that came later.
BOOST_AUTO_TEST_CASE(a_gang_whose_endpoints_have_left_asks_about_new_ones) {
    fake_fleet fleet(4, {});
    use_declared_durations(fleet);
    fleet.admits = [](const auto& step, const std::string& id) {
        return step.job != "gang" || admits_gang(id);
    };
    fleet.task_duration = [](const workload::task_key& task) {
        return task.job == "gang" ? 3 * second : 8 * second;
    };
    workload::job gang = make_gang(4, 3);
    room_watch watch(fleet, gang);
    for (int i = 0; i < 8; ++i) {
        watch.add_endpoint("y" + std::to_string(i));
    }
    for (int i = 0; i < 2; ++i) {
        watch.add_endpoint("x" + std::to_string(i));
    }
    fleet.elect_leader();
    workload::job filler = make_filler("f", 10 * 3, 4500);
    watch.submit(filler);
    watch.run_for(second);
    watch.submit(gang);
    watch.run_for(3 * second);
    watch.remove_endpoint("x0");
    watch.remove_endpoint("x1");
    for (int i = 2; i < 8; ++i) {
        watch.add_endpoint("x" + std::to_string(i));
    }
    watch.run_for(20 * second);
    BOOST_TEST(watch.longest() <= longest_wait);
    BOOST_TEST(
        (fleet.progress_of("gang").state == workload::job_state::completed));
    BOOST_TEST(fleet.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
