#include "eelgrasslever/observe/nonblocking_log_sink.hpp"

#include "eelgrasslever/base/time.hpp"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>
#include <unistd.h>

using namespace eelgrasslever;
using observe::nonblocking_log_sink;

namespace {

struct pipe_fixture {
    pipe_fixture() { BOOST_REQUIRE(pipe(descriptors) == 0); }
    ~pipe_fixture() {
        close(descriptors[0]);
        close(descriptors[1]);
    }

    /// @return all data currently in the pipe.
    std::string drain() {
        std::string out;
        std::string part(65536, '\0');
        for (;;) {
            ssize_t size = ::read(descriptors[0], part.data(), part.size());
            if (size <= 0) {
                return out;
            }
            out.append(part, 0, static_cast<std::size_t>(size));
            if (static_cast<std::size_t>(size) < part.size()) {
                return out;
            }
        }
    }

    int descriptors[2];
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(nonblocking_log_sink_tests, pipe_fixture)

// Nobody reads the pipe, so a single blocking write would never return and the
// test would hang or exceed the bound of one second.
BOOST_AUTO_TEST_CASE(a_full_pipe_drops_lines_without_blocking) {
    nonblocking_log_sink sink(descriptors[1]);
    const std::string line(200, 'x');
    auto started_at = base::monotonic_now();
    std::uint64_t written = 0;
    constexpr std::uint64_t lines = 10'000;
    for (std::uint64_t i = 0; i < lines; ++i) {
        written += sink.write(line) ? 1 : 0;
    }
    BOOST_TEST((base::monotonic_now() - started_at < base::milliseconds(1000)));
    BOOST_TEST(written > 0u);
    BOOST_TEST(sink.take_lost_count() == lines - written);
    BOOST_TEST(sink.take_lost_count() == 0u);
}

BOOST_AUTO_TEST_CASE(lines_are_written_whole_or_dropped) {
    nonblocking_log_sink sink(descriptors[1]);
    const std::string line(333, 'y');
    for (int round = 0; round < 5; ++round) {
        for (int i = 0; i < 1000; ++i) {
            sink.write(line);
        }
        std::istringstream seen(drain());
        std::string read;
        int count = 0;
        while (std::getline(seen, read)) {
            BOOST_REQUIRE(read == line);
            count++;
        }
        BOOST_TEST(count > 0);
    }
}

BOOST_AUTO_TEST_CASE(an_overlong_line_is_truncated) {
    nonblocking_log_sink sink(descriptors[1]);
    BOOST_TEST(sink.write(std::string(100'000, 'z')));
    BOOST_TEST(drain().size() == nonblocking_log_sink::max_line_bytes);
}

BOOST_AUTO_TEST_SUITE_END()
