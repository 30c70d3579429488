/// @file
/// The VMs that are alive, and which of them are fit to lead.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelgrasslever::service {

struct member {
    std::string peer_address;
    double cores{0.0}; ///< share of a processor that the VM may use
};

class member_table {
  public:
    /// How long a member is remembered after its entry has vanished. Source: an
    /// outage of the store ends the leases of all members at once; those that
    /// live are back within a lease (1.2 s) and the store's 2 s.
    static constexpr base::milliseconds memory{5000};
    /// How long a fitter member must be listed before a leader hands over to
    /// it. Source: longer than a VM takes to load its view, and rare enough
    /// that a takeover (0.1 to 0.3 s) costs little.
    static constexpr base::milliseconds settling_time{3000};
    /// Pause between two handovers. Source: a fitter member that does not take
    /// the lead is draining, which ends within the grace of a planned stop (6
    /// s), or can't load its view; five times that.
    static constexpr base::milliseconds handover_pause{30'000};
    /// A leader hands over only to a member with this many times its cores.
    static constexpr double handover_ratio = 2.0;

    explicit member_table(std::string self, double own_cores)
        : m_self(std::move(self)), m_own_cores(own_cores) {}

    void put(const std::string& vm, member entry, base::instant now);
    void remove(const std::string& vm, base::instant now);

    /// @return whether a fitter VM is alive, or was until lately.
    [[nodiscard]] bool outranked(base::instant now) const;
    /// @return whether a much fitter VM has been alive for some time.
    [[nodiscard]] bool should_hand_over(base::instant now) const;
    void note_handover(base::instant now) {
        m_next_handover = now + handover_pause;
    }

    /// @return the entry of @p vm, or nullptr.
    [[nodiscard]] const member* find(const std::string& vm) const;
    /// @return all VMs, this one as well.
    [[nodiscard]] std::vector<std::string> names() const;
    /// @return the peer addresses of all other VMs, by VM.
    [[nodiscard]] std::map<std::string, std::string> peers() const;
    [[nodiscard]] std::size_t size() const { return m_live.size(); }

  private:
    struct live_member {
        member entry;
        base::instant since{};
    };
    struct former_member {
        double cores{0.0};
        base::instant until{};
    };

    std::string m_self;
    double m_own_cores;
    base::instant m_next_handover{};
    std::map<std::string, live_member> m_live;
    std::map<std::string, former_member> m_former;
};

} // namespace eelgrasslever::service
