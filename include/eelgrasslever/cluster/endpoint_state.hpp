/// @file
/// The leader's working state of one endpoint: its resources, its lease and
/// the runs that are or may be alive on it.
#pragma once

#include "eelgrasslever/cluster/endpoint_speeds.hpp"
#include "eelgrasslever/cluster/orders.hpp"
#include "eelgrasslever/cluster/room_reservations.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslever::cluster {

enum class allocation_phase {
    recording, ///< the start is sent once the placement is stored
    inherited, ///< placed by an earlier leader and not confirmed yet
    starting,  ///< the start order is outstanding
    uncertain, ///< the start order got no reply
    running,
    stopping,
};

/// Resources taken by one run, from its placement until its completion is
/// known.
///
/// Sequence numbers refer to `endpoint_state::order_sequence`. The state that
/// a renewal reports reflects an order only if the renewal was sent after the
/// order was confirmed.
struct allocation {
    int number{0}; ///< of the run
    base::resources need;
    /// Otherwise `need` is the endpoint's capacity, as far as that is known.
    bool is_need_known{true};
    std::string workspace; ///< whose limit it counts against; empty: none
    allocation_phase phase{allocation_phase::starting};
    /// Sequence number of the start's confirmation. Renewals up to this number
    /// may not have seen the outcome of the start.
    std::uint64_t start_confirmed_sequence{0};
    /// Sequence number of the stop's confirmation; 0: not confirmed.
    std::uint64_t stop_confirmed_sequence{0};
    bool stop_in_flight{false};
    /// The connection for the start was refused, so it was hardly carried out.
    bool start_refused{false};
    base::instant next_stop_at{};
    base::instant
        start_expires{}; ///< the endpoint refuses the start afterwards
    base::instant started_at{};
    /// This leader has started it from the beginning of its work.
    bool is_timed{false};
    /// How long an earlier leader may have seen it running.
    base::milliseconds assumed_age{0};
    /// When the run was known first to have been started.
    base::instant confirmed_at{};
    /// When the endpoint reported last that the run is alive.
    base::instant last_seen_at{};
    /// The former life of the endpoint for which the start was meant. If the
    /// present life doesn't have the run, it was lost in a crash of that one.
    /// Empty: there is none, or no crash is known.
    std::string lost_with;
    /// For how long it may have been alive in that life.
    base::milliseconds lost_after{0};
    std::string checkpoint;
    std::string ticket;
    base::instant ticket_valid_until{};
    int percent{0};
    base::instant percent_changed_at{};
    /// Progress from which the run's speed is measured.
    int initial_percent{0};
    base::instant progress_since{};
    /// By the estimate of the step, and by the speed once that is known.
    base::instant expected_end{};

    /// @return how long the endpoint was seen running it.
    [[nodiscard]] base::milliseconds seen_alive() const {
        return std::max(base::milliseconds(0), last_seen_at - started_at);
    }
    /// @return how long it may have been alive when its endpoint was lost.
    [[nodiscard]] base::milliseconds assumed_alive() const;
    /// @return how long the run was alive at least.
    [[nodiscard]] base::milliseconds survived() const {
        return std::max(base::milliseconds(0), last_seen_at - confirmed_at);
    }
    /// Takes in the progress that the endpoint reports.
    void update_progress(int reported_percent, base::instant now);
};

/// A completion that was applied but may not be stored yet. The endpoint keeps
/// reporting it until it is acknowledged.
struct unrecorded_completion {
    std::uint64_t sequence{0};
    std::string job;
    std::uint64_t version{0}; ///< of the job; 0: nothing to store
};

/// Identifies one run on an endpoint.
struct run_key {
    task_key task;
    int run{0};
    auto operator<=>(const run_key&) const = default;
};

/// Resources that become free once a run ends.
struct expected_release {
    base::instant at{};
    base::resources amount;
};

struct endpoint_state {
    endpoint_listing listing;
    /// Identifies the endpoint within one leadership; never used again.
    std::uint32_t number{0};
    /// Number of this life of the endpoint within the term.
    std::uint32_t life{0};
    /// In [0, 1), evenly spread over the endpoints.
    double reserve_order{0.0};
    /// Place among the usable endpoints by `reserve_order`; the first ones are
    /// kept for urgent work. Only the places that can matter are told apart.
    std::size_t reserve_rank{0};
    speed_class speed{speed_class::usual};
    double speed_factor{1.0};   ///< relative to the median endpoint
    std::uint64_t usable_in{0}; ///< latest placement pass that may use it
    std::optional<base::instant> unlisted_at;
    bool listed{false}; ///< the registry contains the endpoint
    /// The endpoint has reported its runs under this leader's token.
    bool inventoried{false};
    bool terminated{false}; ///< no run is alive there or ever will be
    std::map<run_key, allocation> runs;
    /// `expected_releases`, worked out once for all steps of a pass.
    std::vector<expected_release> releases;
    /// The placement pass that they are of; 0: the runs have changed since.
    std::uint64_t releases_in{0};
    base::resources used;
    /// Room claimed by steps that the present placement pass has examined and
    /// that start as soon as their advice is there.
    base::resources claimed;
    /// Likewise at the end of the previous pass.
    base::resources claimed_before;
    /// Room that gangs which the present pass has examined will use.
    room_reservations reservations;
    /// Those of the previous pass.
    room_reservations reservations_before;

    // The endpoint's clock, read at an instant of the local clock.
    bool has_clock_reading{false};
    endpoint_time clock_reading{0};
    base::instant clock_read_at{};
    endpoint_time lease_deadline{0}; ///< latest deadline ever sent
    /// When leases that earlier leaders granted have certainly expired.
    base::instant earlier_leases_expiry{};
    /// When runs that orders for a former life started here have certainly
    /// ended, if the endpoint doesn't answer.
    base::instant former_orders_expiry{};

    // Orders and lease renewals.
    /// Counts orders sent and confirmations received.
    std::uint64_t order_sequence{0};
    bool renewal_in_flight{false};
    bool renewal_waits{false}; ///< it returns with the next completion or late
    std::uint64_t renewal_sequence{0}; ///< of the latest renewal
    base::instant renewal_sent_at{};
    base::instant next_renewal{};
    int failed_renewals{0}; ///< since the last reply
    /// When a renewal failed first since the last reply.
    std::optional<base::instant> silent_since;
    base::instant draining_since{};
    std::optional<base::instant> last_reply_at; ///< to this leader
    std::uint64_t completions_seen{0};     ///< highest sequence number applied
    std::uint64_t completions_recorded{0}; ///< highest sequence number stored
    /// Highest sequence number that the endpoint was told to forget, in the
    /// latest renewal and in one that it answered.
    std::uint64_t acknowledgement_sent{0};
    std::uint64_t completions_acknowledged{0};
    std::deque<unrecorded_completion> unrecorded_completions;

    /// The run of a task under suspicion of crashing its endpoints. Nothing
    /// else is placed beside it until it has outlived the earlier runs.
    std::optional<run_key> trial;
    base::instant trial_until{};

    /// No work is placed on the endpoint before, as it refused a start.
    base::instant avoid_until{};

    [[nodiscard]] bool is_on_trial(base::instant now) const {
        return trial.has_value() && trial_until > now;
    }
    [[nodiscard]] base::resources free_resources() const {
        return listing.capacity - used;
    }
    /// @return what the present runs will release, earliest first; none of it
    /// before @p now.
    [[nodiscard]] std::vector<expected_release>
    expected_releases(base::instant now) const;
    /// @return what is free at @p time if the present runs end as expected.
    [[nodiscard]] base::resources free_at(base::instant time,
                                          base::instant now) const;
    /// Keeps room for a gang that starts at @p start.
    void reserve(const base::resources& amount, base::instant start,
                 base::instant now);
    /// Claims room for a step that is about to start.
    void claim(const base::resources& amount);
    /// @return an estimate of the endpoint's clock at @p now.
    [[nodiscard]] endpoint_time estimate_clock(base::instant now) const;
    /// @return the local time at which the endpoint's clock has certainly
    /// passed @p time, also if the clock is slow.
    [[nodiscard]] base::instant passed_by(endpoint_time time) const;
    /// @return the local time at which the lease has certainly expired.
    [[nodiscard]] base::instant lease_expiry() const;
};

/// @return how many milliseconds ago @p event was, or "never".
[[nodiscard]] std::string
describe_age(const std::optional<base::instant>& event, base::instant now);

} // namespace eelgrasslever::cluster
