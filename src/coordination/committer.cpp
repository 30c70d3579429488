#include "eelgrasslever/coordination/committer.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::coordination {

namespace {

/// Delay after a failed call. One tenth of the store's shortest lease, so that
/// recovery after an outage adds little to the lease expiry that other members
/// wait for.
constexpr base::milliseconds retry_delay{100};

const key_value* find_key(const std::vector<key_value>& entries,
                          const std::string& key) {
    auto found =
        std::find_if(entries.begin(), entries.end(),
                     [&](const key_value& entry) { return entry.key == key; });
    return found == entries.end() ? nullptr : &*found;
}

bool is_satisfied(const condition& expected,
                  const std::vector<key_value>& current) {
    const key_value* found = find_key(current, expected.key);
    revision present = found == nullptr ? absent : found->revision;
    return present == expected.revision;
}

bool uses_key(const transaction& change, const std::string& key) {
    auto names_it = [&](const auto& row) { return row.key == key; };
    return std::any_of(change.conditions.begin(), change.conditions.end(),
                       names_it) ||
           std::any_of(change.puts.begin(), change.puts.end(), names_it) ||
           std::any_of(change.removals.begin(), change.removals.end(),
                       [&](const auto& removed) { return removed == key; });
}

bool share_key(const transaction& a, const transaction& b) {
    auto is_shared = [&](const auto& row) { return uses_key(b, row.key); };
    return std::any_of(a.conditions.begin(), a.conditions.end(), is_shared) ||
           std::any_of(a.puts.begin(), a.puts.end(), is_shared) ||
           std::any_of(
               a.removals.begin(), a.removals.end(),
               [&](const auto& removed) { return uses_key(b, removed); });
}

} // namespace

committer::committer(kernel::loop& owner, store& store,
                     base::milliseconds min_interval,
                     std::vector<condition> common_conditions)
    : m_store(store), m_min_interval(min_interval),
      m_common_conditions(std::move(common_conditions)), m_timer(owner, [this] {
          m_flush_scheduled = false;
          flush();
      }) {}

void committer::submit(proposal next) {
    if (m_stopped) {
        return;
    }
    m_queue.push_back({std::move(next)});
    // After a failure, the retry timer schedules the next attempt.
    if (m_in_flight < max_in_flight && m_consecutive_failures == 0) {
        schedule_flush();
    }
}

void committer::schedule_flush() {
    if (m_flush_scheduled) {
        return;
    }
    m_flush_scheduled = true;
    auto elapsed = base::monotonic_now() - m_last_flush_at;
    m_timer.start_once(
        std::max(base::milliseconds(0), m_min_interval - elapsed));
}

void committer::stop() {
    m_stopped = true;
    m_queue.clear();
    m_timer.cancel();
}

void committer::flush() {
    if (m_in_flight >= max_in_flight || m_stopped) {
        return;
    }
    auto now = base::monotonic_now();
    transaction change;
    change.conditions = m_common_conditions;
    std::vector<pending_proposal> batch;
    while (!m_queue.empty()) {
        pending_proposal& next = m_queue.front();
        if (next.proposal.deadline < now) {
            commit_outcome outcome;
            outcome.status =
                next.uncertain ? status::unreachable : status::refused;
            outcome.uncertain = next.uncertain;
            auto done = std::move(next.proposal.done);
            m_queue.pop_front();
            done(outcome);
            continue;
        }
        const transaction& addition = next.proposal.change;
        if (change.entry_count() + addition.entry_count() >
                max_transaction_entries ||
            std::any_of(batch.begin(), batch.end(), [&](const auto& queued) {
                return share_key(addition, queued.proposal.change);
            })) {
            break;
        }
        auto append = [](auto& to, const auto& from) {
            to.insert(to.end(), from.begin(), from.end());
        };
        append(change.conditions, addition.conditions);
        append(change.puts, addition.puts);
        append(change.removals, addition.removals);
        batch.push_back(std::move(next));
        m_queue.pop_front();
    }
    if (batch.empty()) {
        // Every proposal that failed has passed its deadline. The next one is
        // sent without waiting for a retry.
        m_consecutive_failures = 0;
        return;
    }
    m_in_flight++;
    m_last_flush_at = now;
    auto sent =
        std::make_shared<std::vector<pending_proposal>>(std::move(batch));
    m_store.commit(
        change, [self = shared_from_this(), sent](const commit_reply& reply) {
            self->m_in_flight--;
            self->complete_batch(std::move(*sent), reply);
            if (!self->m_stopped && !self->m_queue.empty() &&
                self->m_consecutive_failures == 0) {
                self->flush();
            }
        });
}

bool committer::common_condition_failed(const commit_reply& reply) const {
    return std::any_of(
        m_common_conditions.begin(), m_common_conditions.end(),
        [&](const condition& c) { return !is_satisfied(c, reply.current); });
}

void committer::complete_batch(std::vector<pending_proposal> batch,
                               const commit_reply& reply) {
    if (reply.status == status::conflict) {
        m_consecutive_failures = 0;
        on_conflict(std::move(batch), reply);
        return;
    }
    if (reply.status == status::refused ||
        reply.status == status::unreachable) {
        retry_later(std::move(batch), reply);
        return;
    }
    m_consecutive_failures = 0;
    for (pending_proposal& each : batch) {
        commit_outcome outcome;
        outcome.status = reply.status;
        outcome.revision = reply.revision;
        outcome.uncertain = each.uncertain;
        each.proposal.done(outcome);
    }
}

void committer::on_conflict(std::vector<pending_proposal> batch,
                            const commit_reply& reply) {
    bool common_failed = common_condition_failed(reply);
    std::vector<pending_proposal> unaffected;
    for (pending_proposal& each : batch) {
        const auto& conditions = each.proposal.change.conditions;
        bool own_failed = std::any_of(
            conditions.begin(), conditions.end(), [&](const condition& c) {
                return !is_satisfied(c, reply.current);
            });
        if (!common_failed && !own_failed) {
            unaffected.push_back(std::move(each));
            continue;
        }
        commit_outcome outcome;
        outcome.status = status::conflict;
        outcome.uncertain = each.uncertain;
        for (const condition& c : conditions) {
            if (const key_value* entry = find_key(reply.current, c.key)) {
                outcome.current.push_back(*entry);
            }
        }
        each.proposal.done(outcome);
    }
    m_queue.insert(m_queue.begin(), std::make_move_iterator(unaffected.begin()),
                   std::make_move_iterator(unaffected.end()));
}

void committer::retry_later(std::vector<pending_proposal> batch,
                            const commit_reply& reply) {
    m_consecutive_failures++;
    m_flush_scheduled = true;
    for (pending_proposal& each : batch) {
        each.uncertain = each.uncertain || reply.status == status::unreachable;
    }
    m_queue.insert(m_queue.begin(), std::make_move_iterator(batch.begin()),
                   std::make_move_iterator(batch.end()));
    m_timer.start_once(retry_delay);
}

} // namespace eelgrasslever::coordination
