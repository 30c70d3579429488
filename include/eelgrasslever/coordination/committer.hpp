/// @file
/// Group commit: collects proposals for a short interval and commits them in
/// one transaction. Several transactions can be in flight, so that the write
/// rate does not depend on the latency of the store.
#pragma once

#include "eelgrasslever/coordination/store.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <deque>
#include <memory>

namespace eelgrasslever::coordination {

/// Outcome of a proposal.
struct commit_outcome {
    coordination::status status{status::unreachable};
    coordination::revision revision{absent};
    /// On a conflict: the current entries of the keys in the proposal's own
    /// conditions.
    std::vector<key_value> current;
    /// At least one attempt got no reply. Such an attempt may still take
    /// effect as long as all of its conditions hold.
    bool uncertain{false};
};

/// A change that is applied as a whole or not at all.
struct proposal {
    transaction change;
    base::instant deadline{}; ///< no attempt starts after this
    std::function<void(const commit_outcome&)> done;
};

/// Proposals that use a common key are sent in different transactions, so that
/// the store orders them: in one, the conditions of all hold before any change.
class committer : public std::enable_shared_from_this<committer> {
  public:
    /// @param min_interval shortest time between two transactions. Proposals
    /// are collected meanwhile, because the store limits the rate of calls and
    /// not that of entries.
    /// @param common_conditions conditions added to every transaction.
    committer(kernel::loop& owner, store& store,
              base::milliseconds min_interval,
              std::vector<condition> common_conditions = {});

    /// Maximum number of transactions in flight. At an interval of 20 ms, 16
    /// cover a latency of 320 ms, the highest known of the store.
    static constexpr int max_in_flight = 16;

    /// Queues @p next. Its callback is not called if the committer is stopped
    /// first.
    void submit(proposal next);
    /// Discards all queued proposals; later ones are ignored.
    void stop();
    [[nodiscard]] std::size_t queue_size() const { return m_queue.size(); }

  private:
    struct pending_proposal {
        coordination::proposal proposal;
        bool uncertain{false};
    };
    /// Flushes as soon as the minimum interval has passed.
    void schedule_flush();
    void flush();
    void complete_batch(std::vector<pending_proposal> batch,
                        const commit_reply& reply);
    void on_conflict(std::vector<pending_proposal> batch,
                     const commit_reply& reply);
    void retry_later(std::vector<pending_proposal> batch,
                     const commit_reply& reply);
    [[nodiscard]] bool common_condition_failed(const commit_reply& reply) const;

    store& m_store;
    base::milliseconds m_min_interval;
    std::vector<condition> m_common_conditions;
    std::deque<pending_proposal> m_queue;
    kernel::timer m_timer;
    int m_in_flight{0};
    bool m_stopped{false};
    base::instant m_last_flush_at{};
    bool m_flush_scheduled{false};
    std::size_t m_consecutive_failures{0}; ///< refused or without a reply
};

} // namespace eelgrasslever::coordination
