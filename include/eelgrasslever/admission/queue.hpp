/// @file
/// Priority queue of waiting work. Ranks are strict priorities, items within a
/// rank are ordered by their latest start time, and each team has a quota of
/// slots.
#pragma once

#include "eelgrasslever/admission/policy.hpp"
#include "eelgrasslever/base/resources.hpp"
#include "eelgrasslever/base/time.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrasslever::admission {

/// The tasks of one request that are waiting to be placed together.
struct work_item {
    std::string request_id;
    std::string team;
    int rank{0};                              ///< see queue_rank()
    reclaim_level level{reclaim_level::none}; ///< see allowed_reclaim_level()
    base::resources need;                     ///< of one task
    int count{1}; ///< number of tasks, which must start together
    base::milliseconds expected_run{0};      ///< of one task
    base::instant latest_start{};            ///< order within a rank
    std::optional<base::instant> expires_at; ///< see queue::take_expired()
    base::instant queued_at{};
    std::uint64_t sequence{0}; ///< set by the queue; breaks ties
};

/// What queue::visit_ready() does after the visitor has seen an item.
enum class visit_result {
    next, ///< leave the item in the queue and continue
    take, ///< remove the item, charge its team and continue
    stop, ///< leave the item in the queue and return
};

class queue {
  public:
    /// Adds @p item after those with the same rank and latest start.
    void push(work_item item);
    /// Removes a waiting item in logarithmic time.
    /// @return the item, or nothing if no item has this id.
    std::optional<work_item> remove(const std::string& request_id);
    /// @return the item, or nullptr if no item has this id.
    [[nodiscard]] const work_item* find(const std::string& request_id) const;

    /// Calls @p visitor for each item in queue order, skipping teams that have
    /// reached their quota, until it returns `stop` or @p limit items have
    /// been visited. `take` removes the item and charges the slots of all its
    /// tasks to the team.
    void
    visit_ready(std::size_t limit,
                const std::function<visit_result(const work_item&)>& visitor);

    /// Sets the quota of @p team. A team without a quota can't use any slots.
    void set_quota(const std::string& team, std::int64_t slots);
    /// Charges @p slots to the quota of @p team, whether or not they exceed it.
    void charge_slots(const std::string& team, std::int64_t slots);
    /// Releases slots that were charged by charge_slots() or visit_ready().
    void release_slots(const std::string& team, std::int64_t slots);
    /// @return the slots currently charged to @p team.
    [[nodiscard]] std::int64_t slots_used(const std::string& team) const;

    /// Removes and returns the items whose `expires_at` is at or before
    /// @p now.
    [[nodiscard]] std::vector<work_item> take_expired(base::instant now);

    /// @return the expected run time of the work waiting at @p rank and at all
    /// ranks before it, in slot-milliseconds.
    [[nodiscard]] std::int64_t load_up_to(int rank) const;
    [[nodiscard]] std::size_t size() const { return m_items.size(); }
    [[nodiscard]] std::size_t size_of_rank(int rank) const;
    /// @return all items in queue order, regardless of quotas. The pointers
    /// are valid until the item is removed.
    [[nodiscard]] std::vector<const work_item*> all() const;

  private:
    /// Order of items within a rank.
    struct order_key {
        base::instant latest_start;
        std::uint64_t sequence{0};
        auto operator<=>(const order_key&) const = default;
    };
    /// Request ids of one team's items within a rank.
    using team_queue = std::map<order_key, std::string>;
    /// The first item of a team within a rank.
    struct team_head {
        order_key first;
        std::string team;
        auto operator<=>(const team_head&) const = default;
    };
    struct rank_queue {
        std::map<std::string, team_queue> teams;
        std::set<team_head> ready; ///< only teams below their quota
        std::int64_t load{0};      ///< slot-milliseconds
        std::size_t count{0};
    };
    /// Slots of one team.
    struct slot_usage {
        std::int64_t quota{0};
        std::int64_t used{0};
    };

    [[nodiscard]] static std::int64_t load_of(const work_item& item);
    [[nodiscard]] bool is_below_quota(const std::string& team) const;
    void refresh_head(int rank, const std::string& team,
                      const order_key* old_first);
    void refresh_team(const std::string& team);

    std::array<rank_queue, rank_count> m_ranks;
    std::unordered_map<std::string, work_item> m_items; ///< by request id
    std::map<std::string, slot_usage> m_usage;          ///< by team
    /// `expires_at` and request id of the items that can expire.
    std::set<std::pair<base::instant, std::string>> m_expiries;
    std::uint64_t m_next_sequence{1};
};

} // namespace eelgrasslever::admission
