#include "store.hpp"

#include <algorithm>
#include <utility>

namespace review {

using nlohmann::json;

namespace {

constexpr milliseconds answer_time{4};
constexpr milliseconds expiry_period{20};
constexpr std::size_t page_size = 500;
constexpr const char* digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::uint64_t to_number(const std::string& text) {
    return text.empty() ? 0 : std::stoull(text);
}

std::string query_value(const http_request& request, const char* name) {
    auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

} // namespace

std::string to_base64(const std::string& bytes) {
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = bits << 8 |
                   (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += k <= count ? digits[bits >> (18 - 6 * k) & 63] : '=';
        }
    }
    return out;
}

std::string from_base64(const std::string& text) {
    std::string out;
    unsigned bits = 0;
    int held = 0;
    const std::string alphabet = digits;
    for (char c : text) {
        auto digit = alphabet.find(c);
        if (digit == std::string::npos) {
            break;
        }
        bits = bits << 6 | static_cast<unsigned>(digit);
        held += 6;
        if (held >= 8) {
            held -= 8;
            out += static_cast<char>(bits >> held & 255);
        }
    }
    return out;
}

store::store(const std::string& ip) {
    m_expiry = std::thread([this] { expire_leases(); });
    m_server = std::make_unique<http_server>(
        ip, 0, [this](const http_request& request) { return handle(request); });
}

store::~store() {
    m_server->close();
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_expiry.join();
    for (std::thread& each : m_late) {
        each.join();
    }
}

void store::set_fate(fate_function decide) {
    std::lock_guard lock(m_mutex);
    m_fate = std::move(decide);
}

void store::set_down(bool is_down) {
    std::lock_guard lock(m_mutex);
    m_is_down = is_down;
    for (auto& [id, held] : m_leases) {
        held.expires_at = std::chrono::steady_clock::now() + held.time_to_live;
    }
}

void store::put(const std::string& key, const std::string& value) {
    std::lock_guard lock(m_mutex);
    write_locked(key, to_base64(value), 0, ++m_revision);
    m_changed.notify_all();
}

void store::remove(const std::string& key) {
    std::lock_guard lock(m_mutex);
    remove_locked(key, ++m_revision);
    m_changed.notify_all();
}

std::optional<std::string> store::get(const std::string& key) {
    std::lock_guard lock(m_mutex);
    auto found = m_items.find(key);
    if (found == m_items.end()) {
        return std::nullopt;
    }
    return from_base64(found->second.value);
}

std::size_t store::transactions() {
    std::lock_guard lock(m_mutex);
    return m_transactions;
}

void store::write_locked(const std::string& key, const std::string& value,
                         std::uint64_t lease_id, std::uint64_t revision) {
    auto [row, is_new] = m_items.try_emplace(key);
    if (is_new) {
        row->second.created = revision;
    }
    row->second.value = value;
    row->second.revision = revision;
    row->second.lease = lease_id;
    m_history.push_back({revision, key, false, row->second});
}

void store::remove_locked(const std::string& key, std::uint64_t revision) {
    if (m_items.erase(key) > 0) {
        m_history.push_back({revision, key, true, {}});
    }
}

void store::expire_leases() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        auto now = std::chrono::steady_clock::now();
        for (auto row = m_leases.begin(); row != m_leases.end();) {
            if (m_is_down || row->second.expires_at > now) {
                ++row;
                continue;
            }
            std::vector<std::string> keys;
            for (const auto& [key, it] : m_items) {
                if (it.lease == row->first) {
                    keys.push_back(key);
                }
            }
            ++m_revision;
            for (const std::string& key : keys) {
                remove_locked(key, m_revision);
            }
            row = m_leases.erase(row);
            m_changed.notify_all();
        }
        lock.unlock();
        std::this_thread::sleep_for(expiry_period);
        lock.lock();
    }
}

json store::encode(const std::string& key, const item& it) {
    return {{"key", key},
            {"value", it.value},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
}

std::optional<http_response> store::handle(const http_request& request) {
    std::this_thread::sleep_for(answer_time);
    {
        std::lock_guard lock(m_mutex);
        if (m_is_down) {
            return std::nullopt;
        }
    }
    if (request.path == "/kv-key") {
        return read_item(request);
    }
    if (request.path == "/kv-range") {
        return read_range(request);
    }
    if (request.path == "/kv-watch") {
        return watch(request);
    }
    if (request.path == "/kv-txn") {
        return commit(request);
    }
    if (request.path == "/kv-lease") {
        return grant(request);
    }
    std::uint64_t id =
        to_number(request.path.substr(request.path.rfind('/') + 1));
    std::lock_guard lock(m_mutex);
    auto found = m_leases.find(id);
    if (found == m_leases.end()) {
        return http_response{404, "{}"};
    }
    found->second.expires_at = std::chrono::steady_clock::now();
    if (request.path.starts_with("/kv-keep/")) {
        found->second.expires_at += found->second.time_to_live;
    }
    return http_response{
        200, json{{"ttlMs", found->second.time_to_live.count()}}.dump()};
}

http_response store::read_item(const http_request& request) {
    std::string key = query_value(request, "key");
    std::lock_guard lock(m_mutex);
    auto found = m_items.find(key);
    if (found == m_items.end()) {
        return {404, json{{"currentRev", m_revision}}.dump()};
    }
    json out = encode(key, found->second);
    out["currentRev"] = m_revision;
    return {200, out.dump()};
}

http_response store::read_range(const http_request& request) {
    std::string prefix = query_value(request, "prefix");
    std::string after = query_value(request, "after");
    std::lock_guard lock(m_mutex);
    json items = json::array();
    bool has_more = false;
    for (auto row = m_items.lower_bound(prefix);
         row != m_items.end() && row->first.starts_with(prefix); ++row) {
        if (row->first <= after) {
            continue;
        }
        if (items.size() == page_size) {
            has_more = true;
            break;
        }
        items.push_back(encode(row->first, row->second));
    }
    return {200, json{{"items", std::move(items)},
                      {"hasMore", has_more},
                      {"currentRev", m_revision}}
                     .dump()};
}

http_response store::watch(const http_request& request) {
    std::string prefix = query_value(request, "prefix");
    std::uint64_t after = to_number(query_value(request, "after"));
    auto until = std::chrono::steady_clock::now() +
                 milliseconds(to_number(query_value(request, "waitMs")));
    std::unique_lock lock(m_mutex);
    while (true) {
        json events = json::array();
        std::uint64_t last = m_revision;
        auto row = std::upper_bound(m_history.begin(), m_history.end(), after,
                                    [](std::uint64_t rev, const change& c) {
                                        return rev < c.revision;
                                    });
        for (; row != m_history.end(); ++row) {
            if (!row->key.starts_with(prefix)) {
                continue;
            }
            // A reply never ends within a revision.
            if (events.size() >= page_size && row->revision != last) {
                break;
            }
            last = row->revision;
            if (row->deleted) {
                events.push_back({{"key", row->key},
                                  {"revision", row->revision},
                                  {"deleted", true}});
            } else {
                events.push_back(encode(row->key, row->written));
            }
        }
        bool is_over = m_stopping || m_is_down ||
                       std::chrono::steady_clock::now() >= until;
        if (!events.empty() || is_over) {
            std::uint64_t current = row == m_history.end() ? m_revision : last;
            return {200,
                    json{{"events", std::move(events)}, {"currentRev", current}}
                        .dump()};
        }
        m_changed.wait_until(lock, until);
    }
}

std::optional<http_response> store::commit(const http_request& request) {
    json transaction = json::parse(request.body);
    fate_function decide;
    {
        std::lock_guard lock(m_mutex);
        m_transactions++;
        decide = m_fate;
    }
    fate its_fate = decide ? decide(transaction) : fate{};
    if (its_fate.late) {
        std::lock_guard lock(m_mutex);
        m_late.emplace_back([this, transaction, delay = *its_fate.late] {
            std::this_thread::sleep_for(delay);
            apply(transaction);
        });
        return std::nullopt;
    }
    http_response response = apply(transaction);
    if (its_fate.lose_answer) {
        return std::nullopt;
    }
    return response;
}

http_response store::apply(const json& transaction) {
    std::lock_guard lock(m_mutex);
    json current = json::array();
    bool holds = true;
    for (const json& row : transaction.value("expectedRev", json::array())) {
        std::string key = row.at("key");
        auto found = m_items.find(key);
        std::uint64_t present =
            found == m_items.end() ? 0 : found->second.revision;
        holds = holds && present == row.at("revision").get<std::uint64_t>();
        if (found != m_items.end()) {
            current.push_back(encode(key, found->second));
        }
    }
    if (!holds) {
        return {412, json{{"items", std::move(current)}}.dump()};
    }
    for (const json& row : transaction.value("puts", json::array())) {
        auto lease_id = row.value("lease", std::uint64_t{0});
        if (lease_id != 0 && !m_leases.contains(lease_id)) {
            return {404, "{}"};
        }
    }
    std::uint64_t revision = ++m_revision;
    for (const json& row : transaction.value("puts", json::array())) {
        write_locked(row.at("key"), row.at("value"),
                     row.value("lease", std::uint64_t{0}), revision);
    }
    for (const json& key : transaction.value("remove", json::array())) {
        remove_locked(key, revision);
    }
    m_changed.notify_all();
    return {200, json{{"revision", revision}}.dump()};
}

http_response store::grant(const http_request& request) {
    milliseconds time_to_live(
        json::parse(request.body).at("ttlMs").get<std::int64_t>());
    std::lock_guard lock(m_mutex);
    std::uint64_t id = ++m_next_lease;
    m_leases[id] = {time_to_live,
                    std::chrono::steady_clock::now() + time_to_live};
    return {200, json{{"lease", id}, {"ttlMs", time_to_live.count()}}.dump()};
}

} // namespace review
