/// @file
/// The journal of intents and jobs, in shards of the platform's store.
#pragma once

#include "eelgrasslever/journal/shard.hpp"
#include "eelgrasslever/node/context.hpp"

#include <functional>

namespace eelgrasslever::node {

class intent_recorder {
  public:
    explicit intent_recorder(context& shared);

    /// Records that this VM is the home of @p item before anything is sent.
    void record_intent(const request_entry_ptr& entry);
    /// Records the final answer; tried again until the store took it.
    void record_answer(const std::string& id, const base::answer& value);
    /// Gives up the home of an intent that was never sent.
    void release_intent(const std::string& id);
    void submit(journal::operation op);
    /// Reads one entry afresh; @p done gets whether the store answered, and
    /// the entry or null.
    void look_up(const std::string& id,
                 std::function<void(bool reached, const journal::entry*)> done);
    /// Reads every shard afresh.
    void scan(const std::function<void(const journal::entries&)>& on_shard);

    void on_reply(const store::call& call, const store::reply& reply);
    void advance();

    [[nodiscard]] bool owns_key(const std::string& key) const;
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
    std::map<std::string, std::size_t> m_by_key;
    std::map<std::string, base::answer>
        m_unsaved_answers; ///< answers to write again
    std::set<std::string>
        m_unsent_intents; ///< intents given up before any start
    base::instant m_next_retry{};
};

} // namespace eelgrasslever::node
