#include "eelgrasslever/coordination/committer.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::coordination {

namespace {

/// Pause after a failed call. A tenth of the store's shortest lease, so that
/// recovery after an outage adds little to the lease that others wait for.
constexpr base::milliseconds retry_pause{100};

const key_value* find_key(const std::vector<key_value>& all,
                          const std::string& key) {
    auto found = std::find_if(all.begin(), all.end(),
                              [&](const key_value& i) { return i.key == key; });
    return found == all.end() ? nullptr : &*found;
}

bool holds(const condition& wanted, const std::vector<key_value>& current) {
    const key_value* now = find_key(current, wanted.key);
    revision present = now == nullptr ? absent : now->revision;
    return present == wanted.revision;
}

} // namespace

committer::committer(kernel::loop& owner, store& to, base::milliseconds spacing,
                     std::vector<condition> shared)
    : m_store(to), m_spacing(spacing), m_shared(std::move(shared)),
      m_timer(owner, [this] {
          m_flush_planned = false;
          flush();
      }) {}

void committer::submit(proposal next) {
    if (m_stopped) {
        return;
    }
    m_queue.push_back({std::move(next)});
    // After a failure the retry timer decides when the store is tried again.
    if (m_in_flight < max_in_flight && m_failures == 0) {
        flush_soon();
    }
}

void committer::flush_soon() {
    if (m_flush_planned) {
        return;
    }
    m_flush_planned = true;
    auto since = base::monotonic_now() - m_sent_at;
    m_timer.start_once(std::max(base::milliseconds(0), m_spacing - since));
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
    change.conditions = m_shared;
    std::vector<entry> batch;
    while (!m_queue.empty()) {
        entry& next = m_queue.front();
        if (next.value.deadline < now) {
            commit_outcome out;
            out.status = next.uncertain ? status::unreachable : status::refused;
            out.uncertain = next.uncertain;
            auto done = std::move(next.value.done);
            m_queue.pop_front();
            done(out);
            continue;
        }
        const transaction& part = next.value.change;
        if (change.entry_count() + part.entry_count() >
            max_transaction_entries) {
            break;
        }
        auto append = [](auto& to, const auto& from) {
            to.insert(to.end(), from.begin(), from.end());
        };
        append(change.conditions, part.conditions);
        append(change.puts, part.puts);
        append(change.removals, part.removals);
        batch.push_back(std::move(next));
        m_queue.pop_front();
    }
    if (batch.empty()) {
        // What failed has been given up; the next one is tried at once.
        m_failures = 0;
        return;
    }
    m_in_flight++;
    m_sent_at = now;
    auto kept = std::make_shared<std::vector<entry>>(std::move(batch));
    m_store.commit(
        change, [self = shared_from_this(), kept](const commit_reply& reply) {
            self->m_in_flight--;
            self->finish(std::move(*kept), reply);
            if (!self->m_stopped && !self->m_queue.empty() &&
                self->m_failures == 0) {
                self->flush();
            }
        });
}

bool committer::shared_failed(const commit_reply& reply) const {
    return std::any_of(
        m_shared.begin(), m_shared.end(),
        [&](const condition& c) { return !holds(c, reply.current); });
}

void committer::finish(std::vector<entry> batch, const commit_reply& reply) {
    if (reply.status == status::conflict) {
        m_failures = 0;
        on_conflict(std::move(batch), reply);
        return;
    }
    if (reply.status == status::refused ||
        reply.status == status::unreachable) {
        retry_later(std::move(batch), reply);
        return;
    }
    m_failures = 0;
    for (entry& part : batch) {
        commit_outcome out;
        out.status = reply.status;
        out.revision = reply.revision;
        out.uncertain = part.uncertain;
        part.value.done(out);
    }
}

void committer::on_conflict(std::vector<entry> batch,
                            const commit_reply& reply) {
    bool all = shared_failed(reply);
    std::vector<entry> again;
    for (entry& part : batch) {
        const auto& wanted = part.value.change.conditions;
        bool own =
            std::any_of(wanted.begin(), wanted.end(), [&](const condition& c) {
                return !holds(c, reply.current);
            });
        if (!all && !own) {
            again.push_back(std::move(part));
            continue;
        }
        commit_outcome out;
        out.status = status::conflict;
        out.uncertain = part.uncertain;
        for (const condition& c : wanted) {
            if (const key_value* now = find_key(reply.current, c.key)) {
                out.current.push_back(*now);
            }
        }
        part.value.done(out);
    }
    m_queue.insert(m_queue.begin(), std::make_move_iterator(again.begin()),
                   std::make_move_iterator(again.end()));
}

void committer::retry_later(std::vector<entry> batch,
                            const commit_reply& reply) {
    m_failures++;
    m_flush_planned = true;
    for (entry& part : batch) {
        part.uncertain = part.uncertain || reply.status == status::unreachable;
    }
    m_queue.insert(m_queue.begin(), std::make_move_iterator(batch.begin()),
                   std::make_move_iterator(batch.end()));
    m_timer.start_once(retry_pause);
}

} // namespace eelgrasslever::coordination
