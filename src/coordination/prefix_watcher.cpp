#include "eelgrasslever/coordination/prefix_watcher.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::coordination {

namespace {

/// Not 0, which a store may take for its default.
constexpr base::milliseconds min_watch_time{1};
/// A call that takes this much longer than the store may hold it is logged.
/// A reply that takes this long from its first byte on shows that the view
/// lags behind.
constexpr base::milliseconds slow_transfer{300};
/// A prefix with no more than this is read again after a call that failed. On
/// the narrowest links (10 Mbit/s) that takes at most 70 ms, while the changes
/// since the last call may take longer than any call.
constexpr std::size_t small_view_bytes = 64 * 1024;

} // namespace

prefix_watcher::prefix_watcher(kernel::loop& owner, store& store,
                               std::string prefix, prefix_watcher_timing timing,
                               change_handler on_change, batch_handler on_batch)
    : m_owner(owner), m_store(store), m_prefix(std::move(prefix)),
      m_timing(timing), m_on_change(std::move(on_change)),
      m_on_batch(std::move(on_batch)), m_timer(owner, [this] {
          if (m_load_needed) {
              load();
          } else if (m_failed_page) {
              load_page(*std::exchange(m_failed_page, std::nullopt));
          } else {
              watch();
          }
      }) {}

void prefix_watcher::start() {
    if (m_running) {
        return;
    }
    m_running = true;
    m_load_needed = true;
    if (!m_in_flight) {
        load();
    }
}

void prefix_watcher::stop() {
    m_running = false;
    m_loaded = false;
    m_reading = false;
    m_timer.cancel();
    m_failed_page.reset();
    m_refresh_callbacks.clear();
    m_load_callbacks.clear();
    m_current_callbacks.clear();
}

void prefix_watcher::refresh(std::function<void()> done) {
    m_refresh_callbacks.push_back(std::move(done));
    m_load_needed = true;
    if (m_running && !m_in_flight) {
        load();
    }
}

// A watch in flight returns at the next change, so only a delayed one is put
// forward.
void prefix_watcher::when_current(revision revision,
                                  std::function<void()> done) {
    m_current_callbacks.emplace(revision, std::move(done));
    m_owner.defer([self = shared_from_this()] {
        self->run_current_callbacks();
        if (!self->m_in_flight && !self->m_current_callbacks.empty()) {
            self->schedule_next_call(base::milliseconds(0));
        }
    });
}

void prefix_watcher::run_current_callbacks() {
    if (!m_loaded) {
        return;
    }
    auto end = m_current_callbacks.upper_bound(m_watch_after);
    std::vector<std::function<void()>> due;
    for (auto each = m_current_callbacks.begin(); each != end; ++each) {
        due.push_back(std::move(each->second));
    }
    m_current_callbacks.erase(m_current_callbacks.begin(), end);
    for (auto& callback : due) {
        callback();
    }
}

void prefix_watcher::schedule_next_call(base::milliseconds delay) {
    if (m_running) {
        m_timer.start_once(delay);
    }
}

void prefix_watcher::log_call(const char* step, status result,
                              const transfer_record& transfer,
                              std::size_t changes) const {
    observe::log_event(
        "watch_call",
        {{"prefix", m_prefix},
         {"step", step},
         {"outcome", to_string(result)},
         {"failed_before", std::to_string(m_failed_calls)},
         {"after", std::to_string(m_watch_after)},
         {"wait_ms", std::to_string(m_call_wait.count())},
         {"took_ms", std::to_string(transfer.duration.count())},
         {"first_byte_ms", std::to_string(transfer.first_byte_after.count())},
         {"bytes", std::to_string(transfer.bytes)},
         {"changes", std::to_string(changes)},
         {"view_age_ms",
          m_loaded ? std::to_string(
                         (base::monotonic_now() - m_current_as_of).count())
                   : ""}});
}

void prefix_watcher::on_call_failed(const char* step, status result,
                                    const transfer_record& transfer) {
    if (m_connected) {
        observe::log_event(
            "watch_interrupted",
            {{"prefix", m_prefix}, {"step", step}, {"why", to_string(result)}});
    }
    if (transfer.duration >= m_call_wait + slow_transfer) {
        log_call(step, result, transfer, 0);
    }
    m_failed_calls++;
    m_connected = false;
    schedule_next_call(m_timing.retry_delay);
}

void prefix_watcher::load() {
    m_timer.cancel();
    m_load_needed = false;
    m_reading = true;
    m_failed_page.reset();
    m_backlog_bytes = 0;
    m_keys_read.clear();
    // Those who wait for a load that this one replaces wait for this one.
    for (auto& callback : std::exchange(m_refresh_callbacks, {})) {
        m_load_callbacks.push_back(std::move(callback));
    }
    m_load_revision = absent;
    m_call_sent_at = base::monotonic_now();
    m_call_sent_uptime = base::uptime_now();
    load_page("");
}

void prefix_watcher::load_page(const std::string& after) {
    m_in_flight = true;
    m_call_wait = base::milliseconds(0);
    m_store.read_page(
        m_prefix, after,
        [self = shared_from_this(), after](const page_reply& reply) {
            self->m_in_flight = false;
            if (self->m_running) {
                self->on_page(after, reply);
            }
        });
}

// As the pages are not a snapshot, a later try at one is as good as the first.
void prefix_watcher::on_page(const std::string& after,
                             const page_reply& reply) {
    if (reply.status != status::ok) {
        m_failed_page = after;
        on_call_failed("load", reply.status, reply.transfer);
        return;
    }
    if (reply.transfer.duration >= slow_transfer) {
        log_call("load", reply.status, reply.transfer, reply.entries.size());
    }
    m_failed_calls = 0;
    // The pages are not a snapshot. The watch starts at the revision of the
    // first page, so that changes made during the load are not missed.
    if (m_load_revision == absent) {
        m_load_revision = reply.revision;
    }
    for (const key_value& entry : reply.entries) {
        m_keys_read[entry.key] = entry.revision;
        apply(entry);
    }
    if (reply.has_more && !reply.entries.empty()) {
        load_page(reply.entries.back().key);
        return;
    }
    finish_load();
}

void prefix_watcher::finish_load() {
    std::vector<std::string> vanished;
    for (const auto& [key, known] : m_view) {
        if (!m_keys_read.contains(key)) {
            vanished.push_back(key);
        }
    }
    for (const std::string& key : vanished) {
        key_value deletion;
        deletion.key = key;
        deletion.revision = m_load_revision;
        deletion.deleted = true;
        apply(deletion);
    }
    m_watch_after = m_load_revision;
    if (!m_connected) {
        observe::log_event("view_loaded",
                           {{"prefix", m_prefix},
                            {"keys", std::to_string(m_view.size())},
                            {"revision", std::to_string(m_watch_after)}});
    }
    m_loaded = true;
    m_reading = false;
    m_connected = true;
    m_current_as_of = m_call_sent_at;
    m_current_as_of_uptime = m_call_sent_uptime;
    m_on_batch();
    for (auto& callback : std::exchange(m_load_callbacks, {})) {
        callback();
    }
    run_current_callbacks();
    schedule_next_call(base::milliseconds(0));
}

// While a watch is held, the view is as old as the watch before it.
base::milliseconds prefix_watcher::watch_time(base::instant now) const {
    auto time_left = m_current_as_of + 2 * m_timing.watch_timeout - now;
    return std::clamp(time_left, min_watch_time, m_timing.watch_timeout);
}

void prefix_watcher::watch() {
    if (m_in_flight) {
        return;
    }
    m_in_flight = true;
    m_call_sent_at = base::monotonic_now();
    m_call_sent_uptime = base::uptime_now();
    m_call_wait = watch_time(m_call_sent_at);
    m_store.watch(m_prefix, m_watch_after, m_call_wait,
                  [self = shared_from_this()](const watch_reply& reply) {
                      self->m_in_flight = false;
                      if (self->m_running) {
                          self->on_watch(reply);
                      }
                  });
}

void prefix_watcher::on_watch(const watch_reply& reply) {
    if (reply.status == status::history_lost) {
        observe::log_event(
            "watch_history_lost",
            {{"prefix", m_prefix}, {"after", std::to_string(m_watch_after)}});
        load();
        return;
    }
    if (reply.status != status::ok) {
        m_backlog_bytes += reply.transfer.bytes;
        m_load_needed |=
            m_view_bytes <= small_view_bytes || is_backlog_larger_than_view();
        on_call_failed("watch", reply.status, reply.transfer);
        return;
    }
    if (reply.is_partial ||
        reply.transfer.duration >= m_call_wait + slow_transfer) {
        log_call("watch", reply.status, reply.transfer, reply.changes.size());
    }
    if (!m_connected) {
        observe::log_event("watch_resumed",
                           {{"prefix", m_prefix},
                            {"failed_calls", std::to_string(m_failed_calls)},
                            {"changes", std::to_string(reply.changes.size())},
                            {"bytes", std::to_string(reply.transfer.bytes)}});
    }
    m_connected = true;
    m_failed_calls = 0;
    bool is_behind =
        reply.is_partial ||
        reply.transfer.duration - reply.transfer.first_byte_after >=
            slow_transfer;
    m_backlog_bytes = is_behind ? m_backlog_bytes + reply.transfer.bytes : 0;
    if (!reply.is_partial) {
        m_current_as_of = m_call_sent_at;
        m_current_as_of_uptime = m_call_sent_uptime;
    }
    for (const key_value& change : reply.changes) {
        apply(change);
    }
    m_watch_after = std::max(m_watch_after, reply.revision);
    if (!reply.changes.empty()) {
        m_on_batch();
    }
    run_current_callbacks();
    if (m_load_needed || is_backlog_larger_than_view()) {
        load();
        return;
    }
    // A delay after a partial reply would limit the rate of changes that the
    // view can keep up with, and the view would fall behind without bound.
    bool should_delay = !reply.changes.empty() && !reply.is_partial &&
                        m_current_callbacks.empty();
    schedule_next_call(should_delay ? m_timing.batch_delay
                                    : base::milliseconds(0));
}

bool prefix_watcher::is_backlog_larger_than_view() const {
    constexpr std::size_t entry_overhead = 100; // field names and revisions
    std::size_t encoded_view =
        m_view_bytes * 4 / 3 + m_view.size() * entry_overhead;
    return m_backlog_bytes > encoded_view;
}

void prefix_watcher::apply(const key_value& change) {
    auto found = m_view.find(change.key);
    if (found != m_view.end() &&
        found->second.last_revision >= change.revision &&
        !(change.deleted && found->second.last_revision == change.revision)) {
        return;
    }
    if (change.deleted) {
        if (found == m_view.end()) {
            return;
        }
        m_view_bytes -= found->second.bytes;
        m_view.erase(found);
    } else {
        known_key& known = m_view[change.key];
        std::size_t bytes = change.key.size() + change.value.size();
        m_view_bytes += bytes - known.bytes;
        known = {change.revision, bytes};
    }
    m_on_change(change);
}

} // namespace eelgrasslever::coordination
