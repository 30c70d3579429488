// Case 3: see claim.txt.
#include "../stand_ins/cell.hpp"

#include <csignal>

namespace {

using review::milliseconds;
using steady = std::chrono::steady_clock;

constexpr int worker_count = 6;
constexpr std::size_t node_count = 7;
/// How long clients wait for an answer.
constexpr milliseconds client_deadline{3000};
/// One VM stands still for this long.
constexpr milliseconds freeze_time{3400};
/// Within this time a cancelled job has to stop (`cancel_ms`).
constexpr milliseconds cancel_bound{3000};
const std::string job = "00000000000000d2";

/// @return whether the rule held.
bool play(const std::string& folder, review::record_file& record) {
    review::cell cell(folder, record);
    cell.configure(nlohmann::json::object());
    for (int i = 1; i <= worker_count; ++i) {
        cell.add_worker("i-a" + std::to_string(i), "a",
                        "r-" + std::to_string(1 + i / 4));
    }
    for (const char* zone : {"escazu", "escazu", "heredia", "heredia",
                             "cartago", "cartago", "alajuela"}) {
        cell.add_node(zone);
    }
    cell.wait_until_serving();
    auto leader = cell.leader();
    if (!leader) {
        throw review::setup_error("no VM leads");
    }
    std::size_t frozen = (*leader + 1) % node_count;
    std::size_t other = (*leader + 2) % node_count;
    // Two steps; the second one begins after the first one has ended.
    auto body = review::make_job({{"work_ms", 3000}}, nlohmann::json::object());
    body["steps"].push_back(body["steps"][0]);
    body["steps"][1]["after"] = {0};

    bool trouble = review::is_trouble_wanted();
    auto frozen_at = steady::now();
    if (trouble) {
        cell.signal_node(frozen, SIGSTOP);
    }
    auto submitted = cell.submit(frozen, job, body, client_deadline);
    auto cancelled = cell.cancel(other, job, client_deadline);
    auto cancelled_at = steady::now();
    if (trouble) {
        std::this_thread::sleep_until(frozen_at + freeze_time);
        cell.signal_node(frozen, SIGCONT);
    }
    bool acknowledged =
        cancelled && (cancelled->status == 410 || cancelled->status / 100 == 2);
    if (!acknowledged || submitted.has_value() == trouble) {
        throw review::setup_error("the requests are not answered as expected");
    }
    std::this_thread::sleep_for(milliseconds(14'000));
    cell.state(other, job);
    bool held = true;
    for (const review::task_start& start : cell.runs().all()) {
        auto late = std::chrono::duration_cast<milliseconds>(start.started_at -
                                                             cancelled_at);
        if (start.task.starts_with(job) && late > cancel_bound) {
            record.write("task " + start.task + " was started " +
                         std::to_string(late.count()) +
                         " ms after the cancelling was acknowledged");
            held = false;
        }
    }
    return held;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3) {
        return 2;
    }
    review::record_file record(argv[2]);
    try {
        bool held = play(argv[1], record);
        record.write(held ? "result: the rule held"
                          : "result: the rule was broken");
        return held ? 0 : 1;
    } catch (const std::exception& e) {
        record.write(std::string("result: the case couldn't run: ") + e.what());
        return 2;
    }
}
