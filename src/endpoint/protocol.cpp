#include "eelgrasslever/endpoint/protocol.hpp"

#include <nlohmann/json.hpp>

namespace eelgrasslever::endpoint {

namespace {

// Default values are omitted, because idle polls make up most of the traffic in
// a large cluster.
void put_text_unless_empty(nlohmann::json& json, const char* name,
                           const std::string& text) {
    if (!text.empty()) {
        json[name] = text;
    }
}

void put_time_unless_zero(nlohmann::json& json, const char* name,
                          base::milliseconds time) {
    if (time.count() != 0) {
        json[name] = time.count();
    }
}

base::milliseconds get_time(const nlohmann::json& json, const char* name) {
    return base::milliseconds(json.value(name, std::int64_t{0}));
}

task_state parse_state(const std::string& text) {
    for (task_state state : {task_state::running, task_state::completed,
                             task_state::failed, task_state::stopped}) {
        if (text == to_string(state)) {
            return state;
        }
    }
    return task_state::refused;
}

} // namespace

const char* to_string(call_kind kind) {
    switch (kind) {
    case call_kind::claim:
        return "claim";
    case call_kind::poll:
        return "poll";
    case call_kind::start:
        return "start";
    case call_kind::stop:
        return "stop";
    case call_kind::release:
        return "release";
    }
    return "poll";
}

const char* to_string(task_state state) {
    switch (state) {
    case task_state::running:
        return "running";
    case task_state::completed:
        return "completed";
    case task_state::failed:
        return "failed";
    case task_state::stopped:
        return "stopped";
    case task_state::refused:
        return "refused";
    }
    return "refused";
}

std::string call_path(call_kind kind) {
    return std::string("/v1/") + to_string(kind);
}

void to_json(nlohmann::json& json, const task_spec& spec) {
    json = {{"id", spec.id},
            {"need", spec.need},
            {"kind", spec.kind},
            {"tier", spec.tier}};
    put_time_unless_zero(json, "run_ms", spec.declared_run);
    put_text_unless_empty(json, "payload", spec.payload);
    put_text_unless_empty(json, "traceparent", spec.traceparent);
    if (!spec.repeatable) {
        json["repeatable"] = false;
    }
}

void from_json(const nlohmann::json& json, task_spec& spec) {
    spec.id = json.at("id").get<std::string>();
    spec.need = json.at("need").get<base::resources>();
    spec.kind = json.value("kind", "");
    spec.tier = json.value("tier", "");
    spec.declared_run = get_time(json, "run_ms");
    spec.payload = json.value("payload", "");
    spec.traceparent = json.value("traceparent", "");
    spec.repeatable = json.value("repeatable", true);
}

void to_json(nlohmann::json& json, const task_report& report) {
    json = {{"id", report.id}, {"state", to_string(report.state)}};
    if (report.sequence != 0) {
        json["sequence"] = report.sequence;
    }
    put_time_unless_zero(json, "ran_ms", report.run_time);
    put_text_unless_empty(json, "result", report.result);
    put_text_unless_empty(json, "reason", report.reason);
    if (report.state == task_state::running) {
        json["need"] = report.need;
        json["kind"] = report.kind;
        json["tier"] = report.tier;
    }
    if (!report.repeatable) {
        json["repeatable"] = false;
    }
}

void from_json(const nlohmann::json& json, task_report& report) {
    report.id = json.at("id").get<std::string>();
    report.state = parse_state(json.value("state", ""));
    report.sequence = json.value("sequence", std::uint64_t{0});
    report.run_time = get_time(json, "ran_ms");
    report.result = json.value("result", "");
    report.reason = json.value("reason", "");
    report.kind = json.value("kind", "");
    report.tier = json.value("tier", "");
    report.repeatable = json.value("repeatable", true);
    if (json.contains("need")) {
        report.need = json["need"].get<base::resources>();
    }
}

void to_json(nlohmann::json& json, const call& request) {
    json = {{"holder", request.holder}};
    if (request.epoch != 0) {
        json["epoch"] = request.epoch;
    }
    put_time_unless_zero(json, "claim_ttl_ms", request.claim_ttl);
    put_time_unless_zero(json, "wait_ms", request.wait);
    if (request.acknowledged != 0) {
        json["acknowledged"] = request.acknowledged;
    }
    if (!request.starts.empty()) {
        json["starts"] = request.starts;
    }
    if (!request.stops.empty()) {
        json["stops"] = request.stops;
    }
}

void from_json(const nlohmann::json& json, call& request) {
    request.holder = json.at("holder").get<std::string>();
    request.epoch = json.value("epoch", std::uint64_t{0});
    request.claim_ttl = get_time(json, "claim_ttl_ms");
    request.wait = get_time(json, "wait_ms");
    request.acknowledged = json.value("acknowledged", std::uint64_t{0});
    if (json.contains("starts")) {
        request.starts = json["starts"].get<std::vector<task_spec>>();
    }
    if (json.contains("stops")) {
        request.stops = json["stops"].get<std::vector<std::string>>();
    }
}

void to_json(nlohmann::json& json, const reply& response) {
    json = {{"accepted", response.accepted}, {"epoch", response.epoch}};
    if (response.boot != 0) {
        json["boot"] = response.boot;
    }
    if (response.capacity.slots != 0) {
        json["capacity"] = response.capacity;
    }
    if (!response.accepted) {
        json["holder"] = response.holder;
        put_time_unless_zero(json, "claim_remaining_ms",
                             response.claim_remaining);
    }
    if (response.leaving) {
        json["leaving"] = true;
    }
    if (!response.reports.empty()) {
        json["reports"] = response.reports;
    }
    put_text_unless_empty(json, "failure", response.failure);
}

void from_json(const nlohmann::json& json, reply& response) {
    response.reached = true;
    response.accepted = json.value("accepted", false);
    response.epoch = json.value("epoch", std::uint64_t{0});
    response.boot = json.value("boot", std::uint64_t{0});
    response.holder = json.value("holder", "");
    response.claim_remaining = get_time(json, "claim_remaining_ms");
    response.leaving = json.value("leaving", false);
    response.failure = json.value("failure", "");
    if (json.contains("capacity")) {
        response.capacity = json["capacity"].get<base::resources>();
    }
    if (json.contains("reports")) {
        response.reports = json["reports"].get<std::vector<task_report>>();
    }
}

} // namespace eelgrasslever::endpoint
