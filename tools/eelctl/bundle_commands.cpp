// Commands for operator keys and bundles: keygen, and bundle sign, approve,
// rollout and show.
#include "commands.hpp"

#include "eelgrasslever/bundle/envelope.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(operator_name, "", "name of the operator who signs or approves");
DEFINE_string(key, "", "file with the secret key of that operator");
DEFINE_string(out, "", "output file");

namespace eelctl {

namespace bundles = eelgrasslever::bundle;

namespace {

std::string trim_end(std::string text) {
    while (!text.empty() && (text.back() == '\n' || text.back() == ' ')) {
        text.pop_back();
    }
    return text;
}

int write_envelope(const bundles::envelope& envelope) {
    if (FLAGS_out.empty()) {
        std::cout << bundles::serialize(envelope) << "\n";
        return exit_success;
    }
    auto written = write_file(FLAGS_out, bundles::serialize(envelope) + "\n");
    return written ? exit_success
                   : print_error(written.error().message(), exit_usage);
}

int sign_document(const std::string& text, const std::string& secret) {
    auto authored = bundles::sign_bundle(text, FLAGS_operator_name, secret);
    return authored ? write_envelope(*authored)
                    : print_error(authored.error().message(), exit_usage);
}

int approve_envelope(const std::string& text, const std::string& secret) {
    auto authored = bundles::parse_envelope(text);
    if (!authored) {
        return print_error(authored.error().message(), exit_usage);
    }
    auto approved =
        bundles::approve_bundle(*authored, FLAGS_operator_name, secret);
    return approved ? write_envelope(*approved)
                    : print_error(approved.error().message(), exit_usage);
}

int roll_out_envelope(const std::string& text) {
    http::call request;
    request.method = "POST";
    request.url = "/v1/bundle";
    request.body = text;
    return print_reply(send_to_any_server(request));
}

} // namespace

int keygen(const arguments&) {
    auto pair = bundles::generate_key_pair();
    if (FLAGS_out.empty()) {
        return print_error("--out is required: the file for the secret key",
                           exit_usage);
    }
    auto written = write_file(FLAGS_out, pair.secret_key + "\n");
    if (!written) {
        return print_error(written.error().message(), exit_usage);
    }
    std::cout << pair.public_key << "\n";
    return exit_success;
}

int bundle(const arguments& args) {
    std::string verb = args.empty() ? "" : args[0];
    if (verb == "show") {
        http::call request;
        request.url = "/v1/bundle";
        return print_reply(send_to_any_server(request));
    }
    bool needs_key = verb == "sign" || verb == "approve";
    if ((!needs_key && verb != "rollout") || args.size() < 2) {
        return print_error(
            "usage: bundle sign|approve|rollout FILE, or bundle show",
            exit_usage);
    }
    auto text = read_file(args[1]);
    if (!text) {
        return print_error(text.error().message(), exit_usage);
    }
    if (verb == "rollout") {
        return roll_out_envelope(*text);
    }
    if (FLAGS_operator_name.empty() || FLAGS_key.empty()) {
        return print_error("--operator_name and --key are required by bundle " +
                               verb,
                           exit_usage);
    }
    auto secret = read_file(FLAGS_key);
    if (!secret) {
        return print_error(secret.error().message(), exit_usage);
    }
    return verb == "sign" ? sign_document(*text, trim_end(*secret))
                          : approve_envelope(*text, trim_end(*secret));
}

} // namespace eelctl
