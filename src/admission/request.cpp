#include "eelgrasslever/admission/request.hpp"

#include "eelgrasslever/admission/policy.hpp"
#include "eelgrasslever/base/json.hpp"

#include <algorithm>
#include <cctype>

namespace eelgrasslever::admission {

namespace {

tl::unexpected<base::error> invalid_request(const std::string& detail) {
    return base::fail(base::error_code::invalid_argument, "request.parse",
                      "caller", detail);
}

bool is_valid_id(const std::string& id) {
    auto is_allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' ||
               c == ':';
    };
    return !id.empty() && id.size() <= max_id_length &&
           std::all_of(id.begin(), id.end(), is_allowed);
}

// Task ids have the form JOB/INDEX. The HTTP front end rejects '/' in the ids
// of callers.
bool is_valid_request_or_task_id(const std::string& id) {
    auto slash = id.rfind('/');
    return is_valid_id(slash == std::string::npos ? id : id.substr(0, slash));
}

base::result<std::int64_t> read_number(const nlohmann::json& in,
                                       const char* name, std::int64_t fallback,
                                       std::int64_t min, std::int64_t max) {
    if (!in.contains(name)) {
        return fallback;
    }
    bool is_integer = in[name].is_number_integer();
    std::int64_t value = is_integer ? in[name].get<std::int64_t>() : 0;
    if (!is_integer || value < min || value > max) {
        return invalid_request(
            std::string(name) + " must be a whole number from " +
            std::to_string(min) + " to " + std::to_string(max));
    }
    return value;
}

base::result<std::string> read_text(const nlohmann::json& in, const char* name,
                                    const std::string& fallback) {
    if (!in.contains(name)) {
        return fallback;
    }
    if (!in[name].is_string()) {
        return invalid_request(std::string(name) + " must be text");
    }
    return in[name].get<std::string>();
}

base::result<void> read_numbers(const nlohmann::json& in, request& out) {
    struct number_field {
        const char* name;
        std::int64_t fallback;
        std::int64_t min;
        std::int64_t max;
        std::int64_t value;
    };
    constexpr std::int64_t max_amount = 1'000'000'000;
    number_field fields[] = {
        {"slots", 1, 1, max_amount, 0},
        {"cpu_milli", 0, 0, max_amount, 0},
        {"memory_mb", 0, 0, max_amount, 0},
        {"accelerators", 0, 0, max_amount, 0},
        {"run_ms", 0, 0, max_timeout.count(), 0},
        {"timeout_ms", default_timeout.count(), 1, max_timeout.count(), 0},
        {"tasks", 1, 1, max_tasks_per_job, 0}};
    for (number_field& field : fields) {
        auto value =
            read_number(in, field.name, field.fallback, field.min, field.max);
        if (!value) {
            return tl::unexpected(value.error());
        }
        field.value = *value;
    }
    out.need = {fields[0].value, fields[1].value, fields[2].value,
                fields[3].value};
    out.declared_run = base::milliseconds(fields[4].value);
    out.timeout = base::milliseconds(fields[5].value);
    out.tasks = static_cast<int>(fields[6].value);
    return {};
}

base::result<void> read_texts(const nlohmann::json& in, request& out) {
    struct text_field {
        const char* name;
        std::string request::*member;
    };
    const text_field fields[] = {{"team", &request::team},
                                 {"kind", &request::kind},
                                 {"payload", &request::payload},
                                 {"traceparent", &request::traceparent}};
    for (const text_field& field : fields) {
        auto value = read_text(in, field.name, out.*field.member);
        if (!value) {
            return tl::unexpected(value.error());
        }
        out.*field.member = *value;
    }
    return {};
}

base::result<attempt_kind> read_attempt(const nlohmann::json& in) {
    auto attempt = read_number(in, "attempt", 0, 1, 1000);
    if (!attempt) {
        return tl::unexpected(attempt.error());
    }
    if (*attempt == 0) {
        return attempt_kind::unspecified;
    }
    return *attempt == 1 ? attempt_kind::first : attempt_kind::retry;
}

std::string known_kinds() {
    std::string out;
    for (const std::string& name :
         kernel::registry<policy>::instance().names()) {
        out += out.empty() ? name : ", " + name;
    }
    return out;
}

base::result<void> check_kind(const request& value) {
    const policy* plugin = find_policy(value.kind);
    if (plugin == nullptr) {
        return invalid_request("kind \"" + value.kind +
                               "\" is not known; use one of " + known_kinds());
    }
    if (value.tasks > 1 && !plugin->is_durable()) {
        return invalid_request("tasks must be 1 for kind \"" + value.kind +
                               "\"; use kind batch or gang for more");
    }
    return {};
}

} // namespace

base::result<request> parse_request(const nlohmann::json& body,
                                    const std::string& id) {
    if (!is_valid_request_or_task_id(id)) {
        return invalid_request(
            "Idempotency-Key must be 1 to 128 letters, digits or "
            "-_.: characters");
    }
    request out;
    out.id = id;
    auto numbers = read_numbers(body, out);
    if (!numbers) {
        return tl::unexpected(numbers.error());
    }
    auto texts = read_texts(body, out);
    if (!texts) {
        return tl::unexpected(texts.error());
    }
    auto attempt = read_attempt(body);
    if (!attempt) {
        return tl::unexpected(attempt.error());
    }
    out.attempt = *attempt;
    if (out.team.empty()) {
        return invalid_request(
            "team is missing; name a team of the bundle in force");
    }
    if (body.contains("repeatable")) {
        if (!body["repeatable"].is_boolean()) {
            return invalid_request("repeatable must be true or false");
        }
        out.repeatable = body["repeatable"].get<bool>();
    }
    auto kind = check_kind(out);
    if (!kind) {
        return tl::unexpected(kind.error());
    }
    return out;
}

nlohmann::json to_json_object(const request& value) {
    nlohmann::json out = {{"team", value.team},
                          {"kind", value.kind},
                          {"slots", value.need.slots},
                          {"timeout_ms", value.timeout.count()}};
    auto put_unless_default = [&out](const char* name, std::int64_t number,
                                     std::int64_t fallback) {
        if (number != fallback) {
            out[name] = number;
        }
    };
    put_unless_default("cpu_milli", value.need.cpu_milli, 0);
    put_unless_default("memory_mb", value.need.memory_mb, 0);
    put_unless_default("accelerators", value.need.accelerators, 0);
    put_unless_default("run_ms", value.declared_run.count(), 0);
    put_unless_default("tasks", value.tasks, 1);
    if (value.attempt != attempt_kind::unspecified) {
        out["attempt"] = value.attempt == attempt_kind::first ? 1 : 2;
    }
    if (!value.repeatable) {
        out["repeatable"] = false;
    }
    if (!value.payload.empty()) {
        out["payload"] = value.payload;
    }
    if (!value.traceparent.empty()) {
        out["traceparent"] = value.traceparent;
    }
    return out;
}

} // namespace eelgrasslever::admission
