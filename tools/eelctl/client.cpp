#include "client.hpp"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(servers, "127.0.0.1:8101",
              "entry VMs as IP:port, separated by commas; the first that "
              "answers is used");
DEFINE_bool(json, false, "print JSON as it comes");
DEFINE_int32(timeout_ms, 65000, "longest wait for one reply");

namespace eelctl {

std::vector<std::string> servers() {
    std::vector<std::string> out;
    std::stringstream all(FLAGS_servers);
    for (std::string one; std::getline(all, one, ',');) {
        out.push_back(one);
    }
    return out;
}

bool want_json() {
    return FLAGS_json;
}

http::reply call_any(http::call request) {
    const std::string path = request.url;
    request.timeout = base::milliseconds(FLAGS_timeout_ms);
    http::reply last;
    for (const std::string& server : servers()) {
        request.url = "http://" + server + path;
        last = http::send_blocking(request);
        if (last.reached) {
            return last;
        }
    }
    return last;
}

int complain(const std::string& text, int status) {
    std::cerr << "eelctl: " << text << "\n";
    return status;
}

int print_reply(const http::reply& reply) {
    if (!reply.reached) {
        return complain("no entry VM answered (" + reply.failure +
                            "); check --servers",
                        exit_unreachable);
    }
    constexpr int first_error = 400;
    auto body = base::parse_object(reply.body, "eelctl", "server");
    if (FLAGS_json || !body) {
        std::cout << reply.body;
    } else {
        for (const auto& [key, value] : body->items()) {
            std::cout << key << ": "
                      << (value.is_string() ? value.get<std::string>()
                                            : value.dump())
                      << "\n";
        }
    }
    return reply.status < first_error ? exit_good : exit_not_completed;
}

base::result<std::string> read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return base::fail(base::error_code::invalid_argument, "file.read", path,
                          "can't be opened; name a readable file");
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

base::result<void> write_file(const std::string& path,
                              const std::string& text) {
    std::ofstream file(path);
    file << text;
    if (!file.flush()) {
        return base::fail(base::error_code::io, "file.write", path,
                          "can't be written");
    }
    return {};
}

} // namespace eelctl
