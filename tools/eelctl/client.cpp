#include "client.hpp"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(servers, "127.0.0.1:8101",
              "entry VMs as IP:port, separated by commas; commands use the "
              "first one that replies");
DEFINE_bool(json, false, "print the JSON of the reply unchanged");
DEFINE_int32(timeout_ms, 65000, "timeout of each call, in ms");

namespace eelctl {

std::vector<std::string> server_addresses() {
    std::vector<std::string> out;
    std::stringstream list(FLAGS_servers);
    for (std::string address; std::getline(list, address, ',');) {
        out.push_back(address);
    }
    return out;
}

bool is_json_output() {
    return FLAGS_json;
}

http::reply send_to_any_server(http::call request) {
    const std::string path = request.url;
    request.timeout = base::milliseconds(FLAGS_timeout_ms);
    http::reply last;
    for (const std::string& server : server_addresses()) {
        request.url = "http://" + server + path;
        last = http::send_blocking(request);
        if (last.reached) {
            return last;
        }
    }
    return last;
}

int print_error(const std::string& text, int status) {
    std::cerr << "eelctl: " << text << "\n";
    return status;
}

int print_reply(const http::reply& reply) {
    if (!reply.reached) {
        return print_error("no entry VM replied (" + reply.failure +
                               "); check --servers",
                           exit_unreachable);
    }
    constexpr int first_error_status = 400;
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
    return reply.status < first_error_status ? exit_success
                                             : exit_not_completed;
}

base::result<std::string> read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return base::fail(base::error_code::invalid_argument, "file.read", path,
                          "cannot be opened for reading");
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
                          "cannot be written");
    }
    return {};
}

} // namespace eelctl
