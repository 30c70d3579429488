#include "eelgrasslever/http/client.hpp"

#include <curl/curl.h>
#include <map>
#include <utility>
#include <vector>

namespace eelgrasslever::http {

namespace {

/// Size of the connection cache: half of the file descriptors available on the
/// smallest VM (4,100), or five connections to each of 350 endpoints. An
/// endpoint needs one for the long poll for completed tasks and one for each
/// start in progress.
constexpr long max_idle_connections = 2048;
constexpr std::size_t max_idle_handles = 256;

struct transfer {
    CURL* easy{nullptr};
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

std::size_t append_body(char* data, std::size_t size, std::size_t count,
                        void* target) {
    static_cast<std::string*>(target)->append(data, size * count);
    return size * count;
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
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &pending.result.body);
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
    explicit native(kernel::loop& client_loop) : event_loop(client_loop) {}
    ~native() {
        for (auto& [easy, pending] : transfers) {
            curl_multi_remove_handle(multi, easy);
        }
        transfers.clear();
        for (CURL* easy : idle_handles) {
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(multi);
    }

    kernel::loop& event_loop;
    CURLM* multi{curl_multi_init()};
    std::unique_ptr<kernel::timer> timeout;
    std::map<curl_socket_t, std::unique_ptr<kernel::descriptor_watch>> watches;
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

    void perform_socket_action(curl_socket_t descriptor, int flags) {
        int running = 0;
        curl_multi_socket_action(multi, descriptor, flags, &running);
        finish_completed();
    }

    void finish_completed() {
        int messages_left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi, &messages_left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            CURL* easy = message->easy_handle;
            CURLcode code = message->data.result;
            auto pending = std::move(transfers[easy]);
            transfers.erase(easy);
            curl_multi_remove_handle(multi, easy);
            store_result(*pending, code);
            bytes_sent += pending->result.bytes_sent + pending->body.size();
            bytes_received += pending->result.bytes_received;
            recycle_handle(*pending);
            pending->on_reply(pending->result);
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
            event_loop.defer([removed_watch] { removed_watch->reset(); });
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
            event_loop, descriptor, events, [this, descriptor](int ready) {
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

    static int on_socket_change(CURL*, curl_socket_t descriptor, int poll_event,
                                void* context, void*) {
        static_cast<native*>(context)->update_watch(descriptor, poll_event);
        return 0;
    }

    static int on_timer_change(CURLM*, long wait, void* context) {
        auto& self = *static_cast<native*>(context);
        if (wait < 0) {
            self.timeout->cancel();
        } else {
            self.timeout->start_once(base::milliseconds(wait));
        }
        return 0;
    }
};

client::client(kernel::loop& event_loop)
    : m_native(std::make_shared<native>(event_loop)) {
    native* raw = m_native.get();
    raw->timeout = std::make_unique<kernel::timer>(event_loop, [raw] {
        raw->perform_socket_action(CURL_SOCKET_TIMEOUT, 0);
    });
    curl_multi_setopt(raw->multi, CURLMOPT_SOCKETFUNCTION,
                      &native::on_socket_change);
    curl_multi_setopt(raw->multi, CURLMOPT_SOCKETDATA, raw);
    curl_multi_setopt(raw->multi, CURLMOPT_TIMERFUNCTION,
                      &native::on_timer_change);
    curl_multi_setopt(raw->multi, CURLMOPT_TIMERDATA, raw);
    curl_multi_setopt(raw->multi, CURLMOPT_MAXCONNECTS, max_idle_connections);
}

client::~client() = default;

void client::send(const call& request, callback on_reply) {
    auto pending = std::make_unique<transfer>();
    pending->on_reply = std::move(on_reply);
    pending->easy = m_native->acquire_handle();
    configure_handle(*pending, request);
    CURL* easy = pending->easy;
    m_native->transfers.emplace(easy, std::move(pending));
    curl_multi_add_handle(m_native->multi, easy);
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
