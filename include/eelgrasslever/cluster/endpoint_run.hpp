/// @file
/// The leader's working state of one endpoint: its room, its lease and what is
/// or may be running there.
#pragma once

#include "eelgrasslever/cluster/orders.hpp"

#include <deque>
#include <map>
#include <string>

namespace eelgrasslever::cluster {

enum class allocation_phase {
    recording, ///< not ordered before the store has the placement
    inherited, ///< recorded by an earlier leader; not looked at yet
    starting,  ///< the order is under way
    uncertain, ///< the order got no reply
    running,
    stopping,
};

/// Room taken by one run, from its order until its end has been seen.
struct allocation {
    int run{0};
    base::resources need;
    allocation_phase phase{allocation_phase::starting};
    /// Orders up to this one can't have seen the outcome of the start.
    std::uint64_t confirmed_by{0};
    std::uint64_t stop_confirmed_by{0}; ///< 0: no stop was confirmed
    bool stop_in_flight{false};
    base::instant stop_again_at{};
    base::instant void_after{}; ///< the order can't be carried out later
    base::instant started_at{};
    std::string checkpoint;
    std::string ticket;
    base::instant ticket_valid_until{};
    int percent{0};
    base::instant percent_changed_at{};
};

/// An end that was taken in and whose record may not be stored yet.
struct unrecorded_completion {
    std::uint64_t number{0};
    std::string job;
    std::uint64_t version{0}; ///< 0: nothing to store
};

/// Names one run on an endpoint.
struct run_key {
    task_key task;
    int run{0};
    auto operator<=>(const run_key&) const = default;
};

struct endpoint_run {
    endpoint_listing listing;
    base::instant unlisted_at{};
    bool listed{false};      ///< the registry shows it
    bool inventoried{false}; ///< it has obeyed this leader's token
    bool gone{false};        ///< nothing runs there any more, for good
    std::map<run_key, allocation> runs;
    base::resources used;

    // Clock of the endpoint, read at a known instant of ours.
    bool clock_known{false};
    endpoint_time clock_reading{0};
    base::instant clock_read_at{};
    endpoint_time lease_end{0}; ///< latest deadline ever sent

    // The hold loop.
    std::uint64_t order_count{0};
    bool hold_in_flight{false};
    std::uint64_t hold_order_number{0};
    base::instant hold_sent_at{};
    base::instant next_hold{};
    int failed_holds{0};
    base::instant last_reply{};
    std::uint64_t ends_seen{0};
    std::uint64_t completions_recorded{0};
    std::deque<unrecorded_completion> unrecorded;

    base::instant avoid_until{}; ///< overloaded or suspected

    [[nodiscard]] base::resources free() const {
        return listing.capacity - used;
    }
    /// @return an estimate of the endpoint's clock at @p now.
    [[nodiscard]] endpoint_time clock_at(base::instant now) const;
    /// @return when the lease has run out for sure, on our clock.
    [[nodiscard]] base::instant lease_over_at() const;
};

} // namespace eelgrasslever::cluster
