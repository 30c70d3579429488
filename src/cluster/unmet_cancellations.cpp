#include "eelgrasslever/cluster/unmet_cancellations.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

void unmet_cancellations::set_members(std::size_t vms) {
    m_share = max_stored / std::clamp<std::size_t>(vms, 1, max_stored);
}

bool unmet_cancellations::admit(base::instant now) {
    while (!m_admitted_at.empty() && m_admitted_at.front() + retention <= now) {
        m_admitted_at.pop_front();
    }
    if (m_admitted_at.size() >= m_share) {
        return false;
    }
    m_admitted_at.push_back(now);
    return true;
}

} // namespace eelgrasslever::cluster
