// A planned stop beside clients, with the system's own process.
#include "cell.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>

namespace {

/// A process that has been told to stop goes on for this long at least.
constexpr review::milliseconds balancer_detection_time{2500};
/// The pause begins this long before the end of that time.
constexpr review::milliseconds pause_lead{300};
constexpr review::milliseconds pause_time{1000};
constexpr review::milliseconds answer_limit{10'000};

struct fixture {
    fixture() {
        review::cell_options options;
        options.program = EEL_PLATFORM_PROGRAM;
        cell = std::make_unique<review::cell>(folder, record, options);
        cell->configure(nlohmann::json::object());
        cell->add_worker("i-a1", "a", "r-1");
        cell->add_node("escazu");
        cell->wait_until_serving();
    }
    ~fixture() {
        cell.reset();
        std::filesystem::remove_all(folder);
    }
    static std::string make_folder() {
        std::string name =
            std::filesystem::temp_directory_path() / "stopXXXXXX";
        return mkdtemp(name.data());
    }

    std::string folder{make_folder()};
    review::record_file record{folder + "/record.txt"};
    std::unique_ptr<review::cell> cell;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stop_beside_clients, fixture)

// Guards against a process that stops as idle though a request waits in its
// socket: it did not run for a while, and its timer is due before it has read.
BOOST_AUTO_TEST_CASE(a_request_that_arrives_during_a_pause_is_answered) {
    cell->signal_node(0, SIGTERM);
    std::this_thread::sleep_for(balancer_detection_time - pause_lead);
    cell->signal_node(0, SIGSTOP);
    std::optional<review::http_response> reply;
    std::thread client([&] {
        reply = cell->submit(
            0, "00000000000000d1",
            review::make_job({{"work_ms", 10}}, nlohmann::json::object()),
            answer_limit);
    });
    std::this_thread::sleep_for(pause_time);
    cell->signal_node(0, SIGCONT);
    client.join();
    BOOST_TEST(reply.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
