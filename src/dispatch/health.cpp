#include "eelgrasslever/dispatch/health.hpp"

#include <algorithm>

namespace eelgrasslever::dispatch {

namespace {

constexpr double rate_smoothing = 0.05;
constexpr double slowness_smoothing = 0.2;
constexpr int failures_for_quarantine = 3;
// With most endpoints failing, the work is at fault and not the endpoint.
constexpr double common_failure_rate = 0.5;
constexpr std::int64_t readmitted_slots = 64;
constexpr int longest_backoff_doublings = 5;

} // namespace

void failure_rate::observe(bool failed) {
    m_value += rate_smoothing * ((failed ? 1.0 : 0.0) - m_value);
}

void health::observe(bool failed, const failure_rate& others, base::instant now,
                     base::milliseconds quarantine) {
    if (!failed) {
        m_failures_in_row = 0;
        m_quarantines = 0;
        if (m_limit >= 0) {
            m_limit = std::max<std::int64_t>(1, m_limit) * 2;
        }
        if (m_limit > readmitted_slots) {
            m_limit = no_limit;
        }
        return;
    }
    m_failures_in_row++;
    bool probe_failed = m_limit >= 0;
    bool alone = others.value() < common_failure_rate;
    if (!probe_failed &&
        (m_failures_in_row < failures_for_quarantine || !alone)) {
        return;
    }
    int doublings = std::min(m_quarantines, longest_backoff_doublings);
    m_closed_until = now + quarantine * (1 << doublings);
    m_quarantines++;
    m_limit = 1;
}

std::int64_t health::slot_limit(std::int64_t capacity,
                                base::instant now) const {
    if (m_limit < 0) {
        return capacity;
    }
    if (now < m_closed_until) {
        return 0;
    }
    return std::min(capacity, m_limit);
}

void health::observe_slowness(double ratio) {
    m_slowness += slowness_smoothing * (ratio - m_slowness);
}

} // namespace eelgrasslever::dispatch
