/// @file
/// Identity and timing of one entry VM's node.
#pragma once

#include "eelgrasslever/bundle/envelope.hpp"
#include "eelgrasslever/dispatch/timing.hpp"
#include "eelgrasslever/membership/membership_view.hpp"

#include <cstdint>
#include <string>

namespace eelgrasslever::node {

/// Configuration that a node gets when it is created.
struct node_config {
    std::string id; ///< "VM@incarnation"
    std::string failure_domain;
    std::string http_address; ///< "IP:port"
    std::string peer_address; ///< "IP:port"
    dispatch::timing timing;
    membership::membership_timing membership_timing;
    base::milliseconds heartbeat_period{400};
    base::milliseconds answer_retention{600 * 1000}; ///< of final answers
    std::size_t journal_shards{16}; ///< keys that hold the journal
    std::uint64_t seed{1};          ///< of the endpoint pool's random choices
    /// Unix time minus the monotonic clock, in milliseconds.
    std::int64_t unix_offset_ms{0};
    bundle::keyring operators;
};

} // namespace eelgrasslever::node
