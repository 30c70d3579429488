// A worker crashes shortly after the tasks of a job have started on it, and
// comes back. Its tasks are restarted one by one, so that the last ones wait
// for half a minute beside idle workers.
#include "../platform_cell/cell.hpp"

#include <algorithm>
#include <cstdlib>
#include <map>

using review::cell::queue;
using review::cell::step;

namespace {

constexpr int cores = 16'000;
constexpr int down_ms = 3000;
/// The rule holds for a task that lasts from 6 s after its last run, and if the
/// 3 s and the 4 s before them are calm.
constexpr int restart_ms = 6000;
constexpr int idle_ms = 3000;
constexpr int calm_ms = 4000;
constexpr int watched_ms = 40'000;
constexpr int sample_ms = 50;

int run(review::cell::cell& cell, int delay_ms) {
    const queue services{"services", "desk.example", "/services/", "core"};
    if (!cell.begin({services})) {
        return review::cell::not_run;
    }
    for (int i = 0; i < 8; ++i) {
        if (cell.add_worker("core", i < 4 ? "r-1" : "r-2", cores) == nullptr) {
            return review::cell::not_run;
        }
    }
    if (!cell.start_members(3)) {
        return review::cell::not_run;
    }
    cell.sleep_ms(2000);
    step service{16, 1000, 1024, 5000, true};
    std::string id = cell.make_id();
    if (!cell.submit(services, id, {service}, "lasting")) {
        return review::cell::not_run;
    }
    for (int waited = 0; cell.count_running(id) < service.count; waited += 5) {
        if (waited > 10'000) {
            return review::cell::not_run;
        }
        cell.sleep_ms(5);
    }
    cell.sleep_ms(delay_ms);
    if (review::cell::cell::has_trouble()) {
        auto all = cell.workers();
        auto* crashing =
            *std::max_element(all.begin(), all.end(), [](auto* a, auto* b) {
                return a->running().size() < b->running().size();
            });
        cell.crash(*crashing);
        cell.sleep_ms(down_ms);
        if (cell.add_worker("core", crashing->options().rack, cores,
                            crashing->port()) == nullptr) {
            return review::cell::not_run;
        }
    }
    cell.note("end of the disruption");
    std::map<std::string, int> idle;
    for (int watched = 0; watched < watched_ms; watched += sample_ms) {
        std::map<std::string, bool> runs;
        for (auto* each : cell.workers()) {
            for (const auto& it : each->running()) {
                runs[it.task] = true;
            }
        }
        bool has_room = cell.free_slots("core", service.cpu) >= 2;
        auto [used, capacity] = cell.usage("core");
        for (int i = 0; i < service.count; ++i) {
            std::string task = id + ".0.0." + std::to_string(i);
            int& gap = idle[task];
            gap = has_room && !runs.contains(task) ? gap + sample_ms : 0;
            if (gap >= restart_ms + idle_ms && watched >= calm_ms + idle_ms) {
                cell.note("LOST: task " + task + " has had no run for " +
                          std::to_string(gap) + " ms since the disruption; " +
                          std::to_string(runs.size()) + " of " +
                          std::to_string(service.count) +
                          " tasks run, in use " + std::to_string(used) +
                          " of " + std::to_string(capacity));
                return review::cell::rule_broken;
            }
        }
        cell.sleep_ms(sample_ms);
    }
    cell.note("held: all tasks were restarted in time");
    return cell.are_members_alive() ? review::cell::rule_held
                                    : review::cell::not_run;
}

} // namespace

int main(int argc, char** argv) {
    constexpr int usual_delay_ms = 300;
    review::cell::cell cell(argv[1]);
    return run(cell, argc > 2 ? std::atoi(argv[2]) : usual_delay_ms);
}
