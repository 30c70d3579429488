/// @file
/// Spreads advice calls over the VMs. The advice service answers one call at a
/// time for each calling VM, so each VM is a channel with one call under way.
#pragma once

#include "eelgrasslever/cluster/orders.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrasslever::cluster {

/// Running share of asked endpoints that were admitted, for one queue.
class admitted_share {
  public:
    void add(std::size_t asked, std::size_t admitted);
    /// @return an estimate between `floor` and 1.
    [[nodiscard]] double value() const { return m_value; }

  private:
    /// Below this an estimate would ask the whole fleet for one task.
    static constexpr double floor = 0.1;
    /// Weight of one call: the latest ten or so decide.
    static constexpr double weight = 0.1;
    double m_value{0.5};
};

class advice_call_pool {
  public:
    /// VMs that can make calls; the calls of one that left are lost.
    void set_channels(const std::vector<std::string>& names, base::instant now);
    [[nodiscard]] std::optional<std::string> idle_channel(base::instant now);
    [[nodiscard]] std::size_t idle_count(base::instant now) const;

    struct pending {
        task_key step;
        std::vector<std::string> candidates;
        std::string channel;
        base::instant asked_at{};
        base::instant expires{};
    };
    /// Registers a call on @p channel. @return its query number.
    std::uint64_t begin(const std::string& channel, const task_key& step,
                        std::vector<std::string> candidates,
                        base::milliseconds limit, base::instant now);
    /// @return the call, or nothing where it has been given up.
    std::optional<pending> end(std::uint64_t query, bool answered,
                               base::instant now);
    /// @return calls that got no reply in time.
    std::vector<pending> take_expired(base::instant now);
    admitted_share& share(const std::string& queue) { return m_shares[queue]; }

  private:
    struct channel {
        std::optional<std::uint64_t> query;
        base::instant rest_until{};
    };
    std::map<std::string, channel> m_channels;
    std::map<std::uint64_t, pending> m_pending;
    std::unordered_map<std::string, admitted_share> m_shares;
    std::uint64_t m_next{1};
};

} // namespace eelgrasslever::cluster
