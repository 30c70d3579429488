// Each decoder is fed good messages, missing fields, other types, unknown
// words and bytes that can't be read.
#include "messages.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using cluster::end_kind;
using cluster::order_status;

namespace {

coordination::key_value entry(const std::string& key,
                              const std::string& value) {
    coordination::key_value out;
    out.key = key;
    out.value = value;
    return out;
}

const char* const worker =
    R"({"service":"s1","address":"10.1.0.9:80","zone":"z1","version":"v1",
        "slots":8,"state":"ready","warmupLeftMs":0,
        "capacity":{"cpu":16000,"memMb":32768,"gpu":2},
        "labels":["a","r1-3"],"clockMs":1,"seq":4})";

workload::queue_policy queue() {
    workload::queue_policy out;
    out.name = "q";
    out.service = "s1";
    return out;
}

std::string with(std::string text, const std::string& what,
                 const std::string& by) {
    auto at = text.find(what);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, what.size(), by);
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_messages)

BOOST_AUTO_TEST_CASE(reads_a_registry_entry) {
    auto out = platform::decode_endpoint(entry("servers/i-1", worker));
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(out->id == "i-1");
    BOOST_TEST(out->service == "s1");
    BOOST_TEST(out->rack == "r1-3");
    BOOST_TEST(out->capacity.cpu_milli == 16000);
    BOOST_TEST(out->capacity.accelerators == 2);
    BOOST_TEST(!out->draining);
    auto draining = platform::decode_endpoint(
        entry("servers/i-1", with(worker, "ready", "draining")));
    BOOST_TEST(draining->draining);
}

BOOST_AUTO_TEST_CASE(an_entry_of_another_writer_names_no_endpoint) {
    for (const std::string& bad :
         {std::string("\xff\xfe"), std::string(), std::string("[]"),
          std::string("{}"), with(worker, "\"ready\"", "\"resting\""),
          with(worker, "\"ready\"", "7"), with(worker, "16000", "\"many\""),
          with(worker, "\"capacity\"", "\"capability\""),
          with(worker, "[\"a\",\"r1-3\"]", "\"a\"")}) {
        BOOST_TEST(!platform::decode_endpoint(entry("servers/i-1", bad)));
    }
}

BOOST_AUTO_TEST_CASE(reads_a_configuration) {
    auto out = platform::decode_configuration(
        entry("op/config",
              R"({"version":7,"routes":[{"name":"r1","host":"h.example",
            "prefix":"/p/","service":"s1","priority":1,"attempts":3,
            "stretch":2.2,"targetLatencyMs":1000,
            "advice":{"decisionMs":380.0,"periodMs":5.4,"validMs":2500}}],
            "services":[],"limits":{}})"));
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(out->version() == 7u);
    const auto* route = out->find("h.example:80", "/p/00ff");
    BOOST_REQUIRE(route != nullptr);
    BOOST_TEST(route->queue.max_attempts == 3);
    BOOST_TEST(route->queue.advice->call_time_per_candidate.count() == 5400);
    BOOST_TEST(out->find("other.example", "/p/00ff") == nullptr);
    BOOST_TEST(out->find("h.example", "/q/00ff") == nullptr);
}

BOOST_AUTO_TEST_CASE(an_unreadable_configuration_leaves_the_old_one) {
    for (const char* bad : {"", "{}", R"({"version":"x","routes":[]})",
                            R"({"version":1,"routes":[{}]})"}) {
        BOOST_TEST(!platform::decode_configuration(entry("op/config", bad)));
    }
    BOOST_TEST(!platform::decode_configuration(entry("op/wave/1", "{}")));
}

BOOST_AUTO_TEST_CASE(reads_a_job) {
    auto out = platform::decode_job(
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,
            "estimateMs":900,"affinity":"r1"},{"count":2,"cpu":2000,
            "after":[0],"gang":true,"checkpointing":true,
            "antiAffinity":3}]})",
        "00ff", queue());
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(out->payload == "text");
    BOOST_TEST(out->steps.at(0).data_rack == "r1");
    BOOST_TEST(out->steps.at(1).gang);
    BOOST_TEST(out->steps.at(1).max_per_endpoint == 3);
}

BOOST_AUTO_TEST_CASE(a_job_that_can_not_be_run_is_refused_with_a_reason) {
    for (const char* bad :
         {"", "[]", "{}", R"({"spec":"x","steps":[]})",
          R"({"spec":7,"steps":[{"count":1}]})",
          R"({"steps":[{"count":1,"after":[0]}]})",
          R"({"steps":[{"count":1,"after":[3]}]})",
          R"({"steps":[{"count":0}]})", R"({"steps":[{"count":"a"}]})",
          R"({"steps":[{"cpu":-5}]})", "\xff"}) {
        auto out = platform::decode_job(bad, "00ff", queue());
        BOOST_TEST(!out.has_value());
        BOOST_TEST(!out.error().detail.empty());
    }
}

BOOST_AUTO_TEST_CASE(reads_what_a_worker_holds) {
    auto out = platform::decode_hold_reply(
        200, R"({"clockMs":482113,"running":[["a.0.1.17",2,"c0",41]],
                 "ended":[[58,"a.0.1.9",1,"done",""],
                          [59,"a.0.1.10",3,"broken","c1"]]})");
    BOOST_TEST((out.status == order_status::done));
    BOOST_TEST(out.clock->count() == 482113);
    BOOST_REQUIRE(out.running.size() == 1u);
    BOOST_TEST(out.running[0].task.index == 17);
    BOOST_TEST(out.running[0].percent == 41);
    BOOST_REQUIRE(out.ended.size() == 2u);
    BOOST_TEST((out.ended[1].how == end_kind::gang_broken));
    BOOST_TEST(out.ended[1].checkpoint == "c1");
}

BOOST_AUTO_TEST_CASE(an_unreadable_inventory_counts_as_no_reply) {
    for (const char* bad : {R"({"running":7})", R"({"running":[[1,2]]})",
                            R"({"ended":[["x"]]})"}) {
        auto out = platform::decode_hold_reply(200, bad);
        BOOST_TEST((out.status == order_status::unreachable));
    }
}

BOOST_AUTO_TEST_CASE(each_refusal_has_its_status) {
    auto status = [](int code, const char* body) {
        return platform::decode_order_reply(code, body).status;
    };
    BOOST_TEST((status(200, "{}") == order_status::done));
    BOOST_TEST((status(409, R"({"reason":"fence"})") == order_status::fenced));
    BOOST_TEST(
        (status(409, R"({"reason":"old"})") == order_status::outdated_run));
    BOOST_TEST((status(409, R"({"reason":"late"})") == order_status::too_late));
    BOOST_TEST((status(409, R"({"reason":"room"})") == order_status::no_room));
    BOOST_TEST((status(409, R"({"reason":"ticket"})") ==
                order_status::ticket_refused));
    BOOST_TEST((status(409, R"({"reason":"?"})") == order_status::unreachable));
    BOOST_TEST((status(421, "") == order_status::other_incarnation));
    BOOST_TEST((status(503, "\xff") == order_status::overloaded));
    BOOST_TEST((status(500, "") == order_status::unreachable));
}

BOOST_AUTO_TEST_CASE(advice_without_its_rows_is_no_answer) {
    auto good = platform::decode_advice_reply(
        200, R"({"good":[["i-1","t1"]],"validMs":3000})");
    BOOST_TEST(good.answered);
    BOOST_TEST(good.admitted.size() == 1u);
    for (const char* bad : {"", "{}", R"({"good":7})", R"({"good":[[]]})"}) {
        BOOST_TEST(!platform::decode_advice_reply(200, bad).answered);
    }
    BOOST_TEST(!platform::decode_advice_reply(429, "{}").answered);
}

BOOST_AUTO_TEST_CASE(orders_carry_only_what_is_set) {
    cluster::start_order start;
    start.task = {"a", 0, 1, 17};
    start.run = 2;
    start.payload = "x";
    start.start_before = cluster::endpoint_time(5);
    std::string text = platform::encode_start(7, start);
    BOOST_TEST(text.find("checkpoint") == std::string::npos);
    BOOST_TEST(text.find("\"task\":\"a.0.1.17\"") != std::string::npos);
    cluster::hold_order hold;
    text = platform::encode_hold(7, hold);
    BOOST_TEST(text.find("deadlineMs") == std::string::npos);
    BOOST_TEST(text.find("waitMs") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
