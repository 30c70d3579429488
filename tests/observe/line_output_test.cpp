#include "eelgrasslever/observe/line_output.hpp"

#include "eelgrasslever/base/time.hpp"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>
#include <unistd.h>

using namespace eelgrasslever;
using observe::line_output;

namespace {

struct fixture {
    fixture() { BOOST_REQUIRE(pipe(ends) == 0); }
    ~fixture() {
        close(ends[0]);
        close(ends[1]);
    }

    /// @return what the pipe holds now.
    std::string drain() {
        std::string out;
        std::string part(65536, '\0');
        for (;;) {
            ssize_t size = ::read(ends[0], part.data(), part.size());
            if (size <= 0) {
                return out;
            }
            out.append(part, 0, static_cast<std::size_t>(size));
            if (static_cast<std::size_t>(size) < part.size()) {
                return out;
            }
        }
    }

    int ends[2];
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(output, fixture)

// The bound of a second is far below what one blocked write would take.
BOOST_AUTO_TEST_CASE(output_that_nobody_reads_loses_lines_never_time) {
    line_output output(ends[1]);
    const std::string line(200, 'x');
    auto before = base::monotonic_now();
    std::uint64_t written = 0;
    constexpr std::uint64_t lines = 10'000;
    for (std::uint64_t i = 0; i < lines; ++i) {
        written += output.write(line) ? 1 : 0;
    }
    BOOST_TEST((base::monotonic_now() - before < base::milliseconds(1000)));
    BOOST_TEST(written > 0u);
    BOOST_TEST(output.take_lost() == lines - written);
    BOOST_TEST(output.take_lost() == 0u);
}

BOOST_AUTO_TEST_CASE(lines_are_whole_or_missing) {
    line_output output(ends[1]);
    const std::string line(333, 'y');
    for (int round = 0; round < 5; ++round) {
        for (int i = 0; i < 1000; ++i) {
            output.write(line);
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

BOOST_AUTO_TEST_CASE(a_long_line_is_cut) {
    line_output output(ends[1]);
    BOOST_TEST(output.write(std::string(100'000, 'z')));
    BOOST_TEST(drain().size() == line_output::longest_line);
}

BOOST_AUTO_TEST_SUITE_END()
