#include "eelgrasslever/http/server.hpp"
#include "kv_store.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace eelgrasslever;
using nlohmann::json;

namespace {

constexpr const char* address = "127.0.0.1:17391";

/// Answers each watch with `changes` events.
struct fixture {
    fixture() {
        auto listening = http::server::listen(
            loop, address, [this](const std::shared_ptr<http::exchange>& in) {
                json events = json::array();
                for (int i = 1; i <= changes; ++i) {
                    events.push_back({{"key", "p/" + std::to_string(i)},
                                      {"value", "dg=="},
                                      {"revision", i}});
                }
                json body{{"events", std::move(events)},
                          {"currentRev", changes}};
                http::response out;
                out.body = body.dump();
                in->respond(std::move(out));
            });
        BOOST_REQUIRE(listening);
        server = *std::move(listening);
    }

    coordination::watch_reply watch() {
        std::optional<coordination::watch_reply> out;
        store.watch("p/", 0, base::milliseconds(100),
                    [&](const coordination::watch_reply& reply) {
                        out = reply;
                        loop.stop();
                    });
        loop.run();
        BOOST_REQUIRE(out);
        return *out;
    }

    kernel::loop loop;
    observe::metrics metrics;
    std::unique_ptr<http::server> server;
    platform::kv_store store{loop, address, metrics};
    int changes{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(kv_store, fixture)

BOOST_AUTO_TEST_CASE(a_short_reply_to_a_watch_is_whole) {
    changes = 3;
    coordination::watch_reply reply = watch();
    BOOST_TEST(reply.changes.size() == 3u);
    BOOST_TEST(reply.changes.front().value == "v");
    BOOST_TEST(reply.revision == 3u);
    BOOST_TEST(!reply.is_partial);
}

BOOST_AUTO_TEST_CASE(a_reply_cut_by_the_store_is_partial) {
    changes = 500;
    coordination::watch_reply reply = watch();
    BOOST_TEST(reply.changes.size() == 500u);
    BOOST_TEST(reply.is_partial);
}

BOOST_AUTO_TEST_SUITE_END()
