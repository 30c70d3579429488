/// @file
/// Statistics of the results of an experiment, as tables and as a plot.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "generator.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelload {

/// Statistics of the requests of one work class.
struct work_statistics {
    std::string name;
    std::size_t ended{0}; ///< all requests
    std::size_t completed{0};
    std::size_t failed{0};
    std::size_t not_run{0};
    std::size_t unknown{0};
    std::size_t unanswered{0};
    std::size_t late{0};
    /// Latency minus run time of each completed request, ascending.
    std::vector<base::milliseconds> waits;
    /// @return the wait that the given share of completed requests did not
    /// exceed, or 0 if none completed.
    [[nodiscard]] base::milliseconds wait_quantile(double share) const;
};

/// @return the statistics of each work class, ordered by its name.
[[nodiscard]] std::vector<work_statistics>
summarize(const std::vector<request_result>& results);

/// Resources that the entry VMs have consumed since their start, summed from
/// their metrics.
struct control_cost {
    double cpu_seconds{0.0};
    double bytes{0.0};          ///< sent and received on all links
    double starts{0.0};         ///< tasks started
    double resident_bytes{0.0}; ///< of the largest process only
};
/// Reads the metrics of each server; skips a server that does not reply.
[[nodiscard]] control_cost
read_control_cost(const std::vector<std::string>& servers);

/// Prints a row of counts and wait quantiles for each work class.
void print_table(const std::vector<work_statistics>& statistics);
/// Prints what the servers consumed between two readings, per start, per second
/// and per server.
/// @param servers the number of servers.
void print_cost(const control_cost& before, const control_cost& after,
                std::size_t servers, base::milliseconds duration);
/// Writes an SVG plot of the wait quantiles of each work class.
/// @return an error if the file cannot be written.
[[nodiscard]] base::result<void>
write_svg(const std::vector<work_statistics>& statistics,
          const std::string& path);

} // namespace eelload
