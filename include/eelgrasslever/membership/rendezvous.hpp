/// @file
/// Rendezvous (highest random weight) hashing: maps each key to one of the
/// candidates. When a candidate joins or leaves, only the keys mapped to it
/// move.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrasslever::membership {

/// @return the candidate with the highest weight for @p key; empty if there are
/// no candidates.
[[nodiscard]] std::string
rendezvous_choice(const std::string& key,
                  const std::vector<std::string>& candidates);

/// Distributes @p keys evenly: the numbers of keys of any two candidates differ
/// by at most one. Each key goes to the candidate with the highest weight among
/// those that have not reached their share.
/// @return candidate by key, identical on every VM for the same input; empty if
/// there are no candidates.
[[nodiscard]] std::map<std::string, std::string>
balanced_assignment(const std::set<std::string>& keys,
                    const std::vector<std::string>& candidates);

} // namespace eelgrasslever::membership
