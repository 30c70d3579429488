#include "eelgrasslever/cluster/running_jobs.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

void running_jobs::put(const std::string& id, base::instant time,
                       base::instant now) {
    while (!m_oldest_first.empty() &&
           m_oldest_first.front().first + retention <= now) {
        std::string oldest = std::move(m_oldest_first.front().second);
        m_oldest_first.pop_front();
        auto found = m_times.find(oldest);
        if (found->second + retention <= now) {
            m_times.erase(found);
        } else {
            m_oldest_first.emplace_back(found->second, std::move(oldest));
        }
    }
    auto [found, is_new] = m_times.try_emplace(id, time);
    if (is_new) {
        m_oldest_first.emplace_back(time, id);
    } else {
        found->second = std::max(found->second, time);
    }
}

bool running_jobs::ran_since(const std::string& id, base::instant as_of) const {
    auto found = m_times.find(id);
    return found != m_times.end() && found->second >= as_of;
}

} // namespace eelgrasslever::cluster
