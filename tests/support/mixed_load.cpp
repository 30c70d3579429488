#include "mixed_load.hpp"

#include <algorithm>
#include <cmath>
#include <span>
#include <unordered_map>

namespace eelgrasslever::test {

namespace {

/// What the report needs to know of a submitted job.
struct submitted_job {
    const job_class* kind{nullptr};
    instant submitted_at{};
    milliseconds objective{0};
    double work_core_seconds{0.0};
    double worth{0.0};
};

struct job_outcome {
    double work_core_seconds{0.0};
    double worth{0.0};
    double earned{0.0};
};

double earned_share(std::span<const job_outcome> jobs) {
    double worth = 0.0;
    double earned = 0.0;
    for (const job_outcome& job : jobs) {
        worth += job.worth;
        earned += job.earned;
    }
    return worth > 0.0 ? earned / worth : 1.0;
}

/// @return a sample with a mean of one.
double draw_factor(double spread, std::mt19937_64& random) {
    return std::lognormal_distribution<double>(-spread * spread / 2.0,
                                               spread)(random);
}

/// @return a number in [0, 1) that depends only on @p text.
double unit_hash(const std::string& text) {
    constexpr std::size_t buckets = 10'000;
    return static_cast<double>(std::hash<std::string>{}(text) % buckets) /
           static_cast<double>(buckets);
}

double mean_work(const job_class& kind) {
    return kind.steps.mean * kind.width.mean * kind.cpu_milli.mean / 1000.0 *
           kind.work_ms.mean / 1000.0;
}

workload::job draw_job(const job_class& kind, const std::string& id,
                       std::mt19937_64& random) {
    workload::job job = make_job(id, 1, 1);
    job.steps.clear();
    job.queue.name = kind.name;
    job.queue.priority = kind.priority;
    job.queue.max_attempts = kind.max_attempts;
    job.queue.stretch = kind.stretch;
    job.queue.target_latency = kind.target_latency;
    job.queue.advice = kind.advice;
    int steps = std::max(1, static_cast<int>(kind.steps.draw(random) + 0.5));
    for (int s = 0; s < steps; ++s) {
        workload::step step;
        step.count =
            std::max(1, static_cast<int>(kind.width.draw(random) + 0.5));
        step.need.cpu_milli =
            static_cast<std::int64_t>(kind.cpu_milli.draw(random));
        step.need.memory_mb =
            static_cast<std::int64_t>(kind.memory_mb.draw(random));
        step.estimated_duration =
            milliseconds(static_cast<std::int64_t>(kind.work_ms.draw(random)));
        step.gang = std::uniform_real_distribution<double>(0.0, 1.0)(random) <
                    kind.gang_share;
        if (s > 0) {
            step.predecessors = {s - 1};
        }
        job.steps.push_back(std::move(step));
    }
    return job;
}

submitted_job describe(const job_class& kind, const workload::job& job,
                       instant now) {
    constexpr std::size_t usual_candidates = 30;
    submitted_job result;
    result.kind = &kind;
    result.submitted_at = now;
    milliseconds chain{0};
    for (const workload::step& step : job.steps) {
        chain += step.estimated_duration +
                 kind.advice.call_duration(usual_candidates);
        result.work_core_seconds +=
            static_cast<double>(step.count) *
            static_cast<double>(step.need.cpu_milli) / 1000.0 *
            static_cast<double>(step.estimated_duration.count()) / 1000.0;
    }
    result.objective = kind.target_latency +
                       milliseconds(static_cast<std::int64_t>(
                           kind.stretch * static_cast<double>(chain.count())));
    result.worth =
        std::min(4.0, 0.3 + 0.7 * result.work_core_seconds / mean_work(kind));
    return result;
}

/// Scales the arrival rates so that the classes offer @p load times the
/// processors of all endpoints.
void scale_arrivals(mixed_load_options& options, double load) {
    double offered = 0.0;
    for (const job_class& kind : options.classes) {
        offered += kind.jobs_per_second * mean_work(kind);
    }
    double room = static_cast<double>(options.endpoints) *
                  static_cast<double>(options.capacity.cpu_milli) / 1000.0;
    for (job_class& kind : options.classes) {
        kind.jobs_per_second *= load * room / offered;
    }
}

double burst_factor(const mixed_load_options& options, const job_class& kind,
                    milliseconds time) {
    double result = 1.0;
    for (const burst& it : options.bursts) {
        if (it.job_class == kind.name && time >= it.begins &&
            time < it.begins + it.duration) {
            result *= it.factor;
        }
    }
    return result;
}

} // namespace

double quantity::draw(std::mt19937_64& random) const {
    if (spread <= 0.0) {
        return std::min(mean, max);
    }
    double location = std::log(mean) - spread * spread / 2.0;
    double sample =
        std::lognormal_distribution<double>(location, spread)(random);
    return std::clamp(sample, mean / 20.0, max);
}

mixed_load_options make_three_class_load(int endpoints, int vms, double load) {
    mixed_load_options options;
    options.endpoints = endpoints;
    options.vms = vms;
    options.capacity.cpu_milli = 64'000;
    options.capacity.memory_mb = 262'144;

    job_class gang;
    gang.name = "gang";
    gang.priority = 1;
    gang.jobs_per_second = 5.98;
    gang.steps = {1.2, 0.4, 3.0};
    gang.width = {20.0, 0.8, 120.0};
    gang.cpu_milli = {18'000.0, 0.4, 30'000.0};
    gang.memory_mb = {49'000.0, 0.5, 99'000.0};
    gang.work_ms = {4000.0, 0.5, 10'000.0};
    gang.gang_share = 1.0;
    gang.failed_share = 0.003;
    gang.max_attempts = 2;
    gang.stretch = 2.2;
    gang.target_latency = milliseconds(1000);
    gang.advice = {milliseconds(442), std::chrono::microseconds(6370),
                   milliseconds(2000)};
    gang.admitted_share = 0.35;

    job_class batch;
    batch.name = "batch";
    batch.priority = 2;
    batch.jobs_per_second = 12.3;
    batch.steps = {1.5, 0.4, 3.8};
    batch.width = {25.0, 0.8, 150.0};
    batch.cpu_milli = {6900.0, 0.45, 21'000.0};
    batch.memory_mb = {14'000.0, 0.6, 43'000.0};
    batch.work_ms = {2200.0, 0.5, 5400.0};
    batch.failed_share = 0.02;
    batch.stretch = 4.0;
    batch.target_latency = milliseconds(3000);
    batch.advice = {milliseconds(104), std::chrono::microseconds(1430),
                    milliseconds(2000)};
    batch.admitted_share = 0.45;

    job_class urgent;
    urgent.name = "urgent";
    urgent.priority = 0;
    urgent.jobs_per_second = 138.0;
    urgent.steps = {1.0, 0.0, 2.5};
    urgent.width = {3.2, 0.8, 19.0};
    urgent.cpu_milli = {9900.0, 0.45, 30'000.0};
    urgent.memory_mb = {20'000.0, 0.6, 61'000.0};
    urgent.work_ms = {640.0, 0.5, 1600.0};
    urgent.gang_share = 0.3;
    urgent.failed_share = 0.02;
    urgent.stretch = 1.5;
    urgent.target_latency = milliseconds(300);
    urgent.advice = {milliseconds(9), std::chrono::microseconds(130),
                     milliseconds(2000)};
    urgent.admitted_share = 0.7;

    options.classes = {gang, batch, urgent};
    scale_arrivals(options, load);
    return options;
}

mixed_load_options make_gang_heavy_load(int endpoints, int vms, double load) {
    mixed_load_options options;
    options.endpoints = endpoints;
    options.vms = vms;
    options.capacity.cpu_milli = 16'000;
    options.capacity.memory_mb = 32'768;

    job_class gang;
    gang.name = "gang";
    gang.priority = 1;
    gang.jobs_per_second = 9.16;
    gang.steps = {1.2, 0.4, 3.0};
    gang.width = {20.0, 0.8, 120.0};
    gang.cpu_milli = {4500.0, 0.4, 7600.0};
    gang.memory_mb = {6500.0, 0.5, 13'000.0};
    gang.work_ms = {4000.0, 0.5, 10'000.0};
    gang.uneven = 0.3;
    gang.estimate_error = 0.5;
    gang.gang_share = 1.0;
    gang.failed_share = 0.002;
    gang.stretch = 2.2;
    gang.target_latency = milliseconds(1000);
    gang.advice = {milliseconds(507), std::chrono::microseconds(7280),
                   milliseconds(2500)};
    gang.admitted_share = 0.35;

    job_class batch;
    batch.name = "batch";
    batch.priority = 2;
    batch.jobs_per_second = 12.2;
    batch.steps = {1.5, 0.4, 3.8};
    batch.width = {19.0, 0.6, 96.0};
    batch.cpu_milli = {2800.0, 0.45, 8300.0};
    batch.memory_mb = {2800.0, 0.6, 8500.0};
    batch.work_ms = {2700.0, 0.5, 6800.0};
    batch.uneven = 0.15;
    batch.estimate_error = 0.5;
    batch.failed_share = 0.005;
    batch.max_attempts = 3;
    batch.stretch = 4.0;
    batch.target_latency = milliseconds(3000);
    batch.advice = {milliseconds(182), std::chrono::microseconds(2600),
                    milliseconds(2500)};
    batch.admitted_share = 0.45;

    job_class urgent;
    urgent.name = "urgent";
    urgent.priority = 0;
    urgent.jobs_per_second = 109.0;
    urgent.steps = {1.0, 0.0, 2.5};
    urgent.width = {3.1, 0.8, 19.0};
    urgent.cpu_milli = {3900.0, 0.45, 12'000.0};
    urgent.memory_mb = {7300.0, 0.6, 22'000.0};
    urgent.work_ms = {800.0, 0.5, 2000.0};
    urgent.uneven = 0.3;
    urgent.estimate_error = 0.2;
    urgent.gang_share = 0.3;
    urgent.failed_share = 0.05;
    urgent.stretch = 1.5;
    urgent.target_latency = milliseconds(250);
    urgent.advice = {milliseconds(21), std::chrono::microseconds(299),
                     milliseconds(2500)};
    urgent.admitted_share = 0.7;

    options.classes = {gang, batch, urgent};
    scale_arrivals(options, load);
    options.bursts = {
        {"urgent", std::chrono::seconds(7), std::chrono::seconds(4), 2.0},
        {"gang", std::chrono::seconds(19), std::chrono::seconds(4), 1.8}};
    return options;
}

mixed_load_report run_mixed_load(const mixed_load_options& options) {
    std::mt19937_64 random(options.seed);
    std::mt19937_64 failures(options.seed + 1);
    std::unordered_map<std::string, submitted_job> submitted;
    std::unordered_map<std::string, workload::job> specs;
    mixed_load_report report;
    fake_fleet fleet(options.seed, {});
    for (int i = 0; i < options.endpoints; ++i) {
        fleet.add_endpoint("e" + std::to_string(i), options.capacity);
    }
    fleet.channels.clear();
    for (int i = 0; i < options.vms; ++i) {
        fleet.channels.push_back("vm-" + std::to_string(i));
    }
    fleet.task_duration = [&](const workload::task_key& key) {
        const workload::step& step =
            specs.at(key.job).steps[static_cast<std::size_t>(key.step)];
        double uneven = submitted.at(key.job).kind->uneven;
        if (step.gang || uneven <= 0.0) {
            return step.estimated_duration;
        }
        std::mt19937_64 task_random(
            std::hash<std::string>{}(workload::to_string(key)));
        return milliseconds(static_cast<std::int64_t>(
            static_cast<double>(step.estimated_duration.count()) *
            draw_factor(uneven, task_random)));
    };
    fleet.admits = [&](const workload::task_key& step, const std::string& id) {
        return unit_hash(step.job + "." + std::to_string(step.step) + "@" +
                         id) < submitted.at(step.job).kind->admitted_share;
    };
    fleet.fails = [&](const workload::task_key& task) {
        return std::uniform_real_distribution<double>(0.0, 1.0)(failures) <
               submitted.at(task.job).kind->failed_share;
    };
    std::set<std::pair<std::string, int>> steps_asked;
    double advice_seconds = 0.0;
    fleet.advice_duration = [&](const cluster::advice_call& call) {
        const job_class& kind = *submitted.at(call.step.job).kind;
        milliseconds duration =
            kind.advice.call_duration(call.candidates.size());
        class_report& row = report.classes[kind.name];
        row.advice_calls++;
        double seconds = static_cast<double>(duration.count()) / 1000.0;
        row.advice_seconds += seconds;
        advice_seconds += seconds;
        if (steps_asked.emplace(call.step.job, call.step.step).second) {
            row.steps_asked++;
        }
        return duration;
    };
    fleet.elect_leader();

    constexpr milliseconds slice{10};
    std::vector<double> due(options.classes.size(), 0.0);
    instant start = fleet.now();
    instant end_of_arrivals = start + options.arrivals;
    instant end = end_of_arrivals + options.finish;
    int samples = 0;
    while (fleet.now() < end) {
        for (std::size_t c = 0;
             c < options.classes.size() && fleet.now() < end_of_arrivals; ++c) {
            const job_class& kind = options.classes[c];
            due[c] += kind.jobs_per_second *
                      burst_factor(options, kind, fleet.now() - start) *
                      static_cast<double>(slice.count()) / 1000.0;
            for (; due[c] >= 1.0; due[c] -= 1.0) {
                std::string id =
                    kind.name.substr(0, 1) + std::to_string(submitted.size());
                workload::job job = draw_job(kind, id, random);
                submitted[id] = describe(kind, job, fleet.now());
                class_report& row = report.classes[kind.name];
                row.jobs++;
                row.owed += submitted[id].worth;
                row.work_core_seconds += submitted[id].work_core_seconds;
                specs[id] = job;
                for (workload::step& step : job.steps) {
                    step.estimated_duration =
                        milliseconds(static_cast<std::int64_t>(
                            static_cast<double>(
                                step.estimated_duration.count()) *
                            draw_factor(kind.estimate_error, random)));
                }
                fleet.submit(std::move(job));
            }
        }
        fleet.run_for(slice);
        if (fleet.now() < end_of_arrivals) {
            auto statistics = fleet.leader().take_statistics(fleet.now());
            auto capacity = static_cast<double>(
                std::max(statistics.cpu_capacity, std::int64_t{1}));
            report.used_share +=
                static_cast<double>(statistics.cpu_running) / capacity;
            report.passes += statistics.passes;
            report.steps_examined += statistics.steps_examined;
            report.endpoints_weighed += statistics.endpoints_weighed;
            report.searches += statistics.searches;
            report.searches_without_call += statistics.searches_without_call;
            report.claimed_share +=
                static_cast<double>(statistics.cpu_reserved) / capacity;
            samples++;
        }
    }
    report.used_share /= std::max(1, samples);
    report.claimed_share /= std::max(1, samples);
    report.starts = fleet.starts();
    double vm_seconds =
        static_cast<double>(options.vms) *
        static_cast<double>((options.arrivals + options.finish).count());
    report.advice_busy_share = advice_seconds / vm_seconds;
    std::map<std::string, std::vector<job_outcome>> outcomes;
    for (const auto& [id, job] : submitted) {
        auto ended = fleet.ended_at(id);
        bool completed = ended && fleet.progress_of(id).state ==
                                      workload::job_state::completed;
        class_report& row = report.classes[job.kind->name];

        milliseconds age =
            completed ? *ended - job.submitted_at : milliseconds::max();
        bool late = age > job.objective && age <= 3 * job.objective;
        double earned = 0.0;
        if (age <= job.objective) {
            row.in_time++;
            earned = job.worth;
        } else if (late) {
            row.late++;
            earned = job.worth / 5.0;
        }
        row.earned += earned;
        outcomes[job.kind->name].push_back(
            {job.work_core_seconds, job.worth, earned});
    }
    for (auto& [name, jobs] : outcomes) {
        std::sort(jobs.begin(), jobs.end(),
                  [](const job_outcome& a, const job_outcome& b) {
                      return a.work_core_seconds > b.work_core_seconds;
                  });
        std::size_t tenth = std::max<std::size_t>(1, jobs.size() / 10);
        std::span all(jobs);
        auto largest = all.first(tenth);
        class_report& row = report.classes[name];
        row.largest_served_share =
            static_cast<double>(std::count_if(
                largest.begin(), largest.end(),
                [](const auto& job) { return job.earned > 0.0; })) /
            static_cast<double>(tenth);
        row.largest_earned_share = earned_share(largest);
        row.large_earned_share = earned_share(
            all.subspan(tenth, std::min(2 * tenth, jobs.size() - tenth)));
    }
    report.violations = fleet.violations().size();
    return report;
}

} // namespace eelgrasslever::test
