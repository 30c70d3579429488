/// @file
/// The platform's metadata store: items, leases, watches and transactions, as
/// PROTOCOL.md describes them. Nothing that was acknowledged is lost, and all
/// replies are linearizable.
#pragma once

#include "http.hpp"

#include <condition_variable>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace review {

class store {
  public:
    /// What happens to a transaction.
    struct fate {
        /// Carried out after this time, and not answered; nothing: carried out
        /// and answered at once.
        std::optional<milliseconds> late;
        /// Carried out at once and not answered.
        bool lose_answer{false};
    };
    using fate_function = std::function<fate(const nlohmann::json&)>;

    explicit store(const std::string& ip);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    [[nodiscard]] std::string address() const { return m_server->address(); }
    /// Decides what happens to each transaction from now on.
    void set_fate(fate_function decide);
    /// Writes that come from the operator or an endpoint.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// @return the value, or nothing if there is no such key.
    [[nodiscard]] std::optional<std::string> get(const std::string& key);
    [[nodiscard]] std::size_t transactions();
    /// Stops answering, or answers again. Leases don't run out meanwhile.
    void set_down(bool is_down);

  private:
    struct item {
        std::string value; ///< base64 text
        std::uint64_t revision{0};
        std::uint64_t created{0};
        std::uint64_t lease{0};
    };
    struct change {
        std::uint64_t revision{0};
        std::string key;
        bool deleted{false};
        item written;
    };
    struct lease {
        milliseconds time_to_live{0};
        std::chrono::steady_clock::time_point expires_at{};
    };

    std::optional<http_response> handle(const http_request& request);
    http_response read_item(const http_request& request);
    http_response read_range(const http_request& request);
    http_response watch(const http_request& request);
    std::optional<http_response> commit(const http_request& request);
    http_response grant(const http_request& request);
    http_response apply(const nlohmann::json& transaction);
    void write_locked(const std::string& key, const std::string& value,
                      std::uint64_t lease_id, std::uint64_t revision);
    void remove_locked(const std::string& key, std::uint64_t revision);
    void expire_leases();
    static nlohmann::json encode(const std::string& key, const item& it);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision{100};
    std::uint64_t m_next_lease{1000};
    std::size_t m_transactions{0};
    std::map<std::string, item> m_items;
    std::map<std::uint64_t, lease> m_leases;
    std::vector<change> m_history;
    fate_function m_fate;
    bool m_is_down{false};
    bool m_stopping{false};
    std::thread m_expiry;
    std::vector<std::thread> m_late;
    std::unique_ptr<http_server> m_server;
};

std::string to_base64(const std::string& bytes);
std::string from_base64(const std::string& text);

} // namespace review
