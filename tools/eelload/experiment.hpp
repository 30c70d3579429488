/// @file
/// An experiment: the classes of work sent to a cell, their rates and the
/// duration.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace eelload {

namespace base = eelgrasslever::base;

/// A class of work whose requests arrive at one rate.
struct work_class {
    std::string name;
    double rate{1.0}; ///< mean arrivals per second, open loop
    std::string team;
    std::string kind{"urgent"};
    base::milliseconds declared_run{50};
    /// The ratio of actual to declared run time is uniform between the factors.
    double actual_factor_low{1.0};
    double actual_factor_high{1.0};
    base::milliseconds timeout{10000};
    std::int64_t slots{1};
    int tasks{1};
    bool repeatable{true};
    bool marks_first_attempt{true}; ///< whether the first attempt is numbered
    /// Share of the requests that two callers send at once, each to a random
    /// entry VM.
    double duplicate_share{0.0};
    base::milliseconds start_after{0};
    base::milliseconds stop_after{0}; ///< 0: until the end of the experiment
};

/// Settings of an experiment.
struct experiment {
    std::uint64_t seed{1};
    base::milliseconds duration{10000};
    int max_attempts{6}; ///< attempts per caller of a request
    std::vector<work_class> work;
};

using error_list = std::vector<std::string>;

/// Reads and validates a TOML file.
/// @return the experiment, or one error for each invalid key, with the file,
/// the line, the key and the correction.
[[nodiscard]] tl::expected<experiment, error_list>
load_experiment(const std::string& path);

} // namespace eelload
