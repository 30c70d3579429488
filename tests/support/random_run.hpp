/// @file
/// One seeded run of a fake cell under random load and random faults.
#pragma once

#include "fake_cell.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace test_support {

/// Kinds of fault that a run may inject.
struct fault_set {
    bool entry_kills{true};
    bool entry_freezes{true};
    bool endpoint_restarts{true};
    bool endpoint_freezes{true};
    bool member_cuts{true};
    bool domain_cuts{true};
    bool endpoint_cuts{true};
    bool store_faults{true};
    bool late_calls{true};
    bool planned_stops{true};
    bool cancellations{true};
};

/// Parameters of one run. All times are simulated.
struct random_run_options {
    std::uint64_t seed{1};
    milliseconds load_time{40000};   ///< with new requests and faults
    milliseconds settle_time{60000}; ///< without new requests and faults
    cell_shape shape;
    fault_set faults;
    std::string trace;      ///< id whose events are printed, or "all"
    bool epoch_guard{true}; ///< false: endpoints accept starts of any epoch
};

/// Counts and broken invariants of one run.
struct random_run_result {
    std::vector<std::string> violations;
    std::uint64_t steps{0};
    std::size_t requests{0};
    std::size_t unanswered{0}; ///< requests whose last attempt got no reply
    std::size_t starts{0};
    std::size_t completed{0};
    std::size_t failed{0};
    std::size_t not_run{0};
    std::size_t unknown{0};
    std::size_t jobs_accepted{0};
    std::size_t jobs_finished{0};
    std::vector<std::string> open_jobs; ///< accepted jobs without an answer
};

/// Runs a fake cell. The same options give the same result.
[[nodiscard]] random_run_result run_randomly(const random_run_options& options);

} // namespace test_support
