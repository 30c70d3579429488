// Commands that show the state of an entry VM or validate a settings file.
#include "commands.hpp"

#include "eelgrasslever/settings/settings.hpp"

#include <iostream>

namespace eelctl {

int show(const arguments& args) {
    std::string subject = args.empty() ? "" : args[0];
    bool is_resource = subject == "endpoints" || subject == "members" ||
                       subject == "queue" || subject == "requests";
    http::call request;
    request.url = "/v1/" + subject;
    if (subject == "health") {
        request.url = "/readyz";
    } else if (subject == "metrics") {
        request.url = "/metrics";
    } else if (!is_resource) {
        return print_error(
            "usage: show endpoints|members|queue|requests|health|"
            "metrics",
            exit_usage);
    }
    return print_reply(send_to_any_server(request));
}

int check(const arguments& args) {
    if (args.empty()) {
        return print_error("usage: check SETTINGS.toml", exit_usage);
    }
    auto settings = eelgrasslever::settings::load(args[0]);
    if (settings) {
        std::cout << args[0] << ": good\n";
        return exit_success;
    }
    for (const std::string& error : settings.error()) {
        std::cerr << error << "\n";
    }
    return exit_usage;
}

} // namespace eelctl
