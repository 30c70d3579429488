// Measures the cost of single placement and queue decisions. The counter
// `steps` does not depend on the machine, and tests/placement bounds it; wall
// time is only reported.
#include "eelgrasslever/admission/queue.hpp"
#include "eelgrasslever/placement/planner.hpp"

#include <benchmark/benchmark.h>

using namespace eelgrasslever;

namespace {

placement::capacity_by_level make_capacity(std::int64_t slots) {
    placement::capacity_by_level capacity;
    for (auto& level : capacity) {
        level = {slots, 16000, 65536, 2};
    }
    return capacity;
}

admission::work_item make_item(int count) {
    admission::work_item item;
    item.request_id = "r";
    item.team = "t0";
    item.need = {1, 1000, 1024, 0};
    item.count = count;
    return item;
}

// Plans one task and updates the capacity of one endpoint in the index.
// Argument: number of endpoints.
void place_one(benchmark::State& state) {
    placement::capacity_tree tree;
    std::vector<std::string> names;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        names.push_back("endpoint-" + std::to_string(i));
        tree.set(names.back(), make_capacity(i % 8 + 1));
    }
    placement::planner planner(1);
    auto quality = [](const std::string&) {
        return placement::endpoint_quality{};
    };
    std::uint64_t steps_before = tree.steps();
    std::size_t iteration = 0;
    for (auto _ : state) {
        auto plan = planner.plan(make_item(1), tree, quality);
        benchmark::DoNotOptimize(plan);
        iteration++;
        tree.set(names[iteration % names.size()],
                 make_capacity(static_cast<std::int64_t>(iteration % 8 + 1)));
    }
    state.counters["steps"] =
        benchmark::Counter(static_cast<double>(tree.steps() - steps_before),
                           benchmark::Counter::kAvgIterations);
}

// Pushes one item and takes one. Arguments: number of waiting items, number of
// teams.
void queue_one(benchmark::State& state) {
    admission::queue queue;
    std::int64_t teams = state.range(1);
    for (std::int64_t i = 0; i < teams; ++i) {
        queue.set_quota("t" + std::to_string(i), 1'000'000'000);
    }
    std::int64_t iteration = 0;
    auto next_item = [&] {
        auto item = make_item(1);
        item.request_id = "r" + std::to_string(iteration);
        item.team = "t" + std::to_string(iteration % teams);
        item.rank = static_cast<int>(iteration % admission::rank_count);
        item.latest_start =
            base::instant(base::milliseconds((iteration * 7919) % 100000));
        iteration++;
        return item;
    };
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        queue.push(next_item());
    }
    for (auto _ : state) {
        queue.push(next_item());
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
