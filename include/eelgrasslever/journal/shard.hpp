/// @file
/// One shard of the journal: one key of the platform's store, changed only by
/// compare-and-swap. Operations that arrive while a write is in flight are
/// committed together by the next write.
#pragma once

#include "eelgrasslever/journal/entry.hpp"
#include "eelgrasslever/store/protocol.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslever::journal {

/// Outcome of an operation.
enum class commit_result {
    recorded,    ///< the change is stored
    refused,     ///< `operation::change` returned nothing
    unavailable, ///< no usable reply from the store; the change may yet appear
};

/// A conditional change of one entry.
struct operation {
    std::string id; ///< of the request
    /// Returns the new entry, or nothing to refuse the change. Called again for
    /// every write attempt. @p present is null if there is no entry for the id.
    std::function<std::optional<entry>(const entry* present)> change;
    /// Called once. @p present is the entry after the attempt; null if there is
    /// none or it is unknown.
    std::function<void(commit_result result, const entry* present)> on_done;
};

/// Batches operations on one key and yields the store calls to send. Does no
/// I/O.
class shard {
  public:
    /// @param key key in the platform's store.
    /// @param writer "VM@incarnation" of this process. It is stored with each
    /// write, so that a write whose reply was lost is recognised when the key
    /// is read back.
    shard(std::string key, std::string writer);

    /// Queues an operation for the next write.
    void submit(operation op);
    /// Makes the next call read the store, even if the entries are cached.
    /// @param on_read receives the entries, or null if they could not be read.
    void reload(std::function<void(const entries*)> on_read);

    /// @param now_unix_ms Unix time in milliseconds, to drop expired entries.
    /// @return the next store call; nothing while one is in flight or no
    /// operation and no read is pending.
    [[nodiscard]] std::optional<store::call>
    next_call(std::int64_t now_unix_ms);
    /// Applies the reply to the call from `next_call`.
    void on_reply(const store::call& call, const store::reply& reply);

    /// @return number of operations without a result so far.
    [[nodiscard]] std::size_t pending_operations() const {
        return m_queued.size() + m_committing.size();
    }

  private:
    void on_read(const store::reply& reply);
    void on_write(const store::reply& reply);
    /// @return false if the value can't be parsed.
    [[nodiscard]] bool load(const store::reply& reply);
    /// Completes all pending operations and reads as unavailable.
    void fail_pending();
    /// Completes the operations of the stored write as recorded.
    void complete_committing();
    [[nodiscard]] std::string serialize() const;

    std::string m_key;
    std::string m_writer;
    bool m_in_flight{false};
    bool m_cache_valid{false};
    /// Whether a write of this process is unconfirmed and may be stored.
    bool m_write_unconfirmed{false};
    std::uint64_t m_version{store::absent};
    std::uint64_t m_sequence{0};
    std::string m_stored_writer;
    std::uint64_t m_stored_sequence{0};
    std::size_t m_value_bytes{0};
    entries m_entries;  ///< as last read from or written to the store
    entries m_proposed; ///< value of the write in flight
    std::vector<operation> m_queued;     ///< not yet part of a write
    std::vector<operation> m_committing; ///< part of the latest write
    std::vector<std::function<void(const entries*)>> m_readers;
};

/// @return the shard number of @p id, from 0 to @p shards - 1.
[[nodiscard]] std::size_t shard_of(const std::string& id, std::size_t shards);

} // namespace eelgrasslever::journal
