// Fuzzes the parsing and verification of bundles, which come from operators and
// from the store.
#include "targets.hpp"

#include "eelgrasslever/bundle/envelope.hpp"

namespace fuzz {

namespace bundle = eelgrasslever::bundle;

target bundle_target() {
    auto run = [](const std::string& input) {
        auto document = bundle::parse_document(input);
        auto envelope = bundle::parse_envelope(input);
        if (envelope) {
            auto verified = bundle::verify(*envelope, {{"a", "00"}});
            (void)verified;
        }
        (void)document;
    };
    return {
        "bundle",
        run,
        {R"({"version":1,"teams":[{"name":"a","tier":"paying","quota_slots":4}],"weights":{"waiting":1}})",
         R"({"document":"{}","author":"a","author_signature":"00","approver":"b","approver_signature":"11"})"}};
}

} // namespace fuzz
