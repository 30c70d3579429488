#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/observe/metrics.hpp"
#include "eelgrasslever/observe/trace.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever::observe;

BOOST_AUTO_TEST_CASE(an_event_is_formatted_as_one_line_of_pairs) {
    BOOST_TEST(
        format_event("gone", {{"member", "a@1"}, {"why", "no \"x\"\n"}}) ==
        "event=gone member=a@1 why=\"no \\\"x\\\" \"");
}

BOOST_AUTO_TEST_CASE(traceparent_is_validated_and_continued) {
    std::string parent =
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    auto context = parse_traceparent(parent);
    BOOST_REQUIRE(context);
    BOOST_TEST(to_traceparent(*context) == parent);
    BOOST_TEST(!parse_traceparent("00-xyz"));
    std::string zeros = "00-" + std::string(32, '0') + "-b7ad6b7169203331-01";
    BOOST_TEST(!parse_traceparent(zeros));
    tracer spans("vm", 1);
    auto child = spans.child_of(context);
    BOOST_TEST(child.trace_id == context->trace_id);
    BOOST_TEST(child.span_id != context->span_id);
}

BOOST_AUTO_TEST_CASE(metrics_are_exported_in_the_prometheus_format) {
    metrics all;
    all.add("answers_total{outcome=\"completed\"}", 2);
    for (int i = 1; i <= 1000; ++i) {
        all.observe("waiting_seconds", "class=\"urgent\"", i / 1000.0);
    }
    std::string page = all.to_prometheus();
    BOOST_TEST(
        page.find("eelgrasslever_answers_total{outcome=\"completed\"} 2") !=
        std::string::npos);
    BOOST_TEST(page.find("# TYPE eelgrasslever_waiting_seconds summary") !=
               std::string::npos);
    BOOST_TEST(page.find("waiting_seconds_count{class=\"urgent\"} 1000") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(latencies_are_exported_as_cumulative_buckets) {
    metrics all;
    all.observe_latency("accept_seconds", "queue=\"q\"",
                        std::chrono::milliseconds(5));
    all.observe_latency("accept_seconds", "queue=\"q\"",
                        std::chrono::milliseconds(300));
    all.observe_latency("accept_seconds", "queue=\"q\"",
                        std::chrono::milliseconds(60'000));
    all.observe_latency("takeover_seconds", "",
                        std::chrono::milliseconds(1200));
    std::string page = all.to_prometheus();
    for (const char* line :
         {"# TYPE eelgrasslever_accept_seconds histogram\n",
          "eelgrasslever_accept_seconds_bucket{queue=\"q\",le=\"0.005\"} 1\n",
          "eelgrasslever_accept_seconds_bucket{queue=\"q\",le=\"0.5\"} 2\n",
          "eelgrasslever_accept_seconds_bucket{queue=\"q\",le=\"10\"} 2\n",
          "eelgrasslever_accept_seconds_bucket{queue=\"q\",le=\"+Inf\"} 3\n",
          "eelgrasslever_accept_seconds_count{queue=\"q\"} 3\n",
          "eelgrasslever_takeover_seconds_bucket{le=\"2.5\"} 1\n",
          "eelgrasslever_takeover_seconds_sum 1.2\n"}) {
        BOOST_TEST(page.find(line) != std::string::npos, line);
    }
}
