#include "eelgrasslever/cluster/lost_endpoints.hpp"

namespace eelgrasslever::cluster {

void lost_endpoints::add(const std::string& id, const std::string& address,
                         const lost_run& run, base::instant now) {
    auto [row, is_new] = m_endpoints.try_emplace(id);
    lost_endpoint& endpoint = row->second;
    if (is_new) {
        endpoint.id = id;
        endpoint.address = address;
        m_ids_by_address.emplace(address, id);
        m_ids_by_name.emplace(parse_incarnation(id).name, id);
    }
    endpoint.lost_at = now;
    endpoint.runs.push_back(run);
}

lost_endpoint lost_endpoints::extract(const std::string& id) {
    auto found = m_endpoints.find(id);
    lost_endpoint endpoint = std::move(found->second);
    m_endpoints.erase(found);
    m_ids_by_address.erase({endpoint.address, id});
    m_ids_by_name.erase({parse_incarnation(id).name, id});
    return endpoint;
}

void lost_endpoints::find_ended(const index& ids, const std::string& key,
                                const incarnation& present,
                                std::set<std::string>& ended) {
    for (auto it = ids.lower_bound({key, ""});
         it != ids.end() && it->first == key; ++it) {
        if (proves_end(parse_incarnation(it->second), present)) {
            ended.insert(it->second);
        }
    }
}

std::vector<lost_endpoint>
lost_endpoints::take_predecessors(const std::string& address,
                                  const std::string& present) {
    incarnation life = parse_incarnation(present);
    std::set<std::string> ended;
    find_ended(m_ids_by_name, life.name, life, ended);
    // Records of older versions have no addresses.
    if (!address.empty()) {
        find_ended(m_ids_by_address, address, life, ended);
    }
    std::vector<lost_endpoint> result;
    for (const std::string& id : ended) {
        result.push_back(extract(id));
    }
    return result;
}

std::vector<lost_run> lost_endpoints::take(const std::string& id) {
    return m_endpoints.contains(id) ? extract(id).runs
                                    : std::vector<lost_run>{};
}

std::vector<lost_endpoint> lost_endpoints::take_before(base::instant instant) {
    std::set<std::string> old;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.lost_at < instant) {
            old.insert(id);
        }
    }
    std::vector<lost_endpoint> result;
    for (const std::string& id : old) {
        result.push_back(extract(id));
    }
    return result;
}

} // namespace eelgrasslever::cluster
