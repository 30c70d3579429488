/// @file
/// What a node needs to know about itself.
#pragma once

#include "eelgrasslever/bundle/envelope.hpp"
#include "eelgrasslever/dispatch/timing.hpp"
#include "eelgrasslever/membership/membership_view.hpp"

#include <cstdint>
#include <string>

namespace eelgrasslever::node {

struct node_config {
    std::string id; ///< "VM@incarnation"
    std::string failure_domain;
    std::string http_address;
    std::string peer_address;
    dispatch::timing timing;
    membership::membership_timing membership_timing;
    base::milliseconds heartbeat_period{400};
    base::milliseconds answer_retention{600 * 1000};
    std::size_t journal_shards{16};
    std::uint64_t seed{1};
    /// Added to an instant's milliseconds it gives Unix time.
    std::int64_t unix_offset_ms{0};
    bundle::keyring operators;
};

} // namespace eelgrasslever::node
