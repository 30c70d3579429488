#include "eelgrasslever/daemon/http_api.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/daemon/responses.hpp"
#include "eelgrasslever/http/code.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace eelgrasslever::daemon {

namespace {

/// Limit on how long a status query may block.
constexpr base::milliseconds max_status_wait{60 * 1000};
/// Minimum wait for a request without a local record, so that the other members
/// can be asked.
constexpr base::milliseconds min_lookup_wait{1500};

std::int64_t parse_integer_or(const std::optional<std::string>& text,
                              std::int64_t fallback) {
    std::int64_t value = fallback;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), value);
    }
    return value;
}

http::response pending_response(const std::string& id,
                                const std::string& explanation) {
    nlohmann::json body = {
        {"id", id}, {"state", "pending"}, {"explanation", explanation}};
    return json_response(body.dump());
}

} // namespace

http_api::http_api(kernel::loop& event_loop, scheduler_task& scheduler,
                   observe::metrics& metrics, observe::tracer& tracer,
                   std::function<void()> refresh)
    : m_event_loop(event_loop), m_scheduler(scheduler), m_metrics(metrics),
      m_tracer(tracer), m_refresh(std::move(refresh)),
      m_inbox(event_loop, [this](api_message&& message) {
          on_message(std::move(message));
      }) {}

base::result<std::unique_ptr<http_api>>
http_api::listen(kernel::loop& event_loop, const std::string& address,
                 scheduler_task& scheduler, observe::metrics& metrics,
                 observe::tracer& tracer, std::function<void()> refresh) {
    std::unique_ptr<http_api> self(new http_api(event_loop, scheduler, metrics,
                                                tracer, std::move(refresh)));
    http_api* raw = self.get();
    auto server = http::server::listen(
        event_loop, address,
        [raw](const exchange_ptr& exchange) { raw->route_exchange(exchange); });
    if (!server) {
        return tl::unexpected(server.error());
    }
    self->m_server = std::move(*server);
    return self;
}

void http_api::route_exchange(const exchange_ptr& exchange) {
    static const route routes[] = {
        {"POST", "/v1/requests", &http_api::submit},
        {"GET", "/v1/requests", &http_api::list_requests},
        {"GET", "/v1/requests/*", &http_api::show_request},
        {"DELETE", "/v1/requests/*", &http_api::cancel},
        {"GET", "/v1/endpoints", &http_api::show_endpoints},
        {"GET", "/v1/members", &http_api::show_members},
        {"GET", "/v1/queue", &http_api::show_queue},
        {"GET", "/v1/bundle", &http_api::show_bundle},
        {"POST", "/v1/bundle", &http_api::roll_out},
        {"GET", "/v1/traces/*", &http_api::show_trace},
        {"GET", "/metrics", &http_api::show_metrics},
        {"GET", "/healthz", &http_api::show_health},
        {"GET", "/readyz", &http_api::show_readiness}};
    for (const route& candidate : routes) {
        std::string path = candidate.path;
        bool is_prefix = path.back() == '*';
        if (is_prefix) {
            path.pop_back();
        }
        bool matches = is_prefix ? exchange->path().starts_with(path) &&
                                       exchange->path().size() > path.size()
                                 : exchange->path() == path;
        if (matches && exchange->method() == candidate.method) {
            (this->*candidate.handle)(exchange,
                                      exchange->path().substr(path.size()));
            return;
        }
    }
    exchange->respond(
        problem_response(http::code::not_found, "no such resource",
                         exchange->method() + " " + exchange->path() +
                             " is not served; see docs/API.md"));
}

caller_token http_api::add_waiting_caller(waiting_caller entry) {
    caller_token token = m_next_token++;
    m_waiting.emplace(token, std::move(entry));
    return token;
}

void http_api::submit(const exchange_ptr& exchange, const std::string&) {
    auto body = base::parse_object(exchange->body(), "request.parse", "caller");
    if (!body) {
        exchange->respond(error_response(body.error()));
        return;
    }
    auto request = admission::parse_request(
        *body, exchange->header("Idempotency-Key").value_or(""));
    if (request && request->id.find('/') != std::string::npos) {
        request =
            base::fail(base::error_code::invalid_argument, "request.parse",
                       "caller", "Idempotency-Key must not contain '/'");
    }
    if (!request) {
        exchange->respond(error_response(request.error()));
        return;
    }
    auto parent = observe::parse_traceparent(
        exchange->header("traceparent").value_or(""));
    waiting_caller entry;
    entry.exchange = exchange;
    entry.id = request->id;
    entry.context = m_tracer.child_of(parent);
    entry.parent_span = parent ? parent->span_id : "";
    entry.received_at = base::monotonic_now();
    request->traceparent = observe::to_traceparent(entry.context);
    bool respond_async =
        exchange->header("Prefer").value_or("") == "respond-async";
    if (respond_async) {
        exchange->respond(accepted_response(request->id));
    }
    m_scheduler.inbox().post(
        submit_request{*request, add_waiting_caller(std::move(entry))});
}

void http_api::show_request(const exchange_ptr& exchange,
                            const std::string& path_suffix) {
    std::string id = path_suffix;
    constexpr std::string_view suffix = "/explain";
    if (id.ends_with(suffix)) {
        explain(exchange, id.substr(0, id.size() - suffix.size()));
        return;
    }
    auto wait =
        base::milliseconds(parse_integer_or(exchange->query("wait_ms"), 0));
    bool is_known_here =
        m_scheduler.entry_node().state().requests.find(id) != nullptr;
    base::milliseconds timeout = std::clamp(
        wait, is_known_here ? base::milliseconds(1) : min_lookup_wait,
        max_status_wait);
    waiting_caller entry;
    entry.exchange = exchange;
    entry.id = id;
    entry.is_status_query = true;
    caller_token token = add_waiting_caller(std::move(entry));
    auto timer = std::make_unique<kernel::timer>(m_event_loop, [this, token] {
        auto found = m_waiting.find(token);
        std::string name = found->second.id;
        found->second.exchange->respond(
            pending_response(name, m_scheduler.entry_node().explain(name)));
        m_scheduler.inbox().post(detach_caller{name, token});
        // Erasing the entry destroys this timer, so it is deferred until the
        // callback has returned.
        m_event_loop.defer([this, token] { m_waiting.erase(token); });
    });
    timer->start_once(timeout);
    m_waiting[token].timeout = std::move(timer);
    m_scheduler.inbox().post(await_request{id, token});
}

void http_api::end_status_waits() {
    for (auto& [token, entry] : m_waiting) {
        if (entry.is_status_query) {
            entry.timeout->start_once(base::milliseconds(0));
        }
    }
}

void http_api::explain(const exchange_ptr& exchange, const std::string& id) {
    nlohmann::json body = {
        {"id", id},
        {"entry_vm", m_scheduler.entry_node().state().config.id},
        {"explanation", m_scheduler.entry_node().explain(id)}};
    exchange->respond(json_response(body.dump()));
}

void http_api::cancel(const exchange_ptr& exchange,
                      const std::string& path_suffix) {
    m_scheduler.inbox().post(cancel_request{path_suffix});
    exchange->respond(accepted_response(path_suffix));
}

void http_api::list_requests(const exchange_ptr& exchange, const std::string&) {
    constexpr std::size_t max_listed = 1000;
    nlohmann::json all = nlohmann::json::array();
    for (const auto& [id, entry] :
         m_scheduler.entry_node().state().requests.all()) {
        if (all.size() >= max_listed) {
            break;
        }
        nlohmann::json row = {{"id", id},
                              {"stage", node::to_string(entry->stage)},
                              {"team", entry->request.team},
                              {"kind", entry->request.kind}};
        if (entry->stage == node::request_stage::answered) {
            row["outcome"] = base::to_string(entry->final_answer.result);
        }
        all.push_back(std::move(row));
    }
    exchange->respond(json_response(nlohmann::json{{"requests", all}}.dump()));
}

void http_api::show_endpoints(const exchange_ptr& exchange,
                              const std::string&) {
    nlohmann::json all = nlohmann::json::array();
    for (const auto& [name, session] :
         m_scheduler.entry_node().state().endpoint_pool.sessions()) {
        all.push_back({{"name", name},
                       {"held", session->has_claim()},
                       {"wanted", session->claim_desired()},
                       {"leaving", session->is_leaving()},
                       {"quarantined", session->health().is_quarantined()},
                       {"epoch", session->epoch()},
                       {"holder", session->other_holder()},
                       {"capacity", session->capacity()},
                       {"committed", session->committed()},
                       {"tasks", session->tasks().size()}});
    }
    exchange->respond(json_response(nlohmann::json{{"endpoints", all}}.dump()));
}

void http_api::show_members(const exchange_ptr& exchange, const std::string&) {
    const node::context& state = m_scheduler.entry_node().state();
    nlohmann::json all = nlohmann::json::array();
    base::instant now = base::monotonic_now();
    for (const auto& [id, member] : state.membership_view.members()) {
        all.push_back({{"id", id},
                       {"failure_domain", member.failure_domain},
                       {"heard", state.membership_view.is_alive(member, now)},
                       {"gone", member.gone},
                       {"left", member.left},
                       {"draining", member.draining},
                       {"http", member.http_address},
                       {"bundle_version", member.bundle_version},
                       {"free_slots", member.free_slots},
                       {"endpoints", member.holdings.size()}});
    }
    nlohmann::json body = {{"self", state.config.id},
                           {"failure_domain", state.config.failure_domain},
                           {"members", all}};
    exchange->respond(json_response(body.dump()));
}

void http_api::show_queue(const exchange_ptr& exchange, const std::string&) {
    const node::context& state = m_scheduler.entry_node().state();
    nlohmann::json ranks = nlohmann::json::array();
    for (int rank = 0; rank < admission::rank_count; ++rank) {
        ranks.push_back({{"rank", rank},
                         {"items", state.queue.size_of_rank(rank)},
                         {"expected_wait_ms",
                          state.request_handler->expected_wait(rank).count()}});
    }
    nlohmann::json body = {{"ranks", ranks},
                           {"jobs", state.job_coordinator->size()}};
    exchange->respond(json_response(body.dump()));
}

void http_api::show_bundle(const exchange_ptr& exchange, const std::string&) {
    const node::context& state = m_scheduler.entry_node().state();
    nlohmann::json body = {{"version", state.bundle_version()},
                           {"envelope", state.configurator->bundle_text()}};
    exchange->respond(json_response(body.dump()));
}

void http_api::roll_out(const exchange_ptr& exchange, const std::string&) {
    waiting_caller entry;
    entry.exchange = exchange;
    m_scheduler.inbox().post(roll_out_bundle{
        exchange->body(), add_waiting_caller(std::move(entry))});
}

void http_api::show_trace(const exchange_ptr& exchange,
                          const std::string& path_suffix) {
    nlohmann::json all = nlohmann::json::array();
    for (const observe::span& span : m_tracer.find(path_suffix)) {
        all.push_back({{"trace_id", span.context.trace_id},
                       {"span_id", span.context.span_id},
                       {"parent_span_id", span.parent_span_id},
                       {"name", span.name},
                       {"process", span.process},
                       {"request_id", span.request_id},
                       {"start_unix_ms", span.start_unix_ms},
                       {"duration_ms", span.duration.count()}});
    }
    exchange->respond(json_response(nlohmann::json{{"spans", all}}.dump()));
}

void http_api::show_metrics(const exchange_ptr& exchange, const std::string&) {
    m_refresh();
    http::response out;
    out.content_type = "text/plain; version=0.0.4";
    out.body = m_metrics.to_prometheus();
    exchange->respond(std::move(out));
}

void http_api::show_health(const exchange_ptr& exchange, const std::string&) {
    exchange->respond(json_response(R"({"status":"alive"})"));
}

void http_api::show_readiness(const exchange_ptr& exchange,
                              const std::string&) {
    if (m_scheduler.entry_node().ready()) {
        exchange->respond(json_response(R"({"status":"ready"})"));
        return;
    }
    exchange->respond(problem_response(http::code::unavailable, "not ready",
                                       "stopping, or without a bundle or any "
                                       "endpoint"));
}

void http_api::finish_span(const waiting_caller& entry) {
    if (entry.is_status_query || entry.context.trace_id.empty()) {
        return;
    }
    observe::span out;
    out.context = entry.context;
    out.parent_span_id = entry.parent_span;
    out.name = "request";
    out.process = m_tracer.process();
    out.request_id = entry.id;
    base::instant now = base::monotonic_now();
    out.duration = now - entry.received_at;
    out.start_unix_ms = entry.received_at.time_since_epoch().count() +
                        m_scheduler.entry_node().state().config.unix_offset_ms;
    m_tracer.record(std::move(out));
}

void http_api::on_message(api_message&& message) {
    caller_token token =
        std::visit([](const auto& item) { return item.caller; }, message);
    auto found = m_waiting.find(token);
    if (found == m_waiting.end()) {
        return;
    }
    waiting_caller entry = std::move(found->second);
    m_waiting.erase(found);
    finish_span(entry);
    if (const auto* final_reply = std::get_if<final_answer>(&message)) {
        entry.exchange->respond(
            entry.is_status_query
                ? status_response(final_reply->id, final_reply->answer)
                : answer_response(final_reply->id, final_reply->answer));
        return;
    }
    if (const auto* job = std::get_if<job_accepted>(&message)) {
        entry.exchange->respond(accepted_response(job->id));
        return;
    }
    const auto& rollout = std::get<rollout_finished>(message);
    entry.exchange->respond(rollout.result
                                ? json_response(R"({"status":"in force"})")
                                : error_response(rollout.result.error()));
}

} // namespace eelgrasslever::daemon
