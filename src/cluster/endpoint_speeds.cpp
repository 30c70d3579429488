#include "eelgrasslever/cluster/endpoint_speeds.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace eelgrasslever::cluster {

namespace {

/// Runs after which older ones are forgotten. An endpoint ends one to two runs
/// a second, so that a change of its speed shows within 20 s.
constexpr double max_endpoint_weight = 20.0;
constexpr double max_queue_weight = 500.0;
/// Runs at the usual speed that every endpoint is taken to have had.
constexpr double prior_weight = 2.0;
/// Runs from which an endpoint's speed is used.
constexpr double min_weight = 4.0;
/// Limits the effect of one run, as single tasks may take several times the
/// estimate.
constexpr double max_deviation = 1.0;
/// Endpoints whose speeds are known, from which a fleet may count as uneven.
constexpr std::size_t min_known = 12;
/// Ratio of the mean speeds of the fastest and the slowest third from which a
/// fleet is uneven. Below it, what a task gains by a faster endpoint is less
/// than what it loses if there is no room on one.
constexpr double uneven_ratio = 1.8;
/// Speed relative to the median from which an endpoint is fast, or slow.
constexpr double fast_ratio = 1.3;
constexpr double slow_ratio = 0.7;

double mean_of(const std::vector<double>& values, std::size_t from,
               std::size_t to) {
    double sum = 0.0;
    for (std::size_t i = from; i < to; ++i) {
        sum += values[i];
    }
    return sum / static_cast<double>(to - from);
}

} // namespace

void endpoint_speeds::mean::add(double value, double max_weight) {
    if (weight >= max_weight) {
        sum *= (max_weight - 1.0) / weight;
        weight = max_weight - 1.0;
    }
    sum += value;
    weight += 1.0;
}

double endpoint_speeds::mean::value() const {
    return sum / (weight + prior_weight);
}

void endpoint_speeds::add_run(const std::string& endpoint,
                              const std::string& queue,
                              base::milliseconds estimated,
                              base::milliseconds ran) {
    if (estimated.count() <= 0 || ran.count() <= 0) {
        return;
    }
    double ratio = std::log(static_cast<double>(estimated.count()) /
                            static_cast<double>(ran.count()));
    mean& usual = m_queues[queue];
    double deviation =
        std::clamp(ratio - usual.value(), -max_deviation, max_deviation);
    usual.add(ratio, max_queue_weight);
    m_endpoints[endpoint].add(deviation, max_endpoint_weight);
}

void endpoint_speeds::forget(const std::string& endpoint) {
    m_endpoints.erase(endpoint);
}

void endpoint_speeds::compare() {
    std::vector<double> known;
    for (const auto& [endpoint, speed] : m_endpoints) {
        if (speed.weight >= min_weight) {
            known.push_back(speed.value());
        }
    }
    m_is_uneven = false;
    if (known.size() < min_known) {
        return;
    }
    std::sort(known.begin(), known.end());
    std::size_t third = known.size() / 3;
    m_median = known[known.size() / 2];
    double slowest = mean_of(known, 0, third);
    double fastest = mean_of(known, known.size() - third, known.size());
    m_is_uneven = fastest - slowest >= std::log(uneven_ratio);
}

double endpoint_speeds::factor_of(const std::string& endpoint) const {
    auto found = m_endpoints.find(endpoint);
    if (!m_is_uneven || found == m_endpoints.end() ||
        found->second.weight < min_weight) {
        return 1.0;
    }
    return std::exp(found->second.value() - m_median);
}

speed_class endpoint_speeds::class_of(const std::string& endpoint) const {
    double factor = factor_of(endpoint);
    return factor >= fast_ratio   ? speed_class::fast
           : factor <= slow_ratio ? speed_class::slow
                                  : speed_class::usual;
}

} // namespace eelgrasslever::cluster
