#include "eelgrasslever/admission/run_estimator.hpp"

#include <algorithm>

namespace eelgrasslever::admission {

namespace {

constexpr double smoothing = 0.1;

std::string work_key(const std::string& team, const std::string& kind) {
    return team + "\n" + kind;
}

} // namespace

void run_estimator::observe(const std::string& team, const std::string& kind,
                            base::milliseconds declared,
                            base::milliseconds ran) {
    observed& entry = m_by_work[work_key(team, kind)];
    entry.count++;
    // The first tasks weigh more, so that the estimate moves at once.
    double weight = std::max(smoothing, 1.0 / entry.count);
    auto ran_ms = static_cast<double>(ran.count());
    entry.mean_ms += weight * (ran_ms - entry.mean_ms);
    if (declared.count() > 0) {
        double ratio = ran_ms / static_cast<double>(declared.count());
        entry.ratio += weight * (ratio - entry.ratio);
    }
}

base::milliseconds run_estimator::estimate(const std::string& team,
                                           const std::string& kind,
                                           base::milliseconds declared) const {
    auto found = m_by_work.find(work_key(team, kind));
    if (found == m_by_work.end()) {
        return declared;
    }
    const observed& entry = found->second;
    double value = declared.count() > 0
                       ? entry.ratio * static_cast<double>(declared.count())
                       : entry.mean_ms;
    return base::milliseconds(static_cast<std::int64_t>(value));
}

} // namespace eelgrasslever::admission
