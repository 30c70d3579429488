// Requests that a VM reads after it did not run for a while, with the system's
// own processes.
#include "entry_vm.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <optional>
#include <thread>

namespace {

constexpr review::milliseconds client_patience{500};
constexpr review::milliseconds pause_time{1000};
/// Time in which a job that was accepted is completed.
constexpr review::milliseconds job_limit{10'000};
const std::string job = "00000000000000d1";
const std::string later_job = "00000000000000d2";

struct fixture : eelgrasslever::test::entry_vm {
    std::optional<review::http_response> submit(const std::string& id,
                                                review::milliseconds patience) {
        return cell->submit(
            0, id,
            review::make_job({{"work_ms", 10}}, nlohmann::json::object()),
            patience);
    }
    std::size_t count_starts(const std::string& id) {
        std::size_t count = 0;
        for (const review::task_start& start : cell->runs().all()) {
            count += start.task.starts_with(id) ? 1 : 0;
        }
        return count;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(paused_vm, fixture)

// Guards against a job that runs for nobody: its client had left before the VM
// read the request. One that comes again is served.
BOOST_AUTO_TEST_CASE(a_submission_whose_client_has_left_is_not_carried_out) {
    cell->signal_node(0, SIGSTOP);
    BOOST_TEST(!submit(job, client_patience).has_value());
    std::this_thread::sleep_for(pause_time);
    cell->signal_node(0, SIGCONT);
    BOOST_REQUIRE(submit(later_job, job_limit).has_value());
    BOOST_TEST(cell->wait_for(0, later_job, {"completed"}, job_limit) ==
               "completed");
    BOOST_TEST(cell->state(0, job) == "410");
    BOOST_TEST(count_starts(job) == 0u);

    auto again = submit(job, job_limit);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->status == 200);
    BOOST_TEST(cell->wait_for(0, job, {"completed"}, job_limit) == "completed");
    BOOST_TEST(count_starts(job) == 1u);
}

// Guards against the rejection of a client that still waits: it sent its
// request while the VM did not run.
BOOST_AUTO_TEST_CASE(a_submission_whose_client_waits_is_carried_out) {
    cell->signal_node(0, SIGSTOP);
    std::optional<review::http_response> reply;
    std::thread client([&] { reply = submit(job, job_limit); });
    std::this_thread::sleep_for(pause_time);
    cell->signal_node(0, SIGCONT);
    client.join();
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status == 200);
    BOOST_TEST(cell->wait_for(0, job, {"completed"}, job_limit) == "completed");
}

BOOST_AUTO_TEST_SUITE_END()
