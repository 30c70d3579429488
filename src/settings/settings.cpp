#include "eelgrasslever/settings/settings.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>
#include <string_view>
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace eelgrasslever::settings {

namespace {

struct text_key {
    const char* section;
    const char* key;
    std::string entry_settings::*member;
    bool address; ///< checked as "IP:port"
};

struct time_key {
    const char* section;
    const char* key;
    base::milliseconds entry_settings::*member;
    std::int64_t low;
    std::int64_t high;
};

constexpr std::array<text_key, 5> text_keys{
    {{"vm", "name", &entry_settings::name, false},
     {"vm", "failure_domain", &entry_settings::failure_domain, false},
     {"listen", "http", &entry_settings::http_address, true},
     {"listen", "peer", &entry_settings::peer_address, true},
     {"platform", "url", &entry_settings::platform_url, false}}};

constexpr std::array<time_key, 8> time_keys{
    {{"claims", "claim_ttl_ms", &entry_settings::claim_ttl, 200, 60000},
     {"claims", "task_lease_ms", &entry_settings::task_lease, 200, 600000},
     {"claims", "poll_wait_ms", &entry_settings::poll_wait, 50, 30000},
     {"claims", "call_timeout_ms", &entry_settings::call_timeout, 50, 30000},
     {"peers", "heartbeat_ms", &entry_settings::heartbeat_period, 50, 10000},
     {"peers", "suspect_after_ms", &entry_settings::suspect_after, 200, 60000},
     {"peers", "departed_after_ms", &entry_settings::departed_after, 0,
      86400000},
     {"platform", "timeout_ms", &entry_settings::store_timeout, 50, 30000}}};

bool is_address(const std::string& text) {
    auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    std::string port = text.substr(colon + 1);
    std::string ip = text.substr(0, colon);
    bool digits = !port.empty() && port.size() <= 5 &&
                  std::all_of(port.begin(), port.end(), [](unsigned char c) {
                      return c >= '0' && c <= '9';
                  });
    bool numeric = std::all_of(ip.begin(), ip.end(), [](unsigned char c) {
        return (c >= '0' && c <= '9') || c == '.';
    });
    return digits && numeric && std::stoi(port) <= 65535;
}

class checker {
  public:
    checker(const toml::table& root, std::string path)
        : m_root(root), m_path(std::move(path)) {}

    void read(entry_settings& out) {
        for (const text_key& item : text_keys) {
            read_text(item, out);
        }
        for (const time_key& item : time_keys) {
            read_time(item, out);
        }
        read_shards(out);
        read_seeds(out);
        read_operators(out);
        reject_unknown();
        check_relations(out);
    }

    [[nodiscard]] const error_list& found() const { return m_errors; }

  private:
    void fault(const toml::node* at, const std::string& key,
               const std::string& what) {
        std::string line = at == nullptr
                               ? std::string()
                               : ":" + std::to_string(at->source().begin.line);
        m_errors.push_back(m_path + line + ": " + key + ": " + what);
    }

    const toml::node* find(const char* section, const char* key) {
        m_known.insert(std::string(section) + "." + key);
        return m_root[section][key].node();
    }

    void read_text(const text_key& item, entry_settings& out) {
        std::string key = std::string(item.section) + "." + item.key;
        const toml::node* at = find(item.section, item.key);
        if (at == nullptr) {
            fault(nullptr, key,
                  "is missing; add it under [" + std::string(item.section) +
                      "]");
            return;
        }
        auto value = at->value_exact<std::string>();
        if (!value || value->empty()) {
            fault(at, key, "must be text in quotes");
            return;
        }
        if (item.address && !is_address(*value)) {
            fault(at, key,
                  "must be \"IP:port\", for example "
                  "\"10.0.0.4:8100\"");
            return;
        }
        out.*item.member = *value;
    }

    void read_time(const time_key& item, entry_settings& out) {
        std::string key = std::string(item.section) + "." + item.key;
        const toml::node* at = find(item.section, item.key);
        if (at == nullptr) {
            return;
        }
        auto value = at->value_exact<std::int64_t>();
        if (!value || *value < item.low || *value > item.high) {
            fault(at, key,
                  "must be a whole number of milliseconds from " +
                      std::to_string(item.low) + " to " +
                      std::to_string(item.high));
            return;
        }
        out.*item.member = base::milliseconds(*value);
    }

    void read_shards(entry_settings& out) {
        constexpr std::int64_t most = 1024;
        const toml::node* at = find("platform", "journal_shards");
        if (at == nullptr) {
            return;
        }
        auto value = at->value_exact<std::int64_t>();
        if (!value || *value < 1 || *value > most) {
            fault(at, "platform.journal_shards",
                  "must be a whole number from 1 to 1024, the same on every "
                  "entry VM");
            return;
        }
        out.journal_shards = *value;
    }

    void read_seeds(entry_settings& out) {
        const toml::node* at = find("peers", "seeds");
        if (at == nullptr) {
            return;
        }
        const toml::array* list = at->as_array();
        if (list == nullptr) {
            fault(at, "peers.seeds", "must be a list of \"IP:port\"");
            return;
        }
        for (const toml::node& item : *list) {
            auto value = item.value_exact<std::string>();
            if (!value || !is_address(*value)) {
                fault(&item, "peers.seeds",
                      "each entry must be \"IP:port\" in quotes");
                continue;
            }
            out.seeds.push_back(*value);
        }
    }

    void read_operators(entry_settings& out) {
        constexpr std::size_t key_digits = 64;
        const toml::table* table = m_root["operators"].as_table();
        if (table == nullptr || table->size() < 2) {
            fault(table, "operators",
                  "needs at least two operators, each as name = \"public "
                  "key\"; `eelctl keygen` makes one");
            return;
        }
        for (const auto& [name, node] : *table) {
            std::string key = "operators." + std::string(name.str());
            auto value = node.value_exact<std::string>();
            if (!value || value->size() != key_digits) {
                fault(&node, key, "must be 64 hexadecimal digits in quotes");
                continue;
            }
            out.operators[std::string(name.str())] = *value;
        }
    }

    void reject_unknown() {
        for (const auto& [section, node] : m_root) {
            std::string name(section.str());
            const toml::table* table = node.as_table();
            if (table == nullptr) {
                fault(&node, name, "is not a section; write [" + name + "]");
                continue;
            }
            if (name == "operators") {
                continue;
            }
            for (const auto& [key, value] : *table) {
                std::string full = name + "." + std::string(key.str());
                if (!m_known.contains(full)) {
                    fault(&value, full,
                          "is not a known setting; remove it or correct the "
                          "name");
                }
            }
        }
    }

    void check_relations(const entry_settings& out) {
        if (out.poll_wait + out.call_timeout >= out.claim_ttl) {
            fault(find("claims", "claim_ttl_ms"), "claims.claim_ttl_ms",
                  "must be longer than poll_wait_ms and call_timeout_ms "
                  "together, or claims lapse between polls");
        }
        if (out.suspect_after < 2 * out.heartbeat_period) {
            fault(find("peers", "suspect_after_ms"), "peers.suspect_after_ms",
                  "must be at least twice heartbeat_ms");
        }
    }

    const toml::table& m_root;
    std::string m_path;
    std::set<std::string> m_known;
    error_list m_errors;
};

} // namespace

tl::expected<entry_settings, error_list> parse(const std::string& text,
                                               const std::string& path) {
    toml::parse_result parsed = toml::parse(text, path);
    if (!parsed) {
        const toml::parse_error& problem = parsed.error();
        return tl::unexpected(error_list{
            path + ":" + std::to_string(problem.source().begin.line) + ": " +
            std::string(problem.description())});
    }
    entry_settings out;
    checker check(parsed.table(), path);
    check.read(out);
    if (!check.found().empty()) {
        return tl::unexpected(check.found());
    }
    return out;
}

tl::expected<entry_settings, error_list> load(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return tl::unexpected(error_list{
            path + ": can't be opened; name a readable settings file"});
    }
    std::stringstream text;
    text << file.rdbuf();
    return parse(text.str(), path);
}

} // namespace eelgrasslever::settings
