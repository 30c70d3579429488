#include "eelgrasslever/daemon/endpoint_gateway.hpp"

#include "eelgrasslever/base/json.hpp"

#include <utility>

namespace eelgrasslever::daemon {

namespace {

endpoint::reply read_reply(const http::reply& in, const std::string& from) {
    endpoint::reply out;
    if (!in.reached || in.status >= 500) {
        out.failure =
            in.reached ? "HTTP " + std::to_string(in.status) : in.failure;
        return out;
    }
    auto parsed =
        base::parse_message<endpoint::reply>(in.body, "endpoint.reply", from);
    if (!parsed) {
        out.failure = parsed.error().message();
        return out;
    }
    return *parsed;
}

} // namespace

endpoint_gateway::endpoint_gateway(
    kernel::loop& event_loop, kernel::mailbox<scheduler_message>& scheduler)
    : m_scheduler(scheduler), m_client(event_loop),
      m_inbox(event_loop, [this](endpoint_call&& message) { send(message); }) {}

void endpoint_gateway::send(const endpoint_call& message) {
    if (message.address.empty()) {
        m_scheduler.post(endpoint_replied{message.endpoint, message.call, {}});
        return;
    }
    http::call out;
    out.method = "POST";
    out.url =
        "http://" + message.address + endpoint::call_path(message.call.kind);
    out.body = nlohmann::json(message.call).dump();
    out.timeout = message.call.timeout;
    out.fresh_connection = message.call.fresh_connection;
    m_client.send(out, [this, endpoint = message.endpoint,
                        call = message.call](const http::reply& in) {
        m_scheduler.post(
            endpoint_replied{endpoint, call, read_reply(in, endpoint)});
    });
}

} // namespace eelgrasslever::daemon
