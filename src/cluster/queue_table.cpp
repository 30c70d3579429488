#include "eelgrasslever/cluster/queue_table.hpp"

#include <utility>

namespace eelgrasslever::cluster {

queue_table::queue_table(std::uint64_t version, std::vector<queue_route> routes,
                         std::vector<workspace::policy> workspaces,
                         client_limits limits)
    : m_version(version), m_limits(limits), m_route_count(routes.size()),
      m_workspaces(
          std::make_shared<const workspace::directory>(std::move(workspaces))) {
    for (queue_route& route : routes) {
        auto [row, is_first] =
            m_policies.try_emplace(route.queue.name, route.queue);
        if (!is_first && row->second != route.queue) {
            row->second.reset();
        }
        std::string prefix = route.prefix;
        m_routes[route.host][prefix] = std::move(route);
    }
}

const workload::queue_policy*
queue_table::find_policy(const std::string& queue) const {
    auto found = m_policies.find(queue);
    return found == m_policies.end() || !found->second ? nullptr
                                                       : &*found->second;
}

const queue_route* queue_table::find(const std::string& host,
                                     const std::string& path) const {
    auto host_routes = m_routes.find(host.substr(0, host.find(':')));
    if (host_routes == m_routes.end()) {
        return nullptr;
    }
    // Paths have few segments, so looking up every prefix is cheap.
    for (std::size_t end = path.size(); end > 0; --end) {
        if (path[end - 1] != '/' && end != path.size()) {
            continue;
        }
        auto found = host_routes->second.find(path.substr(0, end));
        if (found != host_routes->second.end()) {
            return &found->second;
        }
    }
    return nullptr;
}

} // namespace eelgrasslever::cluster
