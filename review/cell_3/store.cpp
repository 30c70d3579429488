#include "store.hpp"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace review::cell {

using nlohmann::json;

namespace {

constexpr std::size_t page_items = 500;
constexpr std::size_t max_transaction_entries = 32;
constexpr std::size_t max_value_bytes = 1048576;
constexpr milliseconds lease_check_period{20};
constexpr const char* digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes) {
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 |
                    (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += k <= count ? digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

std::string from_base64(const std::string& text) {
    const std::string alphabet = digits;
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (char c : text) {
        auto value = alphabet.find(c);
        if (value == std::string::npos) {
            break;
        }
        group = group << 6 | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(group >> bits & 255U);
        }
    }
    return out;
}

response plain(int status) {
    return {status, "{}"};
}

/// @return the number at the end of a path.
std::uint64_t last_number(const std::string& path) {
    return std::stoull(path.substr(path.rfind('/') + 1));
}

template <typename Item>
json encode(const std::string& key, const Item& value) {
    return {{"key", key},
            {"value", to_base64(value.value)},
            {"revision", value.revision},
            {"created", value.created},
            {"lease", value.lease}};
}

bool is_foreign(const std::string& key) {
    return key.starts_with("op/") || key.starts_with("servers/");
}

} // namespace

store::store() {
    std::thread([this] {
        for (;;) {
            std::this_thread::sleep_for(lease_check_period);
            expire_leases();
        }
    }).detach();
}

bool store::listen(const address& at, std::shared_ptr<store_gate> gate) {
    m_servers.push_back(std::make_unique<http_server>(
        at, [this, gate = std::move(gate)](const request& call) {
            if (gate->turns_away) {
                return plain(503);
            }
            return handle(call, *gate);
        }));
    return m_servers.back()->start();
}

void store::put(const std::string& key, const std::string& value) {
    std::lock_guard lock(m_mutex);
    m_revision++;
    write(key, {value, 0, 0, 0});
    m_changed.notify_all();
}

std::optional<std::string> store::find(const std::string& key) {
    std::lock_guard lock(m_mutex);
    auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt
                                  : std::optional(found->second.value);
}

void store::write(const std::string& key, item next) {
    auto known = m_items.find(key);
    next.revision = m_revision;
    next.created = known == m_items.end() ? m_revision : known->second.created;
    m_history.push_back({key, m_revision, next});
    m_items[key] = std::move(next);
}

void store::erase(const std::string& key) {
    if (m_items.erase(key) > 0) {
        m_history.push_back({key, m_revision, std::nullopt});
    }
}

void store::end_lease(std::uint64_t lease) {
    m_leases.erase(lease);
    m_revision++;
    std::vector<std::string> ended;
    for (const auto& [key, value] : m_items) {
        if (value.lease == lease) {
            ended.push_back(key);
        }
    }
    for (const std::string& key : ended) {
        erase(key);
    }
    m_changed.notify_all();
}

void store::expire_leases() {
    std::lock_guard lock(m_mutex);
    std::vector<std::uint64_t> ended;
    for (const auto& [lease, state] : m_leases) {
        if (state.ends_at <= steady::now()) {
            ended.push_back(lease);
        }
    }
    for (std::uint64_t lease : ended) {
        end_lease(lease);
    }
}

response store::handle(const request& call, const store_gate& gate) {
    if (call.path == "/kv-watch") {
        return watch(call, gate);
    }
    std::lock_guard lock(m_mutex);
    if (call.path == "/kv-key") {
        return read_key(call);
    }
    if (call.path == "/kv-range") {
        return read_range(call);
    }
    if (call.path == "/kv-txn") {
        return commit(call);
    }
    if (call.path == "/kv-lease") {
        milliseconds ttl(json::parse(call.body).at("ttlMs").get<int>());
        m_leases[++m_last_lease] = {ttl, steady::now() + ttl};
        return {200,
                json{{"lease", m_last_lease}, {"ttlMs", ttl.count()}}.dump()};
    }
    if (call.path.starts_with("/kv-keep/")) {
        auto found = m_leases.find(last_number(call.path));
        if (found == m_leases.end()) {
            return plain(404);
        }
        found->second.ends_at = steady::now() + found->second.time_to_live;
        return plain(200);
    }
    if (call.path.starts_with("/kv-lease-end/")) {
        end_lease(last_number(call.path));
        return plain(200);
    }
    return plain(404);
}

response store::read_key(const request& call) {
    auto found = m_items.find(call.parameter("key"));
    if (found == m_items.end()) {
        return plain(404);
    }
    json out = encode(found->first, found->second);
    out["currentRev"] = m_revision;
    return {200, out.dump()};
}

response store::read_range(const request& call) {
    std::string prefix = call.parameter("prefix");
    std::string after = call.parameter("after");
    auto next = after.empty() ? m_items.lower_bound(prefix)
                              : m_items.upper_bound(after);
    json items = json::array();
    bool has_more = false;
    for (; next != m_items.end() && next->first.starts_with(prefix); ++next) {
        if (items.size() == page_items) {
            has_more = true;
            break;
        }
        items.push_back(encode(next->first, next->second));
    }
    return {200, json{{"items", std::move(items)},
                      {"hasMore", has_more},
                      {"currentRev", m_revision}}
                     .dump()};
}

response store::watch(const request& call, const store_gate& gate) {
    std::string prefix = call.parameter("prefix");
    std::uint64_t after = std::stoull(call.parameter("after"));
    auto until =
        steady::now() + milliseconds(std::stoi(call.parameter("waitMs")));
    std::unique_lock lock(m_mutex);
    for (;;) {
        if (gate.turns_away) {
            return plain(503);
        }
        json events = json::array();
        auto next =
            std::upper_bound(m_history.begin(), m_history.end(), after,
                             [](std::uint64_t revision, const event& e) {
                                 return revision < e.revision;
                             });
        std::uint64_t last = m_revision;
        for (; next != m_history.end(); ++next) {
            if (!next->key.starts_with(prefix)) {
                continue;
            }
            // All changes of one revision belong together.
            if (events.size() >= page_items && next->revision != last) {
                break;
            }
            last = next->revision;
            events.push_back(next->written ? encode(next->key, *next->written)
                                           : json{{"key", next->key},
                                                  {"revision", next->revision},
                                                  {"deleted", true}});
        }
        bool is_whole = next == m_history.end();
        if (!events.empty() || steady::now() >= until) {
            return {200, json{{"events", std::move(events)},
                              {"currentRev", is_whole ? m_revision : last}}
                             .dump()};
        }
        constexpr milliseconds gate_check_period{50};
        m_changed.wait_until(
            lock, std::min(until, steady::now() + gate_check_period));
    }
}

response store::commit(const request& call) {
    json in = json::parse(call.body);
    json expected = in.value("expectedRev", json::array());
    json puts = in.value("puts", json::array());
    json removals = in.value("remove", json::array());
    if (expected.size() + puts.size() + removals.size() >
        max_transaction_entries) {
        return plain(400);
    }
    bool holds = true;
    json current = json::array();
    for (const json& row : expected) {
        auto found = m_items.find(row.at("key"));
        std::uint64_t present =
            found == m_items.end() ? 0 : found->second.revision;
        holds = holds && present == row.at("revision").get<std::uint64_t>();
        current.push_back(found == m_items.end()
                              ? json{{"key", row.at("key")}, {"revision", 0}}
                              : encode(found->first, found->second));
    }
    if (!holds) {
        return {412, json{{"items", current}}.dump()};
    }
    for (const json& row : puts) {
        auto lease = row.value("lease", std::uint64_t{0});
        if (lease != 0 && !m_leases.contains(lease)) {
            return plain(404);
        }
        if (is_foreign(row.at("key"))) {
            return plain(403);
        }
        if (from_base64(row.at("value")).size() > max_value_bytes) {
            return plain(400);
        }
    }
    m_revision++;
    for (const json& row : puts) {
        write(row.at("key"), {from_base64(row.at("value")), 0, 0,
                              row.value("lease", std::uint64_t{0})});
    }
    for (const json& key : removals) {
        erase(key);
    }
    m_changed.notify_all();
    return {200, json{{"revision", m_revision}}.dump()};
}

} // namespace review::cell
