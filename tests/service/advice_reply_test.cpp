// Replies to advice calls that a leader makes through a peer.
#include "cell_fixture.hpp"

#include "eelgrasslever/daemon/peer_links.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <boost/test/unit_test.hpp>
#include <variant>

using namespace eelgrasslever;

namespace {

constexpr base::milliseconds limit{5000};
constexpr base::milliseconds reply_time{200};
/// Long enough for a call to be open throughout a test.
constexpr base::milliseconds call_time{3000};
const std::string endpoint = "endpoints/1";

/// Cells with a VM that is only heard: it precedes all others by name, so the
/// leaders make their calls through it.
struct fixture : test::cell_fixture {
    fixture() {
        auto listening = daemon::peer_links::listen(loop, heard_address, inbox);
        BOOST_REQUIRE(listening.has_value());
        links = *std::move(listening);
        put(std::string(cluster::keys::member) + "a-heard",
            R"({"peer":")" + heard_address + R"(","cores":0.01,"fd":"fd-1"})");
        put(endpoint, "listed");
    }

    void accept_job(const std::string& id) {
        workload::job job = test::make_job(id, 1, 1000);
        job.queue.advice = workload::advice_policy{
            call_time, std::chrono::microseconds(0), 2 * call_time};
        put(cluster::keys::job + id, workload::encode(job));
    }
    void remove_job(const std::string& id) {
        coordination::transaction change;
        change.removals.push_back(cluster::keys::job + id);
        shared.apply(change);
    }

    /// @return the number of the call that @p leader makes for job @p id.
    std::uint64_t wait_for_call(const vm& leader, const std::string& id) {
        std::uint64_t query = 0;
        run_until(
            [&] {
                for (const auto& [from, call] : calls) {
                    if (from == leader.address && call.job == id) {
                        query = call.query;
                    }
                }
                return query != 0;
            },
            limit);
        BOOST_REQUIRE(query != 0u);
        return query;
    }

    void respond(const vm& to, std::uint64_t query, const std::string& ticket) {
        wire::advice_response response;
        response.query = query;
        response.answered = true;
        response.endpoints = {endpoint};
        response.tickets = {ticket};
        links->inbox().post(daemon::send_peer_frame{
            to.address, wire::encode({heard_address, std::move(response)})});
        run(reply_time);
    }

    const std::string heard_address = free_address();
    std::vector<std::pair<std::string, wire::advice_request>> calls;
    kernel::mailbox<daemon::scheduler_message> inbox{
        loop, [this](daemon::scheduler_message&& message) {
            auto* received =
                std::get_if<daemon::peer_message_received>(&message);
            auto* call =
                received == nullptr
                    ? nullptr
                    : std::get_if<wire::advice_request>(&received->content);
            if (call != nullptr) {
                calls.emplace_back(received->from, std::move(*call));
            }
        }};
    std::unique_ptr<daemon::peer_links> links;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(advice_reply, fixture)

// A restarted leader has the address of its former process. A late reply to the
// latter gave a step the tickets, and the refusals, of another step.
BOOST_AUTO_TEST_CASE(a_reply_to_a_former_process_is_not_taken) {
    accept_job("j1");
    vm& former = add_vm("former", 0.5);
    std::uint64_t former_call = wait_for_call(former, "j1");
    remove_job("j1");
    accept_job("j2");
    lose(former);
    // The same VM would have the same address, which does not matter here.
    vm& present = add_vm("present", 0.5);
    std::uint64_t present_call = wait_for_call(present, "j2");
    respond(present, former_call, "of j1");
    BOOST_TEST(present.endpoints.starts.empty());
    respond(present, present_call, "of j2");
    BOOST_TEST(!present.endpoints.starts.empty());
    // The endpoint never shows the run, so it may be started again.
    for (const cluster::start_order& start : present.endpoints.starts) {
        BOOST_TEST(start.ticket == "of j2");
    }
}

BOOST_AUTO_TEST_SUITE_END()
