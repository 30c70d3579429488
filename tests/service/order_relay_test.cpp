// Orders that other VMs pass on for the leader: what the leader still does
// itself, and what becomes of orders whose carrier is lost, slow or paused.
#include "eelgrasslever/service/order_carrier.hpp"
#include "eelgrasslever/service/order_relay.hpp"
#include "scripted_store.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <list>
#include <map>
#include <random>
#include <thread>

using namespace eelgrasslever;
using base::milliseconds;
using cluster::order_status;
using service::order_carrier;
using service::order_relay;

namespace {

constexpr std::uint64_t term = 7;

/// Replies to every order after a delay, or never.
class test_endpoints final : public service::endpoint_gateway {
  public:
    explicit test_endpoints(kernel::loop& owner) : m_owner(owner) {}

    void start(const cluster::endpoint_listing& endpoint,
               cluster::fencing_token token, const cluster::start_order& order,
               order_callback done) override {
        starts.push_back(order);
        reply_later(endpoint, token, [this, done] {
            done({start_status, cluster::endpoint_time(5)});
        });
    }
    void stop(const cluster::endpoint_listing& endpoint,
              cluster::fencing_token token, const cluster::stop_order& order,
              order_callback done) override {
        stops.push_back(order);
        reply_later(endpoint, token, [done] {
            done({order_status::done, cluster::endpoint_time(5)});
        });
    }
    void renew(const cluster::endpoint_listing& endpoint,
               cluster::fencing_token token, const cluster::renew_order& order,
               bool, renew_callback done) override {
        renewals.push_back(order);
        reply_later(endpoint, token, [this, done] { done(renewal_reply); });
    }

    [[nodiscard]] std::size_t calls() const {
        return starts.size() + stops.size() + renewals.size();
    }

    std::vector<cluster::start_order> starts;
    std::vector<cluster::stop_order> stops;
    std::vector<cluster::renew_order> renewals;
    std::vector<cluster::fencing_token> tokens;
    std::vector<std::string> called; ///< addresses
    order_status start_status{order_status::done};
    cluster::renew_reply renewal_reply;
    milliseconds delay{1};
    bool replies{true};

  private:
    void reply_later(const cluster::endpoint_listing& endpoint,
                     cluster::fencing_token token,
                     std::function<void()> reply) {
        called.push_back(endpoint.address);
        tokens.push_back(token);
        if (replies) {
            m_timers.emplace_back(m_owner, std::move(reply));
            m_timers.back().start_once(delay);
        }
    }

    kernel::loop& m_owner;
    std::list<kernel::timer> m_timers;
};

/// A VM that carries orders, and the way to it.
struct test_carrier {
    test_carrier(kernel::loop& owner, const std::string& vm_address,
                 std::function<void(const std::string&, wire::reply_batch)> to)
        : address(vm_address), endpoints(owner), pauses(owner),
          carrier(
              owner, endpoints,
              [this, to = std::move(to)](const std::string&,
                                         wire::message content) {
                  if (returns) {
                      to(address,
                         std::get<wire::reply_batch>(std::move(content)));
                  }
              },
              pauses, metrics) {}

    std::string address;
    test_endpoints endpoints;
    service::pause_detector pauses;
    observe::metrics metrics;
    order_carrier carrier;
    std::size_t frames{0};
    bool receives{true}; ///< messages arrive at the VM
    bool returns{true};  ///< its messages arrive at the leader
};

cluster::endpoint_listing make_endpoint(int number,
                                        const std::string& domain = "z") {
    cluster::endpoint_listing endpoint;
    endpoint.id = "e" + std::to_string(number);
    endpoint.address = "10.0.0." + std::to_string(number) + ":80";
    endpoint.failure_domain = domain;
    return endpoint;
}

cluster::start_order make_start(int run = 1) {
    cluster::start_order order;
    order.task = {"job", 0, 1, 2};
    order.run = run;
    order.payload = "payload";
    order.start_before = cluster::endpoint_time(1500);
    order.checkpoint = "c1";
    order.ticket = "t1";
    return order;
}

struct fixture {
    fixture() { relay.begin_term(term); }

    test_carrier& add_carrier(const std::string& domain = "z") {
        std::string address = "c" + std::to_string(carriers.size());
        carriers.push_back(std::make_unique<test_carrier>(
            loop, address,
            [this](const std::string& from, wire::reply_batch batch) {
                loop.defer([this, from, batch = std::move(batch)]() mutable {
                    relay.on_replies(from, std::move(batch));
                });
            }));
        listed.push_back({address, address, domain});
        relay.set_carriers(listed);
        return *carriers.back();
    }
    void deliver(const std::string& address, wire::message content) {
        for (auto& each : carriers) {
            if (each->address != address) {
                continue;
            }
            each->frames++;
            if (each->receives) {
                loop.defer([&to = *each, content = std::move(content)] {
                    to.carrier.on_orders("leader",
                                         std::get<wire::order_batch>(content));
                });
            }
            return;
        }
    }
    void start(const cluster::endpoint_listing& endpoint, int run = 1) {
        relay.start(endpoint, token, make_start(run),
                    [this](const cluster::order_reply& reply) {
                        replies.push_back(reply.status);
                    });
    }
    void renew(const cluster::endpoint_listing& endpoint,
               milliseconds wait = milliseconds(0),
               std::uint64_t completions_recorded = 0) {
        cluster::renew_order order;
        order.wait = wait;
        order.completions_recorded = completions_recorded;
        order.lease_until = cluster::endpoint_time(6000);
        relay.renew(endpoint, token, order, false,
                    [this](const cluster::renew_reply& reply) {
                        replies.push_back(reply.status);
                        renewed = reply;
                    });
    }
    void run(milliseconds time) { test::run_loop(loop, time); }

    static constexpr cluster::fencing_token token = 11;
    kernel::loop loop;
    test_endpoints direct{loop};
    observe::metrics metrics;
    std::vector<std::unique_ptr<test_carrier>> carriers;
    std::vector<service::carrier> listed;
    order_relay relay{
        loop, direct,
        [this](const std::string& address, wire::message content) {
            deliver(address, std::move(content));
        },
        metrics};
    std::vector<order_status> replies;
    cluster::renew_reply renewed;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(order_relay_test, fixture)

// Guards against a leader whose processor time goes into one call for each
// order to each of 540 endpoints.
BOOST_AUTO_TEST_CASE(a_leader_of_many_endpoints_makes_no_calls_itself) {
    constexpr int endpoints = 540;
    for (int i = 0; i < 12; ++i) {
        add_carrier();
    }
    for (int i = 0; i < endpoints; ++i) {
        renew(make_endpoint(i));
        start(make_endpoint(i));
    }
    run(milliseconds(100));
    BOOST_TEST(replies.size() == 2u * endpoints);
    BOOST_TEST(direct.calls() == 0u);
    for (const auto& each : carriers) {
        BOOST_TEST(each->frames <= 2u);
        BOOST_TEST(each->endpoints.calls() > 2u * endpoints / 12 / 2);
    }
}

// An order that lost a field on its way would run the wrong task or forget an
// end that isn't stored.
BOOST_AUTO_TEST_CASE(orders_and_replies_arrive_unchanged) {
    test_carrier& vm = add_carrier();
    vm.endpoints.renewal_reply.status = order_status::done;
    vm.endpoints.renewal_reply.clock = cluster::endpoint_time(99);
    vm.endpoints.renewal_reply.running = {{{"j", 0, 0, 3}, 2, "c", 40}};
    start(make_endpoint(1));
    renew(make_endpoint(2), milliseconds(0), 4);
    relay.stop(make_endpoint(3), token, {{"job", 0, 1, 2}, 5},
               [this](const cluster::order_reply& reply) {
                   replies.push_back(reply.status);
               });
    run(milliseconds(50));
    BOOST_TEST(replies.size() == 3u);
    BOOST_REQUIRE(vm.endpoints.starts.size() == 1u);
    BOOST_TEST(vm.endpoints.starts[0].payload == "payload");
    BOOST_TEST(vm.endpoints.starts[0].ticket == "t1");
    BOOST_TEST(vm.endpoints.starts[0].start_before.count() == 1500);
    BOOST_TEST(vm.endpoints.stops.at(0).run == 5);
    BOOST_TEST(vm.endpoints.renewals.at(0).completions_recorded == 4u);
    BOOST_TEST(vm.endpoints.renewals.at(0).lease_until->count() == 6000);
    BOOST_TEST(vm.endpoints.tokens == std::vector(3, token),
               boost::test_tools::per_element());
    BOOST_TEST(renewed.clock->count() == 99);
    BOOST_REQUIRE(renewed.running.size() == 1u);
    BOOST_TEST(renewed.running[0].percent == 40);
}

// Guards against endpoints that count as lost when the VM that carries their
// renewals is killed or cut off.
BOOST_AUTO_TEST_CASE(a_lost_carrier_costs_no_reply) {
    test_carrier& vm = add_carrier();
    vm.receives = false;
    direct.renewal_reply.status = order_status::done;
    start(make_endpoint(1));
    renew(make_endpoint(2), milliseconds(1000));
    run(order_relay::max_silence + milliseconds(300));
    BOOST_TEST((replies == std::vector(2, order_status::done)));
    BOOST_TEST(direct.starts.size() == 1u);
    // Until it counts as sound again, the leader calls the endpoints itself.
    std::size_t frames = vm.frames;
    renew(make_endpoint(2));
    run(milliseconds(50));
    BOOST_TEST(replies.size() == 3u);
    BOOST_TEST(vm.frames == frames);
}

// Guards against an endpoint's next life that forgets ends which nobody has
// read, since an acknowledgement for the former one is sent again.
BOOST_AUTO_TEST_CASE(an_acknowledgement_of_ends_is_not_repeated) {
    test_carrier& vm = add_carrier();
    vm.receives = false;
    direct.renewal_reply.status = order_status::done;
    renew(make_endpoint(1), milliseconds(0), 4);
    run(order_relay::max_silence + milliseconds(300));
    BOOST_TEST(direct.calls() == 0u);
    BOOST_REQUIRE(replies.size() == 1u);
    BOOST_TEST((replies[0] == order_status::unreachable));
}

// A carrier may be lost after it has acknowledged orders.
BOOST_AUTO_TEST_CASE(a_carrier_lost_while_renewals_wait_costs_no_reply) {
    test_carrier& vm = add_carrier();
    vm.endpoints.replies = false;
    direct.renewal_reply.status = order_status::done;
    for (int i = 0; i < 20; ++i) {
        renew(make_endpoint(i), milliseconds(1000));
    }
    run(milliseconds(50));
    vm.receives = false;
    run(order_relay::probe_after + order_relay::max_silence +
        milliseconds(300));
    BOOST_TEST(replies.size() == 20u);
}

// Guards against a task that is started anew although it runs: the first try
// may have been carried out, and its end makes the endpoint refuse the second.
BOOST_AUTO_TEST_CASE(a_refusal_of_a_repeated_start_settles_nothing) {
    test_carrier& vm = add_carrier();
    vm.returns = false;
    direct.start_status = order_status::outdated_run;
    start(make_endpoint(1));
    run(order_relay::max_silence + milliseconds(300));
    BOOST_TEST(vm.endpoints.starts.size() == 1u);
    BOOST_TEST(direct.starts.size() == 1u);
    BOOST_REQUIRE(replies.size() == 1u);
    BOOST_TEST((replies[0] == order_status::unreachable));
}

// A reset connection loses frames without any sign.
BOOST_AUTO_TEST_CASE(a_lost_reply_is_fetched_again) {
    test_carrier& vm = add_carrier();
    vm.endpoints.replies = false;
    vm.endpoints.renewal_reply.status = order_status::done;
    direct.renewal_reply.status = order_status::done;
    renew(make_endpoint(1));
    run(order_relay::max_call_time / 2);
    BOOST_TEST(replies.empty());
    vm.endpoints.replies = true;
    for (int i = 0; i < 4; ++i) {
        renew(make_endpoint(2));
        run(order_relay::max_call_time / 5);
    }
    BOOST_TEST(direct.renewals.size() == 1u);
    BOOST_TEST(replies.size() == 5u);
}

BOOST_AUTO_TEST_CASE(orders_of_a_carrier_that_leaves_are_sent_at_once) {
    test_carrier& vm = add_carrier();
    vm.endpoints.replies = false;
    direct.renewal_reply.status = order_status::done;
    renew(make_endpoint(1), milliseconds(1000));
    run(milliseconds(20));
    relay.set_carriers({});
    run(milliseconds(20));
    BOOST_TEST(replies.size() == 1u);
    BOOST_TEST(vm.endpoints.renewals.size() == 1u);
}

// Guards against an endpoint that counts as lost because its carrier, and not
// the leader, is cut off from it.
BOOST_AUTO_TEST_CASE(an_endpoint_that_its_carrier_cannot_reach_is_called) {
    test_carrier& vm = add_carrier();
    vm.endpoints.renewal_reply.status = order_status::unreachable;
    direct.renewal_reply.status = order_status::done;
    renew(make_endpoint(1));
    run(milliseconds(20));
    BOOST_REQUIRE(replies.size() == 1u);
    BOOST_TEST((replies[0] == order_status::unreachable));
    renew(make_endpoint(1));
    start(make_endpoint(1));
    run(milliseconds(20));
    BOOST_TEST(direct.calls() == 2u);
    renew(make_endpoint(2));
    run(milliseconds(20));
    BOOST_TEST(vm.endpoints.calls() == 2u);
}

// Guards against orders that lay in the socket of a frozen VM and reach their
// endpoints seconds later.
BOOST_AUTO_TEST_CASE(a_carrier_that_was_paused_passes_nothing_on) {
    test_carrier& vm = add_carrier();
    vm.endpoints.delay = milliseconds(2000);
    renew(make_endpoint(1), milliseconds(1000));
    run(milliseconds(60));
    std::this_thread::sleep_for(service::pause_detector::max_pause +
                                milliseconds(100));
    start(make_endpoint(2));
    run(milliseconds(30));
    BOOST_TEST(vm.endpoints.starts.empty());
    BOOST_TEST(direct.starts.size() == 1u);
    // It was not sent before, so a refusal by the endpoint would count.
    BOOST_REQUIRE(replies.size() == 1u);
    BOOST_TEST((replies[0] == order_status::done));
}

// A former leader's replies would settle orders of the present one.
BOOST_AUTO_TEST_CASE(replies_to_an_earlier_term_are_ignored) {
    add_carrier();
    start(make_endpoint(1));
    relay.begin_term(term + 1);
    relay.set_carriers(listed);
    run(milliseconds(50));
    BOOST_TEST(replies.empty());
    start(make_endpoint(1));
    run(milliseconds(50));
    BOOST_TEST(replies.size() == 1u);
}

// A carrier remembers the batches of a VM that has led before. If the next ones
// seemed older, they would never count as acknowledged.
BOOST_AUTO_TEST_CASE(a_vm_that_leads_again_keeps_its_carriers) {
    test_carrier& vm = add_carrier();
    for (int i = 0; i < 10; ++i) {
        start(make_endpoint(1));
        run(milliseconds(10));
    }
    relay.begin_term(term + 1);
    relay.set_carriers(listed);
    replies.clear();
    vm.endpoints.replies = false;
    renew(make_endpoint(1), milliseconds(2000));
    run(order_relay::max_silence + milliseconds(400));
    BOOST_TEST(direct.calls() == 0u);
    vm.endpoints.replies = true;
    start(make_endpoint(2));
    run(milliseconds(30));
    BOOST_TEST(replies.size() == 1u);
}

BOOST_AUTO_TEST_CASE(endpoints_have_a_carrier_of_their_own_failure_domain) {
    test_carrier& near = add_carrier("near");
    test_carrier& far = add_carrier("far");
    for (int i = 0; i < 20; ++i) {
        renew(make_endpoint(i, "near"));
    }
    run(milliseconds(30));
    BOOST_TEST(near.endpoints.calls() == 20u);
    BOOST_TEST(far.endpoints.calls() == 0u);
}

// Short seeded soak: carriers are lost, come back, pause, leave and lose
// replies, in series and at once. EEL_FIRST_SEED and EEL_SEEDS select others.
BOOST_AUTO_TEST_CASE(every_order_is_answered_once_whatever_carriers_do) {
    auto number_from = [](const char* name, int otherwise) {
        const char* text = std::getenv(name);
        return text == nullptr ? otherwise : std::atoi(text);
    };
    int first_seed = number_from("EEL_FIRST_SEED", 1);
    for (int seed = first_seed; seed < first_seed + number_from("EEL_SEEDS", 3);
         ++seed) {
        fixture soak;
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        for (int i = 0; i < 4; ++i) {
            soak.add_carrier(i % 2 == 0 ? "a" : "b");
        }
        soak.direct.renewal_reply.status = order_status::done;
        std::map<int, int> answers;
        int sent = 0;
        for (int round = 0; round < 150; ++round) {
            test_carrier& vm = *soak.carriers[random() % 4];
            switch (random() % 12) {
            case 0:
                vm.receives = !vm.receives;
                break;
            case 1:
                vm.returns = !vm.returns;
                break;
            case 2:
                vm.endpoints.replies = !vm.endpoints.replies;
                break;
            case 3:
                vm.endpoints.delay = milliseconds(random() % 400);
                break;
            case 4: {
                auto some = soak.listed;
                some.erase(some.begin() +
                           static_cast<std::ptrdiff_t>(random() % some.size()));
                soak.relay.set_carriers(some);
                break;
            }
            case 5:
                soak.relay.set_carriers(soak.listed);
                break;
            case 6:
                std::this_thread::sleep_for(milliseconds(random() % 60));
                break;
            default:
                break;
            }
            for (int i = 0; i < 5; ++i) {
                int number = sent++;
                soak.relay.start(
                    make_endpoint(static_cast<int>(random() % 60),
                                  random() % 2 == 0 ? "a" : "b"),
                    fixture::token, make_start(number),
                    [&answers, number](const cluster::order_reply&) {
                        answers[number]++;
                    });
            }
            soak.run(milliseconds(5));
        }
        for (auto& each : soak.carriers) {
            each->receives = false;
        }
        soak.run(order_relay::max_call_time + order_relay::max_silence +
                 milliseconds(600));
        int unanswered = 0;
        int repeated = 0;
        for (int i = 0; i < sent; ++i) {
            unanswered += answers[i] == 0 ? 1 : 0;
            repeated += answers[i] > 1 ? 1 : 0;
        }
        BOOST_TEST(unanswered == 0, "seed " << seed);
        BOOST_TEST(repeated == 0, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
