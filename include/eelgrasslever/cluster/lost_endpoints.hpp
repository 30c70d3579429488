/// @file
/// Endpoints that the leader has lost and that may have crashed.
#pragma once

#include "eelgrasslever/cluster/endpoint_state.hpp"
#include "eelgrasslever/cluster/incarnation.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace eelgrasslever::cluster {

/// A run that was alive when the leader lost its endpoint.
struct lost_run {
    run_key key;
    base::milliseconds seen_alive{0};
};

/// The runs of an endpoint whose lease has expired.
struct lost_endpoint {
    std::string id;
    std::string address;
    base::instant lost_at{};
    std::vector<lost_run> runs;
};

/// Keeps the runs of lost endpoints until it shows whether the endpoints have
/// crashed: another incarnation at the address is the proof, and a reply of the
/// same one shows that it has not.
class lost_endpoints {
  public:
    /// Adds a run that is lost at @p now.
    void add(const std::string& id, const std::string& address,
             const lost_run& run, base::instant now);
    /// @return the endpoints that @p present at the address proves to have
    /// ended, as another life of their names or in their place. They are
    /// removed here.
    [[nodiscard]] std::vector<lost_endpoint>
    take_predecessors(const std::string& address, const std::string& present);
    /// @return the runs of the endpoint, which is removed here.
    [[nodiscard]] std::vector<lost_run> take(const std::string& id);
    /// @return the endpoints that were lost before @p instant, which are
    /// removed here.
    [[nodiscard]] std::vector<lost_endpoint> take_before(base::instant instant);
    [[nodiscard]] bool empty() const { return m_endpoints.empty(); }

  private:
    /// Ids of endpoints by an attribute that several of them may share.
    using index = std::set<std::pair<std::string, std::string>>;

    /// Adds the ids under @p key that @p present proves to have ended.
    static void find_ended(const index& ids, const std::string& key,
                           const incarnation& present,
                           std::set<std::string>& ended);
    /// @return the endpoint, which is removed here.
    lost_endpoint extract(const std::string& id);

    std::map<std::string, lost_endpoint> m_endpoints; ///< by id
    index m_ids_by_address;
    index m_ids_by_name;
};

} // namespace eelgrasslever::cluster
