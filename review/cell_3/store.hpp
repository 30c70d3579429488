/// @file
/// The platform's store: items, leases and watches, in memory.
#pragma once

#include "http.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace review::cell {

/// The way of one machine to the store.
struct store_gate {
    std::atomic<bool> turns_away{false}; ///< answers each call with 503
};

class store {
  public:
    store();

    /// Serves a machine at @p at.
    bool listen(const address& at, std::shared_ptr<store_gate> gate);

    /// Writes on behalf of the operator or of a worker.
    void put(const std::string& key, const std::string& value);
    [[nodiscard]] std::optional<std::string> find(const std::string& key);

  private:
    struct item {
        std::string value;
        std::uint64_t revision{0};
        std::uint64_t created{0};
        std::uint64_t lease{0};
    };
    struct event {
        std::string key;
        std::uint64_t revision{0};
        std::optional<item> written; ///< nothing: deleted
    };
    struct lease_state {
        milliseconds time_to_live{0};
        steady::time_point ends_at;
    };

    response handle(const request& call, const store_gate& gate);
    response read_key(const request& call);
    response read_range(const request& call);
    response watch(const request& call, const store_gate& gate);
    response commit(const request& call);
    void write(const std::string& key, item next);
    void erase(const std::string& key);
    void end_lease(std::uint64_t lease);
    void expire_leases();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision{100};
    std::uint64_t m_last_lease{70000};
    std::map<std::string, item> m_items;
    std::map<std::uint64_t, lease_state> m_leases;
    std::vector<event> m_history;
    std::vector<std::unique_ptr<http_server>> m_servers;
};

} // namespace review::cell
