/// @file
/// Counters, gauges, summaries and histograms, exported in the Prometheus text
/// format.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <sstream> // needed by extended_p_square_quantile.hpp

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <map>
#include <string>
#include <vector>

namespace eelgrasslever::observe {

/// Streaming estimate of the quantiles of a distribution (extended P-square).
class quantile_summary {
  public:
    quantile_summary();
    void observe(double value);
    /// @param probability within the range of `probabilities()`.
    /// @return the estimated quantile, or 0 without observations.
    [[nodiscard]] double quantile(double probability) const;
    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] double sum() const;
    [[nodiscard]] static const std::vector<double>& probabilities();

  private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square_quantile>>;
    accumulator m_values;
};

/// Histogram of durations with fixed buckets, so that the counts of several
/// processes can be added.
class latency_histogram {
  public:
    latency_histogram();
    void observe(base::milliseconds duration);
    /// @return the upper bounds of the buckets in seconds, without the final
    /// unbounded bucket; these are the defaults of Prometheus client libraries.
    [[nodiscard]] static const std::vector<double>& bucket_bounds();
    /// @return the number of durations up to `bucket_bounds()[index]`.
    [[nodiscard]] std::uint64_t cumulative_count(std::size_t index) const;
    [[nodiscard]] std::uint64_t count() const { return m_count; }
    [[nodiscard]] double sum_seconds() const { return m_sum_seconds; }

  private:
    using axis = boost::histogram::axis::variable<double>;
    boost::histogram::histogram<std::tuple<axis>> m_buckets;
    std::uint64_t m_count{0};
    double m_sum_seconds{0.0};
};

/// All metrics of a process. Names of counters and gauges include their labels,
/// such as `answers_total{outcome="completed"}`.
class metrics {
  public:
    /// Increments a counter.
    void add(const std::string& counter, double amount = 1.0);
    void set(const std::string& gauge, double value);
    /// Adds @p value to the summary @p name.
    /// @param labels `key="value"` pairs separated by commas; must not be
    /// empty.
    void observe(const std::string& name, const std::string& labels,
                 double value);
    /// Adds @p duration to the histogram @p name, which should end in
    /// "_seconds".
    /// @param labels `key="value"` pairs separated by commas; may be empty.
    void observe_latency(const std::string& name, const std::string& labels,
                         base::milliseconds duration);

    /// @return all metrics in the Prometheus text format.
    [[nodiscard]] std::string to_prometheus() const;

  private:
    struct series {
        std::string name;
        std::string labels;
        auto operator<=>(const series&) const = default;
    };
    std::map<std::string, double> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<series, quantile_summary> m_summaries;
    std::map<series, latency_histogram> m_histograms;
};

/// Resource usage of this process.
struct process_usage {
    double cpu_seconds{0.0}; ///< user and system time since the start
    double resident_bytes{0.0};
};
[[nodiscard]] process_usage read_process_usage();

} // namespace eelgrasslever::observe
