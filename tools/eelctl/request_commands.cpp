// Commands for requests: submit, get, cancel, explain, trace.
#include "commands.hpp"

#include <algorithm>
#include <gflags/gflags.h>
#include <iostream>
#include <unistd.h>

DEFINE_string(id, "",
              "Idempotency-Key; two requests with one id never run at once");
DEFINE_string(team, "", "team that submits the request");
DEFINE_string(kind, "urgent", "kind of work: urgent, service, batch or gang");
DEFINE_int64(slots, 1, "slots of each task");
DEFINE_int64(cpu_milli, 0, "CPU of each task, in thousandths of a core");
DEFINE_int64(memory_mb, 0, "memory of each task, in MB");
DEFINE_int64(accelerators, 0, "accelerators of each task");
DEFINE_int64(run_ms, 100, "declared run time of each task, in ms");
DEFINE_int64(deadline_ms, 10000, "time until the answer is due, in ms");
DEFINE_int64(tasks, 1, "number of tasks of a batch or gang job");
DEFINE_int64(attempt, 0,
             "1 for the first attempt, 2 and up for retries; 0: not stated");
DEFINE_bool(
    repeatable, true,
    "whether a task may run again after a failure; false: at most once");
DEFINE_string(payload, "", "text passed to the task");
DEFINE_string(traceparent, "",
              "trace context of the caller (W3C Trace Context)");
DEFINE_int64(wait_ms, 0, "get: longest wait for the answer, in ms");
DEFINE_string(endpoints, "", "trace: endpoints to query as well, IP:port,...");

namespace eelctl {

namespace {

int print_answer(const http::reply& reply) {
    int status = print_reply(reply);
    if (status != exit_success) {
        return status;
    }
    auto body = base::parse_object(reply.body, "eelctl", "server");
    std::string outcome = body ? body->value("outcome", "") : "";
    return outcome.empty() || outcome == "completed" ? exit_success
                                                     : exit_not_completed;
}

// Waits in steps, to show the current explanation on a terminal after each.
int wait_for_answer(const std::string& id, base::milliseconds wait) {
    constexpr base::milliseconds step{2000};
    base::instant deadline = base::monotonic_now() + wait;
    for (;;) {
        base::milliseconds remaining = deadline - base::monotonic_now();
        base::milliseconds step_wait =
            std::clamp(remaining, base::milliseconds(0), step);
        http::call request;
        request.url = "/v1/requests/" + id +
                      "?wait_ms=" + std::to_string(step_wait.count());
        http::reply reply = send_to_any_server(request);
        auto body = base::parse_object(reply.body, "eelctl", "server");
        bool is_pending = body && body->value("state", "") == "pending";
        if (!is_pending || remaining <= step) {
            return print_answer(reply);
        }
        if (isatty(STDERR_FILENO) != 0) {
            std::cerr << "\r" << id << " "
                      << body->value("explanation", "pending") << "   "
                      << std::flush;
        }
    }
}

nlohmann::json fetch_spans(const std::string& server,
                           const std::string& trace_id) {
    http::call request;
    request.url = "http://" + server + "/v1/traces/" + trace_id;
    http::reply reply = http::send_blocking(request);
    auto body = base::parse_object(reply.body, "trace", server);
    return body ? body->value("spans", nlohmann::json::array())
                : nlohmann::json::array();
}

} // namespace

int submit(const arguments&) {
    if (FLAGS_id.empty() || FLAGS_team.empty()) {
        return print_error("--id and --team are required; see eelctl --help",
                           exit_usage);
    }
    nlohmann::json body = {
        {"team", FLAGS_team},           {"kind", FLAGS_kind},
        {"slots", FLAGS_slots},         {"cpu_milli", FLAGS_cpu_milli},
        {"memory_mb", FLAGS_memory_mb}, {"accelerators", FLAGS_accelerators},
        {"run_ms", FLAGS_run_ms},       {"timeout_ms", FLAGS_deadline_ms},
        {"tasks", FLAGS_tasks},         {"repeatable", FLAGS_repeatable},
        {"payload", FLAGS_payload}};
    if (FLAGS_attempt > 0) {
        body["attempt"] = FLAGS_attempt;
    }
    http::call request;
    request.method = "POST";
    request.url = "/v1/requests";
    request.body = body.dump();
    request.headers.push_back({"Idempotency-Key", FLAGS_id});
    if (!FLAGS_traceparent.empty()) {
        request.headers.push_back({"traceparent", FLAGS_traceparent});
    }
    return print_answer(send_to_any_server(request));
}

int get(const arguments& args) {
    if (args.empty()) {
        return print_error("usage: get ID [--wait_ms N]", exit_usage);
    }
    return wait_for_answer(args[0], base::milliseconds(FLAGS_wait_ms));
}

int cancel(const arguments& args) {
    if (args.empty()) {
        return print_error("usage: cancel ID", exit_usage);
    }
    http::call request;
    request.method = "DELETE";
    request.url = "/v1/requests/" + args[0];
    return print_reply(send_to_any_server(request));
}

int explain(const arguments& args) {
    if (args.empty()) {
        return print_error("usage: explain ID", exit_usage);
    }
    int status = exit_unreachable;
    for (const std::string& server : server_addresses()) {
        http::call request;
        request.url =
            "http://" + server + "/v1/requests/" + args[0] + "/explain";
        http::reply reply = http::send_blocking(request);
        if (reply.reached) {
            status = exit_success;
            std::cout << server << " " << reply.body;
        }
    }
    return status;
}

int trace(const arguments& args) {
    if (args.empty()) {
        return print_error("usage: trace TRACE_ID [--endpoints IP:port,...]",
                           exit_usage);
    }
    std::vector<nlohmann::json> spans;
    std::vector<std::string> sources = server_addresses();
    std::string list = FLAGS_endpoints;
    for (std::size_t start = 0; start < list.size();) {
        std::size_t comma = std::min(list.find(',', start), list.size());
        sources.push_back(list.substr(start, comma - start));
        start = comma + 1;
    }
    for (const std::string& source : sources) {
        for (const auto& span : fetch_spans(source, args[0])) {
            spans.push_back(span);
        }
    }
    std::sort(spans.begin(), spans.end(), [](const auto& a, const auto& b) {
        return a.value("start_unix_ms", std::int64_t{0}) <
               b.value("start_unix_ms", std::int64_t{0});
    });
    for (const auto& span : spans) {
        std::cout << span.value("start_unix_ms", std::int64_t{0}) << " "
                  << span.value("duration_ms", std::int64_t{0}) << "ms "
                  << span.value("process", "") << " " << span.value("name", "")
                  << " " << span.value("request_id", "")
                  << " span=" << span.value("span_id", "")
                  << " parent=" << span.value("parent_span_id", "") << "\n";
    }
    return spans.empty() ? exit_not_completed : exit_success;
}

} // namespace eelctl
