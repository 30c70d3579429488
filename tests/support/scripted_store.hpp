/// @file
/// A store in memory on the loop, whose replies a test can withhold.
#pragma once

#include "eelgrasslever/coordination/store.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace eelgrasslever::test {

class scripted_store : public coordination::store {
  public:
    using status = coordination::status;

    explicit scripted_store(kernel::loop& owner) : m_owner(owner) {}

    /// What the next calls meet; afterwards `otherwise`.
    struct fault {
        status result{status::ok};
        bool applied{true}; ///< whether a write takes effect nevertheless
    };
    std::deque<fault> faults;
    fault otherwise;
    bool history_kept{true};
    bool endless_backlog{false}; ///< replies to watches are all partial

    void
    read(const std::string& key,
         std::function<void(const coordination::read_reply&)> done) override {
        coordination::read_reply out;
        out.status = next().result;
        if (out.status == status::ok) {
            auto found = m_entries.find(key);
            out.status =
                found == m_entries.end() ? status::not_found : status::ok;
            if (found != m_entries.end()) {
                out.entry = found->second;
            }
        }
        m_owner.defer([done, out] { done(out); });
    }

    void read_page(
        const std::string& prefix, const std::string& after,
        std::function<void(const coordination::page_reply&)> done) override {
        pages_read++;
        coordination::page_reply out;
        out.status = next().result;
        out.revision = m_revision;
        for (const auto& [key, entry] : m_entries) {
            if (key.starts_with(prefix) && key > after) {
                if (out.entries.size() == page_size) {
                    out.has_more = true;
                    break;
                }
                out.entries.push_back(entry);
            }
        }
        m_owner.defer([done, out] { done(out); });
    }

    void
    watch(const std::string& prefix, coordination::revision after,
          base::milliseconds,
          std::function<void(const coordination::watch_reply&)> done) override {
        coordination::watch_reply out;
        out.status = history_kept ? next().result : status::history_lost;
        history_kept = true;
        out.revision = m_revision;
        out.is_partial = endless_backlog;
        for (const coordination::key_value& change : m_history) {
            if (change.revision > after && change.key.starts_with(prefix)) {
                if (out.changes.size() >= watch_limit &&
                    change.revision != out.changes.back().revision) {
                    out.is_partial = true;
                    out.revision = out.changes.back().revision;
                    break;
                }
                out.changes.push_back(change);
            }
        }
        m_owner.defer([done, out] { done(out); });
    }

    void commit(
        const coordination::transaction& change,
        std::function<void(const coordination::commit_reply&)> done) override {
        commits++;
        rows_seen.push_back(change.entry_count());
        fault meets = next();
        coordination::commit_reply out;
        out.status = meets.result;
        if (meets.result == status::ok || meets.applied) {
            coordination::commit_reply real = apply(change);
            if (meets.result == status::ok) {
                out = real;
            }
        }
        m_owner.defer([done, out] { done(out); });
    }

    void
    grant(base::milliseconds,
          std::function<void(const coordination::lease_reply&)> done) override {
        coordination::lease_reply out{next().result, ++m_last_lease};
        m_owner.defer([done, out] { done(out); });
    }

    void renew(coordination::lease_id,
               std::function<void(status)> done) override {
        status out = next().result;
        m_owner.defer([done, out] { done(out); });
    }

    void revoke(coordination::lease_id) override {}

    coordination::commit_reply apply(const coordination::transaction& change) {
        coordination::commit_reply out;
        out.status = status::ok;
        for (const coordination::condition& it : change.conditions) {
            auto found = m_entries.find(it.key);
            coordination::revision present =
                found == m_entries.end() ? 0 : found->second.revision;
            if (present != it.revision) {
                out.status = status::conflict;
            }
            if (found != m_entries.end()) {
                out.current.push_back(found->second);
            }
        }
        if (out.status == status::conflict) {
            return out;
        }
        out.current.clear();
        out.revision = ++m_revision;
        for (const coordination::put& it : change.puts) {
            coordination::key_value entry{it.key, it.value, m_revision,
                                          it.lease, false};
            m_entries[it.key] = entry;
            m_history.push_back(entry);
        }
        for (const std::string& key : change.removals) {
            m_entries.erase(key);
            m_history.push_back({key, "", m_revision, 0, true});
        }
        return out;
    }

    [[nodiscard]] const std::map<std::string, coordination::key_value>&
    entries() const {
        return m_entries;
    }

    std::size_t page_size{3};
    std::size_t watch_limit{1000}; ///< changes in one reply to a watch
    int commits{0};
    int pages_read{0};
    std::vector<std::size_t> rows_seen;

  private:
    fault next() {
        if (faults.empty()) {
            return otherwise;
        }
        fault out = faults.front();
        faults.pop_front();
        return out;
    }

    kernel::loop& m_owner;
    std::map<std::string, coordination::key_value> m_entries;
    std::vector<coordination::key_value> m_history;
    coordination::revision m_revision{1};
    coordination::lease_id m_last_lease{0};
};

/// Runs @p owner for @p time.
inline void run_loop(kernel::loop& owner, base::milliseconds time) {
    kernel::timer end(owner, [&owner] { owner.stop(); });
    end.start_once(time);
    owner.run();
}

} // namespace eelgrasslever::test
