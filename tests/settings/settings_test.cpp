#include "eelgrasslever/settings/settings.hpp"

#include <boost/test/unit_test.hpp>

using eelgrasslever::settings::parse;

namespace {

const std::string public_key(64, 'a');
const std::string valid_settings =
    "[vm]\nname = \"g-1\"\nfailure_domain = \"galata\"\n"
    "[listen]\nhttp = \"127.0.0.1:8100\"\n"
    "peer = \"127.0.0.1:8200\"\n"
    "[platform]\nurl = \"http://127.0.0.1:9000\"\n"
    "[operators]\nayse = \"" +
    public_key + "\"\nmehmet = \"" + public_key + "\"\n";

bool reports_error(const std::string& text, const std::string& expected) {
    auto parsed = parse(text, "s.toml");
    if (parsed) {
        return false;
    }
    for (const std::string& error : parsed.error()) {
        if (error.find(expected) != std::string::npos) {
            return true;
        }
    }
    return false;
}

std::string replace_first(std::string text, const std::string& from,
                          const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_CASE(valid_settings_are_read) {
    auto parsed = parse(valid_settings, "s.toml");
    BOOST_REQUIRE(parsed);
    BOOST_TEST(parsed->name == "g-1");
    BOOST_TEST(parsed->operators.size() == 2u);
    BOOST_TEST(parsed->claim_ttl.count() == 2000);
}

BOOST_AUTO_TEST_CASE(each_error_names_file_line_key_and_correction) {
    BOOST_TEST(reports_error(
        replace_first(valid_settings, "name = \"g-1\"", "name = 5"),
        "s.toml:2: vm.name: must be text"));
    BOOST_TEST(reports_error(
        replace_first(valid_settings, "127.0.0.1:8100", "localhost"),
        "s.toml:5: listen.http: must be \"IP:port\""));
    BOOST_TEST(reports_error(valid_settings + "[claims]\nclaim_tll_ms = 5\n",
                             "claims.claim_tll_ms: is not a known setting"));
    BOOST_TEST(reports_error(valid_settings + "[claims]\nclaim_ttl_ms = 900\n",
                             "claims.claim_ttl_ms: must be longer than"));
    BOOST_TEST(reports_error(replace_first(valid_settings, "mehmet", "#"),
                             "operators"));
    BOOST_TEST(reports_error(valid_settings + "[peers]\nseeds = [\"x\"]\n",
                             "peers.seeds"));
    BOOST_TEST(reports_error("[vm\n", "s.toml:1"));
}
