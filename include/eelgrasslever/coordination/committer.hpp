/// @file
/// Group commit: proposals gather for a while and share a transaction. Several
/// transactions may be under way, so that a slow store does not bound how much
/// is written.
#pragma once

#include "eelgrasslever/coordination/store.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <deque>
#include <memory>

namespace eelgrasslever::coordination {

/// What became of a proposal.
struct commit_outcome {
    coordination::status status{status::unreachable};
    coordination::revision revision{absent};
    /// On a conflict: the present state of the proposal's own conditions.
    std::vector<key_value> current;
    /// Some attempt got no reply, so that the change may yet take effect
    /// unless one of its conditions no longer holds.
    bool uncertain{false};
};

/// A change that is applied as a whole or not at all.
struct proposal {
    transaction change;
    base::instant deadline{}; ///< no attempt is begun after this
    std::function<void(const commit_outcome&)> done;
};

/// Proposals that are open at the same time must not share keys.
class committer : public std::enable_shared_from_this<committer> {
  public:
    /// @param spacing shortest time between two transactions, in which
    /// proposals gather: the store counts calls, not rows.
    /// @param shared conditions that every transaction carries.
    committer(kernel::loop& owner, store& to, base::milliseconds spacing,
              std::vector<condition> shared = {});

    /// Transactions that may be under way at a time. Source: with the spacing
    /// of 20 ms, sixteen cover a store that takes 320 ms, the slowest known.
    static constexpr int max_in_flight = 16;

    void submit(proposal next);
    void stop();
    [[nodiscard]] std::size_t waiting() const { return m_queue.size(); }

  private:
    struct entry {
        proposal value;
        bool uncertain{false};
    };
    /// Flushes now, or when the spacing allows it.
    void flush_soon();
    void flush();
    void finish(std::vector<entry> batch, const commit_reply& reply);
    void on_conflict(std::vector<entry> batch, const commit_reply& reply);
    void retry_later(std::vector<entry> batch, const commit_reply& reply);
    [[nodiscard]] bool shared_failed(const commit_reply& reply) const;

    store& m_store;
    base::milliseconds m_spacing;
    std::vector<condition> m_shared;
    std::deque<entry> m_queue;
    kernel::timer m_timer;
    int m_in_flight{0};
    bool m_stopped{false};
    base::instant m_sent_at{};
    bool m_flush_planned{false};
    std::size_t m_failures{0}; ///< calls in a row that did not get through
};

} // namespace eelgrasslever::coordination
