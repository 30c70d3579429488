#include "eelgrasslever/observe/metrics.hpp"

#include <cmath>
#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

namespace eelgrasslever::observe {

namespace accumulators = boost::accumulators;

namespace {

constexpr const char* prefix = "eelgrasslever_";

std::string base_name(const std::string& name) {
    return name.substr(0, name.find('{'));
}

void print_plain(std::ostream& out, const std::map<std::string, double>& all,
                 const char* type) {
    std::string last;
    for (const auto& [name, value] : all) {
        std::string base = base_name(name);
        if (base != last) {
            out << "# TYPE " << prefix << base << " " << type << "\n";
            last = base;
        }
        out << prefix << name << " " << value << "\n";
    }
}

} // namespace

const std::vector<double>& distribution::probabilities() {
    static const std::vector<double> all{0.5, 0.9, 0.99, 0.999};
    return all;
}

distribution::distribution()
    : m_values(accumulators::extended_p_square_probabilities =
                   probabilities()) {}

void distribution::observe(double value) {
    m_values(value);
}

double distribution::quantile(double probability) const {
    if (count() == 0) {
        return 0.0;
    }
    double value = accumulators::quantile(
        m_values, accumulators::quantile_probability = probability);
    return std::isfinite(value) ? value : 0.0;
}

std::size_t distribution::count() const {
    return accumulators::count(m_values);
}

double distribution::sum() const {
    return accumulators::sum(m_values);
}

const std::vector<double>& latency_histogram::bounds() {
    static const std::vector<double> all{0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                         0.5,   1.0,  2.5,   5.0,  10.0};
    return all;
}

namespace {

/// @return the edges of the buckets in milliseconds. Buckets of the library
/// don't hold their upper edge, those of Prometheus do; as durations are whole
/// milliseconds, half of one makes up for it.
std::vector<double> bucket_edges() {
    constexpr double milliseconds_per_second = 1000.0;
    constexpr double half = 0.5;
    std::vector<double> out;
    for (double bound : latency_histogram::bounds()) {
        out.push_back(bound * milliseconds_per_second + half);
    }
    return out;
}

} // namespace

latency_histogram::latency_histogram()
    : m_buckets(boost::histogram::make_histogram(axis(bucket_edges()))) {}

void latency_histogram::observe(base::milliseconds took) {
    m_buckets(static_cast<double>(took.count()));
    m_count++;
    m_sum_seconds += std::chrono::duration<double>(took).count();
}

std::uint64_t latency_histogram::at_most(std::size_t index) const {
    // Bucket -1 holds what is below the first bound.
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

void metrics::observe(const std::string& name, const std::string& label,
                      double value) {
    m_distributions[series{name, label}].observe(value);
}

void metrics::observe_latency(const std::string& name, const std::string& label,
                              base::milliseconds took) {
    m_latencies[series{name, label}].observe(took);
}

std::string metrics::to_prometheus() const {
    std::ostringstream out;
    out.precision(12);
    print_plain(out, m_counters, "counter");
    print_plain(out, m_gauges, "gauge");
    std::string last;
    for (const auto& [key, values] : m_distributions) {
        if (key.name != last) {
            out << "# TYPE " << prefix << key.name << " summary\n";
            last = key.name;
        }
        for (double probability : distribution::probabilities()) {
            out << prefix << key.name << "{" << key.label << ",quantile=\""
                << probability << "\"} " << values.quantile(probability)
                << "\n";
        }
        out << prefix << key.name << "_sum{" << key.label << "} "
            << values.sum() << "\n";
        out << prefix << key.name << "_count{" << key.label << "} "
            << values.count() << "\n";
    }
    last.clear();
    for (const auto& [key, values] : m_latencies) {
        const std::string name = prefix + key.name;
        if (key.name != last) {
            out << "# TYPE " << name << " histogram\n";
            last = key.name;
        }
        const std::string more = key.label.empty() ? "" : key.label + ",";
        const std::string labels =
            key.label.empty() ? "" : "{" + key.label + "}";
        for (std::size_t i = 0; i < latency_histogram::bounds().size(); ++i) {
            out << name << "_bucket{" << more << "le=\""
                << latency_histogram::bounds()[i] << "\"} " << values.at_most(i)
                << "\n";
        }
        out << name << "_bucket{" << more << "le=\"+Inf\"} " << values.count()
            << "\n";
        out << name << "_sum" << labels << " " << values.sum_seconds() << "\n";
        out << name << "_count" << labels << " " << values.count() << "\n";
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
