#include "eelgrasslever/daemon/http_front.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/daemon/responses.hpp"
#include "eelgrasslever/http/code.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace eelgrasslever::daemon {

namespace {

constexpr base::milliseconds longest_status_wait{60 * 1000};
constexpr base::milliseconds lookup_wait{1500};

std::int64_t number_or(const std::optional<std::string>& text,
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

http_front::http_front(kernel::loop& owner, scheduler_task& scheduler,
                       observe::metrics& numbers, observe::tracer& spans,
                       std::function<void()> refresh)
    : m_owner(owner), m_scheduler(scheduler), m_metrics(numbers),
      m_tracer(spans), m_refresh(std::move(refresh)),
      m_inbox(owner,
              [this](to_front&& message) { on_message(std::move(message)); }) {}

base::result<std::unique_ptr<http_front>>
http_front::listen(kernel::loop& owner, const std::string& address,
                   scheduler_task& scheduler, observe::metrics& numbers,
                   observe::tracer& spans, std::function<void()> refresh) {
    std::unique_ptr<http_front> self(
        new http_front(owner, scheduler, numbers, spans, std::move(refresh)));
    http_front* raw = self.get();
    auto server =
        http::server::listen(owner, address, [raw](const exchange_ptr& caller) {
            raw->on_exchange(caller);
        });
    if (!server) {
        return tl::unexpected(server.error());
    }
    self->m_server = std::move(*server);
    return self;
}

void http_front::on_exchange(const exchange_ptr& caller) {
    static const route routes[] = {
        {"POST", "/v1/requests", &http_front::submit},
        {"GET", "/v1/requests", &http_front::list_requests},
        {"GET", "/v1/requests/*", &http_front::show_request},
        {"DELETE", "/v1/requests/*", &http_front::cancel},
        {"GET", "/v1/endpoints", &http_front::show_endpoints},
        {"GET", "/v1/members", &http_front::show_members},
        {"GET", "/v1/queue", &http_front::show_queue},
        {"GET", "/v1/bundle", &http_front::show_bundle},
        {"POST", "/v1/bundle", &http_front::roll_out},
        {"GET", "/v1/traces/*", &http_front::show_trace},
        {"GET", "/metrics", &http_front::show_metrics},
        {"GET", "/healthz", &http_front::health},
        {"GET", "/readyz", &http_front::ready}};
    for (const route& item : routes) {
        std::string path = item.path;
        bool prefix = path.back() == '*';
        if (prefix) {
            path.pop_back();
        }
        bool matches = prefix ? caller->path().starts_with(path) &&
                                    caller->path().size() > path.size()
                              : caller->path() == path;
        if (matches && caller->method() == item.method) {
            (this->*item.handle)(caller, caller->path().substr(path.size()));
            return;
        }
    }
    caller->respond(problem_response(http::code::not_found, "no such resource",
                                     caller->method() + " " + caller->path() +
                                         " is not served; see docs/API.md"));
}

caller_token http_front::add_waiting(waiting_caller entry) {
    caller_token token = m_next_token++;
    m_waiting.emplace(token, std::move(entry));
    return token;
}

void http_front::submit(const exchange_ptr& caller, const std::string&) {
    auto body = base::parse_object(caller->body(), "request.parse", "caller");
    if (!body) {
        caller->respond(error_response(body.error()));
        return;
    }
    auto request = admission::parse_request(
        *body, caller->header("Idempotency-Key").value_or(""));
    if (request && request->id.find('/') != std::string::npos) {
        request =
            base::fail(base::error_code::invalid_argument, "request.parse",
                       "caller", "Idempotency-Key must not contain '/'");
    }
    if (!request) {
        caller->respond(error_response(request.error()));
        return;
    }
    auto parent =
        observe::parse_traceparent(caller->header("traceparent").value_or(""));
    waiting_caller entry;
    entry.exchange = caller;
    entry.id = request->id;
    entry.context = m_tracer.child_of(parent);
    entry.parent_span = parent ? parent->span_id : "";
    entry.since = base::monotonic_now();
    request->traceparent = observe::to_traceparent(entry.context);
    bool asynchronous =
        caller->header("Prefer").value_or("") == "respond-async";
    if (asynchronous) {
        caller->respond(accepted_response(request->id));
    }
    m_scheduler.inbox().post(
        submit_request{*request, add_waiting(std::move(entry))});
}

void http_front::show_request(const exchange_ptr& caller,
                              const std::string& rest) {
    std::string id = rest;
    constexpr std::string_view suffix = "/explain";
    if (id.ends_with(suffix)) {
        explain(caller, id.substr(0, id.size() - suffix.size()));
        return;
    }
    auto wait = base::milliseconds(number_or(caller->query("wait_ms"), 0));
    bool known = m_scheduler.state().state().requests.find(id) != nullptr;
    base::milliseconds limit = std::clamp(
        wait, known ? base::milliseconds(1) : lookup_wait, longest_status_wait);
    waiting_caller entry;
    entry.exchange = caller;
    entry.id = id;
    entry.status_only = true;
    caller_token token = add_waiting(std::move(entry));
    auto timer = std::make_unique<kernel::timer>(m_owner, [this, token] {
        auto found = m_waiting.find(token);
        std::string name = found->second.id;
        found->second.exchange->respond(
            pending_response(name, m_scheduler.state().explain(name)));
        m_scheduler.inbox().post(caller_left{name, token});
        // The timer must outlive its own callback.
        m_owner.defer([this, token] { m_waiting.erase(token); });
    });
    timer->start_once(limit);
    m_waiting[token].limit = std::move(timer);
    m_scheduler.inbox().post(await_request{id, token});
}

void http_front::release_status_waits() {
    for (auto& [token, entry] : m_waiting) {
        if (entry.status_only) {
            entry.limit->start_once(base::milliseconds(0));
        }
    }
}

void http_front::explain(const exchange_ptr& caller, const std::string& id) {
    nlohmann::json body = {{"id", id},
                           {"entry_vm", m_scheduler.state().state().config.id},
                           {"explanation", m_scheduler.state().explain(id)}};
    caller->respond(json_response(body.dump()));
}

void http_front::cancel(const exchange_ptr& caller, const std::string& rest) {
    m_scheduler.inbox().post(cancel_request{rest});
    caller->respond(accepted_response(rest));
}

void http_front::list_requests(const exchange_ptr& caller, const std::string&) {
    constexpr std::size_t most = 1000;
    nlohmann::json all = nlohmann::json::array();
    for (const auto& [id, item] : m_scheduler.state().state().requests.all()) {
        if (all.size() >= most) {
            break;
        }
        nlohmann::json row = {{"id", id},
                              {"stage", node::to_string(item->stage)},
                              {"team", item->request.team},
                              {"kind", item->request.kind}};
        if (item->stage == node::request_stage::answered) {
            row["outcome"] = base::to_string(item->final_answer.result);
        }
        all.push_back(std::move(row));
    }
    caller->respond(json_response(nlohmann::json{{"requests", all}}.dump()));
}

void http_front::show_endpoints(const exchange_ptr& caller,
                                const std::string&) {
    nlohmann::json all = nlohmann::json::array();
    for (const auto& [name, at] :
         m_scheduler.state().state().endpoint_pool.sessions()) {
        all.push_back({{"name", name},
                       {"held", at->has_claim()},
                       {"wanted", at->claim_desired()},
                       {"leaving", at->is_leaving()},
                       {"quarantined", at->health().is_quarantined()},
                       {"epoch", at->epoch()},
                       {"holder", at->other_holder()},
                       {"capacity", at->capacity()},
                       {"committed", at->committed()},
                       {"tasks", at->tasks().size()}});
    }
    caller->respond(json_response(nlohmann::json{{"endpoints", all}}.dump()));
}

void http_front::show_members(const exchange_ptr& caller, const std::string&) {
    const node::context& state = m_scheduler.state().state();
    nlohmann::json all = nlohmann::json::array();
    base::instant now = base::monotonic_now();
    for (const auto& [id, who] : state.membership_view.members()) {
        all.push_back({{"id", id},
                       {"failure_domain", who.failure_domain},
                       {"heard", state.membership_view.is_alive(who, now)},
                       {"gone", who.gone},
                       {"left", who.left},
                       {"draining", who.draining},
                       {"http", who.http_address},
                       {"bundle_version", who.bundle_version},
                       {"free_slots", who.free_slots},
                       {"endpoints", who.holdings.size()}});
    }
    nlohmann::json body = {{"self", state.config.id},
                           {"failure_domain", state.config.failure_domain},
                           {"members", all}};
    caller->respond(json_response(body.dump()));
}

void http_front::show_queue(const exchange_ptr& caller, const std::string&) {
    const node::context& state = m_scheduler.state().state();
    nlohmann::json ranks = nlohmann::json::array();
    for (int rank = 0; rank < admission::rank_count; ++rank) {
        ranks.push_back({{"rank", rank},
                         {"items", state.queue.size_of_rank(rank)},
                         {"expected_wait_ms",
                          state.request_handler->expected_wait(rank).count()}});
    }
    nlohmann::json body = {{"ranks", ranks},
                           {"jobs", state.job_coordinator->size()}};
    caller->respond(json_response(body.dump()));
}

void http_front::show_bundle(const exchange_ptr& caller, const std::string&) {
    const node::context& state = m_scheduler.state().state();
    nlohmann::json body = {{"version", state.bundle_version()},
                           {"envelope", state.configurator->bundle_text()}};
    caller->respond(json_response(body.dump()));
}

void http_front::roll_out(const exchange_ptr& caller, const std::string&) {
    waiting_caller entry;
    entry.exchange = caller;
    m_scheduler.inbox().post(
        roll_out_bundle{caller->body(), add_waiting(std::move(entry))});
}

void http_front::show_trace(const exchange_ptr& caller,
                            const std::string& rest) {
    nlohmann::json all = nlohmann::json::array();
    for (const observe::span& item : m_tracer.find(rest)) {
        all.push_back({{"trace_id", item.context.trace_id},
                       {"span_id", item.context.span_id},
                       {"parent_span_id", item.parent_span_id},
                       {"name", item.name},
                       {"process", item.process},
                       {"request_id", item.request_id},
                       {"start_unix_ms", item.start_unix_ms},
                       {"duration_ms", item.duration.count()}});
    }
    caller->respond(json_response(nlohmann::json{{"spans", all}}.dump()));
}

void http_front::show_metrics(const exchange_ptr& caller, const std::string&) {
    m_refresh();
    http::response out;
    out.content_type = "text/plain; version=0.0.4";
    out.body = m_metrics.to_prometheus();
    caller->respond(std::move(out));
}

void http_front::health(const exchange_ptr& caller, const std::string&) {
    caller->respond(json_response(R"({"status":"alive"})"));
}

void http_front::ready(const exchange_ptr& caller, const std::string&) {
    if (m_scheduler.state().ready()) {
        caller->respond(json_response(R"({"status":"ready"})"));
        return;
    }
    caller->respond(problem_response(http::code::unavailable, "not ready",
                                     "stopping, or without a bundle or any "
                                     "endpoint"));
}

void http_front::finish_span(const waiting_caller& entry) {
    if (entry.status_only || entry.context.trace_id.empty()) {
        return;
    }
    observe::span out;
    out.context = entry.context;
    out.parent_span_id = entry.parent_span;
    out.name = "request";
    out.process = m_tracer.process();
    out.request_id = entry.id;
    base::instant now = base::monotonic_now();
    out.duration = now - entry.since;
    out.start_unix_ms = entry.since.time_since_epoch().count() +
                        m_scheduler.state().state().config.unix_offset_ms;
    m_tracer.record(std::move(out));
}

void http_front::on_message(to_front&& message) {
    caller_token token =
        std::visit([](const auto& item) { return item.caller; }, message);
    auto found = m_waiting.find(token);
    if (found == m_waiting.end()) {
        return;
    }
    waiting_caller entry = std::move(found->second);
    m_waiting.erase(found);
    finish_span(entry);
    if (const auto* done = std::get_if<final_answer>(&message)) {
        entry.exchange->respond(entry.status_only
                                    ? status_response(done->id, done->value)
                                    : answer_response(done->id, done->value));
        return;
    }
    if (const auto* job = std::get_if<job_accepted>(&message)) {
        entry.exchange->respond(accepted_response(job->id));
        return;
    }
    const auto& ended = std::get<rollout_ended>(message);
    entry.exchange->respond(ended.result
                                ? json_response(R"({"status":"in force"})")
                                : error_response(ended.result.error()));
}

} // namespace eelgrasslever::daemon
