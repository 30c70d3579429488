#include "eelgrasslever/workload/codec.hpp"
#include "eelgrasslever/workload/objective.hpp"

#include <boost/test/unit_test.hpp>

using namespace eelgrasslever;
using workload::job;
using workload::progress;
using workload::step;

namespace {

job sample_job() {
    job out;
    out.id = "j1";
    out.configuration_version = 0x1'0000'0001;
    out.payload = "payload \"with\" quotes \xc3\xa9";
    out.queue.name = "q";
    out.queue.service = "s";
    out.queue.max_attempts = 3;
    out.queue.stretch = 2.2;
    out.queue.advice = workload::advice_policy{base::milliseconds(380),
                                               std::chrono::microseconds(5400),
                                               base::milliseconds(2500)};
    step first;
    first.count = 4;
    first.need.cpu_milli = 500;
    step second;
    second.count = 2;
    second.predecessors = {0};
    second.gang = true;
    second.max_per_endpoint = 3;
    second.image = "image";
    out.steps = {first, second};
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(workload_records)

BOOST_AUTO_TEST_CASE(a_job_round_trips_through_its_record) {
    job in = sample_job();
    auto out = workload::decode_job(workload::encode(in), "j1");
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(out->payload == in.payload);
    BOOST_TEST((out->queue == in.queue));
    BOOST_TEST(out->configuration_version == in.configuration_version);
    BOOST_TEST(out->queue.stretch == in.queue.stretch);
    BOOST_TEST(out->queue.advice->call_time_per_candidate.count() == 5400);
    BOOST_TEST(out->steps.size() == 2u);
    BOOST_TEST(out->steps[1].gang);
    BOOST_TEST(out->steps[1].max_per_endpoint == 3);
    BOOST_TEST(out->steps[0].need.cpu_milli == 500);
}

// Records of earlier product versions don't say which configuration their
// policy is from.
BOOST_AUTO_TEST_CASE(job_without_a_configuration_version_is_read) {
    job in = sample_job();
    in.configuration_version = 0;
    std::string text = workload::encode(in);
    BOOST_TEST(text.find("\"configuration\"") == std::string::npos);
    auto out = workload::decode_job(text, "j1");
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(out->configuration_version == 0u);
}

BOOST_AUTO_TEST_CASE(progress_round_trips_through_its_record) {
    progress in;
    in.state = workload::job_state::running;
    in.queue = "q";
    in.completed[{0, 1}] = {true, false, true};
    in.failed_runs["0.1.2"] = {1, 10'001};
    in.crashed_runs["0.1.0"] = {{3, base::milliseconds(0)},
                                {10'002, base::milliseconds(1500)}};
    in.last_starts["0.1.0"] = {10'003};
    in.unproved_runs["0.1.0"] = {
        {10'003, {"i-2", "10.0.0.2:80", base::milliseconds(700)}}};
    in.placements["0.1.1"] = {4, "i-1", "10.0.0.1:80"};
    in.workspace = "office";
    in.step_needs = {{0, 1500, 256, 0}, {0, 4000, 1024, 2}};
    auto out = workload::decode_progress(workload::encode(in), "j1");
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST((*out == in));
}

// Records of the version before have no runs that await a proof.
BOOST_AUTO_TEST_CASE(progress_without_unproved_runs_is_read) {
    auto out = workload::decode_progress(
        R"({"state":1,"crashes":[["0.1.0",3,1500]],"last_starts":{"0.1.0":[4]}})",
        "j1");
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(out->unproved_runs.empty());
    BOOST_TEST((out->last_starts.at("0.1.0") == std::set<int>{4}));
    BOOST_TEST(workload::encode(*out).find("unproved") == std::string::npos);
}

// Records of the version before don't tell whose limit the remaining runs of an
// ended job count against.
BOOST_AUTO_TEST_CASE(progress_without_an_owner_is_read) {
    auto out = workload::decode_progress(R"({"state":4,"queue":"q"})", "j1");
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(out->workspace.empty());
    BOOST_TEST(out->step_needs.empty());
    BOOST_TEST(workload::encode(*out).find("needs") == std::string::npos);
}

// A leader of the version before takes "last_starts" for starts beyond the
// third crash, and would fail the job.
BOOST_AUTO_TEST_CASE(starts_since_the_first_crash_have_a_field_of_their_own) {
    workload::progress in;
    in.last_starts["0.1.0"] = {4, 5};
    std::string text = workload::encode(in);
    BOOST_TEST(text.find("last_starts") == std::string::npos);
    auto out = workload::decode_progress(text, "j1");
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST((*out == in));
}

BOOST_AUTO_TEST_CASE(malformed_records_are_errors) {
    for (const char* malformed :
         {"", "[]", "{}", R"({"state":"x"})", R"({"state":99})",
          R"({"state":1,"done":[7]})", R"({"state":1,"placements":[["a"]]})",
          R"({"state":4,"needs":[[1]]})"}) {
        BOOST_TEST(!workload::decode_progress(malformed, "j1").has_value());
    }
    for (const char* malformed : {"", "{}", R"({"queue":{},"steps":[]})",
                                  R"({"queue":{"name":"q","service":1}})"}) {
        BOOST_TEST(!workload::decode_job(malformed, "j1").has_value());
    }
}

BOOST_AUTO_TEST_CASE(task_keys_round_trip_through_text) {
    workload::task_key key{"5c0e7a21d94b36f8", 3, 1, 17};
    auto out = workload::parse_task_key(workload::to_string(key));
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST((*out == key));
    for (const char* malformed : {"", "a", "a.1", "a.1.2", "a.1.2.x", ".1.2.3",
                                  "a.-1.2.3", "a.1.2.99999999999"}) {
        BOOST_TEST(!workload::parse_task_key(malformed).has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_step_may_only_depend_on_earlier_steps) {
    job value = sample_job();
    BOOST_TEST(workload::validate(value).has_value());
    value.steps[0].predecessors = {1};
    auto out = workload::validate(value);
    BOOST_REQUIRE(!out.has_value());
    BOOST_TEST(out.error().detail.find("step 0") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_objective_follows_the_longest_chain_of_steps) {
    job value;
    value.queue.stretch = 2.0;
    value.queue.target_latency = base::milliseconds(100);
    value.queue.advice = workload::advice_policy{
        base::milliseconds(10), std::chrono::microseconds(1000),
        base::milliseconds(2000)};
    value.steps.resize(4);
    value.steps[0].estimated_duration = base::milliseconds(1000);
    value.steps[1].estimated_duration = base::milliseconds(500);
    value.steps[1].predecessors = {0};
    value.steps[2].estimated_duration = base::milliseconds(200);
    value.steps[2].predecessors = {0};
    value.steps[3].estimated_duration = base::milliseconds(300);
    value.steps[3].predecessors = {1, 2};
    // Each step has a call of 10 ms and 30 candidates at 1 ms each.
    auto chains = workload::remaining_chain_durations(value);
    BOOST_TEST(chains[3].count() == 340);
    BOOST_TEST(chains[2].count() == 580);
    BOOST_TEST(chains[1].count() == 880);
    BOOST_TEST(chains[0].count() == 1920);
    BOOST_TEST(workload::latency_objective(value, chains).count() == 3940);
}

// Guards against a leader that runs out of memory on the tasks of an odd
// record.
BOOST_AUTO_TEST_CASE(stored_job_with_an_impossible_amount_is_rejected) {
    auto decodes = [](const std::string& step) {
        return workload::decode_job(
                   R"({"queue":{"name":"q","service":"s"},"steps":[{)" + step +
                       "}]}",
                   "00ff")
            .has_value();
    };
    BOOST_TEST(decodes(R"("count":4,"cpu":500)"));
    for (const char* amount : {"1000000000", "-1", "1e300"}) {
        BOOST_TEST(!decodes(R"("count":)" + std::string(amount)), amount);
    }
    for (const char* amount : {"1e300", "-1", "18446744073709551615"}) {
        BOOST_TEST(!decodes(R"("cpu":)" + std::string(amount)), amount);
        BOOST_TEST(!decodes(R"("estimate":)" + std::string(amount)), amount);
    }
}

BOOST_AUTO_TEST_SUITE_END()
