#include "eelgrasslever/workload/codec.hpp"

#include "eelgrasslever/base/json.hpp"

namespace eelgrasslever::workload {

using nlohmann::json;

namespace {

/// Omits fields that have their default value, to keep records short.
template <typename Value>
void put_unless_default(json& out, const char* name, const Value& value,
                        const Value& default_value) {
    if (!(value == default_value)) {
        out[name] = value;
    }
}

json encode_step(const step& in) {
    const step defaults;
    json out = json::object();
    put_unless_default(out, "count", in.count, defaults.count);
    put_unless_default(out, "cpu", in.need.cpu_milli, defaults.need.cpu_milli);
    put_unless_default(out, "memory", in.need.memory_mb,
                       defaults.need.memory_mb);
    put_unless_default(out, "accelerators", in.need.accelerators,
                       defaults.need.accelerators);
    put_unless_default(out, "estimate", in.estimated_duration.count(),
                       defaults.estimated_duration.count());
    put_unless_default(out, "after", in.predecessors, defaults.predecessors);
    put_unless_default(out, "checkpointing", in.checkpointing,
                       defaults.checkpointing);
    put_unless_default(out, "gang", in.gang, defaults.gang);
    put_unless_default(out, "same_rack", in.same_rack, defaults.same_rack);
    put_unless_default(out, "speculative", in.speculative,
                       defaults.speculative);
    put_unless_default(out, "long_running", in.long_running,
                       defaults.long_running);
    put_unless_default(out, "opportunistic", in.opportunistic,
                       defaults.opportunistic);
    put_unless_default(out, "required_label", in.required_label,
                       defaults.required_label);
    put_unless_default(out, "data_rack", in.data_rack, defaults.data_rack);
    put_unless_default(out, "max_per_endpoint", in.max_per_endpoint,
                       defaults.max_per_endpoint);
    put_unless_default(out, "image", in.image, defaults.image);
    put_unless_default(out, "tail_target", in.tail_latency_target.count(),
                       defaults.tail_latency_target.count());
    put_unless_default(out, "max_unavailable", in.max_unavailable,
                       defaults.max_unavailable);
    return out;
}

step decode_step(const json& in) {
    step out;
    out.count = static_cast<int>(
        base::whole_field(in, "count", out.count, 0, max_tasks_per_step));
    out.need.cpu_milli = base::whole_field(in, "cpu", 0);
    out.need.memory_mb = base::whole_field(in, "memory", 0);
    out.need.accelerators = base::whole_field(in, "accelerators", 0);
    out.estimated_duration =
        base::milliseconds(base::whole_field(in, "estimate", 0));
    out.predecessors = in.value("after", out.predecessors);
    out.checkpointing = in.value("checkpointing", false);
    out.gang = in.value("gang", false);
    out.same_rack = in.value("same_rack", false);
    out.speculative = in.value("speculative", false);
    out.long_running = in.value("long_running", false);
    out.opportunistic = in.value("opportunistic", false);
    out.required_label = in.value("required_label", "");
    out.data_rack = in.value("data_rack", "");
    out.max_per_endpoint = in.value("max_per_endpoint", 0);
    out.image = in.value("image", "");
    out.tail_latency_target =
        base::milliseconds(in.value("tail_target", std::int64_t{0}));
    out.max_unavailable = in.value("max_unavailable", 0);
    return out;
}

json encode_queue(const queue_policy& in) {
    json out{{"name", in.name},         {"service", in.service},
             {"priority", in.priority}, {"attempts", in.max_attempts},
             {"stretch", in.stretch},   {"target", in.target_latency.count()}};
    if (in.advice) {
        out["advice"] = {in.advice->fixed_call_time.count(),
                         in.advice->call_time_per_candidate.count(),
                         in.advice->ticket_lifetime.count()};
    }
    return out;
}

queue_policy decode_queue(const json& in) {
    queue_policy out;
    out.name = in.at("name");
    out.service = in.at("service");
    out.priority = in.value("priority", 0);
    out.max_attempts = in.value("attempts", 1);
    out.stretch = in.value("stretch", 1.0);
    out.target_latency =
        base::milliseconds(in.value("target", std::int64_t{0}));
    if (in.contains("advice")) {
        const json& advice = in.at("advice");
        out.advice = advice_policy{
            base::milliseconds(advice.at(0).get<std::int64_t>()),
            std::chrono::microseconds(advice.at(1).get<std::int64_t>()),
            base::milliseconds(advice.at(2).get<std::int64_t>())};
    }
    return out;
}

std::string encode_flags(const std::vector<bool>& flags) {
    std::string out;
    for (bool flag : flags) {
        out += flag ? '1' : '0';
    }
    return out;
}

std::vector<bool> decode_flags(const std::string& text) {
    std::vector<bool> out;
    for (char c : text) {
        out.push_back(c == '1');
    }
    return out;
}

job decode_job_fields(const json& in, const std::string& id) {
    job out;
    out.id = id;
    out.payload = in.value("payload", "");
    out.workspace = in.value("workspace", "");
    out.queue = decode_queue(in.at("queue"));
    out.configuration_version =
        in.value("configuration", out.configuration_version);
    for (const json& step : in.at("steps")) {
        out.steps.push_back(decode_step(step));
    }
    out.repeat_count = in.value("repeat", 0);
    out.interval = base::milliseconds(in.value("interval", std::int64_t{0}));
    auto read_time = [&](const char* name) {
        return std::chrono::sys_time<base::milliseconds>(
            base::milliseconds(in.value(name, std::int64_t{0})));
    };
    out.start_at = read_time("start_at");
    out.accepted_at = read_time("accepted_at");
    return out;
}

progress decode_progress_fields(const json& in) {
    progress out;
    auto state = to_job_state(in.at("state").get<int>());
    if (!state) {
        throw json::other_error::create(501, "unknown job state", &in);
    }
    out.state = *state;
    out.queue = in.value("queue", "");
    out.workspace = in.value("workspace", "");
    for (const json& row : in.value("needs", json::array())) {
        base::resources need;
        need.cpu_milli = row.at(0).get<std::int64_t>();
        need.memory_mb = row.at(1).get<std::int64_t>();
        need.accelerators = row.at(2).get<std::int64_t>();
        out.step_needs.push_back(need);
    }
    out.failure_reason = in.value("reason", "");
    for (const json& row : in.value("done", json::array())) {
        out.completed[{row.at(0).get<int>(), row.at(1).get<int>()}] =
            decode_flags(row.at(2).get<std::string>());
    }
    out.failed_runs = in.value("failures", out.failed_runs);
    // The version before stored those after the third crash, as "last_starts".
    out.last_starts = in.value(in.contains("starts") ? "starts" : "last_starts",
                               out.last_starts);
    for (const json& row : in.value("crashes", json::array())) {
        out.crashed_runs[row.at(0).get<std::string>()][row.at(1).get<int>()] =
            base::milliseconds(row.at(2).get<std::int64_t>());
    }
    for (const json& row : in.value("unproved", json::array())) {
        out.unproved_runs[row.at(0).get<std::string>()][row.at(1).get<int>()] =
            {row.at(2).get<std::string>(), row.at(3).get<std::string>(),
             base::milliseconds(row.at(4).get<std::int64_t>())};
    }
    for (const json& row : in.value("placements", json::array())) {
        out.placements[row.at(0).get<std::string>()] = {
            row.at(1).get<int>(), row.at(2).get<std::string>(),
            row.size() > 3 ? row.at(3).get<std::string>() : std::string()};
    }
    return out;
}

/// Parses @p text and passes the object to @p read. Exceptions that @p read
/// throws on missing or mistyped fields become invalid_argument errors.
template <typename Value, typename Reader>
base::result<Value> parse_record(const std::string& text, const std::string& id,
                                 const char* step, Reader read) {
    auto object = base::parse_object(text, step, id);
    if (!object) {
        return tl::unexpected(object.error());
    }
    try {
        return read(*object);
    } catch (const json::exception& e) {
        return base::fail(base::error_code::invalid_argument, step, id,
                          e.what());
    }
}

} // namespace

std::string encode(const job& value) {
    json out{{"queue", encode_queue(value.queue)}};
    put_unless_default(out, "configuration", value.configuration_version,
                       std::uint64_t{0});
    put_unless_default(out, "payload", value.payload, std::string());
    put_unless_default(out, "workspace", value.workspace, std::string());
    json steps = json::array();
    for (const step& each : value.steps) {
        steps.push_back(encode_step(each));
    }
    out["steps"] = std::move(steps);
    put_unless_default(out, "repeat", value.repeat_count, 0);
    put_unless_default(out, "interval", value.interval.count(),
                       std::int64_t{0});
    put_unless_default(out, "start_at",
                       value.start_at.time_since_epoch().count(),
                       std::int64_t{0});
    out["accepted_at"] = value.accepted_at.time_since_epoch().count();
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::result<job> decode_job(const std::string& text, const std::string& id) {
    return parse_record<job>(text, id, "job.decode", [&](const json& in) {
        return decode_job_fields(in, id);
    });
}

std::string encode(const progress& value) {
    json out{{"state", static_cast<int>(value.state)}};
    put_unless_default(out, "queue", value.queue, std::string());
    put_unless_default(out, "reason", value.failure_reason, std::string());
    put_unless_default(out, "workspace", value.workspace, std::string());
    json needs = json::array();
    for (const base::resources& need : value.step_needs) {
        needs.push_back({need.cpu_milli, need.memory_mb, need.accelerators});
    }
    if (!needs.empty()) {
        out["needs"] = std::move(needs);
    }
    json done = json::array();
    for (const auto& [key, flags] : value.completed) {
        done.push_back({key.first, key.second, encode_flags(flags)});
    }
    if (!done.empty()) {
        out["done"] = std::move(done);
    }
    if (!value.failed_runs.empty()) {
        out["failures"] = value.failed_runs;
    }
    json crashes = json::array();
    for (const auto& [task, runs] : value.crashed_runs) {
        for (const auto& [run, seen_alive] : runs) {
            crashes.push_back({task, run, seen_alive.count()});
        }
    }
    if (!crashes.empty()) {
        out["crashes"] = std::move(crashes);
    }
    json unproved = json::array();
    for (const auto& [task, runs] : value.unproved_runs) {
        for (const auto& [run, lost] : runs) {
            unproved.push_back({task, run, lost.endpoint, lost.address,
                                lost.seen_alive.count()});
        }
    }
    if (!unproved.empty()) {
        out["unproved"] = std::move(unproved);
    }
    if (!value.last_starts.empty()) {
        out["starts"] = value.last_starts;
    }
    json placements = json::array();
    for (const auto& [task, placed] : value.placements) {
        placements.push_back(
            {task, placed.run, placed.endpoint, placed.address});
    }
    if (!placements.empty()) {
        out["placements"] = std::move(placements);
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::result<progress> decode_progress(const std::string& text,
                                       const std::string& id) {
    return parse_record<progress>(text, id, "progress.decode",
                                  decode_progress_fields);
}

} // namespace eelgrasslever::workload
