#include "settings_file.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;

namespace {

const char* const valid_settings = "node=front-1\nzone=z1\nip=10.1.0.13\n"
                                   "listen.front=10.1.0.13:8161\n"
                                   "listen.readiness=10.1.0.13:8167\n"
                                   "portRange=7720,7735\nadvice=10.2.0.1:80\n"
                                   "platform.address=10.2.0.2:80\n"
                                   "limits.cpuShare=0.25\n"
                                   "bounds.maxHoldMs=6000\nbounds.graceS=6\n"
                                   "bounds.configApplyMs=2000\n"
                                   "bounds.quotaOverage=0.1\n"
                                   "something.new=1\n# a comment\n";

} // namespace

BOOST_AUTO_TEST_SUITE(platform_settings_test)

BOOST_AUTO_TEST_CASE(parses_all_settings_in_use) {
    auto settings = platform::parse_settings(valid_settings, "test");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->vm == "front-1");
    BOOST_TEST(settings->peer_address == "10.1.0.13:7720");
    BOOST_TEST(settings->max_lease.count() == 6000);
    BOOST_TEST(settings->stop_grace.count() == 6000);
    BOOST_REQUIRE(settings->configuration_bound.has_value());
    BOOST_TEST(settings->configuration_bound->count() == 2000);
    BOOST_TEST(!settings->revocation_bound.has_value());
    BOOST_TEST(settings->cores == 0.25);
    BOOST_TEST(settings->limit_overage == 0.1);
}

// The platform may allow none.
BOOST_AUTO_TEST_CASE(overage_of_limits_is_optional_and_at_least_zero) {
    std::string text = valid_settings;
    auto overage = [&](const std::string& value) {
        std::string changed = text;
        changed.replace(changed.find("quotaOverage=0.1"), 16, value);
        return platform::parse_settings(changed, "test");
    };
    BOOST_REQUIRE(overage("quotaOverage=0").has_value());
    BOOST_TEST(overage("quotaOverage=0")->limit_overage == 0.0);
    BOOST_REQUIRE(overage("quotaOther=1").has_value());
    BOOST_TEST(overage("quotaOther=1")->limit_overage == 0.0);
    for (const char* invalid : {"quotaOverage=-0.1", "quotaOverage=nan",
                                "quotaOverage=inf", "quotaOverage=some"}) {
        BOOST_TEST(!overage(invalid).has_value());
    }
}

BOOST_AUTO_TEST_CASE(error_names_every_invalid_key) {
    auto settings =
        platform::parse_settings("node=a\nbounds.graceS=soon\n", "test");
    BOOST_REQUIRE(!settings.has_value());
    for (const char* key : {"zone", "ip", "listen.front", "platform.address",
                            "bounds.maxHoldMs", "bounds.graceS"}) {
        BOOST_TEST(settings.error().detail.find(key) != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
