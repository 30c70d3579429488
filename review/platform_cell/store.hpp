/// @file
/// Stand-in of the platform's store: keys with revisions, conditional
/// transactions, leases and watches.
#pragma once

#include "http.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace review::cell {

class store {
  public:
    explicit store(const std::string& ip);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    [[nodiscard]] bool open() { return m_server->open(); }
    [[nodiscard]] std::string address() const { return m_server->address(); }

    /// Writes as the operator or a worker.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// @return the decoded value; empty if there is no such key.
    [[nodiscard]] std::string value(const std::string& key);

  private:
    using instant = std::chrono::steady_clock::time_point;
    struct item {
        std::string value; ///< in base64
        std::uint64_t revision{0};
        std::uint64_t created{0};
        std::uint64_t lease{0};
    };
    struct lease {
        std::chrono::milliseconds length{0};
        instant ends{};
    };

    http_reply handle(const http_request& request);
    http_reply read_key(const http_request& request);
    http_reply read_range(const http_request& request);
    http_reply watch(const http_request& request);
    http_reply commit(const http_request& request);
    http_reply grant(const http_request& request);
    http_reply renew(std::uint64_t id);
    http_reply end(std::uint64_t id);

    // With the mutex held.
    [[nodiscard]] nlohmann::json to_json(const std::string& key) const;
    void set(const std::string& key, const std::string& value,
             std::uint64_t lease);
    void erase(const std::string& key);
    void end_lease(std::uint64_t id);

    void expire_leases();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::map<std::uint64_t, lease> m_leases;
    std::deque<std::pair<std::uint64_t, nlohmann::json>> m_history;
    std::uint64_t m_revision{100};
    std::uint64_t m_last_lease{7000};
    bool m_stopped{false};
    std::thread m_expiry;
    std::unique_ptr<http_server> m_server;
};

/// @return standard base64 with padding.
[[nodiscard]] std::string to_base64(const std::string& bytes);

} // namespace review::cell
