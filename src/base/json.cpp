#include "eelgrasslever/base/json.hpp"

namespace eelgrasslever::base {

using nlohmann::json;

std::int64_t to_whole(const json& in, std::int64_t least, std::int64_t most) {
    if (in.is_number_unsigned()) {
        auto value = in.get<std::uint64_t>();
        if (most >= 0 && value <= static_cast<std::uint64_t>(most) &&
            static_cast<std::int64_t>(value) >= least) {
            return static_cast<std::int64_t>(value);
        }
    } else if (in.is_number_integer()) {
        auto value = in.get<std::int64_t>();
        if (value >= least && value <= most) {
            return value;
        }
    } else if (in.is_number_float()) {
        auto value = in.get<double>();
        if (value >= static_cast<double>(least) &&
            value <= static_cast<double>(most)) {
            return static_cast<std::int64_t>(value);
        }
    } else {
        throw json::type_error::create(
            302, std::string("type must be number, but is ") + in.type_name(),
            &in);
    }
    throw json::out_of_range::create(406,
                                     "the number must be from " +
                                         std::to_string(least) + " to " +
                                         std::to_string(most),
                                     &in);
}

std::int64_t whole_field(const json& in, const char* name,
                         std::int64_t otherwise, std::int64_t least,
                         std::int64_t most) {
    auto found = in.find(name);
    return found == in.end() ? otherwise : to_whole(*found, least, most);
}

namespace {

/// Counts values without keeping them, and ends at a limit.
class value_counter final : public nlohmann::json_sax<json> {
  public:
    explicit value_counter(std::size_t limit) : m_left(limit) {}
    bool null() override { return count(); }
    bool boolean(bool) override { return count(); }
    bool number_integer(number_integer_t) override { return count(); }
    bool number_unsigned(number_unsigned_t) override { return count(); }
    bool number_float(number_float_t, const string_t&) override {
        return count();
    }
    bool string(string_t&) override { return count(); }
    bool binary(binary_t&) override { return count(); }
    bool start_object(std::size_t) override { return count(); }
    bool key(string_t&) override { return true; }
    bool end_object() override { return true; }
    bool start_array(std::size_t) override { return count(); }
    bool end_array() override { return true; }
    bool parse_error(std::size_t, const std::string&,
                     const json::exception&) override {
        return false;
    }
    [[nodiscard]] bool is_exceeded() const { return m_is_exceeded; }

  private:
    bool count() {
        m_is_exceeded = m_left == 0;
        m_left -= m_is_exceeded ? 0 : 1;
        return !m_is_exceeded;
    }
    std::size_t m_left;
    bool m_is_exceeded{false};
};

} // namespace

result<json> parse_object(std::string_view text, const std::string& step,
                          const std::string& peer, std::size_t max_values) {
    if (max_values > 0) {
        value_counter counter(max_values);
        json::sax_parse(text, &counter);
        if (counter.is_exceeded()) {
            return fail(error_code::invalid_argument, step, peer,
                        "the text has more than " + std::to_string(max_values) +
                            " values");
        }
    }
    bool is_too_deep = false;
    auto limit_depth = [&](int depth, json::parse_event_t, json&) {
        is_too_deep |= depth > max_json_depth;
        return depth <= max_json_depth;
    };
    auto parsed = json::parse(text, limit_depth, false);
    if (is_too_deep) {
        return fail(error_code::invalid_argument, step, peer,
                    "the text is nested more than " +
                        std::to_string(max_json_depth) + " levels deep");
    }
    if (parsed.is_discarded()) {
        return fail(error_code::invalid_argument, step, peer,
                    "the text is not valid JSON; send one JSON object");
    }
    if (!parsed.is_object()) {
        return fail(error_code::invalid_argument, step, peer,
                    "the text is JSON but not an object; wrap it in {}");
    }
    return parsed;
}

} // namespace eelgrasslever::base
