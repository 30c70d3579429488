/// @file
/// One shard of the journal: a key of the platform's store, changed only by
/// compare-and-swap. Operations that arrive while a write is under way are
/// committed together by the next one.
#pragma once

#include "eelgrasslever/journal/entry.hpp"
#include "eelgrasslever/store/protocol.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslever::journal {

enum class commit_result {
    recorded,    ///< the change is in the store
    refused,     ///< the condition did not hold; see the present entry
    unavailable, ///< the store could not be asked; the change may yet appear
};

/// A conditional change of one entry.
struct operation {
    std::string id;
    /// Returns the new entry, or nothing to refuse. @p present is null where
    /// the journal has no entry for the id.
    std::function<std::optional<entry>(const entry* present)> change;
    /// Runs once; @p present is the entry after the attempt, or null.
    std::function<void(commit_result result, const entry* present)> on_done;
};

class shard {
  public:
    /// @param writer "VM@incarnation"; marks our own writes, so that a write
    /// whose reply was lost is recognised when read back.
    shard(std::string key, std::string writer);

    void submit(operation op);
    /// Drops what is cached, so that the next step reads the store.
    void reload(std::function<void(const entries*)> on_read);

    /// @return the next store call, or nothing while one is under way or
    /// nothing waits.
    [[nodiscard]] std::optional<store::call>
    next_call(std::int64_t now_unix_ms);
    void on_reply(const store::call& call, const store::reply& reply);

    [[nodiscard]] std::size_t pending_operations() const {
        return m_queued.size() + m_committing.size();
    }

  private:
    void on_read(const store::reply& reply);
    void on_write(const store::reply& reply);
    /// @return false where the value is not a shard.
    [[nodiscard]] bool load(const store::reply& reply);
    void fail_pending();
    void complete_committing();
    [[nodiscard]] std::string serialize() const;

    std::string m_key;
    std::string m_writer;
    bool m_in_flight{false};
    bool m_cache_valid{false};
    bool m_write_unconfirmed{
        false}; ///< a write's reply was lost; is_own_write may be there
    std::uint64_t m_version{store::absent};
    std::uint64_t m_sequence{0};
    std::string m_stored_writer;
    std::uint64_t m_stored_sequence{0};
    std::size_t m_value_bytes{0};
    entries m_entries; ///< as in the store
    entries m_proposed;
    std::vector<operation> m_queued;
    std::vector<operation> m_committing;
    std::vector<std::function<void(const entries*)>> m_readers;
};

/// @return the shard number of @p id, from 0 up to @p shards.
[[nodiscard]] std::size_t shard_of(const std::string& id, std::size_t shards);

} // namespace eelgrasslever::journal
