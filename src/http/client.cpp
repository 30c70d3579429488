#include "eelgrasslever/http/client.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <curl/curl.h>
#include <functional>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrasslever::http {

namespace {

/// Connections are kept in this many caches, by server. Once a second libcurl
/// checks all idle connections of a cache, and again from the first one for
/// each that the server has closed; small caches keep that short.
constexpr std::size_t cache_count = 64;
/// Idle connections in a cache. All caches together stay below the file
/// descriptors available on the smallest VM (4,100). An endpoint needs one
/// connection for the long poll for completed tasks and one for each start in
/// progress.
constexpr long max_idle_connections = 48;
constexpr std::size_t max_idle_handles = 256;
/// Callbacks of calls, as far as they don't account their work themselves.
constexpr const char* reply_activity = "replies";

struct transfer {
    CURL* easy{nullptr};
    CURLM* multi{nullptr}; ///< of the connection cache
    std::unique_ptr<kernel::timer> deadline;
    base::instant sent_at{};
    base::instant received_at{}; ///< the latest part of the reply's body
    base::milliseconds transfer_timeout{0};
    curl_slist* headers{nullptr};
    std::string body;
    reply result;
    client::callback on_reply;

    ~transfer() {
        curl_slist_free_all(headers);
        if (easy != nullptr) {
            curl_easy_cleanup(easy);
        }
    }
};

/// @return host and port of @p url.
std::string_view server_of(std::string_view url) {
    constexpr std::string_view scheme_end = "://";
    std::size_t begin = url.find(scheme_end);
    begin = begin == std::string_view::npos ? 0 : begin + scheme_end.size();
    return url.substr(begin, url.find('/', begin) - begin);
}

std::size_t append_body(char* data, std::size_t size, std::size_t count,
                        void* target) {
    auto& pending = *static_cast<transfer*>(target);
    pending.result.body.append(data, size * count);
    pending.received_at = base::monotonic_now();
    return size * count;
}

// libcurl calls this before it sends a request, also if it sends the request
// again because a reused connection has broken.
int note_request(void* context, char*, char*, int, int) {
    auto& pending = *static_cast<transfer*>(context);
    long earlier_bytes = 0;
    curl_easy_getinfo(pending.easy, CURLINFO_REQUEST_SIZE, &earlier_bytes);
    if (earlier_bytes > 0) {
        pending.result.repeated = true;
    }
    return CURL_PREREQFUNC_OK;
}

base::milliseconds round_up(curl_off_t microseconds) {
    return std::chrono::ceil<base::milliseconds>(
        std::chrono::microseconds(microseconds));
}

void store_result(transfer& pending, CURLcode code) {
    pending.result.reached = code == CURLE_OK;

    if (code != CURLE_OK) {
        pending.result.failure = curl_easy_strerror(code);
    }
    long status = 0;
    curl_easy_getinfo(pending.easy, CURLINFO_RESPONSE_CODE, &status);
    pending.result.status = static_cast<int>(status);
    long request_bytes = 0;
    long header_bytes = 0;
    curl_off_t body_in = 0;
    curl_easy_getinfo(pending.easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_easy_getinfo(pending.easy, CURLINFO_HEADER_SIZE, &header_bytes);
    curl_easy_getinfo(pending.easy, CURLINFO_SIZE_DOWNLOAD_T, &body_in);
    // If a reused connection breaks, libcurl retries the request once on a new
    // connection. When that connection is refused, the server may still have
    // processed the first attempt, so the bytes sent must be zero as well.
    pending.result.nothing_sent =
        code == CURLE_COULDNT_CONNECT && request_bytes == 0;
    curl_off_t first_byte_us = 0;
    curl_off_t total_us = 0;
    curl_easy_getinfo(pending.easy, CURLINFO_STARTTRANSFER_TIME_T,
                      &first_byte_us);
    curl_easy_getinfo(pending.easy, CURLINFO_TOTAL_TIME_T, &total_us);
    pending.result.first_byte_after = round_up(first_byte_us);
    pending.result.duration = round_up(total_us);
    pending.result.bytes_sent = static_cast<std::uint64_t>(request_bytes);
    pending.result.bytes_received = static_cast<std::uint64_t>(header_bytes) +
                                    static_cast<std::uint64_t>(body_in);
}

void configure_handle(transfer& pending, const call& request) {
    pending.body = request.body;
    CURL* easy = pending.easy;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &pending);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &note_request);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &pending);
    if (request.fresh_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (!request.body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(pending.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, pending.body.data());
        pending.headers = curl_slist_append(pending.headers,
                                            "Content-Type: application/json");
    }
    pending.headers = curl_slist_append(pending.headers, "Expect:");
    pending.headers = curl_slist_append(pending.headers, "Accept:");
    for (const header& extra : request.headers) {
        std::string line = extra.name + ": " + extra.value;
        pending.headers = curl_slist_append(pending.headers, line.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, pending.headers);
}

} // namespace

struct client::native {
    /// A cache of connections and the transfers that use them.
    struct connection_cache {
        explicit connection_cache(native& of_client)
            : owner(of_client), timeout(of_client.event_loop, [this] {
                  perform_socket_action(CURL_SOCKET_TIMEOUT, 0);
              }) {
            curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION,
                              &on_socket_change);
            curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
            curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &on_timer_change);
            curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
            curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
                              max_idle_connections);
        }
        ~connection_cache() { curl_multi_cleanup(multi); }
        connection_cache(const connection_cache&) = delete;
        connection_cache& operator=(const connection_cache&) = delete;

        native& owner;
        CURLM* multi{curl_multi_init()};
        kernel::timer timeout;
        std::map<curl_socket_t, std::unique_ptr<kernel::descriptor_watch>>
            watches;

        void perform_socket_action(curl_socket_t descriptor, int flags) {
            kernel::activity measured(owner.event_loop, owner.activity);
            int running = 0;
            curl_multi_socket_action(multi, descriptor, flags, &running);
            finish_completed();
        }

        void finish_completed() {
            int messages_left = 0;
            while (CURLMsg* message =
                       curl_multi_info_read(multi, &messages_left)) {
                if (message->msg == CURLMSG_DONE) {
                    owner.finish(message->easy_handle, message->data.result);
                }
            }
        }

        void update_watch(curl_socket_t descriptor, int poll_event) {
            if (poll_event == CURL_POLL_REMOVE) {
                // This may run inside the callback of the removed watch, so its
                // destruction is deferred.
                auto removed_watch =
                    std::make_shared<std::unique_ptr<kernel::descriptor_watch>>(
                        std::move(watches[descriptor]));
                watches.erase(descriptor);
                if (*removed_watch) {
                    (*removed_watch)->set_events(0);
                }
                owner.event_loop.defer(
                    [removed_watch] { removed_watch->reset(); });
                return;
            }
            int events = 0;
            if ((poll_event & CURL_POLL_IN) != 0) {
                events |= EV_READ;
            }
            if ((poll_event & CURL_POLL_OUT) != 0) {
                events |= EV_WRITE;
            }
            auto& watch = watches[descriptor];
            if (watch) {
                watch->set_events(events);
                return;
            }
            watch = std::make_unique<kernel::descriptor_watch>(
                owner.event_loop, descriptor, events,
                [this, descriptor](int ready) {
                    int flags = 0;
                    if ((ready & EV_READ) != 0) {
                        flags |= CURL_CSELECT_IN;
                    }
                    if ((ready & EV_WRITE) != 0) {
                        flags |= CURL_CSELECT_OUT;
                    }
                    perform_socket_action(descriptor, flags);
                });
        }

        static int on_socket_change(CURL*, curl_socket_t descriptor,
                                    int poll_event, void* context, void*) {
            static_cast<connection_cache*>(context)->update_watch(descriptor,
                                                                  poll_event);
            return 0;
        }

        static int on_timer_change(CURLM*, long wait, void* context) {
            auto& self = *static_cast<connection_cache*>(context);
            if (wait < 0) {
                self.timeout.cancel();
            } else {
                self.timeout.start_once(base::milliseconds(wait));
            }
            return 0;
        }
    };

    native(kernel::loop& client_loop, const char* transfer_activity)
        : event_loop(client_loop), activity(transfer_activity) {}
    ~native() {
        for (auto& [easy, pending] : transfers) {
            curl_multi_remove_handle(pending->multi, easy);
        }
        transfers.clear();
        for (CURL* easy : idle_handles) {
            curl_easy_cleanup(easy);
        }
    }

    kernel::loop& event_loop;
    const char* activity;
    std::array<std::unique_ptr<connection_cache>, cache_count> caches;
    std::map<CURL*, std::unique_ptr<transfer>> transfers;
    std::uint64_t bytes_sent{0};
    std::uint64_t bytes_received{0};
    std::vector<CURL*>
        idle_handles; ///< for reuse; creating a handle is expensive

    CURL* acquire_handle() {
        if (idle_handles.empty()) {
            return curl_easy_init();
        }
        CURL* out = idle_handles.back();
        idle_handles.pop_back();
        curl_easy_reset(out);
        return out;
    }

    void recycle_handle(transfer& pending) {
        if (idle_handles.size() < max_idle_handles) {
            idle_handles.push_back(std::exchange(pending.easy, nullptr));
        }
    }

    /// @return the cache for connections to the server of @p url.
    connection_cache& cache_for(const std::string& url) {
        auto& cache =
            caches[std::hash<std::string_view>{}(server_of(url)) % cache_count];
        if (!cache) {
            cache = std::make_unique<connection_cache>(*this);
        }
        return *cache;
    }

    void finish(CURL* easy, CURLcode code) {
        auto found = transfers.find(easy);
        std::unique_ptr<transfer> pending = std::move(found->second);
        transfers.erase(found);
        curl_multi_remove_handle(pending->multi, easy);
        store_result(*pending, code);
        bytes_sent += pending->result.bytes_sent + pending->body.size();
        bytes_received += pending->result.bytes_received;
        recycle_handle(*pending);
        kernel::activity measured(event_loop, reply_activity);
        pending->on_reply(pending->result);
    }

    /// @return for how much longer to wait for the rest of a reply.
    static base::milliseconds time_left(const transfer& pending) {
        auto now = base::monotonic_now();
        return std::min(pending.sent_at + pending.transfer_timeout - now,
                        pending.received_at + client::max_transfer_pause - now);
    }

    // After a pause of the process, the reply may have arrived before the
    // deadline. The event loop reads it before the second expiry.
    void start_deadline(transfer& pending, base::milliseconds timeout) {
        CURL* easy = pending.easy;
        pending.deadline = std::make_unique<kernel::timer>(
            event_loop, [this, easy, expired = false]() mutable {
                auto& timer = transfers.at(easy)->deadline;
                if (!std::exchange(expired, true)) {
                    timer->start_once(base::milliseconds(1));
                    return;
                }
                auto left = time_left(*transfers.at(easy));
                if (left > base::milliseconds(0)) {
                    expired = false;
                    timer->start_once(left);
                    return;
                }
                // This callback belongs to the timer.
                event_loop.defer([kept = std::shared_ptr<kernel::timer>(
                                      std::move(timer))] {});
                finish(easy, CURLE_OPERATION_TIMEDOUT);
            });
        pending.deadline->start_once(timeout);
    }
};

client::client(kernel::loop& event_loop, const char* activity)
    : m_native(std::make_shared<native>(event_loop, activity)) {}

client::~client() = default;

// libcurl would take the first part of the path for the server's name and look
// it up in a thread, for which it waits when the call is given up.
void client::refuse(callback on_reply) {
    m_native->event_loop.defer([alive = std::weak_ptr<native>(m_native),
                                on_reply = std::move(on_reply)] {
        if (!alive.lock()) {
            return;
        }
        reply failure;
        failure.nothing_sent = true;
        failure.failure = "the URL names no server";
        on_reply(failure);
    });
}

void client::send(const call& request, callback on_reply) {
    if (server_of(request.url).empty()) {
        refuse(std::move(on_reply));
        return;
    }
    kernel::activity measured(m_native->event_loop, m_native->activity);
    auto pending = std::make_unique<transfer>();
    pending->on_reply = std::move(on_reply);
    pending->sent_at = base::monotonic_now();
    pending->transfer_timeout = request.transfer_timeout;
    pending->easy = m_native->acquire_handle();
    configure_handle(*pending, request);
    CURL* easy = pending->easy;
    CURLM* multi = m_native->cache_for(request.url).multi;
    pending->multi = multi;
    m_native->start_deadline(*pending, request.timeout);
    m_native->transfers.emplace(easy, std::move(pending));
    curl_multi_add_handle(multi, easy);
}

std::uint64_t client::bytes_sent() const {
    return m_native->bytes_sent;
}

std::uint64_t client::bytes_received() const {
    return m_native->bytes_received;
}

reply send_blocking(const call& request) {
    kernel::loop event_loop;
    client sender(event_loop);
    reply out;
    sender.send(request, [&](const reply& received) {
        out = received;
        event_loop.stop();
    });
    event_loop.run();
    return out;
}

} // namespace eelgrasslever::http
