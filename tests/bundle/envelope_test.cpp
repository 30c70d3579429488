#include "eelgrasslever/bundle/envelope.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever::bundle;

namespace {

const std::string document_text =
    R"({"version":1,"teams":[{"name":"a","tier":"paying","quota_slots":4}]})";

struct two_operators {
    key_pair author = generate_key_pair();
    key_pair approver = generate_key_pair();
    keyring trusted{{"ayse", author.public_key},
                    {"mehmet", approver.public_key}};
    envelope approved_envelope() const {
        auto authored = sign_bundle(document_text, "ayse", author.secret_key);
        return *approve_bundle(*authored, "mehmet", approver.secret_key);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(bundle_signed_by_two_operators_is_valid) {
    two_operators operators;
    auto document = verify(operators.approved_envelope(), operators.trusted);
    BOOST_REQUIRE(document);
    BOOST_TEST(document->version == 1u);
    auto parsed = parse_envelope(serialize(operators.approved_envelope()));
    BOOST_REQUIRE(parsed);
    BOOST_TEST(verify(*parsed, operators.trusted).has_value());
}

BOOST_AUTO_TEST_CASE(incomplete_self_approved_or_altered_bundles_are_rejected) {
    two_operators operators;
    envelope unsigned_envelope;
    unsigned_envelope.document_text = document_text;
    BOOST_TEST(!verify(unsigned_envelope, operators.trusted));

    auto authored =
        sign_bundle(document_text, "ayse", operators.author.secret_key);
    BOOST_TEST(!verify(*authored, operators.trusted));
    BOOST_TEST(!approve_bundle(*authored, "ayse", operators.author.secret_key));

    envelope reused_signature = *authored;
    reused_signature.approver = "mehmet";
    reused_signature.approver_signature = authored->author_signature;
    BOOST_TEST(!verify(reused_signature, operators.trusted));

    envelope altered = operators.approved_envelope();
    altered.document_text[11] = '2';
    BOOST_TEST(!verify(altered, operators.trusted));

    keyring shared_key{{"ayse", operators.author.public_key},
                       {"mehmet", operators.author.public_key}};
    auto shared_key_envelope =
        approve_bundle(*authored, "mehmet", operators.author.secret_key);
    BOOST_TEST(!verify(*shared_key_envelope, shared_key));

    keyring without_approver{{"ayse", operators.author.public_key}};
    BOOST_TEST(!verify(operators.approved_envelope(), without_approver));
}

BOOST_AUTO_TEST_CASE(error_of_an_invalid_document_names_the_field) {
    const std::pair<const char*, const char*> cases[] = {
        {R"({"teams":[]})", "version"},
        {R"({"version":1,"teams":[]})", "teams"},
        {R"({"version":1,"teams":[{"name":"a","tier":"gold"}]})", "tier"},
        {R"({"version":1,"teams":[{"name":"a","tier":"trial"}]})",
         "quota_slots"}};
    for (const auto& [body, field] : cases) {
        auto parsed = parse_document(body);
        BOOST_REQUIRE(!parsed);
        BOOST_TEST(parsed.error().detail.find(field) != std::string::npos);
    }
}
