#include "eelgrasslever/http/client.hpp"

#include <curl/curl.h>
#include <map>
#include <utility>
#include <vector>

namespace eelgrasslever::http {

namespace {

/// Connections kept open. Source: half of the descriptors of the smallest VM
/// (4,100), which is five to each of 350 endpoints; an endpoint needs one that
/// waits for ends and one for each start under way.
constexpr long idle_connections = 2048;
constexpr std::size_t spare_handles = 256;

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

std::size_t collect(char* data, std::size_t size, std::size_t count,
                    void* target) {
    static_cast<std::string*>(target)->append(data, size * count);
    return size * count;
}

void fill_result(transfer& item, CURLcode code) {
    item.result.reached = code == CURLE_OK;

    if (code != CURLE_OK) {
        item.result.failure = curl_easy_strerror(code);
    }
    long status = 0;
    curl_easy_getinfo(item.easy, CURLINFO_RESPONSE_CODE, &status);
    item.result.status = static_cast<int>(status);
    long request_bytes = 0;
    long header_bytes = 0;
    curl_off_t body_in = 0;
    curl_easy_getinfo(item.easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_easy_getinfo(item.easy, CURLINFO_HEADER_SIZE, &header_bytes);
    curl_easy_getinfo(item.easy, CURLINFO_SIZE_DOWNLOAD_T, &body_in);
    // A request on a kept connection that dies is sent once more on a new one;
    // where that is refused, the first sending may have been carried out.
    item.result.nothing_sent =
        code == CURLE_COULDNT_CONNECT && request_bytes == 0;
    item.result.bytes_sent = static_cast<std::uint64_t>(request_bytes);
    item.result.bytes_received = static_cast<std::uint64_t>(header_bytes) +
                                 static_cast<std::uint64_t>(body_in);
}

void prepare(transfer& item, const call& request) {
    item.body = request.body;
    CURL* easy = item.easy;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &collect);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &item.result.body);
    if (request.fresh_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (!request.body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(item.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, item.body.data());
        item.headers =
            curl_slist_append(item.headers, "Content-Type: application/json");
    }
    item.headers = curl_slist_append(item.headers, "Expect:");
    item.headers = curl_slist_append(item.headers, "Accept:");
    for (const header& extra : request.headers) {
        std::string line = extra.name + ": " + extra.value;
        item.headers = curl_slist_append(item.headers, line.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, item.headers);
}

} // namespace

struct client::native {
    explicit native(kernel::loop& l) : owner(l) {}
    ~native() {
        for (auto& [easy, item] : transfers) {
            curl_multi_remove_handle(multi, easy);
        }
        transfers.clear();
        for (CURL* easy : spare) {
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(multi);
    }

    kernel::loop& owner;
    CURLM* multi{curl_multi_init()};
    std::unique_ptr<kernel::timer> timeout;
    std::map<curl_socket_t, std::unique_ptr<kernel::descriptor_watch>> watches;
    std::map<CURL*, std::unique_ptr<transfer>> transfers;
    std::uint64_t sent{0};
    std::uint64_t received{0};
    std::vector<CURL*> spare; ///< handles to use again; making one is dear

    CURL* take_handle() {
        if (spare.empty()) {
            return curl_easy_init();
        }
        CURL* out = spare.back();
        spare.pop_back();
        curl_easy_reset(out);
        return out;
    }

    void keep_handle(transfer& item) {
        if (spare.size() < spare_handles) {
            spare.push_back(std::exchange(item.easy, nullptr));
        }
    }

    void act(curl_socket_t descriptor, int flags) {
        int running = 0;
        curl_multi_socket_action(multi, descriptor, flags, &running);
        finish_completed();
    }

    void finish_completed() {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            CURL* easy = message->easy_handle;
            CURLcode code = message->data.result;
            auto item = std::move(transfers[easy]);
            transfers.erase(easy);
            curl_multi_remove_handle(multi, easy);
            fill_result(*item, code);
            sent += item->result.bytes_sent + item->body.size();
            received += item->result.bytes_received;
            keep_handle(*item);
            item->on_reply(item->result);
        }
    }

    void watch(curl_socket_t descriptor, int what) {
        if (what == CURL_POLL_REMOVE) {
            // The watch may be the one that is calling us, so it outlives
            // the present callback.
            auto old =
                std::make_shared<std::unique_ptr<kernel::descriptor_watch>>(
                    std::move(watches[descriptor]));
            watches.erase(descriptor);
            if (*old) {
                (*old)->set_events(0);
            }
            owner.defer([old] { old->reset(); });
            return;
        }
        int events = 0;
        if ((what & CURL_POLL_IN) != 0) {
            events |= EV_READ;
        }
        if ((what & CURL_POLL_OUT) != 0) {
            events |= EV_WRITE;
        }
        auto& slot = watches[descriptor];
        if (slot) {
            slot->set_events(events);
            return;
        }
        slot = std::make_unique<kernel::descriptor_watch>(
            owner, descriptor, events, [this, descriptor](int ready) {
                int flags = 0;
                if ((ready & EV_READ) != 0) {
                    flags |= CURL_CSELECT_IN;
                }
                if ((ready & EV_WRITE) != 0) {
                    flags |= CURL_CSELECT_OUT;
                }
                act(descriptor, flags);
            });
    }

    static int socket_changed(CURL*, curl_socket_t descriptor, int what,
                              void* context, void*) {
        static_cast<native*>(context)->watch(descriptor, what);
        return 0;
    }

    static int timer_changed(CURLM*, long wait, void* context) {
        auto& self = *static_cast<native*>(context);
        if (wait < 0) {
            self.timeout->cancel();
        } else {
            self.timeout->start_once(base::milliseconds(wait));
        }
        return 0;
    }
};

client::client(kernel::loop& owner)
    : m_native(std::make_shared<native>(owner)) {
    native* raw = m_native.get();
    raw->timeout = std::make_unique<kernel::timer>(
        owner, [raw] { raw->act(CURL_SOCKET_TIMEOUT, 0); });
    curl_multi_setopt(raw->multi, CURLMOPT_SOCKETFUNCTION,
                      &native::socket_changed);
    curl_multi_setopt(raw->multi, CURLMOPT_SOCKETDATA, raw);
    curl_multi_setopt(raw->multi, CURLMOPT_TIMERFUNCTION,
                      &native::timer_changed);
    curl_multi_setopt(raw->multi, CURLMOPT_TIMERDATA, raw);
    curl_multi_setopt(raw->multi, CURLMOPT_MAXCONNECTS, idle_connections);
}

client::~client() = default;

void client::send(const call& request, callback on_reply) {
    auto item = std::make_unique<transfer>();
    item->on_reply = std::move(on_reply);
    item->easy = m_native->take_handle();
    prepare(*item, request);
    CURL* easy = item->easy;
    m_native->transfers.emplace(easy, std::move(item));
    curl_multi_add_handle(m_native->multi, easy);
}

std::uint64_t client::bytes_sent() const {
    return m_native->sent;
}

std::uint64_t client::bytes_received() const {
    return m_native->received;
}

reply send_blocking(const call& request) {
    kernel::loop owner;
    client sender(owner);
    reply out;
    sender.send(request, [&](const reply& received) {
        out = received;
        owner.stop();
    });
    owner.run();
    return out;
}

} // namespace eelgrasslever::http
