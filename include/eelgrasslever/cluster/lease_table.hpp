/// @file
/// When the leases of runs end, as a leader passes it on to its successor.
#pragma once

#include "eelgrasslever/cluster/orders.hpp"

#include <map>
#include <string>

namespace eelgrasslever::cluster {

/// Covers the leases that the leader and all of its predecessors granted. It
/// holds only if the leader sends no further orders.
struct lease_table {
    fencing_token token{0}; ///< of the leader
    /// By endpoint: when its leases have certainly expired, on the local clock.
    std::map<std::string, base::instant> expiries;
    base::instant other_expiry{}; ///< likewise, for all other endpoints
};

} // namespace eelgrasslever::cluster
