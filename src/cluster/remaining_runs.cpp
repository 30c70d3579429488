#include "eelgrasslever/cluster/remaining_runs.hpp"

#include <utility>

namespace eelgrasslever::cluster {

void remaining_runs::add(const std::string& job, workload::progress record,
                         int live) {
    m_jobs[job] = {std::move(record), live, false, {}};
    m_may_be_due = true;
}

void remaining_runs::adjust(const std::string& job, int change) {
    auto found = m_jobs.find(job);
    if (found != m_jobs.end()) {
        found->second.live += change;
        m_may_be_due |= found->second.live == 0;
    }
}

const workload::progress* remaining_runs::find(const std::string& job) const {
    auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second.record;
}

std::vector<remaining_runs::settled_record>
remaining_runs::take_due(base::instant now) {
    std::vector<settled_record> result;
    if (!std::exchange(m_may_be_due, false)) {
        return result;
    }
    for (auto& [job, entry] : m_jobs) {
        if (entry.live > 0 || entry.is_write_in_flight) {
            continue;
        }
        if (entry.due_at > now) {
            m_may_be_due = true;
            continue;
        }
        entry.is_write_in_flight = true;
        entry.record.placements.clear();
        result.push_back({job, entry.record});
    }
    return result;
}

void remaining_runs::on_recorded(const std::string& job) {
    m_jobs.erase(job);
}

void remaining_runs::on_record_failed(const std::string& job,
                                      base::instant retry_at) {
    auto found = m_jobs.find(job);
    if (found != m_jobs.end()) {
        found->second.is_write_in_flight = false;
        found->second.due_at = retry_at;
        m_may_be_due = true;
    }
}

} // namespace eelgrasslever::cluster
