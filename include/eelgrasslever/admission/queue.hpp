/// @file
/// Waiting work: strict ranks, earliest latest-start first within a rank, and
/// a quota of slots for each team.
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

/// One request's tasks, waiting to be placed together.
struct work_item {
    std::string request_id;
    std::string team;
    int rank{0};
    reclaim_level level{reclaim_level::none};
    base::resources need; ///< of one task
    int count{1};         ///< tasks that must start together
    base::milliseconds expected_run{0};
    base::instant latest_start{}; ///< order within a rank
    std::optional<base::instant> expires_at;
    base::instant queued_at{};
    std::uint64_t sequence{0}; ///< set by the queue; breaks ties
};

/// What a visitor of ready items wants next.
enum class visit_result { next, take, stop };

class queue {
  public:
    /// Adds @p item behind equal ones.
    void push(work_item item);
    /// Removes a waiting item in O(log n).
    /// @return the item, or nothing where none waits under that id.
    std::optional<work_item> remove(const std::string& request_id);
    [[nodiscard]] const work_item* find(const std::string& request_id) const;

    /// Calls @p visitor for items in order of precedence, passing over teams
    /// at their quota, until it says stop or @p limit items were seen.
    /// `take` removes the item and charges its slots to the team.
    void
    visit_ready(std::size_t limit,
                const std::function<visit_result(const work_item&)>& visitor);

    /// Sets the team's quota of slots; teams without one may use nothing.
    void set_quota(const std::string& team, std::int64_t slots);
    /// Charges or gives back slots outside of `visit_ready`.
    void charge_slots(const std::string& team, std::int64_t slots);
    void release_slots(const std::string& team, std::int64_t slots);
    [[nodiscard]] std::int64_t slots_used(const std::string& team) const;

    /// Removes and returns the items whose give-up time has come.
    [[nodiscard]] std::vector<work_item> take_expired(base::instant now);

    /// @return slot-milliseconds of waiting work at @p rank or before it.
    [[nodiscard]] std::int64_t load_up_to(int rank) const;
    [[nodiscard]] std::size_t size() const { return m_items.size(); }
    [[nodiscard]] std::size_t size_of_rank(int rank) const;
    [[nodiscard]] std::vector<const work_item*> all() const;

  private:
    struct key {
        base::instant latest_start;
        std::uint64_t sequence{0};
        auto operator<=>(const key&) const = default;
    };
    using ordered = std::map<key, std::string>;
    struct head {
        key first;
        std::string team;
        auto operator<=>(const head&) const = default;
    };
    struct rank_queue {
        std::map<std::string, ordered> teams;
        std::set<head> ready;
        std::int64_t load{0};
        std::size_t count{0};
    };
    struct usage {
        std::int64_t quota{0};
        std::int64_t used{0};
    };

    [[nodiscard]] static std::int64_t load_of(const work_item& item);
    [[nodiscard]] bool has_room(const std::string& team) const;
    void refresh_head(int rank, const std::string& team, const key* old);
    void refresh_team(const std::string& team);

    std::array<rank_queue, rank_count> m_ranks;
    std::unordered_map<std::string, work_item> m_items;
    std::map<std::string, usage> m_usage;
    std::set<std::pair<base::instant, std::string>> m_give_up;
    std::uint64_t m_next_sequence{1};
};

} // namespace eelgrasslever::admission
