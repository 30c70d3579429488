// What one decision costs: steps are the verdict (tests/placement bounds them),
// wall time is reported only.
#include "eelgrasslever/admission/queue.hpp"
#include "eelgrasslever/placement/planner.hpp"

#include <benchmark/benchmark.h>

using namespace eelgrasslever;

namespace {

placement::capacity_by_level room_of(std::int64_t slots) {
    placement::capacity_by_level out;
    for (auto& at : out) {
        at = {slots, 16000, 65536, 2};
    }
    return out;
}

admission::work_item item_of(int count) {
    admission::work_item out;
    out.request_id = "r";
    out.team = "t0";
    out.need = {1, 1000, 1024, 0};
    out.count = count;
    return out;
}

// One placement, charged to the index, among so many endpoints.
void place_one(benchmark::State& state) {
    placement::capacity_tree tree;
    std::vector<std::string> names;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        names.push_back("endpoint-" + std::to_string(i));
        tree.set(names.back(), room_of(i % 8 + 1));
    }
    placement::planner planner(1);
    auto quality = [](const std::string&) {
        return placement::endpoint_quality{};
    };
    std::uint64_t before = tree.steps();
    std::size_t turn = 0;
    for (auto _ : state) {
        auto plan = planner.plan(item_of(1), tree, quality);
        benchmark::DoNotOptimize(plan);
        turn++;
        tree.set(names[turn % names.size()],
                 room_of(static_cast<std::int64_t>(turn % 8 + 1)));
    }
    state.counters["steps"] =
        benchmark::Counter(static_cast<double>(tree.steps() - before),
                           benchmark::Counter::kAvgIterations);
}

// One item pushed and taken, with so many waiting over so many teams.
void queue_one(benchmark::State& state) {
    admission::queue queue;
    std::int64_t teams = state.range(1);
    for (std::int64_t i = 0; i < teams; ++i) {
        queue.set_quota("t" + std::to_string(i), 1'000'000'000);
    }
    std::int64_t turn = 0;
    auto next = [&] {
        auto item = item_of(1);
        item.request_id = "r" + std::to_string(turn);
        item.team = "t" + std::to_string(turn % teams);
        item.rank = static_cast<int>(turn % admission::rank_count);
        item.latest_start =
            base::instant(base::milliseconds((turn * 7919) % 100000));
        turn++;
        return item;
    };
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        queue.push(next());
    }
    for (auto _ : state) {
        queue.push(next());
        queue.visit_ready(1, [](const admission::work_item&) {
            return admission::visit_result::take;
        });
    }
}

} // namespace

BENCHMARK(place_one)->Arg(75)->Arg(600)->Arg(6000);
BENCHMARK(queue_one)
    ->Args({100, 52})
    ->Args({10000, 52})
    ->Args({100000, 52})
    ->Args({10000, 520});
BENCHMARK_MAIN();
