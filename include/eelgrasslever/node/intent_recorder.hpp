/// @file
/// Records intents, jobs and final answers in the journal, whose shards are
/// keys of the platform's store.
#pragma once

#include "eelgrasslever/journal/shard.hpp"
#include "eelgrasslever/node/context.hpp"

#include <functional>

namespace eelgrasslever::node {

class intent_recorder {
  public:
    explicit intent_recorder(context& shared);

    /// Records this VM as the owner of @p entry. Only then may a start be sent.
    void record_intent(const request_entry_ptr& entry);
    /// Records the final answer and retries until the store has accepted it.
    void record_answer(const std::string& id, const base::answer& answer);
    /// Releases the ownership of an intent for which no start was sent.
    void release_intent(const std::string& id);
    /// Queues a conditional change of one journal entry.
    void submit(journal::operation op);
    /// Reads the journal entry of @p id from the store.
    /// @param done called with whether the store answered and with the entry,
    /// or nullptr if there is none.
    void look_up(const std::string& id,
                 std::function<void(bool reached, const journal::entry*)> done);
    /// Reads every shard from the store.
    /// @param on_shard called with the entries of each shard that was read.
    void scan(const std::function<void(const journal::entries&)>& on_shard);

    void on_reply(const store::call& call, const store::reply& reply);
    void advance();

    /// @return whether @p key is a journal shard.
    [[nodiscard]] bool owns_key(const std::string& key) const;
    /// @return whether no answer and no operation is waiting to be stored.
    [[nodiscard]] bool idle() const;

  private:
    void on_intent_committed(const request_entry_ptr& entry,
                             journal::commit_result result,
                             const journal::entry* present);
    void on_existing_intent(const request_entry_ptr& entry,
                            const journal::entry& present);
    void send_next_call(journal::shard& shard);
    [[nodiscard]] journal::entry
    make_journal_entry(const request_entry_ptr& entry) const;

    context& m_context;
    std::vector<std::unique_ptr<journal::shard>> m_shards;
    std::map<std::string, std::size_t> m_by_key; ///< index into `m_shards`
    std::map<std::string, base::answer>
        m_unsaved_answers; ///< not confirmed by the store yet, by request id
    std::set<std::string>
        m_unsent_intents; ///< ids for which no start was sent, though
                          ///< their intent may be recorded
    base::instant m_next_retry{};
};

} // namespace eelgrasslever::node
