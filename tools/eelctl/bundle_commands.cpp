// Keys and bundles: keygen, sign, approve, rollout, show.
#include "commands.hpp"

#include "eelgrasslever/bundle/envelope.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(operator_name, "", "operator who signs or approves");
DEFINE_string(key, "", "file with that operator's secret key");
DEFINE_string(out, "", "file to write");

namespace eelctl {

namespace bundles = eelgrasslever::bundle;

namespace {

std::string trimmed(std::string text) {
    while (!text.empty() && (text.back() == '\n' || text.back() == ' ')) {
        text.pop_back();
    }
    return text;
}

int save(const bundles::envelope& value) {
    if (FLAGS_out.empty()) {
        std::cout << bundles::serialize(value) << "\n";
        return exit_good;
    }
    auto written = write_file(FLAGS_out, bundles::serialize(value) + "\n");
    return written ? exit_good
                   : complain(written.error().message(), exit_usage);
}

int sign(const std::string& text, const std::string& secret) {
    auto value = bundles::sign_bundle(text, FLAGS_operator_name, secret);
    return value ? save(*value) : complain(value.error().message(), exit_usage);
}

int approve(const std::string& text, const std::string& secret) {
    auto before = bundles::parse_envelope(text);
    if (!before) {
        return complain(before.error().message(), exit_usage);
    }
    auto value = bundles::approve_bundle(*before, FLAGS_operator_name, secret);
    return value ? save(*value) : complain(value.error().message(), exit_usage);
}

int roll_out(const std::string& text) {
    http::call request;
    request.method = "POST";
    request.url = "/v1/bundle";
    request.body = text;
    return print_reply(call_any(request));
}

} // namespace

int keygen(const arguments&) {
    auto pair = bundles::generate_key_pair();
    if (FLAGS_out.empty()) {
        return complain("--out is missing; name the file for the secret key",
                        exit_usage);
    }
    auto written = write_file(FLAGS_out, pair.secret_key + "\n");
    if (!written) {
        return complain(written.error().message(), exit_usage);
    }
    std::cout << pair.public_key << "\n";
    return exit_good;
}

int bundle(const arguments& words) {
    std::string verb = words.empty() ? "" : words[0];
    if (verb == "show") {
        http::call request;
        request.url = "/v1/bundle";
        return print_reply(call_any(request));
    }
    bool signing = verb == "sign" || verb == "approve";
    if ((!signing && verb != "rollout") || words.size() < 2) {
        return complain("say bundle sign|approve|rollout FILE, or bundle show",
                        exit_usage);
    }
    auto text = read_file(words[1]);
    if (!text) {
        return complain(text.error().message(), exit_usage);
    }
    if (verb == "rollout") {
        return roll_out(*text);
    }
    if (FLAGS_operator_name.empty() || FLAGS_key.empty()) {
        return complain("--operator_name and --key are needed to " + verb,
                        exit_usage);
    }
    auto secret = read_file(FLAGS_key);
    if (!secret) {
        return complain(secret.error().message(), exit_usage);
    }
    return verb == "sign" ? sign(*text, trimmed(*secret))
                          : approve(*text, trimmed(*secret));
}

} // namespace eelctl
