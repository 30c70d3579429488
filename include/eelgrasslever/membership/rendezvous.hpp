/// @file
/// Highest-random-weight hashing: each key picks one of the candidates, and a
/// change of the candidates moves only the keys of those that changed.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrasslever::membership {

/// @return the candidate with the highest weight for @p key, or an empty
/// string where there are none.
[[nodiscard]] std::string
rendezvous_choice(const std::string& key,
                  const std::vector<std::string>& candidates);

/// Shares @p keys out among @p candidates so that no two differ by more than
/// one key: each key goes to the candidate with the highest weight for it that
/// still has room.
/// @return candidate by key; the same on every VM for the same input.
[[nodiscard]] std::map<std::string, std::string>
balanced_assignment(const std::set<std::string>& keys,
                    const std::vector<std::string>& candidates);

} // namespace eelgrasslever::membership
