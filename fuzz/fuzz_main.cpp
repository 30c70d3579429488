// Runs every fuzz target on mutations of its samples. The same seed gives the
// same inputs.
#include "targets.hpp"

#include <gflags/gflags.h>
#include <iostream>
#include <random>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the random generator");
DEFINE_int32(rounds, 20000, "number of mutated inputs per target");

namespace {

/// Values out of range, and nested more deeply than the stack allows for a call
/// each level.
const std::string& odd_value(std::mt19937_64& random) {
    constexpr std::size_t levels = 200'000;
    static const std::vector<std::string> values{"1e300",
                                                 "-1e300",
                                                 "18446744073709551615",
                                                 "99999999999999999999",
                                                 "-1",
                                                 "null",
                                                 "{}",
                                                 "\"10.1.0.9:70000\"",
                                                 std::string(levels, '[') +
                                                     std::string(levels, ']')};
    // Nested ones take long to parse.
    bool is_nested = random() % 200 == 0;
    return is_nested ? values.back() : values[random() % (values.size() - 1)];
}

/// Puts an odd value in the place of one that follows a colon.
std::string replace_value(std::string text, std::mt19937_64& random) {
    auto colon = text.find(':', random() % text.size());
    if (colon == std::string::npos) {
        return text;
    }
    auto end = text.find_first_of(",}]", colon);
    return text.replace(colon + 1, end - colon - 1, odd_value(random));
}

std::string mutate(std::string text, std::mt19937_64& random) {
    if (random() % 8 == 0) {
        return replace_value(std::move(text), random);
    }
    std::uint64_t changes = 1 + random() % 6;
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        std::size_t position = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[position] = static_cast<char>(random() & 0xFF);
            break;
        case 1:
            text.erase(position, 1 + random() % 8);
            break;
        case 2:
            text.insert(position, text.substr(random() % text.size(), 12));
            break;
        default:
            text[position] = "0123456789{}[]\",:-.e"[random() % 20];
            break;
        }
    }
    return text;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const fuzz::target& target :
         {fuzz::frame_target(), fuzz::request_target(), fuzz::bundle_target(),
          fuzz::settings_target(), fuzz::endpoint_reply_target(),
          fuzz::platform_target()}) {
        std::mt19937_64 random(FLAGS_seed);
        for (int round = 0; round < FLAGS_rounds; ++round) {
            const std::string& sample =
                target.samples[random() % target.samples.size()];
            target.run(mutate(sample, random));
        }
        std::cout << target.name << ": " << FLAGS_rounds << " inputs"
                  << std::endl;
    }
    return 0;
}
