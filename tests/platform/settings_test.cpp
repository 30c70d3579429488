#include "settings_file.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;

namespace {

const char* const good = "node=front-1\nzone=z1\nip=10.1.0.13\n"
                         "listen.front=10.1.0.13:8161\n"
                         "listen.readiness=10.1.0.13:8167\n"
                         "portRange=7720,7735\nadvice=10.2.0.1:80\n"
                         "platform.address=10.2.0.2:80\n"
                         "limits.cpuShare=0.25\n"
                         "bounds.maxHoldMs=6000\nbounds.graceS=6\n"
                         "something.new=1\n# a comment\n";

} // namespace

BOOST_AUTO_TEST_SUITE(platform_settings)

BOOST_AUTO_TEST_CASE(reads_what_the_product_uses) {
    auto out = platform::parse_settings(good, "test");
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(out->vm == "front-1");
    BOOST_TEST(out->peer_address == "10.1.0.13:7720");
    BOOST_TEST(out->max_lease.count() == 6000);
    BOOST_TEST(out->stop_grace.count() == 6000);
    BOOST_TEST(out->cores == 0.25);
}

BOOST_AUTO_TEST_CASE(names_every_faulty_key) {
    auto out = platform::parse_settings("node=a\nbounds.graceS=soon\n", "test");
    BOOST_REQUIRE(!out.has_value());
    for (const char* key : {"zone", "ip", "listen.front", "platform.address",
                            "bounds.maxHoldMs", "bounds.graceS"}) {
        BOOST_TEST(out.error().detail.find(key) != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
