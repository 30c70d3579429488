/// @file
/// The shared key-value store that holds everything that must outlive a VM.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace eelgrasslever::coordination {

using revision = std::uint64_t;
using lease_id = std::uint64_t;

/// Revision of a key that does not exist.
inline constexpr revision absent = 0;
/// A key without a lease.
inline constexpr lease_id no_lease = 0;
/// Rows that one transaction may hold: conditions, writes and removals.
/// Source: the store's published limit of 32 entries a call.
inline constexpr std::size_t max_transaction_entries = 32;

/// One key with its value and the revision of its last change.
struct key_value {
    std::string key;
    std::string value;
    coordination::revision revision{absent};
    lease_id lease{no_lease};
    bool deleted{false}; ///< the change removed the key; `value` is empty
};

struct condition {
    std::string key;
    coordination::revision revision{absent};
};

struct put {
    std::string key;
    std::string value;
    lease_id lease{no_lease};
};

/// Applied as a whole, or not at all.
struct transaction {
    std::vector<condition> conditions;
    std::vector<put> puts;
    std::vector<std::string> removals;

    [[nodiscard]] std::size_t entry_count() const {
        return conditions.size() + puts.size() + removals.size();
    }
};

enum class status {
    ok,
    conflict,     ///< a condition failed; nothing was done
    not_found,    ///< no such key or lease; nothing was done
    refused,      ///< the store declined the call; nothing was done
    history_lost, ///< a watch asks for changes that are no longer kept
    unreachable,  ///< no complete reply; a write may still take effect
};

[[nodiscard]] const char* to_string(status value);

struct read_reply {
    coordination::status status{status::unreachable};
    coordination::key_value entry;
};

struct page_reply {
    coordination::status status{status::unreachable};
    std::vector<key_value> entries;
    bool has_more{false};
    coordination::revision revision{absent}; ///< of the store as a whole
};

/// @note `changes` is empty where the wait ended without a change.
struct watch_reply {
    coordination::status status{status::unreachable};
    std::vector<key_value> changes;
    coordination::revision revision{absent}; ///< where to go on from
    bool is_partial{false}; ///< the store may hold further changes already
};

struct commit_reply {
    coordination::status status{status::unreachable};
    coordination::revision revision{absent}; ///< of the change
    std::vector<key_value>
        current; ///< on a conflict: the keys of the conditions
};

struct lease_reply {
    coordination::status status{status::unreachable};
    lease_id lease{no_lease};
};

/// Asynchronous access to the store. Every callback runs exactly once, on the
/// loop, never within the call.
class store {
  public:
    virtual ~store() = default;
    virtual void read(const std::string& key,
                      std::function<void(const read_reply&)> done) = 0;
    /// Reads the keys under @p prefix that sort behind @p after.
    virtual void read_page(const std::string& prefix, const std::string& after,
                           std::function<void(const page_reply&)> done) = 0;
    virtual void watch(const std::string& prefix, revision after,
                       base::milliseconds wait,
                       std::function<void(const watch_reply&)> done) = 0;
    virtual void commit(const transaction& change,
                        std::function<void(const commit_reply&)> done) = 0;
    virtual void grant(base::milliseconds time_to_live,
                       std::function<void(const lease_reply&)> done) = 0;
    virtual void renew(lease_id lease, std::function<void(status)> done) = 0;
    virtual void revoke(lease_id lease) = 0;
};

} // namespace eelgrasslever::coordination
