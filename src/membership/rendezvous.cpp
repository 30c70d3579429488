#include "eelgrasslever/membership/rendezvous.hpp"

#include <cstdint>
#include <xxhash.h>

namespace eelgrasslever::membership {

std::string rendezvous_choice(const std::string& key,
                              const std::vector<std::string>& candidates) {
    std::string best;
    std::uint64_t best_weight = 0;
    for (const std::string& candidate : candidates) {
        std::string both = key + "\n" + candidate;
        std::uint64_t weight = XXH3_64bits(both.data(), both.size());
        if (best.empty() || weight > best_weight) {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

std::map<std::string, std::string>
balanced_assignment(const std::set<std::string>& keys,
                    const std::vector<std::string>& candidates) {
    std::map<std::string, std::string> out;
    if (candidates.empty()) {
        return out;
    }
    std::size_t whole = keys.size() / candidates.size();
    std::size_t extra = keys.size() % candidates.size();
    std::map<std::string, std::size_t> load;
    std::size_t with_extra = 0;
    for (const std::string& key : keys) {
        std::vector<std::string> open;
        for (const std::string& candidate : candidates) {
            bool below = load[candidate] < whole;
            bool may_take_extra =
                load[candidate] == whole && with_extra < extra;
            if (below || may_take_extra) {
                open.push_back(candidate);
            }
        }
        std::string chosen = rendezvous_choice(key, open);
        if (++load[chosen] > whole) {
            with_extra++;
        }
        out[key] = chosen;
    }
    return out;
}

} // namespace eelgrasslever::membership
