/// @file
/// A load of unlike job classes on a simulated fleet whose room or advice does
/// not suffice for all of them, and a report of what each class received.
#pragma once

#include "fake_fleet.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrasslever::test {

/// A log-normally distributed quantity with an upper bound.
struct quantity {
    double mean{1.0};
    double spread{0.0}; ///< standard deviation of the logarithm
    double max{1.0};
    /// @return a sample between a twentieth of the mean and the maximum.
    [[nodiscard]] double draw(std::mt19937_64& random) const;
};

struct job_class {
    std::string name;
    int priority{0};
    double jobs_per_second{1.0};
    quantity steps;
    quantity width;     ///< tasks of a step
    quantity cpu_milli; ///< of a task
    quantity memory_mb; ///< of a task
    quantity work_ms;   ///< of a task
    /// Spread of the tasks' durations around the step's. The members of a gang
    /// end together.
    double uneven{0.0};
    double estimate_error{
        0.0}; ///< spread of the estimates around the durations
    double gang_share{0.0};
    double failed_share{0.0}; ///< of the runs
    int max_attempts{4};
    double stretch{1.0};
    milliseconds target_latency{0};
    workload::advice_policy advice;
    double admitted_share{1.0}; ///< of the endpoints, for each step
};

/// What the jobs of one class received. A job earns 0.3 plus 0.7 times its
/// work relative to the class's mean: in full until its objective, a fifth
/// until three times the objective, and nothing later.
struct class_report {
    int jobs{0};
    int in_time{0};
    int late{0};
    /// Share of the largest tenth of the jobs, by work, that were served.
    double largest_served_share{1.0};
    /// Share of their worth that the largest tenth of the jobs, by work, and
    /// the fifth below it earned.
    double largest_earned_share{1.0};
    double large_earned_share{1.0};
    double owed{0.0};
    double earned{0.0};
    double work_core_seconds{0.0}; ///< of all submitted tasks
    int advice_calls{0};
    int steps_asked{0};
    double advice_seconds{0.0};
    /// @return the share of the jobs that completed in time or late.
    [[nodiscard]] double served_share() const {
        return jobs > 0 ? static_cast<double>(in_time + late) / jobs : 1.0;
    }
    [[nodiscard]] double earned_share() const {
        return owed > 0.0 ? earned / owed : 1.0;
    }
};

/// A time in which one class submits more jobs.
struct burst {
    std::string job_class;
    std::chrono::seconds begins{0};
    std::chrono::seconds duration{4};
    double factor{1.0}; ///< of the usual rate
};

struct mixed_load_options {
    std::uint64_t seed{1};
    int endpoints{350};
    base::resources capacity;
    int vms{34};
    std::chrono::seconds arrivals{34};
    /// Time after the last arrival in which jobs may still complete.
    std::chrono::seconds finish{14};
    std::vector<job_class> classes;
    std::vector<burst> bursts;
};

struct mixed_load_report {
    std::map<std::string, class_report> classes;
    /// Mean share of the fleet's processors that running tasks occupy.
    double used_share{0.0};
    /// Mean share of the fleet's processors that is free but claimed by steps.
    double claimed_share{0.0};
    /// Share of the VMs' time in which they wait for an advice reply.
    double advice_busy_share{0.0};
    std::size_t violations{0};
    /// What the leader's passes did.
    std::size_t starts{0};
    std::size_t passes{0};
    std::size_t steps_examined{0};
    std::size_t endpoints_weighed{0};
    std::size_t searches{0};
    std::size_t searches_without_call{0};
};

/// Three classes (wide gangs, batch steps and urgent jobs) that together offer
/// @p load times the capacity of @p endpoints endpoints of 64 cores.
[[nodiscard]] mixed_load_options make_three_class_load(int endpoints, int vms,
                                                       double load);

/// The same classes on endpoints of 16 cores, with a width of the gangs that
/// needs up to a tenth of 540 endpoints at the same time.
[[nodiscard]] mixed_load_options make_gang_heavy_load(int endpoints, int vms,
                                                      double load);

[[nodiscard]] mixed_load_report
run_mixed_load(const mixed_load_options& options);

} // namespace eelgrasslever::test
