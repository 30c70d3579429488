#include "eelgrasslever/wire/codec.hpp"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>
#include <tuple>

namespace cluster = eelgrasslever::cluster;
using namespace eelgrasslever::wire;

namespace {

envelope round_trip(const message& content) {
    std::string frame = encode({"vm@1", content});
    frame_reader reader;
    // Append single bytes, as a slow connection may deliver them.
    for (char c : frame) {
        reader.append(&c, 1);
    }
    auto next = reader.next();
    BOOST_REQUIRE(next);
    BOOST_REQUIRE(next->has_value());
    auto decoded = decode(**next);
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->from == "vm@1");
    return *decoded;
}

auto fields_of(const cluster::start_order& in) {
    return std::tuple(in.task, in.run, in.payload, in.start_before,
                      in.checkpoint, in.ticket);
}

auto fields_of(const cluster::stop_order& in) {
    return std::tuple(in.task, in.run);
}

auto fields_of(const cluster::renew_order& in) {
    return std::tuple(in.completions_recorded, in.lease_until, in.wait);
}

/// @return all fields of an order; those of the other kinds are empty.
auto fields_of(const relayed_order& in) {
    auto of_kind = [&]<typename Order>(const Order* order) {
        return order == nullptr ? std::nullopt
                                : std::optional(fields_of(*order));
    };
    return std::tuple(in.id, in.endpoint, in.address, in.token,
                      of_kind(std::get_if<cluster::start_order>(&in.order)),
                      of_kind(std::get_if<cluster::stop_order>(&in.order)),
                      of_kind(std::get_if<cluster::renew_order>(&in.order)));
}

auto fields_of(const relayed_reply& in) {
    std::vector<std::tuple<cluster::task_key, int, std::string, int>> running;
    for (const auto& row : in.reply.running) {
        running.emplace_back(row.task, row.run, row.checkpoint, row.percent);
    }
    std::vector<std::tuple<std::uint64_t, cluster::task_key, int,
                           cluster::task_outcome, std::string>>
        finished;
    for (const auto& row : in.reply.finished) {
        finished.emplace_back(row.sequence, row.task, row.run, row.outcome,
                              row.checkpoint);
    }
    return std::tuple(in.id, in.reply.status, in.reply.answered_by,
                      in.reply.clock, running, finished,
                      in.reply.finished_truncated);
}

} // namespace

BOOST_AUTO_TEST_CASE(encoded_messages_decode_to_the_same_fields) {
    heartbeat beat;
    beat.failure_domain = "galata";
    beat.sequence = 7;
    beat.alive = {"a@1", "b@2"};
    beat.all_endpoints_held = true;
    beat.largest = {8, 16000, 65536, 2};
    auto beat_again = std::get<heartbeat>(round_trip(beat).content);
    BOOST_TEST(beat_again.sequence == 7u);
    BOOST_TEST(beat_again.alive.size() == 2u);
    BOOST_TEST(beat_again.all_endpoints_held);
    BOOST_TEST((beat_again.largest == beat.largest));

    request_result ended;
    ended.request_id = "r1";
    ended.kind = request_result_kind::refused;
    ended.answer.result = eelgrasslever::base::outcome::not_run;
    ended.answer.body = std::string(100000, 'x');
    ended.answer.retry_after = std::chrono::milliseconds(70);
    auto ended_again = std::get<request_result>(round_trip(ended).content);
    BOOST_TEST((ended_again.kind == request_result_kind::refused));
    BOOST_TEST(ended_again.answer.body.size() == 100000u);
    BOOST_TEST(ended_again.answer.retry_after->count() == 70);

    auto question = std::get<locate_request>(
        round_trip(locate_request{9, "r2", true, false}).content);
    BOOST_TEST(question.query == 9u);
    BOOST_TEST(!question.cell_wide);
    auto work = std::get<forward>(
        round_trip(forward{"r3", "{}", std::chrono::milliseconds(5), 4})
            .content);
    BOOST_TEST(work.echo == 4u);
    auto leases = std::get<lease_report>(
        round_trip(lease_report{7,
                                {"e1"},
                                {std::chrono::milliseconds(-20)},
                                std::chrono::milliseconds(6100)})
            .content);
    BOOST_TEST(leases.term == 7u);
    BOOST_TEST((leases.endpoints == std::vector<std::string>{"e1"}));
    BOOST_TEST(leases.left.at(0).count() == -20);
    BOOST_TEST(leases.others_left.count() == 6100);
}

// A count that loses its queue or its age would be taken for a recent one.
BOOST_AUTO_TEST_CASE(counts_of_waiting_jobs_keep_their_queues_and_age) {
    job_request question;
    question.query = 5;
    question.kind = job_request_kind::count;
    auto asked = std::get<job_request>(round_trip(question).content);
    BOOST_TEST((asked.kind == job_request_kind::count));
    job_response answer;
    answer.query = 5;
    answer.outcome = job_request_outcome::accepted;
    answer.pending = {{"a", 12}, {"b", 3}};
    answer.age = std::chrono::milliseconds(420);
    auto answered = std::get<job_response>(round_trip(answer).content);
    BOOST_TEST((answered.pending == answer.pending));
    BOOST_TEST(answered.age.count() == 420);
}

// An order that lost a field on its way would run the wrong task, or make an
// endpoint forget an end that isn't stored.
BOOST_AUTO_TEST_CASE(relayed_orders_keep_all_their_fields) {
    order_batch batch;
    batch.sequence = 3;
    cluster::start_order start;
    start.task = {"j1", 1, 2, 3};
    start.run = 4;
    start.payload = "p";
    start.start_before = cluster::endpoint_time(1500);
    start.checkpoint = "c";
    start.ticket = "t";
    cluster::renew_order renewal;
    renewal.completions_recorded = 9;
    renewal.lease_until = cluster::endpoint_time(0);
    renewal.wait = std::chrono::milliseconds(1000);
    batch.orders = {
        {5, "e#1", "10.1.0.1:80", 77, start},
        {6, "e#1", "10.1.0.1:80", 77, cluster::stop_order{{"j1", 1, 2, 3}, 4}},
        {7, "e#1", "10.1.0.1:80", 77, renewal},
        {8, "e#1", "10.1.0.1:80", 77, cluster::renew_order{}}};
    auto received = std::get<order_batch>(round_trip(batch).content);
    BOOST_TEST(received.sequence == 3u);
    BOOST_REQUIRE(received.orders.size() == batch.orders.size());
    for (std::size_t i = 0; i < batch.orders.size(); ++i) {
        BOOST_TEST(
            (fields_of(received.orders[i]) == fields_of(batch.orders[i])));
    }
}

BOOST_AUTO_TEST_CASE(relayed_replies_keep_all_their_fields) {
    reply_batch batch;
    batch.received = 12;
    cluster::renew_reply reply;
    reply.status = cluster::order_status::other_incarnation;
    reply.answered_by = "e#2";
    reply.clock = cluster::endpoint_time(40);
    reply.running = {{{"j1", 1, 2, 3}, 4, "c", 50}};
    reply.finished = {
        {6, {"j2", 0, 0, 1}, 2, cluster::task_outcome::gang_alone, "d"}};
    reply.finished_truncated = true;
    batch.replies = {{1, reply}, {2, {}}};
    auto received = std::get<reply_batch>(round_trip(batch).content);
    BOOST_TEST(received.received == 12u);
    BOOST_REQUIRE(received.replies.size() == batch.replies.size());
    for (std::size_t i = 0; i < batch.replies.size(); ++i) {
        BOOST_TEST(
            (fields_of(received.replies[i]) == fields_of(batch.replies[i])));
    }
}

BOOST_AUTO_TEST_CASE(an_oversize_frame_is_rejected_by_its_header) {
    frame_reader reader;
    const char header[] = {'\xff', '\xff', '\xff', '\x7f'};
    reader.append(header, sizeof header);
    BOOST_TEST(!reader.next());
}

BOOST_AUTO_TEST_CASE(corrupted_frames_are_rejected_or_decode_safely) {
    std::mt19937_64 random(5);
    request_result ended;
    ended.request_id = "r1";
    ended.answer.body = "result";
    std::string good = encode({"vm@1", ended}).substr(frame_header_bytes);
    int refused = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string damaged = good;
        for (std::uint64_t n = 0; n <= random() % 4; ++n) {
            damaged[random() % damaged.size()] =
                static_cast<char>(random() & 0xFF);
        }
        damaged.resize(random() % 3 == 0 ? random() % damaged.size()
                                         : damaged.size());
        refused += decode(damaged) ? 0 : 1;
    }
    BOOST_TEST(refused > 0);
}
