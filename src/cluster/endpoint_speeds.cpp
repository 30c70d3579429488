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
/// Standard deviation of the endpoints' log speeds from which a fleet is
/// uneven. Speeds of 0.8 to 1.25, by which choosing gains less than it costs in
/// room, have 0.18.
constexpr double uneven_spread = 0.27;
/// Standard deviation of one run's log ratio by the error of its estimate.
constexpr double estimate_error = 0.5;
/// Speed relative to the median from which an endpoint is fast, or slow.
constexpr double fast_ratio = 1.3;
constexpr double slow_ratio = 0.7;

double variance_of(const std::vector<double>& values) {
    double sum = 0.0;
    double squares = 0.0;
    for (double value : values) {
        sum += value;
        squares += value * value;
    }
    auto count = static_cast<double>(values.size());
    return squares / count - (sum / count) * (sum / count);
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
    double noise = 0.0; // sum of the variances that rough estimates cause
    for (const auto& [endpoint, speed] : m_endpoints) {
        if (speed.weight >= min_weight) {
            known.push_back(speed.value());
            double divisor = speed.weight + prior_weight;
            noise += speed.weight * estimate_error * estimate_error /
                     (divisor * divisor);
        }
    }
    m_is_uneven = false;
    if (known.size() < min_known) {
        return;
    }
    double spread =
        variance_of(known) - noise / static_cast<double>(known.size());
    m_is_uneven = spread >= uneven_spread * uneven_spread;
    auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    m_median = *middle;
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
