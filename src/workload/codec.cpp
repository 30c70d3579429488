#include "eelgrasslever/workload/codec.hpp"

#include "eelgrasslever/base/json.hpp"

namespace eelgrasslever::workload {

using nlohmann::json;

namespace {

/// Writes only what differs from the default, to keep records short.
template <typename Value>
void put(json& out, const char* name, const Value& value,
         const Value& standard) {
    if (!(value == standard)) {
        out[name] = value;
    }
}

json to_json_step(const step& in) {
    const step standard;
    json out = json::object();
    put(out, "count", in.count, standard.count);
    put(out, "cpu", in.need.cpu_milli, standard.need.cpu_milli);
    put(out, "memory", in.need.memory_mb, standard.need.memory_mb);
    put(out, "accelerators", in.need.accelerators, standard.need.accelerators);
    put(out, "estimate", in.estimate.count(), standard.estimate.count());
    put(out, "after", in.after, standard.after);
    put(out, "checkpointing", in.checkpointing, standard.checkpointing);
    put(out, "gang", in.gang, standard.gang);
    put(out, "same_rack", in.same_rack, standard.same_rack);
    put(out, "speculative", in.speculative, standard.speculative);
    put(out, "long_running", in.long_running, standard.long_running);
    put(out, "opportunistic", in.opportunistic, standard.opportunistic);
    put(out, "required_label", in.required_label, standard.required_label);
    put(out, "data_rack", in.data_rack, standard.data_rack);
    put(out, "max_per_endpoint", in.max_per_endpoint,
        standard.max_per_endpoint);
    put(out, "image", in.image, standard.image);
    put(out, "tail_target", in.tail_target.count(),
        standard.tail_target.count());
    put(out, "max_unavailable", in.max_unavailable, standard.max_unavailable);
    return out;
}

step from_json_step(const json& in) {
    step out;
    out.count = in.value("count", out.count);
    out.need.cpu_milli = in.value("cpu", std::int64_t{0});
    out.need.memory_mb = in.value("memory", std::int64_t{0});
    out.need.accelerators = in.value("accelerators", std::int64_t{0});
    out.estimate = base::milliseconds(in.value("estimate", std::int64_t{0}));
    out.after = in.value("after", out.after);
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
    out.tail_target =
        base::milliseconds(in.value("tail_target", std::int64_t{0}));
    out.max_unavailable = in.value("max_unavailable", 0);
    return out;
}

json to_json_queue(const queue_policy& in) {
    json out{{"name", in.name},         {"service", in.service},
             {"priority", in.priority}, {"attempts", in.attempts},
             {"stretch", in.stretch},   {"target", in.target_latency.count()}};
    if (in.advice) {
        out["advice"] = {in.advice->decision.count(),
                         in.advice->per_candidate.count(),
                         in.advice->valid.count()};
    }
    return out;
}

queue_policy from_json_queue(const json& in) {
    queue_policy out;
    out.name = in.at("name");
    out.service = in.at("service");
    out.priority = in.value("priority", 0);
    out.attempts = in.value("attempts", 1);
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

std::string to_digits(const std::vector<bool>& flags) {
    std::string out;
    for (bool flag : flags) {
        out += flag ? '1' : '0';
    }
    return out;
}

std::vector<bool> from_digits(const std::string& text) {
    std::vector<bool> out;
    for (char c : text) {
        out.push_back(c == '1');
    }
    return out;
}

job read_job(const json& in, const std::string& id) {
    job out;
    out.id = id;
    out.payload = in.value("payload", "");
    out.queue = from_json_queue(in.at("queue"));
    for (const json& item : in.at("steps")) {
        out.steps.push_back(from_json_step(item));
    }
    out.repeat_count = in.value("repeat", 0);
    out.interval = base::milliseconds(in.value("interval", std::int64_t{0}));
    auto time = [&](const char* name) {
        return std::chrono::sys_time<base::milliseconds>(
            base::milliseconds(in.value(name, std::int64_t{0})));
    };
    out.start_at = time("start_at");
    out.accepted_at = time("accepted_at");
    return out;
}

progress read_progress(const json& in) {
    progress out;
    int state = in.at("state").get<int>();
    if (state < 0 || state > static_cast<int>(job_state::cancelled)) {
        throw json::other_error::create(501, "state is not known", &in);
    }
    out.state = static_cast<job_state>(state);
    out.queue = in.value("queue", "");
    out.reason = in.value("reason", "");
    for (const json& row : in.value("done", json::array())) {
        out.done[{row.at(0).get<int>(), row.at(1).get<int>()}] =
            from_digits(row.at(2).get<std::string>());
    }
    out.failures = in.value("failures", out.failures);
    for (const json& row : in.value("placements", json::array())) {
        out.placements[row.at(0).get<std::string>()] = {
            row.at(1).get<int>(), row.at(2).get<std::string>()};
    }
    return out;
}

/// Runs a reader that may throw on malformed content.
template <typename Value, typename Reader>
base::result<Value> guarded(const std::string& text, const std::string& id,
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
    json out{{"queue", to_json_queue(value.queue)}};
    put(out, "payload", value.payload, std::string());
    json steps = json::array();
    for (const step& it : value.steps) {
        steps.push_back(to_json_step(it));
    }
    out["steps"] = std::move(steps);
    put(out, "repeat", value.repeat_count, 0);
    put(out, "interval", value.interval.count(), std::int64_t{0});
    put(out, "start_at", value.start_at.time_since_epoch().count(),
        std::int64_t{0});
    out["accepted_at"] = value.accepted_at.time_since_epoch().count();
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::result<job> decode_job(const std::string& text, const std::string& id) {
    return guarded<job>(text, id, "job.decode",
                        [&](const json& in) { return read_job(in, id); });
}

std::string encode(const progress& value) {
    json out{{"state", static_cast<int>(value.state)}};
    put(out, "queue", value.queue, std::string());
    put(out, "reason", value.reason, std::string());
    json done = json::array();
    for (const auto& [key, flags] : value.done) {
        done.push_back({key.first, key.second, to_digits(flags)});
    }
    if (!done.empty()) {
        out["done"] = std::move(done);
    }
    if (!value.failures.empty()) {
        out["failures"] = value.failures;
    }
    json placements = json::array();
    for (const auto& [task, at] : value.placements) {
        placements.push_back({task, at.run, at.endpoint});
    }
    if (!placements.empty()) {
        out["placements"] = std::move(placements);
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::result<progress> decode_progress(const std::string& text,
                                       const std::string& id) {
    return guarded<progress>(text, id, "progress.decode", read_progress);
}

} // namespace eelgrasslever::workload
