/// @file
/// Distributes advice calls over the VMs. The advice service answers one call
/// at a time for each calling VM, so each VM is a channel that carries at most
/// one outstanding call.
#pragma once

#include "eelgrasslever/cluster/orders.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrasslever::cluster {

/// Exponential moving average of the share of requested endpoints that were
/// admitted, for one queue.
class admission_ratio {
  public:
    void add(std::size_t asked, std::size_t admitted);
    /// @return an estimate between `min_ratio` and 1.
    [[nodiscard]] double value() const { return m_value; }

  private:
    /// A lower estimate would request the whole fleet for a single task.
    static constexpr double min_ratio = 0.1;
    /// Weight of one call: about the latest ten calls determine the average.
    static constexpr double smoothing = 0.1;
    double m_value{0.5};
};

/// Most endpoints that the advice service accepts in one call.
inline constexpr std::size_t max_advice_candidates = 100;

class advice_call_pool {
  public:
    /// Replaces the set of VMs that can make calls. Calls of a VM that has left
    /// stay pending until they expire.
    void set_channels(const std::vector<std::string>& names, base::instant now);
    /// @return a VM without an outstanding call that is not backing off.
    [[nodiscard]] std::optional<std::string> idle_channel(base::instant now);
    [[nodiscard]] std::size_t channel_count() const {
        return m_channels.size();
    }
    [[nodiscard]] std::size_t idle_channel_count(base::instant now) const;

    struct pending_call {
        task_key step; ///< empty if it was detached
        std::vector<std::string> candidates;
        std::string channel;
        base::instant asked_at{};
        base::instant expires{};
    };
    /// Registers a call on @p channel that expires after @p limit.
    /// @return the query number of the call.
    std::uint64_t begin_call(const std::string& channel, const task_key& step,
                             std::vector<std::string> candidates,
                             base::milliseconds limit, base::instant now);
    /// Removes a call and frees its channel, which backs off for a while if
    /// the call was not answered.
    /// @return the call, or nothing if it has expired before.
    std::optional<pending_call> finish_call(std::uint64_t query, bool answered,
                                            base::instant now);
    /// Lets the outstanding calls for a step only free their channels when they
    /// end. They are reported without a step.
    void detach_step(const task_key& step);
    /// Removes the calls that got no reply in time.
    std::vector<pending_call> take_expired_calls(base::instant now);
    admission_ratio& admission_ratio_of(const std::string& queue) {
        return m_admission_ratios[queue];
    }

  private:
    struct channel {
        std::optional<std::uint64_t> query; ///< the outstanding call
        base::instant backoff_until{};
    };
    std::map<std::string, channel> m_channels;
    std::map<std::uint64_t, pending_call> m_pending;
    std::unordered_map<std::string, admission_ratio> m_admission_ratios;
    std::uint64_t m_next_query{1};
};

} // namespace eelgrasslever::cluster
