#include "eelgrasslever/settings/settings.hpp"

#include <boost/test/unit_test.hpp>

using eelgrasslever::settings::parse;

namespace {

const std::string key(64, 'a');
const std::string good = "[vm]\nname = \"g-1\"\nfailure_domain = \"galata\"\n"
                         "[listen]\nhttp = \"127.0.0.1:8100\"\n"
                         "peer = \"127.0.0.1:8200\"\n"
                         "[platform]\nurl = \"http://127.0.0.1:9000\"\n"
                         "[operators]\nayse = \"" +
                         key + "\"\nmehmet = \"" + key + "\"\n";

bool complains(const std::string& text, const std::string& about) {
    auto parsed = parse(text, "s.toml");
    if (parsed) {
        return false;
    }
    for (const std::string& fault : parsed.error()) {
        if (fault.find(about) != std::string::npos) {
            return true;
        }
    }
    return false;
}

std::string replaced(std::string text, const std::string& from,
                     const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_CASE(good_settings_are_read) {
    auto parsed = parse(good, "s.toml");
    BOOST_REQUIRE(parsed);
    BOOST_TEST(parsed->name == "g-1");
    BOOST_TEST(parsed->operators.size() == 2u);
    BOOST_TEST(parsed->claim_ttl.count() == 2000);
}

BOOST_AUTO_TEST_CASE(each_fault_names_file_line_key_and_fix) {
    BOOST_TEST(complains(replaced(good, "name = \"g-1\"", "name = 5"),
                         "s.toml:2: vm.name: must be text"));
    BOOST_TEST(complains(replaced(good, "127.0.0.1:8100", "localhost"),
                         "s.toml:5: listen.http: must be \"IP:port\""));
    BOOST_TEST(complains(good + "[claims]\nclaim_tll_ms = 5\n",
                         "claims.claim_tll_ms: is not a known setting"));
    BOOST_TEST(complains(good + "[claims]\nclaim_ttl_ms = 900\n",
                         "claims.claim_ttl_ms: must be longer than"));
    BOOST_TEST(complains(replaced(good, "mehmet", "#"), "operators"));
    BOOST_TEST(complains(good + "[peers]\nseeds = [\"x\"]\n", "peers.seeds"));
    BOOST_TEST(complains("[vm\n", "s.toml:1"));
}
