/// @file
/// Counters, gauges and distributions, shown in the Prometheus text format.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <sstream> // the quantile header below uses it without including it

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

/// A distribution summed up by its quantiles.
class quantile_summary {
  public:
    quantile_summary();
    void observe(double value);
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

/// Durations counted in buckets, which can be added up over processes.
class latency_histogram {
  public:
    latency_histogram();
    void observe(base::milliseconds duration);
    /// @return the upper bounds of the buckets in seconds; one more bucket has
    /// none. Source: the defaults of Prometheus clients.
    [[nodiscard]] static const std::vector<double>& bucket_bounds();
    /// @return how many were at most `bucket_bounds()[index]` long.
    [[nodiscard]] std::uint64_t cumulative_count(std::size_t index) const;
    [[nodiscard]] std::uint64_t count() const { return m_count; }
    [[nodiscard]] double sum_seconds() const { return m_sum_seconds; }

  private:
    using axis = boost::histogram::axis::variable<double>;
    boost::histogram::histogram<std::tuple<axis>> m_buckets;
    std::uint64_t m_count{0};
    double m_sum_seconds{0.0};
};

/// All metrics of a process. Names carry their labels, such as
/// `answers_total{outcome="completed"}`.
class metrics {
  public:
    void add(const std::string& counter, double amount = 1.0);
    void set(const std::string& gauge, double value);
    void observe(const std::string& name, const std::string& labels,
                 double value);
    /// Counts @p took in the histogram @p name, which ends in "_seconds".
    void observe_latency(const std::string& name, const std::string& labels,
                         base::milliseconds duration);

    /// @return the page of all metrics.
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

/// What the scheduler itself consumes.
struct process_usage {
    double cpu_seconds{0.0};
    double resident_bytes{0.0};
};
[[nodiscard]] process_usage read_process_usage();

} // namespace eelgrasslever::observe
