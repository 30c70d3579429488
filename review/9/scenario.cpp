// A queue is sent to another service. The jobs that it had accepted before wait
// for the former service for ever, beside the idle workers of the new one.
#include "../platform_cell/cell.hpp"

using review::cell::queue;
using review::cell::step;

namespace {

constexpr int cores = 16'000;
constexpr int finish_ms = 14'000; // bounds.finish_s
constexpr int idle_ms = 3000;
constexpr int watched_ms = 15'000;
constexpr int sample_ms = 100;

int run(review::cell::cell& cell) {
    const queue services{"services", "desk.example", "/services/", "core"};
    const queue others{"others", "desk.example", "/others/", "spare"};
    queue batch{"batch", "desk.example", "/batch/", "core"};
    if (!cell.begin({services, others, batch})) {
        return review::cell::not_run;
    }
    for (int i = 0; i < 8; ++i) {
        if (cell.add_worker(i < 4 ? "core" : "spare", i < 4 ? "r-1" : "r-2",
                            cores) == nullptr) {
            return review::cell::not_run;
        }
    }
    if (!cell.start_members(3)) {
        return review::cell::not_run;
    }
    // Two of them on a worker, which leaves 0.8 of its cores.
    step service{8, 7600, 1024, 5000, true};
    std::string wide = cell.make_id();
    if (!cell.submit(services, wide, {service}, "lasting")) {
        return review::cell::not_run;
    }
    cell.sleep_ms(4000);
    if (cell.count_running(wide) != service.count) {
        return review::cell::not_run;
    }
    step task{2, 4000, 1024, 2000};
    std::string early = cell.make_id();
    if (!cell.submit(batch, early, {task}, "work=40000")) {
        return review::cell::not_run;
    }
    cell.sleep_ms(3000);
    if (review::cell::cell::has_trouble()) {
        batch.service = "spare";
        cell.configure({services, others, batch});
    }
    cell.sleep_ms(3000);
    std::string late = cell.make_id();
    if (!cell.submit(batch, late, {task}, "work=2000")) {
        return review::cell::not_run;
    }
    cell.note("end of the traffic");
    cell.sleep_ms(finish_ms);
    int idle = 0;
    for (int watched = 0; watched < watched_ms; watched += sample_ms) {
        auto [used, capacity] = cell.usage(batch.service);
        bool has_room =
            2 * used < capacity &&
            cell.free_slots(batch.service, task.cpu) >= 2 * task.count;
        idle =
            has_room && cell.count_running(early) == 0 ? idle + sample_ms : 0;
        if (idle >= idle_ms) {
            cell.note("LOST: job " + early + " has had nothing running for " +
                      std::to_string(idle) + " ms; in use of " + batch.service +
                      " " + std::to_string(used) + " of " +
                      std::to_string(capacity) + ", state " +
                      cell.state(batch, early) + "; the later job is " +
                      cell.state(batch, late));
            return review::cell::rule_broken;
        }
        cell.sleep_ms(sample_ms);
    }
    cell.note("held: the service of the queue has no room for job " + early);
    return cell.are_members_alive() ? review::cell::rule_held
                                    : review::cell::not_run;
}

} // namespace

int main(int, char** argv) {
    review::cell::cell cell(argv[1]);
    return run(cell);
}
