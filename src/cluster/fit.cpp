#include "eelgrasslever/cluster/fit.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace eelgrasslever::cluster {

namespace {

/// @return how many tasks one kind of resource admits, at most @p limit; a
/// need of zero does not limit the number.
int tasks_by_amount(std::int64_t need, std::int64_t available, int limit) {
    if (need <= 0) {
        return limit;
    }
    if (available < need) {
        return 0;
    }
    // Most callers ask for one task, which needs no division.
    if (limit <= 1) {
        return limit;
    }
    return static_cast<int>(std::min<std::int64_t>(limit, available / need));
}

/// @return whether a single task goes to @p a rather than to @p b.
bool precedes(const fit_candidate& a, const fit_candidate& b) {
    if (a.preferred != b.preferred) {
        return a.preferred;
    }
    if (a.speed_preference != b.speed_preference) {
        return a.speed_preference > b.speed_preference;
    }
    return a.available.cpu_milli < b.available.cpu_milli;
}

/// @return the preferred candidate with the least available processors that
/// still fits one task, or nothing.
std::optional<std::size_t>
tightest_fit(const base::resources& need,
             const std::vector<fit_candidate>& candidates) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const fit_candidate& it = candidates[i];
        if (it.max_tasks < 1 || tasks_that_fit(need, it.available, 1) < 1) {
            continue;
        }
        if (!best) {
            best = i;
            continue;
        }
        const fit_candidate& other = candidates[*best];
        if (precedes(it, other)) {
            best = i;
        }
    }
    return best;
}

/// Assigns all tasks or none, filling the endpoints with the largest available
/// capacity first.
/// @param rack the only rack to use; nullptr: any rack.
/// @param speed the only speed preference to use; unset: any.
std::vector<std::size_t>
pack_densely(const base::resources& need, int count,
             const std::vector<fit_candidate>& candidates,
             const std::string_view* rack,
             std::optional<int> speed = std::nullopt) {
    std::vector<std::pair<int, std::size_t>> order;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const fit_candidate& it = candidates[i];
        int fits = tasks_that_fit(need, it.available, it.max_tasks);
        bool suits = (rack == nullptr || it.rack == *rack) &&
                     (!speed || it.speed_preference == *speed);
        if (fits > 0 && suits) {
            order.emplace_back(fits, i);
        }
    }
    std::stable_sort(
        order.begin(), order.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<std::size_t> result;
    for (const auto& [fits, i] : order) {
        for (int k = 0; k < fits && static_cast<int>(result.size()) < count;
             ++k) {
            result.push_back(i);
        }
    }
    if (static_cast<int>(result.size()) < count) {
        result.clear();
    }
    return result;
}

} // namespace

int tasks_that_fit(const base::resources& need,
                   const base::resources& available, int limit) {
    int result = tasks_by_amount(need.cpu_milli, available.cpu_milli, limit);
    result = tasks_by_amount(need.memory_mb, available.memory_mb, result);
    return tasks_by_amount(need.accelerators, available.accelerators, result);
}

double dominant_share(const base::resources& amount,
                      const base::resources& total) {
    auto share = [](std::int64_t part, std::int64_t whole) {
        return whole <= 0
                   ? 0.0
                   : static_cast<double>(part) / static_cast<double>(whole);
    };
    return std::max({share(amount.cpu_milli, total.cpu_milli),
                     share(amount.memory_mb, total.memory_mb),
                     share(amount.accelerators, total.accelerators)});
}

std::vector<std::size_t>
assign_best_fit(const base::resources& need, int count,
                std::vector<fit_candidate> candidates) {
    std::vector<std::size_t> result;
    while (static_cast<int>(result.size()) < count) {
        auto best = tightest_fit(need, candidates);
        if (!best) {
            break;
        }
        candidates[*best].available -= need;
        candidates[*best].max_tasks--;
        result.push_back(*best);
    }
    return result;
}

std::vector<std::size_t>
assign_gang(const base::resources& need, int count,
            const std::vector<fit_candidate>& candidates, bool one_rack) {
    if (!one_rack) {
        std::set<int, std::greater<>> speeds;
        for (const fit_candidate& it : candidates) {
            speeds.insert(it.speed_preference);
        }
        for (int speed : speeds) {
            auto result = pack_densely(need, count, candidates, nullptr, speed);
            if (!result.empty() || speeds.size() == 1) {
                return result;
            }
        }
        return pack_densely(need, count, candidates, nullptr);
    }
    std::map<std::string_view, int> tasks_by_rack;
    for (const fit_candidate& it : candidates) {
        tasks_by_rack[it.rack] +=
            tasks_that_fit(need, it.available, it.max_tasks);
    }
    for (const auto& [rack, fits] : tasks_by_rack) {
        if (fits >= count) {
            return pack_densely(need, count, candidates, &rack);
        }
    }
    return pack_densely(need, count, candidates, nullptr);
}

} // namespace eelgrasslever::cluster
