// What an entry VM knows, and offline checks.
#include "commands.hpp"

#include "eelgrasslever/settings/settings.hpp"

#include <iostream>

namespace eelctl {

int show(const arguments& words) {
    std::string what = words.empty() ? "" : words[0];
    bool known = what == "endpoints" || what == "members" || what == "queue" ||
                 what == "requests";
    http::call request;
    request.url = "/v1/" + what;
    if (what == "health") {
        request.url = "/readyz";
    } else if (what == "metrics") {
        request.url = "/metrics";
    } else if (!known) {
        return complain("say show endpoints|members|queue|requests|health|"
                        "metrics",
                        exit_usage);
    }
    return print_reply(call_any(request));
}

int check(const arguments& words) {
    if (words.empty()) {
        return complain("say check SETTINGS.toml", exit_usage);
    }
    auto settings = eelgrasslever::settings::load(words[0]);
    if (settings) {
        std::cout << words[0] << ": good\n";
        return exit_good;
    }
    for (const std::string& fault : settings.error()) {
        std::cerr << fault << "\n";
    }
    return exit_usage;
}

} // namespace eelctl
