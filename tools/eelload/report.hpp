/// @file
/// Tables and a plot of an experiment's endings.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "generator.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelload {

/// Figures of one kind of work.
struct work_figures {
    std::string name;
    std::size_t ended{0};
    std::size_t completed{0};
    std::size_t failed{0};
    std::size_t not_run{0};
    std::size_t unknown{0};
    std::size_t unanswered{0};
    std::size_t late{0};
    std::vector<base::milliseconds> waits; ///< sorted; latency less run time
    /// @return the wait that this share of completed work stayed within.
    [[nodiscard]] base::milliseconds wait_quantile(double share) const;
};

[[nodiscard]] std::vector<work_figures>
summarize(const std::vector<ending>& endings);

/// What the entry VMs consumed, from their metrics pages.
struct control_cost {
    double cpu_seconds{0.0};
    double bytes{0.0};
    double starts{0.0};
    double resident_bytes{0.0}; ///< of the largest process
};
[[nodiscard]] control_cost read_cost(const std::vector<std::string>& servers);

void print_table(const std::vector<work_figures>& all);
void print_cost(const control_cost& before, const control_cost& after,
                std::size_t servers, base::milliseconds time);
/// Draws the waiting-time quantiles of each kind of work.
[[nodiscard]] base::result<void> write_svg(const std::vector<work_figures>& all,
                                           const std::string& path);

} // namespace eelload
