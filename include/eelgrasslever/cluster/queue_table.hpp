/// @file
/// The active configuration: selects the queue for a host and a path.
#pragma once

#include "eelgrasslever/workload/job.hpp"
#include "eelgrasslever/workspace/directory.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslever::cluster {

struct queue_route {
    std::string host;   ///< without a port
    std::string prefix; ///< begins and ends with "/"
    workload::queue_policy queue;
    bool is_public{false}; ///< calls need no key
};

/// What clients may send.
struct client_limits {
    /// Applies where the configuration sets no limit.
    static constexpr std::size_t default_body_bytes = 1024 * 1024;
    std::size_t max_body_bytes{default_body_bytes};
};

/// One version of the configuration. A new version replaces it as a whole.
class queue_table {
  public:
    queue_table() = default;
    /// @param workspaces none: calls need no key.
    queue_table(std::uint64_t version, std::vector<queue_route> routes,
                std::vector<workspace::policy> workspaces = {},
                client_limits limits = {});

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// @return the number of routes.
    [[nodiscard]] std::size_t size() const { return m_route_count; }
    /// @param host host name, with or without a port.
    /// @return the route with the longest matching prefix of @p path, or
    /// nullptr.
    [[nodiscard]] const queue_route* find(const std::string& host,
                                          const std::string& path) const;

    /// @return the policy of the queue with this name, or nullptr if there is
    /// none or its routes differ in their policies.
    [[nodiscard]] const workload::queue_policy*
    find_policy(const std::string& queue) const;

    /// @return the workspaces; never nullptr.
    [[nodiscard]] const std::shared_ptr<const workspace::directory>&
    workspaces() const {
        return m_workspaces;
    }

    [[nodiscard]] const client_limits& limits() const { return m_limits; }

  private:
    std::uint64_t m_version{0};
    client_limits m_limits;
    std::size_t m_route_count{0};
    /// By host, then by prefix.
    std::map<std::string, std::map<std::string, queue_route>> m_routes;
    /// By the queue's name; unset if its routes differ in their policies.
    std::map<std::string, std::optional<workload::queue_policy>> m_policies;
    std::shared_ptr<const workspace::directory> m_workspaces{
        std::make_shared<const workspace::directory>()};
};

} // namespace eelgrasslever::cluster
