/// @file
/// Interface of the shared key-value store. It holds all state that must
/// survive the loss of a VM.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace eelgrasslever::coordination {

/// Rises with every change of the store.
using revision = std::uint64_t;
using lease_id = std::uint64_t;

/// Revision of a key that does not exist.
inline constexpr revision absent = 0;
/// Lease of a key that is not attached to one.
inline constexpr lease_id no_lease = 0;
/// Conditions, writes and removals in one transaction: the store's published
/// limit is 32 entries per call.
inline constexpr std::size_t max_transaction_entries = 32;

/// A key with its value and the revision of its last change, or a change of
/// the key.
struct key_value {
    std::string key;
    std::string value;
    coordination::revision revision{absent};
    lease_id lease{no_lease};
    bool deleted{false}; ///< the change removed the key; `value` is empty
};

/// Holds if the last change of `key` has `revision`.
struct condition {
    std::string key;
    coordination::revision revision{absent};
};

struct put {
    std::string key;
    std::string value;
    lease_id lease{no_lease}; ///< the key is removed when the lease ends
};

/// Applied atomically, if all conditions hold.
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
    conflict,     ///< a condition does not hold; nothing was changed
    not_found,    ///< no such key or lease; nothing was changed
    refused,      ///< the store rejected the call; nothing was changed
    history_lost, ///< the store has discarded the changes that a watch needs
    unreachable,  ///< no complete reply; a write may still take effect
};

[[nodiscard]] const char* to_string(status value);

/// How the reply to a call was received, also if it is incomplete.
struct transfer_record {
    base::milliseconds duration{0};
    base::milliseconds first_byte_after{0}; ///< 0 if nothing was received
    std::uint64_t bytes{0};
};

struct read_reply {
    coordination::status status{status::unreachable};
    coordination::key_value entry;
};

struct page_reply {
    coordination::status status{status::unreachable};
    std::vector<key_value> entries;
    bool has_more{false};
    coordination::revision revision{absent}; ///< of the store as a whole
    transfer_record transfer;
};

/// @note `changes` is empty if the watch timed out without a change.
struct watch_reply {
    coordination::status status{status::unreachable};
    std::vector<key_value> changes;
    coordination::revision revision{absent}; ///< to continue the watch from
    bool is_partial{false}; ///< the store may already hold further changes
    transfer_record transfer;
};

struct commit_reply {
    coordination::status status{status::unreachable};
    coordination::revision revision{absent}; ///< of the change
    /// On a conflict: the current entries of the keys in the conditions.
    std::vector<key_value> current;
};

struct lease_reply {
    coordination::status status{status::unreachable};
    lease_id lease{no_lease};
};

/// Asynchronous access to the store. Every callback runs exactly once, on the
/// event loop, never before the call has returned.
class store {
  public:
    virtual ~store() = default;
    virtual void read(const std::string& key,
                      std::function<void(const read_reply&)> done) = 0;
    /// Reads a page of the keys that start with @p prefix.
    /// @param after the page starts with the first key greater than this; empty
    /// for the first page.
    virtual void read_page(const std::string& prefix, const std::string& after,
                           std::function<void(const page_reply&)> done) = 0;
    /// Waits for changes of the keys that start with @p prefix.
    /// @param after only changes with a higher revision are returned.
    /// @param wait longest time that the store holds the call open.
    virtual void watch(const std::string& prefix, revision after,
                       base::milliseconds wait,
                       std::function<void(const watch_reply&)> done) = 0;
    virtual void commit(const transaction& change,
                        std::function<void(const commit_reply&)> done) = 0;
    /// Creates a lease.
    virtual void grant(base::milliseconds time_to_live,
                       std::function<void(const lease_reply&)> done) = 0;
    /// Extends @p lease by its full time to live.
    /// @param done receives not_found if the lease has ended.
    virtual void renew(lease_id lease, std::function<void(status)> done) = 0;
    /// Ends @p lease, which removes its keys. The outcome is not reported.
    virtual void revoke(lease_id lease) = 0;
};

} // namespace eelgrasslever::coordination
