// Fuzzes the parsers of endpoint replies, of the platform's VM list and of
// stored journal shards.
#include "targets.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/endpoint/protocol.hpp"
#include "eelgrasslever/journal/shard.hpp"
#include "eelgrasslever/membership/vm_list.hpp"

namespace fuzz {

using namespace eelgrasslever;

target endpoint_reply_target() {
    auto run = [](const std::string& input) {
        auto reply =
            base::parse_message<endpoint::reply>(input, "fuzz", "fuzz");
        auto list = membership::parse_vm_list(input);
        journal::shard shard("journal/0", "a@1");
        shard.reload([](const journal::entries*) {});
        auto call = shard.next_call(0);
        shard.on_reply(*call, {store::status::ok, 1, input});
        (void)reply;
        (void)list;
    };
    return {
        "endpoint_reply",
        run,
        {R"({"accepted":true,"epoch":7,"capacity":{"slots":8},"reports":[{"id":"a","state":"running","need":{"slots":1}}]})",
         R"({"version":1,"vms":[{"name":"a","role":"entry","address":"x","state":"live"}]})",
         R"({"writer":"a@1","sequence":3,"entries":{"r":{"home":"a@1","fd":"x","expires":5,"finished":[[0,3]],"answer":{"outcome":"failed"}}}})"}};
}

} // namespace fuzz
