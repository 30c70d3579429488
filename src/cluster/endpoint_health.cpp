#include "eelgrasslever/cluster/endpoint_health.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

void endpoint_health::on_done(const std::string& endpoint) {
    auto found = m_records.find(endpoint);
    if (found == m_records.end()) {
        return;
    }
    found->second.failures_in_a_row = 0;
    found->second.rest = base::milliseconds(0);
}

void endpoint_health::on_failed(const std::string& endpoint,
                                bool failed_elsewhere, base::instant now) {
    if (failed_elsewhere) {
        return;
    }
    record& at = m_records[endpoint];
    at.failures_in_a_row++;
    if (at.failures_in_a_row >= failures_to_suspect) {
        suspect(endpoint, "failures in a row", now);
    }
}

void endpoint_health::on_stalled(const std::string& endpoint,
                                 base::instant now) {
    suspect(endpoint, "a run stalled", now);
}

void endpoint_health::suspect(const std::string& endpoint, const char* why,
                              base::instant now) {
    record& at = m_records[endpoint];
    if (at.rest_until > now) {
        return;
    }
    at.rest = std::clamp(at.rest * 2, first_rest, longest_rest);
    at.rest_until = now + at.rest;
    observe::log_event("endpoint_suspected",
                       {{"endpoint", endpoint},
                        {"why", why},
                        {"failures", std::to_string(at.failures_in_a_row)},
                        {"rest_ms", std::to_string(at.rest.count())}});
}

void endpoint_health::forget(const std::string& endpoint) {
    m_records.erase(endpoint);
}

bool endpoint_health::suspected(const std::string& endpoint,
                                base::instant now) const {
    auto found = m_records.find(endpoint);
    return found != m_records.end() && found->second.rest_until > now;
}

} // namespace eelgrasslever::cluster
