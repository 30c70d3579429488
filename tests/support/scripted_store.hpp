/// @file
/// In-memory store whose calls can be made to fail by a test. Replies are
/// delivered on the event loop.
#pragma once

#include "eelgrasslever/coordination/store.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrasslever::test {

class scripted_store : public coordination::store {
  public:
    using status = coordination::status;

    explicit scripted_store(kernel::loop& owner) : m_owner(owner) {}

    /// Outcome of a call, chosen by the test.
    struct scripted_reply {
        status result{status::ok};
        bool applied{true}; ///< whether a write takes effect even if
                            ///< `result` is a failure
    };
    /// Replies to the next calls, in order; later calls get `default_reply`.
    std::deque<scripted_reply> next_replies;
    scripted_reply default_reply;
    bool keeps_history{true};   ///< false: the next watch gets `history_lost`
    bool always_partial{false}; ///< marks every reply to a watch as partial
    /// From the start of each call to its reply. The call takes effect after
    /// half of it. If it is not 0, a watch without changes is held open.
    base::milliseconds reply_delay{0};
    /// Bytes that the link to the store carries in a millisecond, for replies
    /// to watches and page reads; 0: without limit.
    std::size_t link_bytes_per_ms{0};
    /// On a limited link, a reply that takes longer is lost.
    base::milliseconds transfer_timeout{1000};
    /// Called at the start of each watch with the time that it may be held.
    std::function<void(base::milliseconds wait)> on_watch;

    void
    read(const std::string& key,
         std::function<void(const coordination::read_reply&)> done) override {
        serve([this, key, done] {
            coordination::read_reply reply;
            reply.status = take_reply().result;
            if (reply.status == status::ok) {
                auto found = m_entries.find(key);
                reply.status =
                    found == m_entries.end() ? status::not_found : status::ok;
                if (found != m_entries.end()) {
                    reply.entry = found->second;
                }
            }
            deliver([done, reply] { done(reply); });
        });
    }

    void read_page(
        const std::string& prefix, const std::string& after,
        std::function<void(const coordination::page_reply&)> done) override {
        page_read_count++;
        serve([this, prefix, after, done] {
            coordination::page_reply reply;
            reply.status = take_reply().result;
            reply.revision = m_revision;
            for (auto entry = m_entries.upper_bound(std::max(prefix, after));
                 entry != m_entries.end() && entry->first.starts_with(prefix);
                 ++entry) {
                if (reply.entries.size() == page_size) {
                    reply.has_more = true;
                    break;
                }
                reply.entries.push_back(entry->second);
            }
            transfer(reply, value_bytes(reply.entries), done);
        });
    }

    void
    watch(const std::string& prefix, coordination::revision after,
          base::milliseconds wait,
          std::function<void(const coordination::watch_reply&)> done) override {
        if (on_watch) {
            on_watch(wait);
        }
        serve([this, prefix, after, wait, done] {
            coordination::watch_reply reply = find_changes(prefix, after);
            bool is_held = reply_delay > base::milliseconds(0) &&
                           reply.status == status::ok && reply.changes.empty();
            if (!is_held) {
                transfer(reply, value_bytes(reply.changes), done);
                return;
            }
            auto number = ++m_last_held_watch;
            m_held_watches[number] = {prefix, after, done};
            after_delay(wait, [this, number] { release_watch(number); });
        });
    }

    void commit(
        const coordination::transaction& change,
        std::function<void(const coordination::commit_reply&)> done) override {
        commit_count++;
        transaction_sizes.push_back(change.entry_count());
        serve([this, change, done] {
            scripted_reply scripted = take_reply();
            coordination::commit_reply reply;
            reply.status = scripted.result;
            if (scripted.result == status::ok || scripted.applied) {
                coordination::commit_reply applied = apply(change);
                if (scripted.result == status::ok) {
                    reply = applied;
                }
            }
            deliver([done, reply] { done(reply); });
        });
    }

    void
    grant(base::milliseconds,
          std::function<void(const coordination::lease_reply&)> done) override {
        serve([this, done] {
            coordination::lease_reply reply{take_reply().result,
                                            ++m_last_lease};
            deliver([done, reply] { done(reply); });
        });
    }

    void renew(coordination::lease_id,
               std::function<void(status)> done) override {
        serve([this, done] {
            status result = take_reply().result;
            deliver([done, result] { done(result); });
        });
    }

    void revoke(coordination::lease_id) override {}

    /// Applies @p change immediately, without a scripted reply.
    coordination::commit_reply apply(const coordination::transaction& change) {
        coordination::commit_reply reply;
        reply.status = status::ok;
        for (const coordination::condition& each : change.conditions) {
            auto found = m_entries.find(each.key);
            coordination::revision present =
                found == m_entries.end() ? 0 : found->second.revision;
            if (present != each.revision) {
                reply.status = status::conflict;
            }
            if (found != m_entries.end()) {
                reply.current.push_back(found->second);
            }
        }
        if (reply.status == status::conflict) {
            return reply;
        }
        reply.current.clear();
        reply.revision = ++m_revision;
        for (const coordination::put& each : change.puts) {
            coordination::key_value entry{each.key, each.value, m_revision,
                                          each.lease, false};
            m_entries[each.key] = entry;
            m_history.push_back(entry);
        }
        for (const std::string& key : change.removals) {
            m_entries.erase(key);
            m_history.push_back({key, "", m_revision, 0, true});
        }
        release_changed_watches(change);
        return reply;
    }

    [[nodiscard]] const std::map<std::string, coordination::key_value>&
    entries() const {
        return m_entries;
    }

    std::size_t page_size{3}; ///< entries
    std::size_t max_changes_per_watch{1000};
    int commit_count{0};
    int page_read_count{0};
    std::vector<std::size_t> transaction_sizes; ///< entries of each commit

  private:
    struct held_watch {
        std::string prefix;
        coordination::revision after{coordination::absent};
        std::function<void(const coordination::watch_reply&)> done;
    };

    /// Carries out @p call when it reaches the store.
    void serve(std::function<void()> call) {
        if (reply_delay == base::milliseconds(0)) {
            call();
            return;
        }
        after_delay(reply_delay / 2, std::move(call));
    }
    /// Runs @p reply when it reaches the caller.
    void deliver(std::function<void()> reply) {
        if (reply_delay == base::milliseconds(0)) {
            m_owner.defer(std::move(reply));
            return;
        }
        after_delay(reply_delay - reply_delay / 2, std::move(reply));
    }
    static std::size_t
    value_bytes(const std::vector<coordination::key_value>& entries) {
        std::size_t total = 0;
        for (const coordination::key_value& entry : entries) {
            total += entry.key.size() + entry.value.size();
        }
        return total;
    }
    /// Delivers @p reply over the link.
    template <typename Reply>
    void transfer(Reply reply, std::size_t bytes,
                  std::function<void(const Reply&)> done) {
        reply.transfer.bytes = bytes;
        if (link_bytes_per_ms == 0) {
            deliver([done, reply] { done(reply); });
            return;
        }
        base::milliseconds needed(bytes / link_bytes_per_ms);
        auto duration = std::min(needed, transfer_timeout);
        if (needed > transfer_timeout) {
            reply = {};
            reply.transfer.bytes =
                link_bytes_per_ms *
                static_cast<std::size_t>(transfer_timeout.count());
        }
        reply.transfer.duration = duration;
        after_delay(duration, [this, done, reply] {
            deliver([done, reply] { done(reply); });
        });
    }
    void after_delay(base::milliseconds delay, std::function<void()> action) {
        auto number = ++m_last_timer;
        m_timers[number] = std::make_unique<kernel::timer>(
            m_owner, [this, number, action = std::move(action)] {
                action();
                // The timer must outlive its own callback.
                m_owner.defer([this, number] { m_timers.erase(number); });
            });
        m_timers[number]->start_once(delay);
    }

    coordination::watch_reply find_changes(const std::string& prefix,
                                           coordination::revision after) {
        coordination::watch_reply reply;
        reply.status =
            keeps_history ? take_reply().result : status::history_lost;
        keeps_history = true;
        reply.revision = m_revision;
        reply.is_partial = always_partial;
        auto change = std::upper_bound(
            m_history.begin(), m_history.end(), after,
            [](coordination::revision revision, const auto& recorded) {
                return revision < recorded.revision;
            });
        for (; change != m_history.end(); ++change) {
            if (!change->key.starts_with(prefix)) {
                continue;
            }
            if (reply.changes.size() >= max_changes_per_watch &&
                change->revision != reply.changes.back().revision) {
                reply.is_partial = true;
                reply.revision = reply.changes.back().revision;
                break;
            }
            reply.changes.push_back(*change);
        }
        return reply;
    }
    void release_watch(std::uint64_t number) {
        auto held = m_held_watches.extract(number);
        if (held.empty()) {
            return;
        }
        held_watch& watch = held.mapped();
        auto reply = find_changes(watch.prefix, watch.after);
        transfer(reply, value_bytes(reply.changes), watch.done);
    }
    void release_changed_watches(const coordination::transaction& change) {
        std::vector<std::uint64_t> released;
        for (const auto& [number, watch] : m_held_watches) {
            auto is_watched = [&prefix = watch.prefix](const std::string& key) {
                return key.starts_with(prefix);
            };
            if (std::any_of(
                    change.puts.begin(), change.puts.end(),
                    [&](const auto& put) { return is_watched(put.key); }) ||
                std::any_of(change.removals.begin(), change.removals.end(),
                            is_watched)) {
                released.push_back(number);
            }
        }
        for (std::uint64_t number : released) {
            release_watch(number);
        }
    }

    scripted_reply take_reply() {
        if (next_replies.empty()) {
            return default_reply;
        }
        scripted_reply first = next_replies.front();
        next_replies.pop_front();
        return first;
    }

    kernel::loop& m_owner;
    std::map<std::string, coordination::key_value> m_entries;
    std::vector<coordination::key_value> m_history;
    coordination::revision m_revision{1};
    coordination::lease_id m_last_lease{0};
    std::map<std::uint64_t, held_watch> m_held_watches;
    std::uint64_t m_last_held_watch{0};
    std::map<std::uint64_t, std::unique_ptr<kernel::timer>> m_timers;
    std::uint64_t m_last_timer{0};
};

/// Runs @p owner for @p duration.
inline void run_loop(kernel::loop& owner, base::milliseconds duration) {
    kernel::timer stop_timer(owner, [&owner] { owner.stop(); });
    stop_timer.start_once(duration);
    owner.run();
}

} // namespace eelgrasslever::test
