// A planned stop beside clients, with the system's own process.
#include "entry_vm.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <optional>
#include <thread>

namespace {

/// A process that has been told to stop goes on for this long at least.
constexpr review::milliseconds balancer_detection_time{2500};
/// The pause begins this long before the end of that time.
constexpr review::milliseconds pause_lead{300};
constexpr review::milliseconds pause_time{1000};
constexpr review::milliseconds answer_limit{10'000};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stop_beside_clients, eelgrasslever::test::entry_vm)

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
