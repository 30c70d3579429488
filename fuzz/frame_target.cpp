// Fuzzes the reader and the decoder of frames from peers.
#include "targets.hpp"

#include "eelgrasslever/wire/codec.hpp"

namespace fuzz {

namespace wire = eelgrasslever::wire;

target frame_target() {
    wire::heartbeat heartbeat;
    heartbeat.alive = {"a@1", "b@2"};
    wire::request_result result;
    result.request_id = "r";
    result.answer.body = "done";
    auto run = [](const std::string& input) {
        wire::frame_reader reader;
        reader.append(input.data(), input.size());
        for (auto frame = reader.next(); frame && frame->has_value();
             frame = reader.next()) {
            auto decoded = wire::decode(**frame);
            (void)decoded;
        }
    };
    return {"frame",
            run,
            {wire::encode({"a@1", heartbeat}), wire::encode({"a@1", result}),
             wire::encode({"a@1", wire::locate_request{1, "r", true, true}})}};
}

} // namespace fuzz
