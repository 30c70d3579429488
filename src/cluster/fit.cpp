#include "eelgrasslever/cluster/fit.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace eelgrasslever::cluster {

namespace {

/// One amount of the need against the room; an absent need never binds.
int amount_fits(std::int64_t need, std::int64_t room, int limit) {
    if (need <= 0) {
        return limit;
    }
    if (room < need) {
        return 0;
    }
    return static_cast<int>(std::min<std::int64_t>(limit, room / need));
}

std::optional<std::size_t>
tightest(const base::resources& need,
         const std::vector<fit_candidate>& candidates) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const fit_candidate& it = candidates[i];
        if (it.slots_left < 1 || tasks_that_fit(need, it.room, 1) < 1) {
            continue;
        }
        if (!best) {
            best = i;
            continue;
        }
        const fit_candidate& other = candidates[*best];
        if (it.preferred != other.preferred
                ? it.preferred
                : it.room.cpu_milli < other.room.cpu_milli) {
            best = i;
        }
    }
    return best;
}

/// Fills the roomiest endpoints first.
std::vector<std::size_t> fill(const base::resources& need, int count,
                              const std::vector<fit_candidate>& candidates,
                              const std::string_view* rack) {
    std::vector<std::pair<int, std::size_t>> order;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const fit_candidate& it = candidates[i];
        int fits = tasks_that_fit(need, it.room, it.slots_left);
        if (fits > 0 && (rack == nullptr || it.rack == *rack)) {
            order.emplace_back(fits, i);
        }
    }
    std::stable_sort(
        order.begin(), order.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<std::size_t> out;
    for (const auto& [fits, i] : order) {
        for (int k = 0; k < fits && static_cast<int>(out.size()) < count; ++k) {
            out.push_back(i);
        }
    }
    if (static_cast<int>(out.size()) < count) {
        out.clear();
    }
    return out;
}

} // namespace

int tasks_that_fit(const base::resources& need, const base::resources& room,
                   int limit) {
    int out = amount_fits(need.cpu_milli, room.cpu_milli, limit);
    out = amount_fits(need.memory_mb, room.memory_mb, out);
    return amount_fits(need.accelerators, room.accelerators, out);
}

std::vector<std::size_t> fit_each(const base::resources& need, int count,
                                  std::vector<fit_candidate> candidates) {
    std::vector<std::size_t> out;
    while (static_cast<int>(out.size()) < count) {
        auto best = tightest(need, candidates);
        if (!best) {
            break;
        }
        candidates[*best].room -= need;
        candidates[*best].slots_left--;
        out.push_back(*best);
    }
    return out;
}

std::vector<std::size_t>
fit_together(const base::resources& need, int count,
             const std::vector<fit_candidate>& candidates, bool one_rack) {
    if (!one_rack) {
        return fill(need, count, candidates, nullptr);
    }
    std::map<std::string_view, int> room_by_rack;
    for (const fit_candidate& it : candidates) {
        room_by_rack[it.rack] += tasks_that_fit(need, it.room, it.slots_left);
    }
    for (const auto& [rack, fits] : room_by_rack) {
        if (fits >= count) {
            return fill(need, count, candidates, &rack);
        }
    }
    return fill(need, count, candidates, nullptr);
}

} // namespace eelgrasslever::cluster
