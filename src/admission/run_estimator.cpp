#include "eelgrasslever/admission/run_estimator.hpp"

#include <algorithm>

namespace eelgrasslever::admission {

namespace {

constexpr double smoothing_factor = 0.1;

std::string work_key(const std::string& team, const std::string& kind) {
    return team + "\n" + kind;
}

} // namespace

void run_estimator::observe(const std::string& team, const std::string& kind,
                            base::milliseconds declared,
                            base::milliseconds ran) {
    run_statistics& statistics = m_statistics[work_key(team, kind)];
    statistics.count++;
    // The first observations have larger weights, so that the estimate
    // adapts quickly.
    double weight = std::max(smoothing_factor, 1.0 / statistics.count);
    auto ran_ms = static_cast<double>(ran.count());
    statistics.mean_ms += weight * (ran_ms - statistics.mean_ms);
    if (declared.count() > 0) {
        double ratio = ran_ms / static_cast<double>(declared.count());
        statistics.ratio += weight * (ratio - statistics.ratio);
    }
}

base::milliseconds run_estimator::estimate(const std::string& team,
                                           const std::string& kind,
                                           base::milliseconds declared) const {
    auto found = m_statistics.find(work_key(team, kind));
    if (found == m_statistics.end()) {
        return declared;
    }
    const run_statistics& statistics = found->second;
    double expected_ms =
        declared.count() > 0
            ? statistics.ratio * static_cast<double>(declared.count())
            : statistics.mean_ms;
    return base::milliseconds(static_cast<std::int64_t>(expected_ms));
}

} // namespace eelgrasslever::admission
