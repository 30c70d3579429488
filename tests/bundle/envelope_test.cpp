#include "eelgrasslever/bundle/envelope.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever::bundle;

namespace {

const std::string text =
    R"({"version":1,"teams":[{"name":"a","tier":"paying","quota_slots":4}]})";

struct operators {
    key_pair author = generate_key_pair();
    key_pair approver = generate_key_pair();
    keyring trusted{{"ayse", author.public_key},
                    {"mehmet", approver.public_key}};
    envelope good() const {
        auto once = sign_bundle(text, "ayse", author.secret_key);
        return *approve_bundle(*once, "mehmet", approver.secret_key);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(two_operators_make_a_bundle_valid) {
    operators who;
    auto document = verify(who.good(), who.trusted);
    BOOST_REQUIRE(document);
    BOOST_TEST(document->version == 1u);
    auto again = parse_envelope(serialize(who.good()));
    BOOST_REQUIRE(again);
    BOOST_TEST(verify(*again, who.trusted).has_value());
}

BOOST_AUTO_TEST_CASE(unsigned_self_approved_or_changed_bundles_are_refused) {
    operators who;
    envelope unsigned_one;
    unsigned_one.document_text = text;
    BOOST_TEST(!verify(unsigned_one, who.trusted));

    auto once = sign_bundle(text, "ayse", who.author.secret_key);
    BOOST_TEST(!verify(*once, who.trusted));
    BOOST_TEST(!approve_bundle(*once, "ayse", who.author.secret_key));

    envelope same_key = *once;
    same_key.approver = "mehmet";
    same_key.approver_signature = once->author_signature;
    BOOST_TEST(!verify(same_key, who.trusted));

    envelope changed = who.good();
    changed.document_text[11] = '2';
    BOOST_TEST(!verify(changed, who.trusted));

    keyring twins{{"ayse", who.author.public_key},
                  {"mehmet", who.author.public_key}};
    auto twin = approve_bundle(*once, "mehmet", who.author.secret_key);
    BOOST_TEST(!verify(*twin, twins));

    keyring strangers{{"ayse", who.author.public_key}};
    BOOST_TEST(!verify(who.good(), strangers));
}

BOOST_AUTO_TEST_CASE(a_faulty_document_names_the_field) {
    const std::pair<const char*, const char*> cases[] = {
        {R"({"teams":[]})", "version"},
        {R"({"version":1,"teams":[]})", "teams"},
        {R"({"version":1,"teams":[{"name":"a","tier":"gold"}]})", "tier"},
        {R"({"version":1,"teams":[{"name":"a","tier":"trial"}]})",
         "quota_slots"}};
    for (const auto& [body, named] : cases) {
        auto parsed = parse_document(body);
        BOOST_REQUIRE(!parsed);
        BOOST_TEST(parsed.error().detail.find(named) != std::string::npos);
    }
}
