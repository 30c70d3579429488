#include "eelgrasslever/endpoint/protocol.hpp"

#include <nlohmann/json.hpp>

namespace eelgrasslever::endpoint {

namespace {

// Defaults are left out: at scale an idle poll is most of what is sent.
void put_text(nlohmann::json& out, const char* name, const std::string& text) {
    if (!text.empty()) {
        out[name] = text;
    }
}

void put_time(nlohmann::json& out, const char* name, base::milliseconds time) {
    if (time.count() != 0) {
        out[name] = time.count();
    }
}

base::milliseconds get_time(const nlohmann::json& in, const char* name) {
    return base::milliseconds(in.value(name, std::int64_t{0}));
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

void to_json(nlohmann::json& out, const task_spec& in) {
    out = {
        {"id", in.id}, {"need", in.need}, {"kind", in.kind}, {"tier", in.tier}};
    put_time(out, "run_ms", in.declared_run);
    put_text(out, "payload", in.payload);
    put_text(out, "traceparent", in.traceparent);
    if (!in.repeatable) {
        out["repeatable"] = false;
    }
}

void from_json(const nlohmann::json& in, task_spec& out) {
    out.id = in.at("id").get<std::string>();
    out.need = in.at("need").get<base::resources>();
    out.kind = in.value("kind", "");
    out.tier = in.value("tier", "");
    out.declared_run = get_time(in, "run_ms");
    out.payload = in.value("payload", "");
    out.traceparent = in.value("traceparent", "");
    out.repeatable = in.value("repeatable", true);
}

void to_json(nlohmann::json& out, const task_report& in) {
    out = {{"id", in.id}, {"state", to_string(in.state)}};
    if (in.sequence != 0) {
        out["sequence"] = in.sequence;
    }
    put_time(out, "ran_ms", in.run_time);
    put_text(out, "result", in.result);
    put_text(out, "reason", in.reason);
    if (in.state == task_state::running) {
        out["need"] = in.need;
        out["kind"] = in.kind;
        out["tier"] = in.tier;
    }
    if (!in.repeatable) {
        out["repeatable"] = false;
    }
}

void from_json(const nlohmann::json& in, task_report& out) {
    out.id = in.at("id").get<std::string>();
    out.state = parse_state(in.value("state", ""));
    out.sequence = in.value("sequence", std::uint64_t{0});
    out.run_time = get_time(in, "ran_ms");
    out.result = in.value("result", "");
    out.reason = in.value("reason", "");
    out.kind = in.value("kind", "");
    out.tier = in.value("tier", "");
    out.repeatable = in.value("repeatable", true);
    if (in.contains("need")) {
        out.need = in["need"].get<base::resources>();
    }
}

void to_json(nlohmann::json& out, const call& in) {
    out = {{"holder", in.holder}};
    if (in.epoch != 0) {
        out["epoch"] = in.epoch;
    }
    put_time(out, "claim_ttl_ms", in.claim_ttl);
    put_time(out, "wait_ms", in.wait);
    if (in.acknowledged != 0) {
        out["acknowledged"] = in.acknowledged;
    }
    if (!in.starts.empty()) {
        out["starts"] = in.starts;
    }
    if (!in.stops.empty()) {
        out["stops"] = in.stops;
    }
}

void from_json(const nlohmann::json& in, call& out) {
    out.holder = in.at("holder").get<std::string>();
    out.epoch = in.value("epoch", std::uint64_t{0});
    out.claim_ttl = get_time(in, "claim_ttl_ms");
    out.wait = get_time(in, "wait_ms");
    out.acknowledged = in.value("acknowledged", std::uint64_t{0});
    if (in.contains("starts")) {
        out.starts = in["starts"].get<std::vector<task_spec>>();
    }
    if (in.contains("stops")) {
        out.stops = in["stops"].get<std::vector<std::string>>();
    }
}

void to_json(nlohmann::json& out, const reply& in) {
    out = {{"accepted", in.accepted}, {"epoch", in.epoch}};
    if (in.boot != 0) {
        out["boot"] = in.boot;
    }
    if (in.capacity.slots != 0) {
        out["capacity"] = in.capacity;
    }
    if (!in.accepted) {
        out["holder"] = in.holder;
        put_time(out, "claim_remaining_ms", in.claim_remaining);
    }
    if (in.leaving) {
        out["leaving"] = true;
    }
    if (!in.reports.empty()) {
        out["reports"] = in.reports;
    }
    put_text(out, "failure", in.failure);
}

void from_json(const nlohmann::json& in, reply& out) {
    out.reached = true;
    out.accepted = in.value("accepted", false);
    out.epoch = in.value("epoch", std::uint64_t{0});
    out.boot = in.value("boot", std::uint64_t{0});
    out.holder = in.value("holder", "");
    out.claim_remaining = get_time(in, "claim_remaining_ms");
    out.leaving = in.value("leaving", false);
    out.failure = in.value("failure", "");
    if (in.contains("capacity")) {
        out.capacity = in["capacity"].get<base::resources>();
    }
    if (in.contains("reports")) {
        out.reports = in["reports"].get<std::vector<task_report>>();
    }
}

} // namespace eelgrasslever::endpoint
