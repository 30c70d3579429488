// Runs every target over seeded mutations of its samples.
#include "targets.hpp"

#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_uint64(seed, 1, "seed of the mutations");
DEFINE_int32(rounds, 20000, "mutations for each target");

namespace {

std::string mutate(std::string text, std::mt19937_64& random) {
    std::uint64_t changes = 1 + random() % 6;
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        std::size_t at = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random() & 0xFF);
            break;
        case 1:
            text.erase(at, 1 + random() % 8);
            break;
        case 2:
            text.insert(at, text.substr(random() % text.size(), 12));
            break;
        default:
            text[at] = "0123456789{}[]\",:-.e"[random() % 20];
            break;
        }
    }
    return text;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const fuzz::target& item :
         {fuzz::frame_target(), fuzz::request_target(), fuzz::bundle_target(),
          fuzz::settings_target(), fuzz::endpoint_reply_target(),
          fuzz::platform_target()}) {
        std::mt19937_64 random(FLAGS_seed);
        for (int round = 0; round < FLAGS_rounds; ++round) {
            const std::string& sample =
                item.samples[random() % item.samples.size()];
            item.run(mutate(sample, random));
        }
        std::cout << item.name << ": " << FLAGS_rounds << " inputs"
                  << std::endl;
    }
    return 0;
}
