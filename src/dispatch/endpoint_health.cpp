#include "eelgrasslever/dispatch/endpoint_health.hpp"

#include <algorithm>

namespace eelgrasslever::dispatch {

namespace {

constexpr double failure_rate_smoothing = 0.05;
constexpr double slowness_smoothing = 0.2;
constexpr int failures_for_quarantine = 3;
// At or above this failure rate across all endpoints, the work is taken to be
// at fault rather than the endpoint.
constexpr double common_failure_rate = 0.5;
// A slot limit above this is lifted.
constexpr std::int64_t full_readmission_slots = 64;
constexpr int max_backoff_doublings = 5;

} // namespace

void failure_rate::record(bool failed) {
    m_rate += failure_rate_smoothing * ((failed ? 1.0 : 0.0) - m_rate);
}

void endpoint_health::record_outcome(bool failed,
                                     const failure_rate& all_endpoints,
                                     base::instant now,
                                     base::milliseconds initial_quarantine) {
    if (!failed) {
        m_consecutive_failures = 0;
        m_consecutive_quarantines = 0;
        if (m_slot_limit >= 0) {
            m_slot_limit = std::max<std::int64_t>(1, m_slot_limit) * 2;
        }
        if (m_slot_limit > full_readmission_slots) {
            m_slot_limit = no_limit;
        }
        return;
    }
    m_consecutive_failures++;
    bool already_quarantined = m_slot_limit >= 0;
    bool specific_to_endpoint = all_endpoints.rate() < common_failure_rate;
    if (!already_quarantined &&
        (m_consecutive_failures < failures_for_quarantine ||
         !specific_to_endpoint)) {
        return;
    }
    int doublings = std::min(m_consecutive_quarantines, max_backoff_doublings);
    m_quarantined_until = now + initial_quarantine * (1 << doublings);
    m_consecutive_quarantines++;
    m_slot_limit = 1;
}

std::int64_t endpoint_health::slot_limit(std::int64_t capacity,
                                         base::instant now) const {
    if (m_slot_limit < 0) {
        return capacity;
    }
    if (now < m_quarantined_until) {
        return 0;
    }
    return std::min(capacity, m_slot_limit);
}

void endpoint_health::record_slowness(double ratio) {
    m_slowness += slowness_smoothing * (ratio - m_slowness);
}

} // namespace eelgrasslever::dispatch
