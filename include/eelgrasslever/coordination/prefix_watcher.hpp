/// @file
/// Keeps a local view of the keys under a prefix up to date: reads them page
/// by page, then watches for changes.
#pragma once

#include "eelgrasslever/coordination/store.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasslever::coordination {

struct prefix_watcher_timing {
    /// Longest time that the store holds a watch open without a change. Also
    /// bounds how long a watch that no longer answers goes unnoticed. A watch
    /// is held for less if the view would become older than twice this.
    base::milliseconds watch_timeout{1000};
    /// Delay between a watch that returned changes and the next one, so that
    /// changes are received in batches.
    base::milliseconds batch_delay{50};
    /// Delay after a failed call.
    base::milliseconds retry_delay{150};
};

/// Calls back for each change of the view. The prefix is read again, and keys
/// that have disappeared meanwhile are reported as deleted, if the store has
/// discarded changes that were not yet received, or if the present values are
/// smaller than the changes that led to them.
class prefix_watcher : public std::enable_shared_from_this<prefix_watcher> {
  public:
    using change_handler = std::function<void(const key_value&)>;
    /// Called after the changes of a watch and after each complete read.
    using batch_handler = std::function<void()>;

    prefix_watcher(kernel::loop& owner, store& store, std::string prefix,
                   prefix_watcher_timing timing, change_handler on_change,
                   batch_handler on_batch);

    void start();
    /// Stops watching and drops the callbacks of pending refreshes. After
    /// `start`, the prefix is read again.
    void stop();
    void set_batch_delay(base::milliseconds batch_delay) {
        m_timing.batch_delay = batch_delay;
    }
    /// Reads the complete prefix again.
    /// @param done called once the view is at least as recent as this call.
    void refresh(std::function<void()> done);

    /// Waits until the view contains every change up to @p revision. Batches
    /// are not delayed meanwhile.
    /// @param done dropped by `stop`.
    void when_current(revision revision, std::function<void()> done);

    [[nodiscard]] const std::string& prefix() const { return m_prefix; }
    /// @return the revision up to which the view contains all changes.
    [[nodiscard]] revision known_revision() const { return m_watch_after; }
    /// @return whether @p key exists, as far as the view shows.
    [[nodiscard]] bool contains(const std::string& key) const {
        return m_view.contains(key);
    }
    /// Whether the view has been complete at least once since `start`.
    [[nodiscard]] bool loaded() const { return m_loaded; }
    /// Whether the prefix is being read, for the first time or again.
    [[nodiscard]] bool reading() const { return m_reading; }
    /// Whether the latest call succeeded.
    [[nodiscard]] bool connected() const { return m_connected; }
    /// @return the latest time at which the view was known to contain all
    /// changes.
    [[nodiscard]] base::instant current_as_of() const {
        return m_current_as_of;
    }
    /// @return the same on a clock that counts suspended time, for permissions
    /// that depend on the view; the epoch while the view has not been loaded.
    [[nodiscard]] base::instant current_as_of_uptime() const {
        return m_current_as_of_uptime;
    }

  private:
    void load();
    /// Reads the page that begins after key @p after.
    void load_page(const std::string& after);
    void on_page(const std::string& after, const page_reply& reply);
    void finish_load();
    /// @return how long the store may hold the next watch open.
    [[nodiscard]] base::milliseconds watch_time(base::instant now) const;
    void watch();
    void on_watch(const watch_reply& reply);
    /// @return whether to read the prefix, as the changes that the view lags
    /// behind have taken more bytes so far than all present values would.
    [[nodiscard]] bool is_backlog_larger_than_view() const;
    void run_current_callbacks();
    void apply(const key_value& change);
    void schedule_next_call(base::milliseconds delay);
    void on_call_failed(const char* step, status result,
                        const transfer_record& transfer);
    /// Logs a call that failed, or whose reply is large or late.
    void log_call(const char* step, status result,
                  const transfer_record& transfer, std::size_t changes) const;

    kernel::loop& m_owner;
    store& m_store;
    std::string m_prefix;
    prefix_watcher_timing m_timing;
    change_handler m_on_change;
    batch_handler m_on_batch;
    kernel::timer m_timer;
    struct known_key {
        revision last_revision{absent};
        std::size_t bytes{0}; ///< of the key and its value
    };
    std::map<std::string, known_key> m_view;
    std::size_t m_view_bytes{0}; ///< of all keys and their values
    /// Received by watches since the view was last up to date.
    std::size_t m_backlog_bytes{0};
    std::map<std::string, revision> m_keys_read; ///< by the current read
    std::vector<std::function<void()>> m_refresh_callbacks; ///< of later reads
    std::vector<std::function<void()>> m_load_callbacks;    ///< of this read
    /// The key after which a page begins that is to be read again.
    std::optional<std::string> m_failed_page;
    /// Callbacks of `when_current`, by the revision that they wait for.
    std::multimap<revision, std::function<void()>> m_current_callbacks;
    revision m_watch_after{absent};
    revision m_load_revision{absent};
    bool m_running{false};
    bool m_in_flight{false};
    bool m_load_needed{true};
    bool m_loaded{false};
    bool m_reading{false};
    bool m_connected{false};
    int m_failed_calls{0};             ///< since the latest success
    base::milliseconds m_call_wait{0}; ///< for which the store holds the call
    base::instant m_call_sent_at{};
    base::instant m_current_as_of{};
    base::instant m_call_sent_uptime{};
    base::instant m_current_as_of_uptime{};
};

} // namespace eelgrasslever::coordination
