#include "eelgrasslever/cluster/ended_jobs.hpp"

namespace eelgrasslever::cluster {

void ended_jobs::put(const std::string& id, workload::job_state state,
                     base::instant now) {
    while (!m_oldest_first.empty() &&
           (m_oldest_first.size() >= max_entries ||
            m_states.at(m_oldest_first.front()).expires_at <= now)) {
        m_states.erase(m_oldest_first.front());
        m_oldest_first.pop_front();
    }
    if (m_states.try_emplace(id, entry{state, now + retention}).second) {
        m_oldest_first.push_back(id);
    }
}

std::optional<workload::job_state> ended_jobs::find(const std::string& id,
                                                    base::instant now) const {
    auto found = m_states.find(id);
    if (found == m_states.end() || found->second.expires_at <= now) {
        return std::nullopt;
    }
    return found->second.state;
}

} // namespace eelgrasslever::cluster
