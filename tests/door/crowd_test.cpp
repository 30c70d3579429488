// Clients outside the published limits. Each test starts one entry VM with the
// memory and the descriptors of a small machine, and plays one kind of client.
// Memory, descriptors and the crowd are fixed; nothing depends on speed.
#include "crowd.hpp"
#include "entry_vm.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

using namespace eelgrasslever;

namespace {

constexpr int vm_memory_mb = 48;
constexpr int vm_descriptors = 500;
/// The platform keeps 200 of a VM's descriptors for files.
constexpr std::size_t max_descriptors = vm_descriptors - 200;
constexpr std::size_t crowd_size = 200;
/// Largest body that the platform's pages allow.
constexpr std::size_t body_limit = 262'144;
constexpr std::size_t small_part = 4096;
/// The crowd is held for this long after its last byte.
constexpr review::milliseconds hold_time{500};
constexpr review::milliseconds answer_limit{30'000};

const std::string queue_path = "/queue/00000000000000c1";
const std::string unrouted_path = "/elsewhere/00000000000000c1";

review::cell_options small_vm() {
    review::cell_options options;
    options.memory_mb = vm_memory_mb;
    options.max_descriptors = vm_descriptors;
    return options;
}

struct fixture : test::entry_vm {
    fixture() : entry_vm(small_vm()) {}

    /// Checks the process while the crowd is there.
    void check_usage() {
        std::this_thread::sleep_for(hold_time);
        BOOST_REQUIRE(cell->is_alive(0));
        auto usage = test::read_usage(cell->process_of(0));
        BOOST_TEST(usage.peak_resident_mb <= std::size_t{vm_memory_mb});
        BOOST_TEST(usage.descriptors <= max_descriptors);
    }
    /// Plays one crowd and checks that a job is taken and run beside it.
    void play(const std::string& address, const std::string& text,
              std::size_t part_bytes) {
        test::crowd clients(address, crowd_size);
        clients.send(text, part_bytes);
        check_usage();
        check_service();
    }
    /// Hands a job in, with a few tries as refusals are allowed, and waits for
    /// its end.
    void check_service() {
        const std::string job = "00000000000000d1";
        auto body =
            review::make_job({{"work_ms", 100}}, nlohmann::json::object());
        bool accepted = false;
        for (int tries = 0; tries < 20 && !accepted; ++tries) {
            auto reply = cell->submit(0, job, body, answer_limit);
            accepted = reply && reply->status == 200;
            if (!accepted) {
                std::this_thread::sleep_for(review::milliseconds(250));
            }
        }
        BOOST_TEST(accepted);
        BOOST_TEST(cell->wait_for(0, job, {"completed"}, answer_limit) ==
                   "completed");
        BOOST_TEST(cell->is_alive(0));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(clients_outside_the_limits, fixture)

// Bodies of legal size that never end took the memory of the VM.
BOOST_AUTO_TEST_CASE(unfinished_bodies_in_one_piece) {
    play(cell->client_address(0),
         test::unfinished_request(queue_path, body_limit), body_limit * 2);
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_in_small_pieces) {
    play(cell->client_address(0),
         test::unfinished_request(queue_path, body_limit), small_part);
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_in_chunks) {
    play(cell->client_address(0),
         test::unfinished_chunks(queue_path, body_limit, small_part),
         body_limit * 2);
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_at_a_path_without_a_route) {
    play(cell->client_address(0),
         test::unfinished_request(unrouted_path, body_limit), body_limit * 2);
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_at_the_readiness_path) {
    play(cell->readiness_address(0),
         test::unfinished_request("/ready", body_limit), body_limit * 2);
}

// The server took up to 1 MiB of a body whatever the configured limit.
BOOST_AUTO_TEST_CASE(bodies_far_over_the_limit) {
    std::string text =
        test::unfinished_request(queue_path, 40'000'000).substr(0, 1'000'000);
    play(cell->client_address(0), text, 65'536);
}

// A legal size, but every field and step takes a hundred times its text.
BOOST_AUTO_TEST_CASE(very_many_short_fields) {
    std::string steps = "{\"steps\":[{}";
    while (steps.size() + 5 < body_limit) {
        steps += ",{}";
    }
    steps += "]}";
    std::string fields = "{\"a\":0";
    while (fields.size() + 8 < body_limit) {
        fields += ",\"a\":0";
    }
    fields += "}";
    play(cell->client_address(0), test::complete_request(queue_path, steps),
         body_limit * 2);
    play(cell->client_address(0), test::complete_request(queue_path, fields),
         body_limit * 2);
}

BOOST_AUTO_TEST_CASE(requests_sent_ahead_without_reading_the_answers) {
    std::string text;
    for (int i = 0; i < 4000; ++i) {
        text += "GET /queue/00000000000000e1 HTTP/1.1\r\nHost: "
                "queue.example\r\n\r\n";
    }
    play(cell->client_address(0), text, 65'536);
}

// Each cancellation of an unknown job was stored for 180 s, without a limit,
// and took 0.65 KB on every VM.
BOOST_AUTO_TEST_CASE(cancellations_of_unknown_jobs) {
    constexpr int clients = 14;
    constexpr int cancellations = 1200; ///< of one client
    /// The process takes some 15 MB before them.
    constexpr std::size_t memory_bound_mb = 22;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([this, client] {
            for (int i = 0; i < cancellations; ++i) {
                cell->cancel(0,
                             std::to_string(client) + "-" + std::to_string(i));
            }
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
    check_usage();
    auto usage = test::read_usage(cell->process_of(0));
    BOOST_TEST(usage.peak_resident_mb <= memory_bound_mb);
    check_service();
}

// Slow clients held every connection that the VM could have.
BOOST_AUTO_TEST_CASE(crowd_that_stops_within_the_header) {
    test::crowd first(cell->client_address(0), crowd_size);
    first.send("POST /queue/00000000000000c1 HTTP/1.1\r\nHost: q", 1);
    test::crowd second(cell->readiness_address(0), crowd_size);
    second.send("GET /ready HTTP/1.1\r\nHo", 1);
    check_usage();
    check_service();
}

BOOST_AUTO_TEST_SUITE_END()
