#include "eelgrasslever/http/server.hpp"
#include "kv_store.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace eelgrasslever;
using nlohmann::json;

namespace {

constexpr const char* address = "127.0.0.1:17391";

/// A store server that replies to each watch with `event_count` events.
struct fixture {
    fixture() {
        auto listening = http::server::listen(
            loop, address,
            [this](const std::shared_ptr<http::exchange>& request) {
                json events = json::array();
                for (int i = 1; i <= event_count; ++i) {
                    events.push_back({{"key", "p/" + std::to_string(i)},
                                      {"value", "dg=="},
                                      {"revision", i}});
                }
                events.insert(events.end(), odd_events.begin(),
                              odd_events.end());
                json body{{"events", std::move(events)},
                          {"currentRev", event_count}};
                http::response response;
                response.body = body.dump();
                request->respond(std::move(response));
            });
        BOOST_REQUIRE(listening);
        server = *std::move(listening);
    }

    coordination::watch_reply watch() {
        std::optional<coordination::watch_reply> received;
        store.watch("p/", 0, base::milliseconds(100),
                    [&](const coordination::watch_reply& reply) {
                        received = reply;
                        loop.stop();
                    });
        loop.run();
        BOOST_REQUIRE(received);
        return *received;
    }

    kernel::loop loop;
    observe::metrics metrics;
    std::unique_ptr<http::server> server;
    platform::kv_store store{loop, address, metrics};
    int event_count{0};
    json odd_events = json::array(); ///< after the others
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(kv_store_test, fixture)

BOOST_AUTO_TEST_CASE(short_watch_reply_is_complete) {
    event_count = 3;
    coordination::watch_reply reply = watch();
    BOOST_TEST(reply.changes.size() == 3u);
    BOOST_TEST(reply.changes.front().value == "v");
    BOOST_TEST(reply.revision == 3u);
    BOOST_TEST(!reply.is_partial);
}

// The store truncates long replies without saying so. If such a reply
// counted as complete, the watcher would pause after each one, and its view
// would fall behind without bound.
BOOST_AUTO_TEST_CASE(truncated_watch_reply_is_partial) {
    event_count = 500;
    coordination::watch_reply reply = watch();
    BOOST_TEST(reply.changes.size() == 500u);
    BOOST_TEST(reply.is_partial);
}

// Guards against a watcher that follows its keys no longer, as each reply has
// an entry that it can't read.
BOOST_AUTO_TEST_CASE(an_odd_entry_does_not_hide_the_others) {
    event_count = 3;
    odd_events = json::array({
        {{"key", 7}, {"value", "dg=="}, {"revision", 4}},
        {{"value", "dg=="}, {"revision", 4}},
        {{"key", "p/odd"}, {"value", "dg=="}, {"revision", "many"}},
        "text",
        {{"key", "p/unreadable"}, {"value", json::array({1})}, {"revision", 4}},
    });
    coordination::watch_reply reply = watch();
    BOOST_TEST((reply.status == coordination::status::ok));
    BOOST_REQUIRE(reply.changes.size() == 4u);
    BOOST_TEST(reply.changes[2].value == "v");
    BOOST_TEST(reply.changes[3].key == "p/unreadable");
    BOOST_TEST(reply.changes[3].value == "");
}

BOOST_AUTO_TEST_SUITE_END()
