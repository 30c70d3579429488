// Fuzzes the parsers of everything that the users' platform sends (endpoint
// entries, configuration, jobs, inventories, advice, settings) and of the job
// records in its store.
#include "targets.hpp"

#include "eelgrasslever/service/member_record.hpp"
#include "eelgrasslever/workload/codec.hpp"
#include "message_codec.hpp"
#include "settings_file.hpp"

namespace fuzz {

using namespace eelgrasslever;

target platform_target() {
    auto run = [](const std::string& input) {
        coordination::key_value entry;
        entry.key = "servers/i-1";
        entry.value = input;
        (void)platform::decode_endpoint(entry);
        entry.key = "op/config";
        (void)platform::decode_configuration(entry);
        (void)service::decode_member(input, "vm");
        (void)platform::decode_job(input, "00ff", {});
        (void)platform::decode_renew_reply(200, input, "i-1#5");
        (void)platform::decode_order_reply(409, input, "i-1#5");
        (void)platform::decode_advice_reply(200, input, {"i-1#5"});
        (void)platform::parse_settings(input, "fuzz");
        (void)workload::decode_job(input, "00ff");
        (void)workload::decode_progress(input, "00ff");
    };
    return {
        "platform",
        run,
        {R"({"service":"s","address":"10.1.0.9:80","zone":"z","state":"ready","capacity":{"cpu":16000},"labels":["a","r1"]})",
         R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s","advice":{"decisionMs":3.5,"periodMs":5.4,"validMs":2500}}]})",
         R"({"spec":"x","steps":[{"count":4,"cpu":500,"after":[]},{"count":2,"after":[0],"gang":true}]})",
         R"({"clockMs":4,"born":5,"running":[["a.0.1.17",2,"c0",41]],"ended":[[58,"a.0.1.9",1,"done",""]]})",
         R"({"good":[["i-1","t1"]],"validMs":3000})",
         "node=a\nzone=z\nip=10.1.0.1\nbounds.graceS=6\n",
         R"({"peer":"10.1.0.1:7000","cores":0.5,"fd":"z","loaded":true})",
         R"({"state":1,"done":[[0,1,"101"]],"failures":{"0.1.2":[1]},"placements":[["0.1.1",4,"i-1"]]})"}};
}

} // namespace fuzz
