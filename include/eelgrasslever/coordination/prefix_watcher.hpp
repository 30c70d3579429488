/// @file
/// Keeps a local view of a key prefix up to date: pages first, then watches.
#pragma once

#include "eelgrasslever/coordination/store.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <map>
#include <memory>

namespace eelgrasslever::coordination {

struct prefix_watcher_timing {
    /// How long one watch waits for a change. Bounds the time until a watch
    /// that went silent is noticed.
    base::milliseconds watch_timeout{1000};
    /// Pause between the end of one watch and the next, so that changes are
    /// read in groups.
    base::milliseconds batch_delay{50};
    /// Pause after a failed call.
    base::milliseconds retry_delay{150};
};

/// Calls back for each change. A key that vanished while history was lost is
/// reported as deleted.
class prefix_watcher : public std::enable_shared_from_this<prefix_watcher> {
  public:
    using change_handler = std::function<void(const key_value&)>;
    /// @param loaded whether the view is complete after this batch.
    using batch_handler = std::function<void()>;

    prefix_watcher(kernel::loop& owner, store& from, std::string prefix,
                   prefix_watcher_timing timing, change_handler on_change,
                   batch_handler on_batch);

    void start();
    void stop();
    /// Changes the pause between watches.
    void set_batch_delay(base::milliseconds batch_delay) {
        m_timing.batch_delay = batch_delay;
    }
    /// Reads the prefix as a whole; @p done runs once the view is at least as
    /// new as this call.
    void refresh(std::function<void()> done);

    /// Whether the view has been complete at least once.
    [[nodiscard]] bool loaded() const { return m_loaded; }
    /// Whether the latest call got through.
    [[nodiscard]] bool connected() const { return m_connected; }
    /// When the view was last known to be current.
    [[nodiscard]] base::instant current_as_of() const {
        return m_current_as_of;
    }

  private:
    void load();
    void load_page(const std::string& after);
    void on_page(const page_reply& reply);
    void finish_load();
    void watch();
    void on_watch(const watch_reply& reply);
    void apply(const key_value& change);
    void schedule(base::milliseconds pause);
    void lost(const char* step, status why);

    kernel::loop& m_owner;
    store& m_store;
    std::string m_prefix;
    prefix_watcher_timing m_timing;
    change_handler m_on_change;
    batch_handler m_on_batch;
    kernel::timer m_timer;
    std::map<std::string, revision> m_known;
    std::map<std::string, revision> m_loading;
    std::vector<std::function<void()>> m_waiting;
    std::vector<std::function<void()>> m_served;
    revision m_next{absent};
    revision m_load_revision{absent};
    bool m_running{false};
    bool m_in_flight{false};
    bool m_load_needed{true};
    bool m_loaded{false};
    bool m_connected{false};
    base::instant m_call_at{};
    base::instant m_current_as_of{};
};

} // namespace eelgrasslever::coordination
