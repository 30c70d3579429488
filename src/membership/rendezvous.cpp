#include "eelgrasslever/membership/rendezvous.hpp"

#include <cstdint>
#include <xxhash.h>

namespace eelgrasslever::membership {

std::string rendezvous_choice(const std::string& key,
                              const std::vector<std::string>& candidates) {
    std::string best;
    std::uint64_t best_weight = 0;
    for (const std::string& candidate : candidates) {
        std::string hashed_text = key + "\n" + candidate;
        std::uint64_t weight =
            XXH3_64bits(hashed_text.data(), hashed_text.size());
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
    std::map<std::string, std::string> assignment;
    if (candidates.empty()) {
        return assignment;
    }
    std::size_t base_share = keys.size() / candidates.size();
    std::size_t remainder = keys.size() % candidates.size();
    std::map<std::string, std::size_t> load;
    std::size_t candidates_with_extra_key = 0;
    for (const std::string& key : keys) {
        std::vector<std::string> eligible;
        for (const std::string& candidate : candidates) {
            bool below_share = load[candidate] < base_share;
            bool takes_extra_key = load[candidate] == base_share &&
                                   candidates_with_extra_key < remainder;
            if (below_share || takes_extra_key) {
                eligible.push_back(candidate);
            }
        }
        std::string chosen = rendezvous_choice(key, eligible);
        if (++load[chosen] > base_share) {
            candidates_with_extra_key++;
        }
        assignment[key] = chosen;
    }
    return assignment;
}

} // namespace eelgrasslever::membership
