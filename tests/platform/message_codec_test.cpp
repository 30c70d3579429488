// Each decoder gets valid messages and invalid ones: missing fields, wrong
// types, unknown values and bytes that are not JSON. Other programs write these
// messages, so a decoder must neither throw nor return a partial result.
#include "message_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace eelgrasslever;
using cluster::order_status;
using cluster::task_outcome;

namespace {

coordination::key_value make_entry(const std::string& key,
                                   const std::string& value) {
    coordination::key_value entry;
    entry.key = key;
    entry.value = value;
    return entry;
}

const char* const valid_endpoint =
    R"({"service":"s1","address":"10.1.0.9:80","zone":"z1","version":"v1",
        "slots":8,"state":"ready","warmupLeftMs":0,
        "capacity":{"cpu":16000,"memMb":32768,"gpu":2},
        "labels":["a","r1-3"],"clockMs":1,"seq":4})";

workload::queue_policy make_queue() {
    workload::queue_policy queue;
    queue.name = "q";
    queue.service = "s1";
    return queue;
}

std::string replace_in(std::string text, const std::string& from,
                       const std::string& to) {
    auto position = text.find(from);
    BOOST_REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_SUITE(message_codec_test)

BOOST_AUTO_TEST_CASE(decodes_a_registry_entry) {
    auto endpoint =
        platform::decode_endpoint(make_entry("servers/i-1", valid_endpoint));
    BOOST_REQUIRE(endpoint.has_value());
    BOOST_TEST(endpoint->id == "i-1");
    BOOST_TEST(endpoint->service == "s1");
    BOOST_TEST(endpoint->rack == "r1-3");
    BOOST_TEST(endpoint->capacity.cpu_milli == 16000);
    BOOST_TEST(endpoint->capacity.accelerators == 2);
    BOOST_TEST(!endpoint->draining);
    auto draining = platform::decode_endpoint(make_entry(
        "servers/i-1", replace_in(valid_endpoint, "ready", "draining")));
    BOOST_TEST(draining->draining);
}

BOOST_AUTO_TEST_CASE(invalid_registry_entry_is_rejected) {
    for (const std::string& invalid :
         {std::string("\xff\xfe"), std::string(), std::string("[]"),
          std::string("{}"),
          replace_in(valid_endpoint, "\"ready\"", "\"resting\""),
          replace_in(valid_endpoint, "\"ready\"", "7"),
          replace_in(valid_endpoint, "16000", "\"many\""),
          replace_in(valid_endpoint, "\"capacity\"", "\"capability\""),
          replace_in(valid_endpoint, "[\"a\",\"r1-3\"]", "\"a\"")}) {
        BOOST_TEST(
            !platform::decode_endpoint(make_entry("servers/i-1", invalid)));
    }
}

// Guards against an entry of another writer that ends the process, blocks it in
// a look-up of a name, or counts as room that isn't there.
BOOST_AUTO_TEST_CASE(registry_entry_with_an_impossible_value_is_rejected) {
    auto decodes = [](const std::string& from, const std::string& to) {
        return platform::decode_endpoint(
                   make_entry("servers/i-1",
                              replace_in(valid_endpoint, from, to)))
            .has_value();
    };
    for (const char* amount :
         {"1e300", "-1e300", "18446744073709551615", "9223372036854775807",
          "-1", "1e18", "null", "true", "[16000]"}) {
        BOOST_TEST(!decodes("16000", amount), "cpu " << amount);
        BOOST_TEST(!decodes("32768", amount), "memory " << amount);
    }
    BOOST_TEST(decodes("16000", "16000.0"));
    for (const char* address :
         {"10.1.0.9:70000", "10.1.0.9:0", "10.1.0.9:-1",
          "10.1.0.9:", "10.1.0.9", ":80", "", "host.example:80",
          "10.1.0.9:80/x", "10.1.0.9:8 0", "10.1.0.256:80",
          "10.1.0.9:99999999999999999999", "0.0.0.0:80", "10.1.0.9:080 "}) {
        BOOST_TEST(!decodes("10.1.0.9:80", address), "address " << address);
    }
    BOOST_TEST(decodes("10.1.0.9:80", "10.1.0.9:65535"));
}

// Guards against an entry whose key makes it pass for a later life of another
// endpoint, which would end that one's runs.
BOOST_AUTO_TEST_CASE(registry_entry_named_like_a_life_is_rejected) {
    BOOST_TEST(!platform::decode_endpoint(
        make_entry("servers/i-1#99999", valid_endpoint)));
}

std::string nest(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

// The text of a value is at most a megabyte. A function that calls itself for
// each level of such a value runs out of stack.
BOOST_AUTO_TEST_CASE(deeply_nested_values_are_rejected) {
    constexpr std::size_t levels = 500'000;
    const std::string deep = nest(levels);
    for (const char* field : {"\"s1\"", "\"10.1.0.9:80\"", "\"ready\"", "16000",
                              "\"r1-3\"", "\"v1\"", "4}"}) {
        std::string end = field[0] == '4' ? "}" : "";
        auto listing = platform::decode_endpoint(make_entry(
            "servers/i-1", replace_in(valid_endpoint, field, deep + end)));
        BOOST_TEST(!listing.has_value(), "in place of " << field);
    }
    BOOST_TEST(!platform::decode_endpoint(make_entry("servers/i-1", deep)));
    BOOST_TEST(!platform::decode_configuration(
        make_entry("op/config", R"({"version":7,"routes":)" + deep + "}")));
    BOOST_TEST(!platform::decode_configuration(make_entry(
        "op/config", R"({"version":7,"routes":[],"limits":)" + deep + "}")));
    BOOST_TEST(!platform::decode_job(R"({"steps":)" + deep + "}", "00ff",
                                     make_queue()));
    BOOST_TEST(
        !platform::decode_job(R"({"steps":[{"count":1,"after":)" + deep + "}]}",
                              "00ff", make_queue()));
    for (const char* name : {"running", "ended", "other"}) {
        auto reply = platform::decode_renew_reply(
            200, R"({"clockMs":1,")" + std::string(name) + "\":" + deep + "}",
            "i-1");
        BOOST_TEST((reply.status == order_status::unreachable), name);
    }
    auto order =
        platform::decode_order_reply(409, R"({"reason":)" + deep + "}", "i-1");
    BOOST_TEST((order.status == order_status::unreachable));
    auto advice =
        platform::decode_advice_reply(200, R"({"good":)" + deep + "}", {"i-1"});
    BOOST_TEST(!advice.answered);
}

// A number out of the range of its type would have another value on each kind
// of processor.
BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_rejected) {
    for (const char* number : {"1e300", "-1e300", "18446744073709551615"}) {
        std::string text(number);
        BOOST_TEST(!platform::decode_job(
            R"({"steps":[{"count":)" + text + "}]}", "00ff", make_queue()));
        for (const char* field : {"cpu", "memMb", "gpu", "estimateMs"}) {
            BOOST_TEST(!platform::decode_job(R"({"steps":[{"count":1,")" +
                                                 std::string(field) +
                                                 "\":" + text + "}]}",
                                             "00ff", make_queue()),
                       field << " " << text);
        }
        for (const char* field : {"repeatCount", "intervalMs", "startAtMs"}) {
            BOOST_TEST(!platform::decode_job(R"({"steps":[{"count":1}],")" +
                                                 std::string(field) +
                                                 "\":" + text + "}",
                                             "00ff", make_queue()),
                       field << " " << text);
        }
        for (const char* field :
             {"priority", "attempts", "stretch", "targetLatencyMs"}) {
            auto table = platform::decode_configuration(make_entry(
                "op/config",
                R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
                    "service":"s",")" +
                    std::string(field) + "\":" + text + "}]}"));
            BOOST_TEST(!table.has_value(), field << " " << text);
        }
        for (const char* field : {"decisionMs", "periodMs", "validMs"}) {
            auto table = platform::decode_configuration(make_entry(
                "op/config",
                R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
                    "service":"s","advice":{")" +
                    std::string(field) + "\":" + text + "}}]}"));
            BOOST_TEST(!table.has_value(), field << " " << text);
        }
        auto reply = platform::decode_renew_reply(
            200, R"({"clockMs":)" + text + "}", "i-1");
        BOOST_TEST((reply.status == order_status::unreachable), text);
        reply = platform::decode_renew_reply(
            200,
            R"({"clockMs":1,"running":[["a.0.1.17",)" + text + R"(,"c0",41]]})",
            "i-1");
        BOOST_TEST((reply.status == order_status::unreachable), text);
        reply = platform::decode_renew_reply(
            200,
            R"({"clockMs":1,"running":[["a.0.1.17",1,"c0",)" + text + "]]}",
            "i-1");
        BOOST_TEST((reply.status == order_status::unreachable), text);
    }
}

BOOST_AUTO_TEST_CASE(decodes_a_configuration) {
    auto table = platform::decode_configuration(
        make_entry("op/config",
                   R"({"version":7,"routes":[{"name":"r1","host":"h.example",
            "prefix":"/p/","service":"s1","priority":1,"attempts":3,
            "stretch":2.2,"targetLatencyMs":1000,
            "advice":{"decisionMs":380.0,"periodMs":5.4,"validMs":2500}}],
            "services":[],"limits":{}})"));
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(table->version() == 7u);
    const auto* route = table->find("h.example:80", "/p/00ff");
    BOOST_REQUIRE(route != nullptr);
    BOOST_TEST(route->queue.max_attempts == 3);
    BOOST_TEST(route->queue.advice->call_time_per_candidate.count() == 5400);
    BOOST_TEST(table->find("other.example", "/p/00ff") == nullptr);
    BOOST_TEST(table->find("h.example", "/q/00ff") == nullptr);
}

// The product knew neither keys nor limits of workspaces, nor which routes are
// public.
BOOST_AUTO_TEST_CASE(decodes_workspaces) {
    auto table = platform::decode_configuration(
        make_entry("op/config",
                   R"({"version":7,"routes":[{"name":"r1","host":"h",
            "prefix":"/p/","service":"s1","public":true},{"name":"r2",
            "host":"h","prefix":"/q/","service":"s1","public":false}],
            "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,
            "weight":61,"cap":{"cpu":3413742,"memMb":8402437,"gpu":0}}]})"));
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(table->find("h", "/p/1")->is_public);
    BOOST_TEST(!table->find("h", "/q/1")->is_public);
    const auto* owner = table->workspaces()->find_by_key("k2");
    BOOST_REQUIRE(owner != nullptr);
    BOOST_TEST(owner->name == "t1");
    BOOST_TEST(owner->weight == 61.0);
    BOOST_TEST(owner->cap.cpu_milli == 3'413'742);
    BOOST_TEST(owner->cap.accelerators == 0);
}

// A workspace whose last key was withdrawn made the whole configuration
// unreadable, and the key was served on.
BOOST_AUTO_TEST_CASE(decodes_a_workspace_without_keys) {
    auto table = platform::decode_configuration(make_entry(
        "op/config", R"({"version":8,"routes":[],"tenants":[{"name":"t1"}]})"));
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(!table->workspaces()->empty());
    BOOST_TEST(table->workspaces()->find_by_key("k1") == nullptr);
}

// A configuration without workspaces serves calls without a key, as before.
BOOST_AUTO_TEST_CASE(configuration_without_workspaces_needs_no_key) {
    auto table = platform::decode_configuration(
        make_entry("op/config", R"({"version":7,"routes":[]})"));
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(table->workspaces()->empty());
}

BOOST_AUTO_TEST_CASE(invalid_workspaces_reject_the_configuration) {
    for (const char* invalid :
         {R"({"tenants":[{}]})", R"({"tenants":7})", R"({"tenants":[7]})",
          R"({"tenants":[{"name":"","apiKeys":[]}]})",
          R"({"tenants":[{"name":"t","apiKeys":"k"}]})",
          R"({"tenants":[{"name":"t","apiKeys":[],"weight":-1}]})",
          R"({"tenants":[{"name":"t","apiKeys":[],"cap":{"cpu":"x"}}]})"}) {
        std::string text =
            R"({"version":7,"routes":[],)" + std::string(invalid).substr(1);
        BOOST_TEST(
            !platform::decode_configuration(make_entry("op/config", text)),
            invalid);
    }
}

// The service keeps the active configuration if the decoder returns nothing.
BOOST_AUTO_TEST_CASE(invalid_configuration_is_rejected) {
    for (const char* invalid : {"", "{}", R"({"version":"x","routes":[]})",
                                R"({"version":1,"routes":[{}]})"}) {
        BOOST_TEST(
            !platform::decode_configuration(make_entry("op/config", invalid)));
    }
    BOOST_TEST(!platform::decode_configuration(make_entry("op/wave/1", "{}")));
}

BOOST_AUTO_TEST_CASE(decodes_a_job) {
    auto job = platform::decode_job(
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,
            "estimateMs":900,"affinity":"r1"},{"count":2,"cpu":2000,
            "after":[0],"gang":true,"checkpointing":true,
            "antiAffinity":3}]})",
        "00ff", make_queue());
    BOOST_REQUIRE(job.has_value());
    BOOST_TEST(job->payload == "text");
    BOOST_TEST(job->steps.at(0).data_rack == "r1");
    BOOST_TEST(job->steps.at(1).gang);
    BOOST_TEST(job->steps.at(1).max_per_endpoint == 3);
}

BOOST_AUTO_TEST_CASE(invalid_job_is_rejected_with_a_reason) {
    for (const char* invalid :
         {"", "[]", "{}", R"({"spec":"x","steps":[]})",
          R"({"spec":7,"steps":[{"count":1}]})",
          R"({"steps":[{"count":1,"after":[0]}]})",
          R"({"steps":[{"count":1,"after":[3]}]})",
          R"({"steps":[{"count":0}]})", R"({"steps":[{"count":"a"}]})",
          R"({"steps":[{"cpu":-5}]})", "\xff"}) {
        auto job = platform::decode_job(invalid, "00ff", make_queue());
        BOOST_TEST(!job.has_value());
        BOOST_TEST(!job.error().detail.empty());
    }
}

BOOST_AUTO_TEST_CASE(decodes_a_renew_reply) {
    auto reply = platform::decode_renew_reply(
        200, R"({"clockMs":482113,"running":[["a.0.1.17",2,"c0",41]],
                 "ended":[[58,"a.0.1.9",1,"done",""],
                          [59,"a.0.1.10",3,"broken","c1"]]})",
        "i-1");
    BOOST_TEST((reply.status == order_status::done));
    BOOST_TEST(reply.clock->count() == 482113);
    BOOST_REQUIRE(reply.running.size() == 1u);
    BOOST_TEST(reply.running[0].task.index == 17);
    BOOST_TEST(reply.running[0].percent == 41);
    BOOST_REQUIRE(reply.finished.size() == 2u);
    BOOST_TEST((reply.finished[1].outcome == task_outcome::gang_broken));
    BOOST_TEST(reply.finished[1].checkpoint == "c1");
}

// A partly decoded reply would look as if the remaining tasks no longer ran.
// An endpoint lists 500 completions at a time. A run that was in neither list
// was taken for lost although its completion was yet to come.
BOOST_AUTO_TEST_CASE(a_full_list_of_completions_is_reported_as_truncated) {
    for (int count : {499, 500}) {
        auto ended = nlohmann::json::array();
        for (int i = 1; i <= count; ++i) {
            ended.push_back({i, "5c0e7a21d94b36f8.0.1.17", 1, "done", ""});
        }
        nlohmann::json body{{"clockMs", 1}, {"ended", std::move(ended)}};
        auto reply = platform::decode_renew_reply(200, body.dump(), "i-1");
        BOOST_TEST(reply.finished.size() == static_cast<std::size_t>(count));
        BOOST_TEST(reply.finished_truncated == (count == 500));
    }
}

BOOST_AUTO_TEST_CASE(invalid_renew_reply_is_reported_as_unreachable) {
    for (const char* invalid : {R"({"running":7})", R"({"running":[[1,2]]})",
                                R"({"ended":[["x"]]})"}) {
        auto reply = platform::decode_renew_reply(200, invalid, "i-1");
        BOOST_TEST((reply.status == order_status::unreachable));
    }
}

// A truncated reply, or one of another program at the endpoint's address,
// counted as a report that nothing runs there, and all tasks were started
// elsewhere.
BOOST_AUTO_TEST_CASE(a_renew_reply_without_a_clock_reading_shows_nothing) {
    for (const char* invalid :
         {"", "{}", "[]", R"({"clockMs":4821,"running":[)",
          R"({"running":[],"ended":[]})", "<html></html>"}) {
        auto reply = platform::decode_renew_reply(200, invalid, "i-1");
        BOOST_TEST((reply.status == order_status::unreachable), invalid);
    }
    auto reply =
        platform::decode_renew_reply(200, R"({"clockMs":4821})", "i-1");
    BOOST_TEST((reply.status == order_status::done));
}

BOOST_AUTO_TEST_CASE(each_refusal_maps_to_its_status) {
    auto status = [](int code, const char* body) {
        return platform::decode_order_reply(code, body, "i-1").status;
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

BOOST_AUTO_TEST_CASE(invalid_advice_reply_is_not_an_answer) {
    auto valid = platform::decode_advice_reply(
        200, R"({"good":[["i-1","t1"]],"validMs":3000})", {"i-1"});
    BOOST_TEST(valid.answered);
    BOOST_TEST(valid.admitted.size() == 1u);
    for (const char* invalid :
         {"", "{}", R"({"good":7})", R"({"good":[[]]})"}) {
        BOOST_TEST(
            !platform::decode_advice_reply(200, invalid, {"i-1"}).answered);
    }
    BOOST_TEST(!platform::decode_advice_reply(429, "{}", {"i-1"}).answered);
}

namespace {

std::string with_born(const std::string& born) {
    return replace_in(valid_endpoint, R"("seq":4)",
                      R"("seq":4,"born":)" + born);
}

std::string list_with_born(const std::string& born) {
    return R"({"clockMs":4821,"running":[["a.0.1.17",2,"",41]],"born":)" +
           born + "}";
}

} // namespace

// An endpoint that starts again under its id was taken for the one that it was
// before.
BOOST_AUTO_TEST_CASE(lives_of_an_endpoint_have_ids_of_their_own) {
    auto id_with = [](const std::string& born) {
        auto listing = platform::decode_endpoint(
            make_entry("servers/i-1", with_born(born)));
        BOOST_REQUIRE(listing.has_value());
        return listing->id;
    };
    BOOST_TEST(id_with("1700000000001") == id_with("1700000000001"));
    BOOST_TEST(id_with("1700000000001") != id_with("1700000000002"));
}

// An entry whose life can't be told names no endpoint to use.
BOOST_AUTO_TEST_CASE(registry_entry_with_an_invalid_life_is_rejected) {
    for (const char* born : {"-1", "1.5", "\"1\"", "null", "[1]", "true", "1e3",
                             "18446744073709551615"}) {
        BOOST_TEST(!platform::decode_endpoint(
                       make_entry("servers/i-1", with_born(born))),
                   born);
    }
}

// Only the list of the life that was asked settles anything.
BOOST_AUTO_TEST_CASE(a_list_of_runs_is_that_of_one_life) {
    auto decode = [](const std::string& body, const char* addressed) {
        return platform::decode_renew_reply(200, body, addressed);
    };
    auto same = decode(list_with_born("7"), "i-1#7");
    BOOST_TEST((same.status == order_status::done));
    BOOST_TEST(same.running.size() == 1u);
    for (const char* addressed : {"i-1#7", "i-1"}) {
        auto later = decode(list_with_born("8"), addressed);
        BOOST_TEST((later.status == order_status::other_incarnation));
        BOOST_TEST(later.answered_by == "i-1#8");
        BOOST_TEST(later.running.empty());
    }
    for (const std::string& useless :
         {list_with_born("6"), list_with_born("\"7\""), list_with_born("7.5"),
          list_with_born("null"), std::string(R"({"clockMs":4821})")}) {
        auto reply = decode(useless, "i-1#7");
        BOOST_TEST((reply.status == order_status::unreachable), useless);
        BOOST_TEST(reply.answered_by.empty());
    }
    BOOST_TEST(
        (decode(R"({"clockMs":4821})", "i-1").status == order_status::done));
}

// An order that another life answers may have been carried out there.
BOOST_AUTO_TEST_CASE(an_order_that_another_life_answers_is_not_settled) {
    auto status = [](int code, const char* body) {
        return platform::decode_order_reply(code, body, "i-1#7").status;
    };
    BOOST_TEST((status(200, R"({"clockMs":1})") == order_status::done));
    BOOST_TEST(
        (status(200, R"({"clockMs":1,"born":7})") == order_status::done));
    for (const char* born : {"8", "6", "\"7\"", "null", "7.5"}) {
        std::string body =
            std::string(R"({"reason":"fence","born":)") + born + "}";
        BOOST_TEST((status(200, body.c_str()) == order_status::unreachable));
        BOOST_TEST((status(409, body.c_str()) == order_status::unreachable));
        BOOST_TEST(
            (status(421, body.c_str()) == order_status::other_incarnation));
    }
}

// The advice service knows endpoints by their names.
BOOST_AUTO_TEST_CASE(advice_is_asked_by_name_and_kept_by_life) {
    cluster::advice_call call;
    call.step = {"00ff", 0, 1, 0};
    call.candidates = {"i-1#7", "i-2"};
    auto sent = nlohmann::json::parse(platform::encode_advice_call(call));
    BOOST_TEST(sent.at("workers").dump() == R"(["i-1","i-2"])");
    auto reply = platform::decode_advice_reply(
        200, R"({"good":[["i-1","t1"],["i-3","t3"],["i-2","t2"]]})",
        call.candidates);
    BOOST_REQUIRE(reply.admitted.size() == 2u);
    BOOST_TEST(reply.admitted[0].first == "i-1#7");
    BOOST_TEST(reply.admitted[0].second == "t1");
    BOOST_TEST(reply.admitted[1].first == "i-2");
}

BOOST_AUTO_TEST_CASE(orders_omit_unset_fields) {
    cluster::start_order start;
    start.task = {"a", 0, 1, 17};
    start.run = 2;
    start.payload = "x";
    start.start_before = cluster::endpoint_time(5);
    std::string text = platform::encode_start(7, start);
    BOOST_TEST(text.find("checkpoint") == std::string::npos);
    BOOST_TEST(text.find("\"task\":\"a.0.1.17\"") != std::string::npos);
    cluster::renew_order renewal;
    text = platform::encode_renew(7, renewal);
    BOOST_TEST(text.find("deadlineMs") == std::string::npos);
    BOOST_TEST(text.find("waitMs") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
