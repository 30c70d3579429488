// Stand-in for the platform: the key-value service with compare-and-swap and
// watches, and the lagging VM list. Faults are switched by POST /faults:
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

DEFINE_string(listen, "127.0.0.1:9000", "IP:port");
DEFINE_int64(list_lag_ms, 1000, "age at which a changed VM list is shown");

namespace {

namespace base = eelgrasslever::base;
namespace http = eelgrasslever::http;
namespace kernel = eelgrasslever::kernel;
using exchange_ptr = std::shared_ptr<http::exchange>;

constexpr base::milliseconds tick_period{10};
constexpr std::size_t max_value_bytes = 1024 * 1024;

struct stored_value {
    std::uint64_t version{0};
    std::string value;
};

struct injected_faults {
    bool down{false};
    base::milliseconds delay{0};
    int lose_replies{0};
    double writes_per_second{0.0}; ///< 0: no limit
};

struct call_totals {
    std::uint64_t reads{0};
    std::uint64_t writes{0};
    std::uint64_t conflicts{0};
    std::uint64_t refused{0};
};

class platform {
  public:
    explicit platform(kernel::loop& owner)
        : m_tick(owner, [this] { advance(); }) {
        m_tick.start_every(tick_period);
    }

    base::result<void> listen(kernel::loop& owner, const std::string& address) {
        auto server = http::server::listen(
            owner, address,
            [this](const exchange_ptr& at) { on_exchange(at); });
        if (!server) {
            return tl::unexpected(server.error());
        }
        m_server = std::move(*server);
        return {};
    }

  private:
    struct watcher {
        exchange_ptr exchange;
        std::string key; ///< empty: the VM list
        std::uint64_t known;
        base::instant until;
    };
    struct delayed {
        exchange_ptr exchange;
        base::instant when;
    };

    void on_exchange(const exchange_ptr& at) {
        if (at->path() == "/faults") {
            set_faults(at);
            return;
        }
        if (at->path() == "/stats") {
            show_stats(at);
            return;
        }
        if (m_faults.down) {
            m_unanswered.push_back(at); // An outage is silence.
            return;
        }
        if (m_faults.delay.count() > 0) {
            m_delayed.push_back({at, base::monotonic_now() + m_faults.delay});
            return;
        }
        serve(at);
    }

    void serve(const exchange_ptr& at) {
        constexpr std::string_view keys = "/v1/kv/";
        if (at->path() == "/v1/vms") {
            at->method() == "PUT" ? set_list(at) : watch(at, "");
            return;
        }
        if (!at->path().starts_with(keys)) {
            respond(at, http::code::bad_request, "{}");
            return;
        }
        std::string key = at->path().substr(keys.size());
        at->method() == "PUT" ? write(at, key) : watch(at, key);
    }

    static std::uint64_t number(const exchange_ptr& at, const char* name) {
        std::string text = at->query(name).value_or("0");
        std::uint64_t out = 0;
        std::from_chars(text.data(), text.data() + text.size(), out);
        return out;
    }

    void watch(const exchange_ptr& at, const std::string& key) {
        m_totals.reads++;
        watcher item{at, key, number(at, "known"),
                     base::monotonic_now() +
                         base::milliseconds(number(at, "wait_ms"))};
        if (!try_answer(item)) {
            m_watchers.push_back(std::move(item));
        }
    }

    [[nodiscard]] std::uint64_t version_of(const std::string& key) const {
        if (key.empty()) {
            return m_shown_list_version;
        }
        auto found = m_values.find(key);
        return found == m_values.end() ? 0 : found->second.version;
    }

    bool try_answer(const watcher& item) {
        bool due = version_of(item.key) != item.known ||
                   base::monotonic_now() >= item.until;
        if (!due) {
            return false;
        }
        if (item.key.empty()) {
            respond(item.exchange, 200,
                    m_shown_list.empty() ? R"({"version":0,"vms":[]})"
                                         : m_shown_list);
            return true;
        }
        auto found = m_values.find(item.key);
        nlohmann::json body = {{"version", 0}, {"value", ""}};
        if (found != m_values.end()) {
            body = {{"version", found->second.version},
                    {"value", found->second.value}};
        }
        respond(item.exchange, 200, body.dump());
        return true;
    }

    bool within_rate() {
        if (m_faults.writes_per_second <= 0.0) {
            return true;
        }
        constexpr double milliseconds_per_second = 1000.0;
        base::instant now = base::monotonic_now();
        auto passed = static_cast<double>((now - m_last_grant).count());
        m_last_grant = now;
        m_grants = std::min(m_faults.writes_per_second,
                            m_grants + passed * m_faults.writes_per_second /
                                           milliseconds_per_second);
        if (m_grants < 1.0) {
            return false;
        }
        m_grants -= 1.0;
        return true;
    }

    void write(const exchange_ptr& at, const std::string& key) {
        auto body = base::parse_object(at->body(), "kv.write", key);
        if (!body || !body->contains("value") ||
            (*body)["value"].get<std::string>().size() > max_value_bytes) {
            respond(at, http::code::bad_request, "{}");
            return;
        }
        if (!within_rate()) {
            m_totals.refused++;
            respond(at, http::code::too_many_requests, "{}");
            return;
        }
        m_totals.writes++;
        std::uint64_t expected = body->value("expected", std::uint64_t{0});
        std::uint64_t present = version_of(key);
        if (present != expected) {
            m_totals.conflicts++;
            respond(at, http::code::conflict,
                    nlohmann::json{{"version", present}}.dump());
            return;
        }
        stored_value& slot = m_values[key];
        slot.version = ++m_last_version;
        slot.value = (*body)["value"].get<std::string>();
        if (m_faults.lose_replies > 0) {
            m_faults.lose_replies--;
            m_unanswered.push_back(at);
        } else {
            respond(at, 200, nlohmann::json{{"version", slot.version}}.dump());
        }
        answer_watchers();
    }

    void set_list(const exchange_ptr& at) {
        auto body = base::parse_object(at->body(), "vms", "operator");
        if (!body) {
            respond(at, http::code::bad_request, "{}");
            return;
        }
        m_next_list_version++;
        (*body)["version"] = m_next_list_version;
        m_pending_list = body->dump();
        base::milliseconds lag(m_shown_list_version == 0 ? 0
                                                         : FLAGS_list_lag_ms);
        m_show_list_at = base::monotonic_now() + lag;
        respond(at, 200, "{}");
    }

    void set_faults(const exchange_ptr& at) {
        auto body = base::parse_object(at->body(), "faults", "operator");
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
            for (const watcher& item : m_watchers) {
                m_unanswered.push_back(item.exchange);
            }
            m_watchers.clear();
        }
        respond(at, 200, "{}");
    }

    void show_stats(const exchange_ptr& at) {
        std::size_t bytes = 0;
        for (const auto& [key, slot] : m_values) {
            bytes += slot.value.size();
        }
        respond(at, 200,
                nlohmann::json{{"reads", m_totals.reads},
                               {"writes", m_totals.writes},
                               {"conflicts", m_totals.conflicts},
                               {"refused", m_totals.refused},
                               {"keys", m_values.size()},
                               {"value_bytes", bytes}}
                    .dump());
    }

    static void respond(const exchange_ptr& at, int status,
                        const std::string& body) {
        http::response out;
        out.status = status;
        out.body = body;
        at->respond(std::move(out));
    }

    void answer_watchers() {
        for (auto it = m_watchers.begin(); it != m_watchers.end();) {
            it = try_answer(*it) ? m_watchers.erase(it) : std::next(it);
        }
    }

    void advance() {
        base::instant now = base::monotonic_now();
        if (!m_pending_list.empty() && now >= m_show_list_at) {
            m_shown_list = std::move(m_pending_list);
            m_pending_list.clear();
            m_shown_list_version = m_next_list_version;
        }
        std::list<delayed> due;
        for (auto it = m_delayed.begin(); it != m_delayed.end();) {
            auto next = std::next(it);
            if (now >= it->when) {
                due.splice(due.end(), m_delayed, it);
            }
            it = next;
        }
        for (const delayed& item : due) {
            serve(item.exchange);
        }
        answer_watchers();
        std::erase_if(m_unanswered,
                      [](const exchange_ptr& at) { return at->closed(); });
    }

    kernel::timer m_tick;
    std::unique_ptr<http::server> m_server;
    injected_faults m_faults;
    call_totals m_totals;
    std::map<std::string, stored_value> m_values;
    std::uint64_t m_last_version{0};
    std::string m_shown_list;
    std::string m_pending_list;
    std::uint64_t m_shown_list_version{0};
    std::uint64_t m_next_list_version{0};
    base::instant m_show_list_at{};
    std::list<watcher> m_watchers;
    std::list<delayed> m_delayed;
    std::list<exchange_ptr> m_unanswered;
    double m_grants{0.0};
    base::instant m_last_grant{};
};

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("stand-in for the platform's key-value service");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    kernel::loop loop;
    platform service(loop);
    auto listening = service.listen(loop, FLAGS_listen);
    if (!listening) {
        std::cerr << listening.error().message() << "\n";
        return 1;
    }
    loop.run();
    return 0;
}
