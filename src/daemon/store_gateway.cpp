#include "eelgrasslever/daemon/store_gateway.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/http/code.hpp"

#include <utility>

namespace eelgrasslever::daemon {

namespace {

// Each call is a separate request on a pooled connection, so that a watching
// read that blocks at the server does not delay other calls.
http::call make_http_call(const std::string& url, const store::call& call,
                          base::milliseconds timeout) {
    http::call out;
    out.timeout = timeout + call.wait;
    std::string watch = "?known=" + std::to_string(call.known_version) +
                        "&wait_ms=" + std::to_string(call.wait.count());
    switch (call.kind) {
    case store::call_kind::read:
        out.url = url + "/v1/kv/" + call.key + watch;
        break;
    case store::call_kind::vm_list:
        out.url = url + "/v1/vms" + watch;
        break;
    case store::call_kind::write:
        out.method = "PUT";
        out.url = url + "/v1/kv/" + call.key;
        out.body = nlohmann::json{{"expected", call.expected_version},
                                  {"value", call.value}}
                       .dump();
        break;
    }
    return out;
}

/// The body of a reply to a read or a write.
struct stored_value {
    std::uint64_t version{store::absent};
    std::string value;
};

void from_json(const nlohmann::json& in, stored_value& out) {
    out.version = in.value("version", std::uint64_t{0});
    out.value = in.value("value", "");
}

store::reply read_reply(const store::call& call, const http::reply& in) {
    store::reply out;
    if (!in.reached ||
        (in.status != http::code::ok && in.status != http::code::conflict &&
         in.status != http::code::too_many_requests)) {
        return out;
    }
    if (in.status == http::code::too_many_requests) {
        out.result = store::status::refused;
        return out;
    }
    out.result = in.status == http::code::conflict ? store::status::conflict
                                                   : store::status::ok;
    if (call.kind == store::call_kind::vm_list) {
        out.value = in.body;
        return out;
    }
    auto parsed =
        base::parse_message<stored_value>(in.body, "store.reply", call.key);
    if (!parsed) {
        return {};
    }
    out.version = parsed->version;
    out.value = std::move(parsed->value);
    return out;
}

} // namespace

store_gateway::store_gateway(kernel::loop& event_loop, std::string url,
                             base::milliseconds timeout,
                             kernel::mailbox<scheduler_message>& scheduler)
    : m_url(std::move(url)), m_timeout(timeout), m_scheduler(scheduler),
      m_client(event_loop),
      m_inbox(event_loop, [this](store::call&& call) { send(call); }) {}

void store_gateway::send(const store::call& call) {
    if (call.kind == store::call_kind::write) {
        m_writes++;
    } else {
        m_reads++;
    }
    m_client.send(
        make_http_call(m_url, call, m_timeout),
        [this, call](const http::reply& in) {
            m_scheduler.post(store_replied{call, read_reply(call, in)});
        });
}

} // namespace eelgrasslever::daemon
