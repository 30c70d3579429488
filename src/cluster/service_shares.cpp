#include "eelgrasslever/cluster/service_shares.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrasslever::cluster {

namespace {

/// Time over which work is averaged: a few times the duration of a task.
constexpr base::milliseconds averaging_time{10'000};
/// Lead of a queue of which nothing is started in time while the others are
/// served in full.
constexpr base::milliseconds full_lead{15'000};
/// Work that every queue is taken to have started in time at the outset, so
/// that the first missed step does not count as all of its work.
constexpr double initial_work = 0.05;

} // namespace

double service_shares::record::share() const {
    return (started + initial_work) / (started + missed + initial_work);
}

service_shares::record& service_shares::decayed(const std::string& queue,
                                                base::instant now) {
    record& row = m_records[queue];
    double elapsed = static_cast<double>((now - row.updated_at).count());
    double factor =
        std::exp(-elapsed / static_cast<double>(averaging_time.count()));
    row.started *= factor;
    row.missed *= factor;
    row.updated_at = now;
    return row;
}

void service_shares::add_started(const std::string& queue, double work,
                                 base::instant now) {
    decayed(queue, now).started += work;
}

void service_shares::add_missed(const std::string& queue, double work,
                                base::instant now) {
    decayed(queue, now).missed += work;
}

double service_shares::share_of(const std::string& queue) const {
    auto found = m_records.find(queue);
    return found == m_records.end() ? 1.0 : found->second.share();
}

base::milliseconds service_shares::lead_of(const std::string& queue) const {
    if (m_records.size() < 2) {
        return base::milliseconds(0);
    }
    double sum = 0.0;
    for (const auto& [name, row] : m_records) {
        sum += row.share();
    }
    double behind =
        sum / static_cast<double>(m_records.size()) - share_of(queue);
    return base::milliseconds(static_cast<std::int64_t>(
        behind * static_cast<double>(full_lead.count())));
}

} // namespace eelgrasslever::cluster
