#include "experiment.hpp"

#include <set>
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace eelload {

namespace {

class reader {
  public:
    reader(const toml::table& from, std::string path, std::string where)
        : m_from(from), m_path(std::move(path)), m_where(std::move(where)) {}

    void text(const char* key, std::string& out) {
        if (const toml::node* at = find(key)) {
            auto value = at->value_exact<std::string>();
            value ? void(out = *value) : fault(at, key, "must be text");
        }
    }
    template <typename Number>
    void number(const char* key, Number& out, double low) {
        if (const toml::node* at = find(key)) {
            auto value = at->value<double>();
            bool good = value && *value >= low;
            good
                ? void(out = static_cast<Number>(*value))
                : fault(at, key,
                        "must be a number from " + std::to_string(low) + " up");
        }
    }
    void time(const char* key, base::milliseconds& out) {
        std::int64_t value = out.count();
        number(key, value, 0);
        out = base::milliseconds(value);
    }
    void flag(const char* key, bool& out) {
        if (const toml::node* at = find(key)) {
            auto value = at->value_exact<bool>();
            value ? void(out = *value)
                  : fault(at, key, "must be true or false");
        }
    }
    void reject_unknown() {
        for (const auto& [key, node] : m_from) {
            if (!m_known.contains(std::string(key.str()))) {
                fault(&node, std::string(key.str()).c_str(),
                      "is not known; remove it or correct the name");
            }
        }
    }
    void fault(const toml::node* at, const char* key, const std::string& what) {
        m_faults.push_back(m_path + ":" +
                           std::to_string(at->source().begin.line) + ": " +
                           m_where + key + ": " + what);
    }
    void expect(const char* key) { m_known.insert(key); }
    [[nodiscard]] const faults& found() const { return m_faults; }

  private:
    const toml::node* find(const char* key) {
        m_known.insert(key);
        return m_from.get(key);
    }
    const toml::table& m_from;
    std::string m_path;
    std::string m_where;
    std::set<std::string> m_known;
    faults m_faults;
};

work_kind read_work(reader& from) {
    work_kind out;
    from.text("name", out.name);
    from.number("rate", out.rate, 0.0);
    from.text("team", out.team);
    from.text("kind", out.kind);
    from.time("run_ms", out.declared_run);
    from.number("actual_factor_low", out.actual_factor_low, 0.0);
    from.number("actual_factor_high", out.actual_factor_high, 0.0);
    from.time("timeout_ms", out.timeout);
    from.number("slots", out.slots, 1);
    from.number("tasks", out.tasks, 1);
    from.flag("repeatable", out.repeatable);
    from.flag("mark_first", out.mark_first);
    from.number("twice", out.twice, 0.0);
    from.time("start_after_ms", out.start_after);
    from.time("stop_after_ms", out.stop_after);
    from.reject_unknown();
    return out;
}

} // namespace

tl::expected<experiment, faults> load_experiment(const std::string& path) {
    toml::parse_result parsed = toml::parse_file(path);
    if (!parsed) {
        return tl::unexpected(
            faults{path + ": " + std::string(parsed.error().description())});
    }
    experiment out;
    reader top(parsed.table(), path, "");
    top.number("seed", out.seed, 0);
    top.time("duration_ms", out.duration);
    top.number("most_sendings", out.most_sendings, 1);
    top.expect("work");
    top.reject_unknown();
    faults all = top.found();
    const toml::array* list = parsed.table()["work"].as_array();
    if (list == nullptr || list->empty()) {
        all.push_back(path + ": work: add at least one [[work]]");
        return tl::unexpected(all);
    }
    for (const toml::node& item : *list) {
        if (const toml::table* table = item.as_table()) {
            reader each(*table, path, "work.");
            out.work.push_back(read_work(each));
            all.insert(all.end(), each.found().begin(), each.found().end());
        }
    }
    if (!all.empty()) {
        return tl::unexpected(all);
    }
    return out;
}

} // namespace eelload
