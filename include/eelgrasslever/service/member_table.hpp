/// @file
/// The VMs whose leases are valid, how suitable each of them is as leader, and
/// which of them follow all jobs.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslever::service {

struct member {
    std::string peer_address; ///< "IP:port" for messages from other VMs
    double cores{0.0};        ///< processor share that the VM may use, in cores
    std::string failure_domain{}; ///< empty if the VM does not tell
    /// Whether the VM follows the jobs and has loaded them, so that it can
    /// lead.
    bool loaded{false};
    /// Whether the VM passes orders on for the leader.
    bool carries_orders{false};
};

/// A VM that passes the leader's orders on to endpoints.
struct carrier {
    std::string vm;
    std::string peer_address; ///< "IP:port"
    std::string failure_domain;
};

/// Tracks the VMs of the cluster and compares their processor shares. The VM
/// with the most cores is the preferred leader.
class member_table {
  public:
    /// How long a departed member still counts in `is_outranked`. An outage of
    /// the store expires the leases of all members at once; surviving members
    /// return within one lease (1.2 s) plus the 2 s that the store needs.
    static constexpr base::milliseconds departed_retention{5000};
    /// How long a member with more cores must be listed before the leader hands
    /// over to it, once it has loaded the jobs. This limits handovers so that
    /// the cost of a takeover (0.1 to 0.3 s) is negligible.
    static constexpr base::milliseconds min_listed_time{3000};
    /// Shortest interval between two handovers. A preferred member that does
    /// not take over is either draining, which ends within the grace period of
    /// a planned stop (6 s), or can't load its view. The interval is five times
    /// that grace period.
    static constexpr base::milliseconds handover_interval{30'000};
    /// The leader hands over only to a member with at least this many times
    /// its cores.
    static constexpr double min_core_ratio = 2.0;

    /// Bounds of `notice_interval`. A client waits half of it longer for the
    /// state of its job.
    static constexpr base::milliseconds min_notice_interval{10};
    static constexpr base::milliseconds max_notice_interval{100};
    /// Messages to other VMs per second.
    static constexpr std::size_t max_notices_per_second = 2400;

    /// VMs of the cell that follow all jobs, so that they can lead. A fleet
    /// loses 30% of its VMs at once in planned events; then all of 10 are lost
    /// with a probability of 0.3^10.
    static constexpr std::size_t followers = 10;
    /// VMs of each failure domain that follow all jobs, whatever their rank in
    /// the cell. With two, the loss of all other domains and of one more VM
    /// leaves a VM that can lead.
    static constexpr std::size_t followers_per_domain = 2;
    /// A VM stops following beyond this many times the numbers above, once as
    /// many better-suited VMs as above have loaded the jobs. The hysteresis
    /// keeps VMs from loading the view each time that others restart, and
    /// bounds the followers after a mass restart.
    static constexpr std::size_t follower_hysteresis = 2;
    /// How long better-suited VMs must be missing before a VM replaces them as
    /// a follower. After an outage of the store has expired all leases, a VM
    /// is listed again after one renewal period (0.3 s) and two calls of a slow
    /// store (0.3 s each).
    static constexpr base::milliseconds follower_settle_time{1000};

    explicit member_table(std::string self, double own_cores,
                          std::string own_domain = {})
        : m_self(std::move(self)), m_own_cores(own_cores),
          m_own_domain(std::move(own_domain)) {}

    void put(const std::string& vm, member entry, base::instant now);
    void remove(const std::string& vm, base::instant now);

    /// @return whether a VM with more cores than this one is listed, or was
    /// listed within the last `departed_retention`.
    [[nodiscard]] bool is_outranked(base::instant now) const;
    /// @return whether another VM has loaded the jobs, so that it can lead.
    [[nodiscard]] bool has_loaded_peer() const;
    /// @return whether a VM with at least `min_core_ratio` times the cores of
    /// this one has loaded the jobs and has been listed for `min_listed_time`,
    /// and the last handover is at least `handover_interval` ago.
    [[nodiscard]] bool should_hand_over(base::instant now) const;
    /// @return the VM to which `should_hand_over` refers: the one with the most
    /// cores; empty if it does not hold.
    [[nodiscard]] std::string preferred_successor(base::instant now) const;
    /// Chooses who should follow this VM when it stops. While VMs are restarted
    /// one after another, one that has been restarted won't be stopped soon.
    /// @return the VM listed last of the followers with the most cores that
    /// have loaded the jobs, if it was listed `min_listed_time` later than this
    /// one and as long ago; empty otherwise.
    [[nodiscard]] std::string restarted_successor(base::instant now) const;
    void record_handover(base::instant now) {
        m_next_handover = now + handover_interval;
    }

    /// Decides whether this VM follows all jobs. Undecided VMs don't follow;
    /// the first decision is made once this VM is listed, so that of VMs that
    /// start together each counts those listed before it.
    /// @param may_stop whether this VM may stop following.
    /// @return whether this VM follows all jobs from now on.
    bool update_following(base::instant now, bool may_stop = true);
    /// @return when this VM starts to follow if no better-suited VM is listed
    /// until then, or nothing.
    [[nodiscard]] std::optional<base::instant> following_due() const;

    /// @return the entry of @p vm, or nullptr if it is not listed.
    [[nodiscard]] const member* find(const std::string& vm) const;
    /// @return the names of all listed VMs, including this one.
    [[nodiscard]] std::vector<std::string> vm_names() const;
    /// @return the peer address of every other listed VM, keyed by VM name.
    [[nodiscard]] std::map<std::string, std::string> peer_addresses() const;
    [[nodiscard]] std::size_t size() const { return m_live.size(); }
    /// @return up to @p count other VMs that pass orders on, spread evenly over
    /// the failure domains, those with the most cores of each.
    [[nodiscard]] std::vector<carrier> carriers(std::size_t count) const;
    /// @return for how long news for all other VMs are gathered before they are
    /// sent, so that messages per second don't grow with the number of VMs.
    [[nodiscard]] base::milliseconds notice_interval() const;

  private:
    struct live_member {
        member entry;
        base::instant listed_at{};
    };
    struct departed_member {
        double cores{0.0};
        base::instant expires_at{};
    };

    /// Which better-suited VMs count in a rank.
    enum class rivals {
        listed, ///< all
        loaded, ///< those that have loaded the jobs
    };
    /// @return whether VM @p name is among the @p in_cell best-suited VMs, or
    /// among the @p in_domain best-suited ones of its failure domain.
    [[nodiscard]] bool ranks_within(const std::string& name,
                                    const member& entry, std::size_t in_cell,
                                    std::size_t in_domain,
                                    rivals counted) const;
    /// @return whether this VM ranks within @p factor times the numbers of
    /// followers.
    [[nodiscard]] bool ranks_within_multiple(std::size_t factor,
                                             rivals counted) const;

    std::string m_self;
    double m_own_cores;
    std::string m_own_domain;
    bool m_has_decided{false}; ///< whether this VM follows
    bool m_follows{false};
    /// Since when this VM ranks among the followers without being one.
    std::optional<base::instant> m_eligible_since;
    base::instant m_next_handover{};
    std::map<std::string, live_member> m_live;
    std::map<std::string, departed_member> m_departed;
};

} // namespace eelgrasslever::service
