/// @file
/// An experiment: what is asked of the cell, at which rate, for how long.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace eelload {

namespace base = eelgrasslever::base;

/// One kind of work in the mix.
struct work_kind {
    std::string name;
    double rate{1.0}; ///< arrivals a second, open loop
    std::string team;
    std::string kind{"urgent"};
    base::milliseconds declared_run{50};
    double actual_factor_low{1.0}; ///< actual over declared run time
    double actual_factor_high{1.0};
    base::milliseconds timeout{10000};
    std::int64_t slots{1};
    int tasks{1};
    bool repeatable{true};
    bool mark_first{true}; ///< the first sending says that it is the first
    double twice{0.0};     ///< share sent through two entry VMs at once
    base::milliseconds start_after{0};
    base::milliseconds stop_after{0}; ///< 0: the whole experiment
};

struct experiment {
    std::uint64_t seed{1};
    base::milliseconds duration{10000};
    int most_sendings{6}; ///< of one id
    std::vector<work_kind> work;
};

using faults = std::vector<std::string>;

/// Reads and checks a TOML file; each fault names file, line, key and fix.
[[nodiscard]] tl::expected<experiment, faults>
load_experiment(const std::string& path);

} // namespace eelload
