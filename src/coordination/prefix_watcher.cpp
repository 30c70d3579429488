#include "eelgrasslever/coordination/prefix_watcher.hpp"

#include "eelgrasslever/observe/log.hpp"

#include <utility>

namespace eelgrasslever::coordination {

prefix_watcher::prefix_watcher(kernel::loop& owner, store& from,
                               std::string prefix, prefix_watcher_timing timing,
                               change_handler on_change, batch_handler on_batch)
    : m_owner(owner), m_store(from), m_prefix(std::move(prefix)),
      m_timing(timing), m_on_change(std::move(on_change)),
      m_on_batch(std::move(on_batch)), m_timer(owner, [this] {
          if (m_load_needed) {
              load();
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
    m_timer.cancel();
    m_waiting.clear();
}

void prefix_watcher::refresh(std::function<void()> done) {
    m_waiting.push_back(std::move(done));
    m_load_needed = true;
    if (m_running && !m_in_flight) {
        load();
    }
}

void prefix_watcher::schedule(base::milliseconds pause) {
    if (m_running) {
        m_timer.start_once(pause);
    }
}

void prefix_watcher::lost(const char* step, status why) {
    if (m_connected) {
        observe::log_event(
            "follow_interrupted",
            {{"prefix", m_prefix}, {"step", step}, {"why", to_string(why)}});
    }
    m_connected = false;
    schedule(m_timing.retry_delay);
}

void prefix_watcher::load() {
    m_timer.cancel();
    m_load_needed = false;
    m_loading.clear();
    m_served = std::exchange(m_waiting, {});
    m_load_revision = absent;
    m_call_at = base::monotonic_now();
    load_page("");
}

void prefix_watcher::load_page(const std::string& after) {
    m_in_flight = true;
    m_store.read_page(m_prefix, after,
                      [self = shared_from_this()](const page_reply& reply) {
                          self->m_in_flight = false;
                          if (self->m_running) {
                              self->on_page(reply);
                          }
                      });
}

void prefix_watcher::on_page(const page_reply& reply) {
    if (reply.status != status::ok) {
        m_load_needed = true;
        for (auto& waiter : m_served) {
            m_waiting.push_back(std::move(waiter));
        }
        m_served.clear();
        lost("load", reply.status);
        return;
    }
    // Pages are no snapshot: what changed since the first one is watched.
    if (m_load_revision == absent) {
        m_load_revision = reply.revision;
    }
    for (const key_value& found : reply.entries) {
        m_loading[found.key] = found.revision;
        apply(found);
    }
    if (reply.has_more && !reply.entries.empty()) {
        load_page(reply.entries.back().key);
        return;
    }
    finish_load();
}

void prefix_watcher::finish_load() {
    std::vector<std::string> vanished;
    for (const auto& [key, at] : m_known) {
        if (!m_loading.contains(key)) {
            vanished.push_back(key);
        }
    }
    for (const std::string& key : vanished) {
        key_value gone;
        gone.key = key;
        gone.revision = m_load_revision;
        gone.deleted = true;
        apply(gone);
    }
    m_next = m_load_revision;
    if (!m_connected) {
        observe::log_event("follow_loaded",
                           {{"prefix", m_prefix},
                            {"keys", std::to_string(m_known.size())},
                            {"revision", std::to_string(m_next)}});
    }
    m_loaded = true;
    m_connected = true;
    m_current_as_of = m_call_at;
    m_on_batch();
    for (auto& waiter : std::exchange(m_served, {})) {
        waiter();
    }
    schedule(base::milliseconds(0));
}

void prefix_watcher::watch() {
    if (m_in_flight) {
        return;
    }
    m_in_flight = true;
    m_call_at = base::monotonic_now();
    m_store.watch(m_prefix, m_next, m_timing.watch_timeout,
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
            "follow_history_lost",
            {{"prefix", m_prefix}, {"after", std::to_string(m_next)}});
        load();
        return;
    }
    if (reply.status != status::ok) {
        lost("watch", reply.status);
        return;
    }
    if (!m_connected) {
        observe::log_event("follow_resumed", {{"prefix", m_prefix}});
    }
    m_connected = true;
    if (!reply.is_partial) {
        m_current_as_of = m_call_at;
    }
    for (const key_value& change : reply.changes) {
        apply(change);
    }
    m_next = std::max(m_next, reply.revision);
    if (!reply.changes.empty()) {
        m_on_batch();
    }
    if (m_load_needed) {
        load();
        return;
    }
    // A pause after a partial reply would cap the rate of changes that the
    // view can follow, and the view would fall behind without bound.
    bool pauses = !reply.changes.empty() && !reply.is_partial;
    schedule(pauses ? m_timing.batch_delay : base::milliseconds(0));
}

void prefix_watcher::apply(const key_value& change) {
    auto found = m_known.find(change.key);
    if (found != m_known.end() && found->second >= change.revision &&
        !(change.deleted && found->second == change.revision)) {
        return;
    }
    if (change.deleted) {
        if (found == m_known.end()) {
            return;
        }
        m_known.erase(found);
    } else {
        m_known[change.key] = change.revision;
    }
    m_on_change(change);
}

} // namespace eelgrasslever::coordination
