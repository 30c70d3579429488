#include "eelgrasslever/observe/metrics.hpp"

#include <cmath>
#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

namespace eelgrasslever::observe {

namespace accumulators = boost::accumulators;

namespace {

constexpr const char* name_prefix = "eelgrasslever_";

std::string name_without_labels(const std::string& name) {
    return name.substr(0, name.find('{'));
}

void print_values(std::ostream& out,
                  const std::map<std::string, double>& values,
                  const char* type) {
    std::string last_name;
    for (const auto& [name, value] : values) {
        std::string bare_name = name_without_labels(name);
        if (bare_name != last_name) {
            out << "# TYPE " << name_prefix << bare_name << " " << type << "\n";
            last_name = bare_name;
        }
        out << name_prefix << name << " " << value << "\n";
    }
}

} // namespace

const std::vector<double>& quantile_summary::probabilities() {
    static const std::vector<double> values{0.5, 0.9, 0.99, 0.999};
    return values;
}

quantile_summary::quantile_summary()
    : m_values(accumulators::extended_p_square_probabilities =
                   probabilities()) {}

void quantile_summary::observe(double value) {
    m_values(value);
}

double quantile_summary::quantile(double probability) const {
    if (count() == 0) {
        return 0.0;
    }
    double value = accumulators::quantile(
        m_values, accumulators::quantile_probability = probability);
    return std::isfinite(value) ? value : 0.0;
}

std::size_t quantile_summary::count() const {
    return accumulators::count(m_values);
}

double quantile_summary::sum() const {
    return accumulators::sum(m_values);
}

const std::vector<double>& latency_histogram::bucket_bounds() {
    static const std::vector<double> values{0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                            0.5,   1.0,  2.5,   5.0,  10.0};
    return values;
}

namespace {

/// @return the bucket edges in milliseconds. Boost.Histogram excludes the upper
/// edge of a bucket whereas Prometheus includes it. Durations are whole
/// milliseconds, so adding half a millisecond makes the edge inclusive.
std::vector<double> bucket_edges() {
    constexpr double milliseconds_per_second = 1000.0;
    constexpr double half = 0.5;
    std::vector<double> out;
    for (double bound : latency_histogram::bucket_bounds()) {
        out.push_back(bound * milliseconds_per_second + half);
    }
    return out;
}

} // namespace

latency_histogram::latency_histogram()
    : m_buckets(boost::histogram::make_histogram(axis(bucket_edges()))) {}

void latency_histogram::observe(base::milliseconds duration) {
    m_buckets(static_cast<double>(duration.count()));
    m_count++;
    m_sum_seconds += std::chrono::duration<double>(duration).count();
}

std::uint64_t latency_histogram::cumulative_count(std::size_t index) const {
    // Index -1 is the underflow bucket: values up to the first bound.
    constexpr int underflow = -1;
    double out = 0.0;
    for (int i = underflow; i < static_cast<int>(index); ++i) {
        out += static_cast<double>(m_buckets.at(i));
    }
    return static_cast<std::uint64_t>(out);
}

void metrics::add(const std::string& counter, double amount) {
    m_counters[counter] += amount;
}

void metrics::set(const std::string& gauge, double value) {
    m_gauges[gauge] = value;
}

void metrics::observe(const std::string& name, const std::string& labels,
                      double value) {
    m_summaries[series{name, labels}].observe(value);
}

void metrics::observe_latency(const std::string& name,
                              const std::string& labels,
                              base::milliseconds duration) {
    m_histograms[series{name, labels}].observe(duration);
}

std::string metrics::to_prometheus() const {
    std::ostringstream out;
    out.precision(12);
    print_values(out, m_counters, "counter");
    print_values(out, m_gauges, "gauge");
    std::string last_name;
    for (const auto& [key, values] : m_summaries) {
        if (key.name != last_name) {
            out << "# TYPE " << name_prefix << key.name << " summary\n";
            last_name = key.name;
        }
        for (double probability : quantile_summary::probabilities()) {
            out << name_prefix << key.name << "{" << key.labels
                << ",quantile=\"" << probability << "\"} "
                << values.quantile(probability) << "\n";
        }
        out << name_prefix << key.name << "_sum{" << key.labels << "} "
            << values.sum() << "\n";
        out << name_prefix << key.name << "_count{" << key.labels << "} "
            << values.count() << "\n";
    }
    last_name.clear();
    for (const auto& [key, values] : m_histograms) {
        const std::string name = name_prefix + key.name;
        if (key.name != last_name) {
            out << "# TYPE " << name << " histogram\n";
            last_name = key.name;
        }
        const std::string label_prefix =
            key.labels.empty() ? "" : key.labels + ",";
        const std::string label_set =
            key.labels.empty() ? "" : "{" + key.labels + "}";
        for (std::size_t i = 0; i < latency_histogram::bucket_bounds().size();
             ++i) {
            out << name << "_bucket{" << label_prefix << "le=\""
                << latency_histogram::bucket_bounds()[i] << "\"} "
                << values.cumulative_count(i) << "\n";
        }
        out << name << "_bucket{" << label_prefix << "le=\"+Inf\"} "
            << values.count() << "\n";
        out << name << "_sum" << label_set << " " << values.sum_seconds()
            << "\n";
        out << name << "_count" << label_set << " " << values.count() << "\n";
    }
    return out.str();
}

process_usage read_process_usage() {
    process_usage out;
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double microseconds_per_second = 1e6;
    auto seconds = [](const timeval& value) {
        return static_cast<double>(value.tv_sec) +
               static_cast<double>(value.tv_usec) / microseconds_per_second;
    };
    out.cpu_seconds = seconds(usage.ru_utime) + seconds(usage.ru_stime);
    std::ifstream pages("/proc/self/statm");
    long total = 0;
    long resident = 0;
    pages >> total >> resident;
    out.resident_bytes = static_cast<double>(resident) *
                         static_cast<double>(sysconf(_SC_PAGESIZE));
    return out;
}

} // namespace eelgrasslever::observe
