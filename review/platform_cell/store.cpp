#include "store.hpp"

#include <algorithm>
#include <utility>

namespace review::cell {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr const char* base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t max_items = 500;
constexpr milliseconds expiry_period{20};

std::string from_base64(const std::string& text) {
    std::string out;
    unsigned bits = 0;
    int count = 0;
    for (char c : text) {
        if (c == '=') {
            break;
        }
        bits = bits << 6 |
               static_cast<unsigned>(std::string(base64_digits).find(c));
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>(bits >> count & 0xFF);
        }
    }
    return out;
}

std::string parameter(const http_request& request, const char* name) {
    auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

std::uint64_t number(const std::string& text) {
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

std::string to_base64(const std::string& bytes) {
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = bits << 8 | (i + k < bytes.size()
                                    ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k > bytes.size()
                       ? '='
                       : base64_digits[bits >> (18 - 6 * k) & 0x3F];
        }
    }
    return out;
}

store::store(const std::string& ip)
    : m_expiry([this] { expire_leases(); }),
      m_server(std::make_unique<http_server>(
          ip, 0,
          [this](const http_request& request) { return handle(request); })) {}

store::~store() {
    {
        std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    m_expiry.join();
    m_server->close();
}

void store::put(const std::string& key, const std::string& value) {
    {
        std::lock_guard lock(m_mutex);
        m_revision++;
        set(key, to_base64(value), 0);
    }
    m_changed.notify_all();
}

void store::remove(const std::string& key) {
    {
        std::lock_guard lock(m_mutex);
        if (m_items.contains(key)) {
            m_revision++;
            erase(key);
        }
    }
    m_changed.notify_all();
}

std::string store::value(const std::string& key) {
    std::lock_guard lock(m_mutex);
    auto found = m_items.find(key);
    return found == m_items.end() ? std::string()
                                  : from_base64(found->second.value);
}

json store::to_json(const std::string& key) const {
    const item& it = m_items.at(key);
    return {{"key", key},
            {"value", it.value},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
}

void store::set(const std::string& key, const std::string& value,
                std::uint64_t lease) {
    item& it = m_items[key];
    it.value = value;
    it.revision = m_revision;
    it.created = it.created == 0 ? m_revision : it.created;
    it.lease = lease;
    m_history.emplace_back(m_revision, to_json(key));
}

void store::erase(const std::string& key) {
    m_items.erase(key);
    m_history.emplace_back(
        m_revision,
        json{{"key", key}, {"revision", m_revision}, {"deleted", true}});
}

void store::end_lease(std::uint64_t id) {
    m_leases.erase(id);
    std::vector<std::string> bound;
    for (const auto& [key, it] : m_items) {
        if (it.lease == id) {
            bound.push_back(key);
        }
    }
    if (!bound.empty()) {
        m_revision++;
    }
    for (const std::string& key : bound) {
        erase(key);
    }
}

void store::expire_leases() {
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        std::vector<std::uint64_t> ended;
        for (const auto& [id, it] : m_leases) {
            if (it.ends <= steady_clock::now()) {
                ended.push_back(id);
            }
        }
        for (std::uint64_t id : ended) {
            end_lease(id);
        }
        if (!ended.empty()) {
            m_changed.notify_all();
        }
        m_changed.wait_for(lock, expiry_period);
    }
}

http_reply store::handle(const http_request& request) {
    constexpr const char* renewal = "/kv-keep/";
    constexpr const char* ending = "/kv-lease-end/";
    if (request.path == "/kv-key") {
        return read_key(request);
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
    if (request.path.starts_with(renewal)) {
        return renew(number(request.path.substr(std::string(renewal).size())));
    }
    if (request.path.starts_with(ending)) {
        return end(number(request.path.substr(std::string(ending).size())));
    }
    return {400, "{}"};
}

http_reply store::read_key(const http_request& request) {
    std::lock_guard lock(m_mutex);
    std::string key = parameter(request, "key");
    if (!m_items.contains(key)) {
        return {404, json{{"currentRev", m_revision}}.dump()};
    }
    json out = to_json(key);
    out["currentRev"] = m_revision;
    return {200, out.dump()};
}

http_reply store::read_range(const http_request& request) {
    std::lock_guard lock(m_mutex);
    std::string prefix = parameter(request, "prefix");
    std::string after = parameter(request, "after");
    json items = json::array();
    bool has_more = false;
    auto it = after.empty() ? m_items.lower_bound(prefix)
                            : m_items.upper_bound(after);
    for (; it != m_items.end() && it->first.starts_with(prefix); ++it) {
        if (items.size() == max_items) {
            has_more = true;
            break;
        }
        items.push_back(to_json(it->first));
    }
    return {200, json{{"items", std::move(items)},
                      {"hasMore", has_more},
                      {"currentRev", m_revision}}
                     .dump()};
}

http_reply store::watch(const http_request& request) {
    std::string prefix = parameter(request, "prefix");
    std::uint64_t after = number(parameter(request, "after"));
    auto deadline =
        steady_clock::now() + milliseconds(static_cast<std::int64_t>(
                                  number(parameter(request, "waitMs"))));
    std::unique_lock lock(m_mutex);
    while (true) {
        json events = json::array();
        std::uint64_t upto = m_revision;
        auto begin = std::upper_bound(m_history.begin(), m_history.end(), after,
                                      [](std::uint64_t value, const auto& row) {
                                          return value < row.first;
                                      });
        for (auto it = begin; it != m_history.end(); ++it) {
            const std::string& key =
                it->second.at("key").get_ref<const std::string&>();
            if (!key.starts_with(prefix)) {
                continue;
            }
            bool is_full =
                events.size() >= max_items && it->first != std::prev(it)->first;
            if (is_full) {
                upto = events.back().at("revision");
                break;
            }
            events.push_back(it->second);
        }
        if (!events.empty() || m_stopped || steady_clock::now() >= deadline) {
            return {200,
                    json{{"events", std::move(events)}, {"currentRev", upto}}
                        .dump()};
        }
        m_changed.wait_until(lock, deadline);
    }
}

http_reply store::commit(const http_request& request) {
    json in = json::parse(request.body);
    std::unique_lock lock(m_mutex);
    bool holds = true;
    json current = json::array();
    for (const json& row : in.at("expectedRev")) {
        std::string key = row.at("key");
        auto found = m_items.find(key);
        std::uint64_t present =
            found == m_items.end() ? 0 : found->second.revision;
        holds &= present == row.at("revision").get<std::uint64_t>();
        if (present != 0) {
            current.push_back(to_json(key));
        }
    }
    if (!holds) {
        return {412, json{{"items", std::move(current)}}.dump()};
    }
    for (const json& row : in.at("puts")) {
        auto lease = row.value("lease", std::uint64_t{0});
        if (lease != 0 && !m_leases.contains(lease)) {
            return {404, "{}"};
        }
    }
    m_revision++;
    for (const json& row : in.at("puts")) {
        set(row.at("key"), row.at("value"),
            row.value("lease", std::uint64_t{0}));
    }
    for (const json& key : in.at("remove")) {
        if (m_items.contains(key.get<std::string>())) {
            erase(key);
        }
    }
    std::uint64_t revision = m_revision;
    lock.unlock();
    m_changed.notify_all();
    return {200, json{{"revision", revision}}.dump()};
}

http_reply store::grant(const http_request& request) {
    json in = json::parse(request.body);
    std::lock_guard lock(m_mutex);
    milliseconds length(in.at("ttlMs").get<std::int64_t>());
    m_leases[++m_last_lease] = {length, steady_clock::now() + length};
    return {200,
            json{{"lease", m_last_lease}, {"ttlMs", length.count()}}.dump()};
}

http_reply store::renew(std::uint64_t id) {
    std::lock_guard lock(m_mutex);
    auto found = m_leases.find(id);
    if (found == m_leases.end()) {
        return {404, "{}"};
    }
    found->second.ends = steady_clock::now() + found->second.length;
    return {200, json{{"ttlMs", found->second.length.count()}}.dump()};
}

http_reply store::end(std::uint64_t id) {
    {
        std::lock_guard lock(m_mutex);
        end_lease(id);
    }
    m_changed.notify_all();
    return {200, "{}"};
}

} // namespace review::cell
