// Keys of workspaces, with the system's own processes: whom a VM serves while
// it can't know the newest configuration.
#include "entry_vm.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

namespace {

/// Within this time a withdrawn key must be refused everywhere.
constexpr review::milliseconds revocation_bound{3000};
/// Within this time a change must be in force everywhere, by the settings that
/// `review::cell` writes.
constexpr review::milliseconds configuration_bound{2000};
constexpr review::milliseconds answer_limit{10'000};
const std::string job = "00000000000000f1";

nlohmann::json make_tenants(const std::vector<std::string>& keys) {
    nlohmann::json tenant{
        {"name", "t1"}, {"apiKeys", keys}, {"weight", 10}, {"priority", 1}};
    return {{"tenants", nlohmann::json::array({tenant})}};
}

review::cell_options two_keys() {
    review::cell_options options;
    options.more_settings = "bounds.strictRevoke=true\nbounds.revokeMs=" +
                            std::to_string(revocation_bound.count()) + "\n";
    options.configuration = make_tenants({"key-1", "key-2"});
    return options;
}

struct fixture : eelgrasslever::test::entry_vm {
    fixture() : entry_vm(two_keys(), "key-1") {}

    /// @return the status of the answer, or 0 if there is none.
    int submit(const std::string& key) {
        cell->use_key(key);
        auto reply = cell->submit(
            0, job,
            review::make_job({{"work_ms", 10}}, nlohmann::json::object()),
            answer_limit);
        return reply ? reply->status : 0;
    }
    void withdraw_first_key() {
        cell->set_configuration(make_tenants({"key-2"}));
        cell->configure(nlohmann::json::object());
    }
    /// Asks until the answer has the status.
    bool is_answered_with(const std::string& key, int status) {
        for (int tries = 0; tries < 100; ++tries) {
            if (submit(key) == status) {
                return true;
            }
            std::this_thread::sleep_for(review::milliseconds(100));
        }
        return false;
    }
    /// Asks until the answer has the status.
    bool is_unknown_queue_answered_with(int status) {
        for (int tries = 0; tries < 100; ++tries) {
            auto reply = cell->ask_unknown_queue(0, answer_limit);
            if (reply && reply->status == status) {
                return true;
            }
            std::this_thread::sleep_for(review::milliseconds(100));
        }
        return false;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(keys_at_the_door, fixture)

// Calls without a key, and with keys of no configuration, were served.
BOOST_AUTO_TEST_CASE(only_known_keys_are_served) {
    BOOST_TEST(submit("") == 401);
    BOOST_TEST(submit("key-3") == 401);
    BOOST_TEST(submit("key-2") == 200);
}

BOOST_AUTO_TEST_CASE(withdrawn_key_is_refused_also_after_a_restart) {
    withdraw_first_key();
    BOOST_TEST(is_answered_with("key-1", 401));
    cell->kill_node(0);
    cell->start_node(0);
    BOOST_TEST(is_answered_with("key-2", 200));
    BOOST_TEST(submit("key-1") == 401);
}

// A VM that the store did not answer went on serving a withdrawn key.
BOOST_AUTO_TEST_CASE(old_configuration_serves_no_key) {
    cell->platform().set_down(true);
    std::this_thread::sleep_for(revocation_bound);
    int status = submit("key-1");
    BOOST_TEST((status == 503 || status == 0), "answered with " << status);
    cell->platform().set_down(false);
    BOOST_TEST(is_answered_with("key-1", 200));
}

// A process that stood still acted on what it knew before: the call was in its
// socket when it went on.
BOOST_AUTO_TEST_CASE(paused_process_serves_no_withdrawn_key) {
    cell->signal_node(0, SIGSTOP);
    withdraw_first_key();
    std::this_thread::sleep_for(revocation_bound);
    int status = 0;
    std::thread client([&] { status = submit("key-1"); });
    std::this_thread::sleep_for(review::milliseconds(300));
    cell->signal_node(0, SIGCONT);
    client.join();
    BOOST_TEST((status == 401 || status == 503), "answered with " << status);
    BOOST_TEST(is_answered_with("key-2", 200));
}

// A VM that the store did not answer said that a queue does not exist, though
// a newer configuration may have added it.
BOOST_AUTO_TEST_CASE(old_configuration_denies_no_queue) {
    BOOST_TEST(is_unknown_queue_answered_with(404));
    cell->platform().set_down(true);
    std::this_thread::sleep_for(configuration_bound);
    auto reply = cell->ask_unknown_queue(0, answer_limit);
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->status == 503);
    cell->platform().set_down(false);
    BOOST_TEST(is_unknown_queue_answered_with(404));
}

BOOST_AUTO_TEST_SUITE_END()
