// Frames from peers.
#include "targets.hpp"

#include "eelgrasslever/wire/codec.hpp"

namespace fuzz {

namespace wire = eelgrasslever::wire;

target frame_target() {
    wire::heartbeat beat;
    beat.alive = {"a@1", "b@2"};
    wire::request_result ended;
    ended.request_id = "r";
    ended.answer.body = "done";
    auto run = [](const std::string& input) {
        wire::frame_reader reader;
        reader.append(input.data(), input.size());
        for (auto next = reader.next(); next && next->has_value();
             next = reader.next()) {
            auto decoded = wire::decode(**next);
            (void)decoded;
        }
    };
    return {"frame",
            run,
            {wire::encode({"a@1", beat}), wire::encode({"a@1", ended}),
             wire::encode({"a@1", wire::locate_request{1, "r", true, true}})}};
}

} // namespace fuzz
