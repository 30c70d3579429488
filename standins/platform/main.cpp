// Stand-in for the platform: a key-value service with compare-and-swap and long
// polls, and a VM list that lags behind its updates. Faults are injected by
// POST /faults:
// {"down": true}, {"delay_ms": 300}, {"lose_replies": 5},
// {"writes_per_second": 200}.
#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/http/code.hpp"
#include "eelgrasslever/http/server.hpp"

#include <charconv>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <list>
#include <map>

DEFINE_string(listen, "127.0.0.1:9000", "IP:port on which to accept");
DEFINE_int64(list_lag_ms, 1000,
             "delay until a changed VM list becomes visible, in ms");

namespace {

namespace base = eelgrasslever::base;
namespace http = eelgrasslever::http;
namespace kernel = eelgrasslever::kernel;
using exchange_ptr = std::shared_ptr<http::exchange>;

constexpr base::milliseconds tick_interval{10};
constexpr std::size_t max_value_bytes = 1024 * 1024;

struct stored_value {
    std::uint64_t version{0};
    std::string value;
};

/// Faults set by POST /faults.
struct injected_faults {
    bool down{false};            ///< calls get no reply
    base::milliseconds delay{0}; ///< before each call takes effect
    int lose_replies{0}; ///< number of writes that take effect unanswered
    double writes_per_second{0.0}; ///< 0: no limit
};

/// Calls since the start, shown by GET /stats.
struct call_counts {
    std::uint64_t reads{0};
    std::uint64_t writes{0};
    std::uint64_t conflicts{0};
    std::uint64_t refused{0}; ///< writes above the rate limit
};

/// Serves the key-value store and the VM list over HTTP.
class platform_server {
  public:
    explicit platform_server(kernel::loop& loop)
        : m_tick(loop, [this] { advance(); }) {
        m_tick.start_every(tick_interval);
    }

    base::result<void> listen(kernel::loop& loop, const std::string& address) {
        auto server = http::server::listen(
            loop, address,
            [this](const exchange_ptr& exchange) { on_exchange(exchange); });
        if (!server) {
            return tl::unexpected(server.error());
        }
        m_server = std::move(*server);
        return {};
    }

  private:
    /// A read that is answered once the version differs from the known one or
    /// its wait has passed.
    struct pending_read {
        exchange_ptr exchange;
        std::string key; ///< empty for the VM list
        std::uint64_t known_version;
        base::instant answer_by;
    };
    /// A call that is held back by the delay fault.
    struct delayed_call {
        exchange_ptr exchange;
        base::instant due_at;
    };

    void on_exchange(const exchange_ptr& exchange) {
        if (exchange->path() == "/faults") {
            set_faults(exchange);
            return;
        }
        if (exchange->path() == "/stats") {
            send_stats(exchange);
            return;
        }
        if (m_faults.down) {
            // During an outage the connection stays open without a reply.
            m_unanswered.push_back(exchange);
            return;
        }
        if (m_faults.delay.count() > 0) {
            m_delayed_calls.push_back(
                {exchange, base::monotonic_now() + m_faults.delay});
            return;
        }
        serve(exchange);
    }

    void serve(const exchange_ptr& exchange) {
        constexpr std::string_view key_path = "/v1/kv/";
        if (exchange->path() == "/v1/vms") {
            exchange->method() == "PUT" ? set_vm_list(exchange)
                                        : read(exchange, "");
            return;
        }
        if (!exchange->path().starts_with(key_path)) {
            respond(exchange, http::code::bad_request, "{}");
            return;
        }
        std::string key = exchange->path().substr(key_path.size());
        exchange->method() == "PUT" ? write(exchange, key)
                                    : read(exchange, key);
    }

    static std::uint64_t query_number(const exchange_ptr& exchange,
                                      const char* name) {
        std::string text = exchange->query(name).value_or("0");
        std::uint64_t out = 0;
        std::from_chars(text.data(), text.data() + text.size(), out);
        return out;
    }

    void read(const exchange_ptr& exchange, const std::string& key) {
        m_counts.reads++;
        pending_read pending{
            exchange, key, query_number(exchange, "known"),
            base::monotonic_now() +
                base::milliseconds(query_number(exchange, "wait_ms"))};
        if (!answer_if_due(pending)) {
            m_pending_reads.push_back(std::move(pending));
        }
    }

    [[nodiscard]] std::uint64_t version_of(const std::string& key) const {
        if (key.empty()) {
            return m_visible_list_version;
        }
        auto found = m_values.find(key);
        return found == m_values.end() ? 0 : found->second.version;
    }

    bool answer_if_due(const pending_read& read) {
        bool is_due = version_of(read.key) != read.known_version ||
                      base::monotonic_now() >= read.answer_by;
        if (!is_due) {
            return false;
        }
        if (read.key.empty()) {
            respond(read.exchange, 200,
                    m_visible_list.empty() ? R"({"version":0,"vms":[]})"
                                           : m_visible_list);
            return true;
        }
        auto found = m_values.find(read.key);
        nlohmann::json body = {{"version", 0}, {"value", ""}};
        if (found != m_values.end()) {
            body = {{"version", found->second.version},
                    {"value", found->second.value}};
        }
        respond(read.exchange, 200, body.dump());
        return true;
    }

    /// Token bucket that holds at most one second of writes.
    bool take_write_permit() {
        if (m_faults.writes_per_second <= 0.0) {
            return true;
        }
        constexpr double milliseconds_per_second = 1000.0;
        base::instant now = base::monotonic_now();
        auto elapsed_ms =
            static_cast<double>((now - m_permits_updated_at).count());
        m_permits_updated_at = now;
        m_write_permits =
            std::min(m_faults.writes_per_second,
                     m_write_permits + elapsed_ms * m_faults.writes_per_second /
                                           milliseconds_per_second);
        if (m_write_permits < 1.0) {
            return false;
        }
        m_write_permits -= 1.0;
        return true;
    }

    void write(const exchange_ptr& exchange, const std::string& key) {
        auto body = base::parse_object(exchange->body(), "kv.write", key);
        if (!body || !body->contains("value") ||
            (*body)["value"].get<std::string>().size() > max_value_bytes) {
            respond(exchange, http::code::bad_request, "{}");
            return;
        }
        if (!take_write_permit()) {
            m_counts.refused++;
            respond(exchange, http::code::too_many_requests, "{}");
            return;
        }
        m_counts.writes++;
        std::uint64_t expected = body->value("expected", std::uint64_t{0});
        std::uint64_t present = version_of(key);
        if (present != expected) {
            m_counts.conflicts++;
            respond(exchange, http::code::conflict,
                    nlohmann::json{{"version", present}}.dump());
            return;
        }
        stored_value& stored = m_values[key];
        stored.version = ++m_last_version;
        stored.value = (*body)["value"].get<std::string>();
        if (m_faults.lose_replies > 0) {
            m_faults.lose_replies--;
            m_unanswered.push_back(exchange);
        } else {
            respond(exchange, 200,
                    nlohmann::json{{"version", stored.version}}.dump());
        }
        answer_due_reads();
    }

    void set_vm_list(const exchange_ptr& exchange) {
        auto body = base::parse_object(exchange->body(), "vms", "operator");
        if (!body) {
            respond(exchange, http::code::bad_request, "{}");
            return;
        }
        m_next_list_version++;
        (*body)["version"] = m_next_list_version;
        m_pending_list = body->dump();
        base::milliseconds lag(m_visible_list_version == 0 ? 0
                                                           : FLAGS_list_lag_ms);
        m_list_visible_at = base::monotonic_now() + lag;
        respond(exchange, 200, "{}");
    }

    void set_faults(const exchange_ptr& exchange) {
        auto body = base::parse_object(exchange->body(), "faults", "operator");
        if (body) {
            m_faults.down = body->value("down", m_faults.down);
            m_faults.delay = base::milliseconds(
                body->value("delay_ms", m_faults.delay.count()));
            m_faults.lose_replies =
                body->value("lose_replies", m_faults.lose_replies);
            m_faults.writes_per_second =
                body->value("writes_per_second", m_faults.writes_per_second);
        }
        if (m_faults.down) {
            for (const pending_read& read : m_pending_reads) {
                m_unanswered.push_back(read.exchange);
            }
            m_pending_reads.clear();
        }
        respond(exchange, 200, "{}");
    }

    void send_stats(const exchange_ptr& exchange) {
        std::size_t bytes = 0;
        for (const auto& [key, stored] : m_values) {
            bytes += stored.value.size();
        }
        respond(exchange, 200,
                nlohmann::json{{"reads", m_counts.reads},
                               {"writes", m_counts.writes},
                               {"conflicts", m_counts.conflicts},
                               {"refused", m_counts.refused},
                               {"keys", m_values.size()},
                               {"value_bytes", bytes}}
                    .dump());
    }

    static void respond(const exchange_ptr& exchange, int status,
                        const std::string& body) {
        http::response out;
        out.status = status;
        out.body = body;
        exchange->respond(std::move(out));
    }

    void answer_due_reads() {
        for (auto it = m_pending_reads.begin(); it != m_pending_reads.end();) {
            it = answer_if_due(*it) ? m_pending_reads.erase(it) : std::next(it);
        }
    }

    void advance() {
        base::instant now = base::monotonic_now();
        if (!m_pending_list.empty() && now >= m_list_visible_at) {
            m_visible_list = std::move(m_pending_list);
            m_pending_list.clear();
            m_visible_list_version = m_next_list_version;
        }
        std::list<delayed_call> due;
        for (auto it = m_delayed_calls.begin(); it != m_delayed_calls.end();) {
            auto next = std::next(it);
            if (now >= it->due_at) {
                due.splice(due.end(), m_delayed_calls, it);
            }
            it = next;
        }
        for (const delayed_call& call : due) {
            serve(call.exchange);
        }
        answer_due_reads();
        std::erase_if(m_unanswered, [](const exchange_ptr& exchange) {
            return exchange->closed();
        });
    }

    kernel::timer m_tick;
    std::unique_ptr<http::server> m_server;
    injected_faults m_faults;
    call_counts m_counts;
    std::map<std::string, stored_value> m_values;
    std::uint64_t m_last_version{0};
    std::string m_visible_list;
    std::string m_pending_list;
    std::uint64_t m_visible_list_version{0};
    std::uint64_t m_next_list_version{0};
    base::instant m_list_visible_at{};
    std::list<pending_read> m_pending_reads;
    std::list<delayed_call> m_delayed_calls;
    /// Kept open, so that their callers time out rather than see a reset.
    std::list<exchange_ptr> m_unanswered;
    double m_write_permits{0.0};
    base::instant m_permits_updated_at{};
};

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "stand-in for the platform's key-value service and VM list");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    kernel::loop loop;
    platform_server server(loop);
    auto listening = server.listen(loop, FLAGS_listen);
    if (!listening) {
        std::cerr << listening.error().message() << "\n";
        return 1;
    }
    loop.run();
    return 0;
}
