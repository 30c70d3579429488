#include "eelgrasslever/cluster/endpoint_health.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

void endpoint_health::on_run_done(const std::string& endpoint) {
    auto found = m_records.find(endpoint);
    if (found == m_records.end()) {
        return;
    }
    found->second.consecutive_failures = 0;
    found->second.backoff = base::milliseconds(0);
}

void endpoint_health::on_run_failed(const std::string& endpoint,
                                    bool task_failed_before,
                                    base::instant now) {
    if (task_failed_before) {
        return;
    }
    record& entry = m_records[endpoint];
    entry.consecutive_failures++;
    if (entry.consecutive_failures >= failure_threshold) {
        quarantine(endpoint, "consecutive failures", now);
    }
}

void endpoint_health::on_run_stalled(const std::string& endpoint,
                                     base::instant now) {
    quarantine(endpoint, "stalled run", now);
}

void endpoint_health::quarantine(const std::string& endpoint, const char* why,
                                 base::instant now) {
    record& entry = m_records[endpoint];
    if (entry.backoff_until > now) {
        return;
    }
    entry.backoff = std::clamp(entry.backoff * 2, initial_backoff, max_backoff);
    entry.backoff_until = now + entry.backoff;
    m_last_backoff_until = std::max(m_last_backoff_until, entry.backoff_until);
    observe::log_event(
        "endpoint_suspected",
        {{"endpoint", endpoint},
         {"why", why},
         {"failures", std::to_string(entry.consecutive_failures)},
         {"rest_ms", std::to_string(entry.backoff.count())}});
}

void endpoint_health::forget(const std::string& endpoint) {
    m_records.erase(endpoint);
}

bool endpoint_health::is_suspected(const std::string& endpoint,
                                   base::instant now) const {
    if (m_last_backoff_until <= now) {
        return false;
    }
    auto found = m_records.find(endpoint);
    return found != m_records.end() && found->second.backoff_until > now;
}

} // namespace eelgrasslever::cluster
