#include "eelgrasslever/settings/settings.hpp"
#include "eelgrasslever/base/toml.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>
#include <string_view>

namespace eelgrasslever::settings {

namespace {

struct text_setting {
    const char* section;
    const char* key;
    std::string entry_settings::*member;
    bool is_address; ///< must be "IP:port"
};

struct duration_setting {
    const char* section;
    const char* key;
    base::milliseconds entry_settings::*member;
    std::int64_t min_ms;
    std::int64_t max_ms;
};

constexpr std::array<text_setting, 5> text_settings{
    {{"vm", "name", &entry_settings::name, false},
     {"vm", "failure_domain", &entry_settings::failure_domain, false},
     {"listen", "http", &entry_settings::http_address, true},
     {"listen", "peer", &entry_settings::peer_address, true},
     {"platform", "url", &entry_settings::platform_url, false}}};

constexpr std::array<duration_setting, 8> duration_settings{
    {{"claims", "claim_ttl_ms", &entry_settings::claim_ttl, 200, 60000},
     {"claims", "task_lease_ms", &entry_settings::task_lease, 200, 600000},
     {"claims", "poll_wait_ms", &entry_settings::poll_wait, 50, 30000},
     {"claims", "call_timeout_ms", &entry_settings::call_timeout, 50, 30000},
     {"peers", "heartbeat_ms", &entry_settings::heartbeat_period, 50, 10000},
     {"peers", "suspect_after_ms", &entry_settings::suspect_after, 200, 60000},
     {"peers", "departed_after_ms", &entry_settings::departed_after, 0,
      86400000},
     {"platform", "timeout_ms", &entry_settings::store_timeout, 50, 30000}}};

constexpr int max_port = 65535;

bool is_ip_and_port(const std::string& text) {
    auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    std::string port = text.substr(colon + 1);
    std::string ip = text.substr(0, colon);
    bool is_port = !port.empty() && port.size() <= 5 &&
                   std::all_of(port.begin(), port.end(), [](unsigned char c) {
                       return c >= '0' && c <= '9';
                   });
    bool is_ip = std::all_of(ip.begin(), ip.end(), [](unsigned char c) {
        return (c >= '0' && c <= '9') || c == '.';
    });
    return is_port && is_ip && std::stoi(port) <= max_port;
}

// Reads the settings from a parsed file and collects all errors.
class settings_reader {
  public:
    settings_reader(const toml::table& root, std::string path)
        : m_root(root), m_path(std::move(path)) {}

    void read(entry_settings& settings) {
        for (const text_setting& setting : text_settings) {
            read_text(setting, settings);
        }
        for (const duration_setting& setting : duration_settings) {
            read_duration(setting, settings);
        }
        read_shards(settings);
        read_seeds(settings);
        read_operators(settings);
        reject_unknown_keys();
        check_dependencies(settings);
    }

    [[nodiscard]] const error_list& errors() const { return m_errors; }

  private:
    void add_error(const toml::node* node, const std::string& key,
                   const std::string& message) {
        std::string line =
            node == nullptr ? std::string()
                            : ":" + std::to_string(node->source().begin.line);
        m_errors.push_back(m_path + line + ": " + key + ": " + message);
    }

    // Also records the key as a known one, see reject_unknown_keys().
    const toml::node* find(const char* section, const char* key) {
        m_known_keys.insert(std::string(section) + "." + key);
        return m_root[section][key].node();
    }

    void read_text(const text_setting& setting, entry_settings& settings) {
        std::string key = std::string(setting.section) + "." + setting.key;
        const toml::node* node = find(setting.section, setting.key);
        if (node == nullptr) {
            add_error(nullptr, key,
                      "is missing; add it under [" +
                          std::string(setting.section) + "]");
            return;
        }
        auto value = node->value_exact<std::string>();
        if (!value || value->empty()) {
            add_error(node, key, "must be text in quotes");
            return;
        }
        if (setting.is_address && !is_ip_and_port(*value)) {
            add_error(node, key,
                      "must be \"IP:port\", for example "
                      "\"10.0.0.4:8100\"");
            return;
        }
        settings.*setting.member = *value;
    }

    void read_duration(const duration_setting& setting,
                       entry_settings& settings) {
        std::string key = std::string(setting.section) + "." + setting.key;
        const toml::node* node = find(setting.section, setting.key);
        if (node == nullptr) {
            return;
        }
        auto value = node->value_exact<std::int64_t>();
        if (!value || *value < setting.min_ms || *value > setting.max_ms) {
            add_error(node, key,
                      "must be a whole number of milliseconds from " +
                          std::to_string(setting.min_ms) + " to " +
                          std::to_string(setting.max_ms));
            return;
        }
        settings.*setting.member = base::milliseconds(*value);
    }

    void read_shards(entry_settings& settings) {
        constexpr std::int64_t max_shards = 1024;
        const toml::node* node = find("platform", "journal_shards");
        if (node == nullptr) {
            return;
        }
        auto value = node->value_exact<std::int64_t>();
        if (!value || *value < 1 || *value > max_shards) {
            add_error(
                node, "platform.journal_shards",
                "must be a whole number from 1 to 1024, the same on every "
                "entry VM");
            return;
        }
        settings.journal_shards = *value;
    }

    void read_seeds(entry_settings& settings) {
        const toml::node* node = find("peers", "seeds");
        if (node == nullptr) {
            return;
        }
        const toml::array* list = node->as_array();
        if (list == nullptr) {
            add_error(node, "peers.seeds", "must be a list of \"IP:port\"");
            return;
        }
        for (const toml::node& element : *list) {
            auto value = element.value_exact<std::string>();
            if (!value || !is_ip_and_port(*value)) {
                add_error(&element, "peers.seeds",
                          "each entry must be \"IP:port\" in quotes");
                continue;
            }
            settings.seeds.push_back(*value);
        }
    }

    void read_operators(entry_settings& settings) {
        constexpr std::size_t public_key_digits = 64;
        const toml::table* table = m_root["operators"].as_table();
        if (table == nullptr || table->size() < 2) {
            add_error(
                table, "operators",
                "must have at least two operators, each as name = \"public "
                "key\"; `eelctl keygen` generates a key pair");
            return;
        }
        for (const auto& [name, node] : *table) {
            std::string key = "operators." + std::string(name.str());
            auto value = node.value_exact<std::string>();
            if (!value || value->size() != public_key_digits) {
                add_error(&node, key,
                          "must be 64 hexadecimal digits in quotes");
                continue;
            }
            settings.operators[std::string(name.str())] = *value;
        }
    }

    void reject_unknown_keys() {
        for (const auto& [section, node] : m_root) {
            std::string name(section.str());
            const toml::table* table = node.as_table();
            if (table == nullptr) {
                add_error(&node, name,
                          "must be a section; write [" + name + "]");
                continue;
            }
            if (name == "operators") {
                continue;
            }
            for (const auto& [key, value] : *table) {
                std::string full_key = name + "." + std::string(key.str());
                if (!m_known_keys.contains(full_key)) {
                    add_error(
                        &value, full_key,
                        "is not a known setting; remove it or correct the "
                        "name");
                }
            }
        }
    }

    void check_dependencies(const entry_settings& settings) {
        if (settings.poll_wait + settings.call_timeout >= settings.claim_ttl) {
            add_error(find("claims", "claim_ttl_ms"), "claims.claim_ttl_ms",
                      "must be longer than poll_wait_ms and call_timeout_ms "
                      "together, or claims expire between polls");
        }
        if (settings.suspect_after < 2 * settings.heartbeat_period) {
            add_error(find("peers", "suspect_after_ms"),
                      "peers.suspect_after_ms",
                      "must be at least twice heartbeat_ms");
        }
    }

    const toml::table& m_root;
    std::string m_path;
    std::set<std::string> m_known_keys;
    error_list m_errors;
};

} // namespace

tl::expected<entry_settings, error_list> parse(const std::string& text,
                                               const std::string& path) {
    toml::parse_result parsed = toml::parse(text, path);
    if (!parsed) {
        const toml::parse_error& error = parsed.error();
        return tl::unexpected(
            error_list{path + ":" + std::to_string(error.source().begin.line) +
                       ": " + std::string(error.description())});
    }
    entry_settings settings;
    settings_reader reader(parsed.table(), path);
    reader.read(settings);
    if (!reader.errors().empty()) {
        return tl::unexpected(reader.errors());
    }
    return settings;
}

tl::expected<entry_settings, error_list> load(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return tl::unexpected(error_list{
            path +
            ": cannot be opened; give the path of a readable settings file"});
    }
    std::stringstream text;
    text << file.rdbuf();
    return parse(text.str(), path);
}

} // namespace eelgrasslever::settings
