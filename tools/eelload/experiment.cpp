#include "experiment.hpp"

#include "eelgrasslever/base/toml.hpp"

#include <set>

namespace eelload {

namespace {

/// Reads the keys of one TOML table and collects an error for each invalid or
/// unknown key.
class table_reader {
  public:
    table_reader(const toml::table& table, std::string path,
                 std::string key_prefix)
        : m_table(table), m_path(std::move(path)),
          m_key_prefix(std::move(key_prefix)) {}

    void text(const char* key, std::string& out) {
        if (const toml::node* node = find(key)) {
            auto value = node->value_exact<std::string>();
            value ? void(out = *value) : add_error(node, key, "must be text");
        }
    }
    template <typename Number>
    void number(const char* key, Number& out, double minimum) {
        if (const toml::node* node = find(key)) {
            auto value = node->value<double>();
            bool is_valid = value && *value >= minimum;
            is_valid ? void(out = static_cast<Number>(*value))
                     : add_error(node, key,
                                 "must be a number from " +
                                     std::to_string(minimum) + " up");
        }
    }
    void duration(const char* key, base::milliseconds& out) {
        std::int64_t value = out.count();
        number(key, value, 0);
        out = base::milliseconds(value);
    }
    void flag(const char* key, bool& out) {
        if (const toml::node* node = find(key)) {
            auto value = node->value_exact<bool>();
            value ? void(out = *value)
                  : add_error(node, key, "must be true or false");
        }
    }
    void reject_unknown() {
        for (const auto& [key, node] : m_table) {
            if (!m_accepted_keys.contains(std::string(key.str()))) {
                add_error(&node, std::string(key.str()).c_str(),
                          "is not a known key; remove it or correct the name");
            }
        }
    }
    void add_error(const toml::node* node, const char* key,
                   const std::string& problem) {
        m_errors.push_back(m_path + ":" +
                           std::to_string(node->source().begin.line) + ": " +
                           m_key_prefix + key + ": " + problem);
    }
    /// Accepts @p key without reading it.
    void accept(const char* key) { m_accepted_keys.insert(key); }
    [[nodiscard]] const error_list& errors() const { return m_errors; }

  private:
    const toml::node* find(const char* key) {
        m_accepted_keys.insert(key);
        return m_table.get(key);
    }
    const toml::table& m_table;
    std::string m_path;
    std::string m_key_prefix;
    std::set<std::string> m_accepted_keys;
    error_list m_errors;
};

work_class read_work_class(table_reader& table) {
    work_class out;
    table.text("name", out.name);
    table.number("rate", out.rate, 0.0);
    table.text("team", out.team);
    table.text("kind", out.kind);
    table.duration("run_ms", out.declared_run);
    table.number("actual_factor_low", out.actual_factor_low, 0.0);
    table.number("actual_factor_high", out.actual_factor_high, 0.0);
    table.duration("timeout_ms", out.timeout);
    table.number("slots", out.slots, 1);
    table.number("tasks", out.tasks, 1);
    table.flag("repeatable", out.repeatable);
    table.flag("mark_first", out.marks_first_attempt);
    table.number("twice", out.duplicate_share, 0.0);
    table.duration("start_after_ms", out.start_after);
    table.duration("stop_after_ms", out.stop_after);
    table.reject_unknown();
    return out;
}

} // namespace

tl::expected<experiment, error_list> load_experiment(const std::string& path) {
    toml::parse_result parsed = toml::parse_file(path);
    if (!parsed) {
        return tl::unexpected(error_list{
            path + ": " + std::string(parsed.error().description())});
    }
    experiment out;
    table_reader top(parsed.table(), path, "");
    top.number("seed", out.seed, 0);
    top.duration("duration_ms", out.duration);
    top.number("most_sendings", out.max_attempts, 1);
    top.accept("work");
    top.reject_unknown();
    error_list errors = top.errors();
    const toml::array* list = parsed.table()["work"].as_array();
    if (list == nullptr || list->empty()) {
        errors.push_back(path +
                         ": work: at least one [[work]] table is required");
        return tl::unexpected(errors);
    }
    for (const toml::node& element : *list) {
        if (const toml::table* table = element.as_table()) {
            table_reader row(*table, path, "work.");
            out.work.push_back(read_work_class(row));
            errors.insert(errors.end(), row.errors().begin(),
                          row.errors().end());
        }
    }
    if (!errors.empty()) {
        return tl::unexpected(errors);
    }
    return out;
}

} // namespace eelload
