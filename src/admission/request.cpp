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

base::result<std::int64_t> read_number(const nlohmann::json& body,
                                       const char* name, std::int64_t fallback,
                                       std::int64_t min, std::int64_t max) {
    if (!body.contains(name)) {
        return fallback;
    }
    bool is_integer = body[name].is_number_integer();
    std::int64_t value = is_integer ? body[name].get<std::int64_t>() : 0;
    if (!is_integer || value < min || value > max) {
        return invalid_request(
            std::string(name) + " must be a whole number from " +
            std::to_string(min) + " to " + std::to_string(max));
    }
    return value;
}

base::result<std::string> read_text(const nlohmann::json& body,
                                    const char* name,
                                    const std::string& fallback) {
    if (!body.contains(name)) {
        return fallback;
    }
    if (!body[name].is_string()) {
        return invalid_request(std::string(name) + " must be text");
    }
    return body[name].get<std::string>();
}

base::result<void> read_numbers(const nlohmann::json& body, request& parsed) {
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
            read_number(body, field.name, field.fallback, field.min, field.max);
        if (!value) {
            return tl::unexpected(value.error());
        }
        field.value = *value;
    }
    parsed.need = {fields[0].value, fields[1].value, fields[2].value,
                   fields[3].value};
    parsed.declared_run = base::milliseconds(fields[4].value);
    parsed.timeout = base::milliseconds(fields[5].value);
    parsed.tasks = static_cast<int>(fields[6].value);
    return {};
}

base::result<void> read_texts(const nlohmann::json& body, request& parsed) {
    struct text_field {
        const char* name;
        std::string request::*member;
    };
    const text_field fields[] = {{"team", &request::team},
                                 {"kind", &request::kind},
                                 {"payload", &request::payload},
                                 {"traceparent", &request::traceparent}};
    for (const text_field& field : fields) {
        auto value = read_text(body, field.name, parsed.*field.member);
        if (!value) {
            return tl::unexpected(value.error());
        }
        parsed.*field.member = *value;
    }
    return {};
}

base::result<attempt_kind> read_attempt(const nlohmann::json& body) {
    auto attempt = read_number(body, "attempt", 0, 1, 1000);
    if (!attempt) {
        return tl::unexpected(attempt.error());
    }
    if (*attempt == 0) {
        return attempt_kind::unspecified;
    }
    return *attempt == 1 ? attempt_kind::first : attempt_kind::retry;
}

std::string known_kinds() {
    std::string kinds;
    for (const std::string& name :
         kernel::registry<policy>::instance().names()) {
        kinds += kinds.empty() ? name : ", " + name;
    }
    return kinds;
}

base::result<void> check_kind(const request& parsed) {
    const policy* kind_policy = find_policy(parsed.kind);
    if (kind_policy == nullptr) {
        return invalid_request("kind \"" + parsed.kind +
                               "\" is not known; use one of " + known_kinds());
    }
    if (parsed.tasks > 1 && !kind_policy->is_durable()) {
        return invalid_request("tasks must be 1 for kind \"" + parsed.kind +
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
    request parsed;
    parsed.id = id;
    auto numbers = read_numbers(body, parsed);
    if (!numbers) {
        return tl::unexpected(numbers.error());
    }
    auto texts = read_texts(body, parsed);
    if (!texts) {
        return tl::unexpected(texts.error());
    }
    auto attempt = read_attempt(body);
    if (!attempt) {
        return tl::unexpected(attempt.error());
    }
    parsed.attempt = *attempt;
    if (parsed.team.empty()) {
        return invalid_request(
            "team is missing; name a team of the bundle in force");
    }
    if (body.contains("repeatable")) {
        if (!body["repeatable"].is_boolean()) {
            return invalid_request("repeatable must be true or false");
        }
        parsed.repeatable = body["repeatable"].get<bool>();
    }
    auto kind = check_kind(parsed);
    if (!kind) {
        return tl::unexpected(kind.error());
    }
    return parsed;
}

nlohmann::json to_json_object(const request& value) {
    nlohmann::json object = {{"team", value.team},
                             {"kind", value.kind},
                             {"slots", value.need.slots},
                             {"timeout_ms", value.timeout.count()}};
    auto put_unless_default = [&object](const char* name, std::int64_t number,
                                        std::int64_t fallback) {
        if (number != fallback) {
            object[name] = number;
        }
    };
    put_unless_default("cpu_milli", value.need.cpu_milli, 0);
    put_unless_default("memory_mb", value.need.memory_mb, 0);
    put_unless_default("accelerators", value.need.accelerators, 0);
    put_unless_default("run_ms", value.declared_run.count(), 0);
    put_unless_default("tasks", value.tasks, 1);
    if (value.attempt != attempt_kind::unspecified) {
        object["attempt"] = value.attempt == attempt_kind::first ? 1 : 2;
    }
    if (!value.repeatable) {
        object["repeatable"] = false;
    }
    if (!value.payload.empty()) {
        object["payload"] = value.payload;
    }
    if (!value.traceparent.empty()) {
        object["traceparent"] = value.traceparent;
    }
    return object;
}

} // namespace eelgrasslever::admission
