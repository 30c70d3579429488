// A leader whose registry shows endpoints that start again under their names.
#include "cluster_vm.hpp"
#include "message_codec.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace eelgrasslever;
using test::scripted_store;

namespace {

constexpr base::milliseconds settle_limit{10'000};
/// Covers the groups in which changes of the registry are read (300 ms) and
/// several passes.
constexpr base::milliseconds settle_time{700};
/// Longer than a lapsed entry is taken for listed after an outage.
constexpr base::milliseconds relisting_time{2500};

const std::string endpoint_name = "i-1";
const std::string former_life = "i-1#5";
const std::string later_life = "i-1#6";

/// One endpoint that carries out the orders for its present life, and doesn't
/// reply to the others.
class living_endpoint final : public service::endpoint_gateway {
  public:
    explicit living_endpoint(kernel::loop& owner) : m_owner(owner) {}

    void start(const cluster::endpoint_listing& to, cluster::fencing_token,
               const cluster::start_order& order,
               order_callback done) override {
        ordered.insert(to.id);
        cluster::order_reply reply;
        if (to.id == life) {
            started[order.task.job].push_back(to.id);
            // With less progress, it would be taken for stalled.
            m_running.push_back({order.task, order.run, "", 100});
            reply = accepted();
        }
        m_owner.defer([done, reply] { done(reply); });
    }
    void stop(const cluster::endpoint_listing& to, cluster::fencing_token,
              const cluster::stop_order& order, order_callback done) override {
        ordered.insert(to.id);
        cluster::order_reply reply;
        if (to.id == life) {
            std::erase_if(m_running, [&](const auto& row) {
                return row.task == order.task && row.run == order.run;
            });
            reply = accepted();
        }
        m_owner.defer([done, reply] { done(reply); });
    }
    void renew(const cluster::endpoint_listing& to, cluster::fencing_token,
               const cluster::renew_order&, bool,
               renew_callback done) override {
        ordered.insert(to.id);
        cluster::renew_reply reply;
        if (to.id == life) {
            reply.status = cluster::order_status::done;
            reply.clock = clock();
            reply.running = m_running;
        }
        m_owner.defer([done, reply] { done(reply); });
    }

    /// Ends the present life with all runs.
    void begin_life(const std::string& id) {
        life = id;
        m_running.clear();
    }

    std::string life;
    std::set<std::string> ordered; ///< ids to which any order was sent
    /// Ids on which each job was started, in order.
    std::map<std::string, std::vector<std::string>> started;

  private:
    static cluster::endpoint_time clock() {
        return std::chrono::duration_cast<cluster::endpoint_time>(
            base::monotonic_now().time_since_epoch());
    }
    static cluster::order_reply accepted() {
        return {cluster::order_status::done, clock()};
    }

    kernel::loop& m_owner;
    std::vector<cluster::running_task> m_running;
};

struct registry_vm {
    registry_vm(kernel::loop& loop, scripted_store& store,
                living_endpoint& endpoint, const std::string& name) {
        service::cluster_options options;
        options.vm = name;
        options.peer_address = "127.0.0.1:0";
        options.incarnation = "1";
        service::external_records records;
        records.registry_prefix = platform::registry_prefix;
        records.configuration_prefix = "configuration/";
        records.decode_endpoint = platform::decode_endpoint;
        records.decode_configuration = [](const coordination::key_value&)
            -> std::optional<cluster::queue_table> { return {}; };
        service = std::make_unique<service::cluster_service>(
            loop, options, store, endpoint, advice, records, metrics);
        BOOST_REQUIRE(service->start().has_value());
    }

    test::silent_advice advice;
    observe::metrics metrics;
    std::unique_ptr<service::cluster_service> service;
};

struct fixture {
    fixture() {
        store.page_size = 500;
        store.reply_delay = base::milliseconds(4);
    }

    /// The endpoint begins a life and a new leader starts a job there.
    void begin(const std::string& life) {
        endpoint.begin_life(life);
        show(life);
        add_vm("first");
        BOOST_REQUIRE(run_until([&] { return vms[0]->service->leading(); }));
        submit("a");
        BOOST_REQUIRE(run_until([&] { return starts_of("a") > 0; }));
        BOOST_REQUIRE((endpoint.started["a"] == std::vector{life}));
        run(settle_time);
    }

    void add_vm(const std::string& name) {
        vms.push_back(
            std::make_unique<registry_vm>(loop, store, endpoint, name));
    }

    /// Writes the registry entry of a life.
    void show(const std::string& life) {
        write_entry(life.substr(life.find('#') + 1));
    }
    /// @param born when the life began, in JSON.
    void write_entry(const std::string& born) {
        put(key(),
            R"({"service":"s","address":"10.1.0.9:80","zone":"z1",)"
            R"("state":"ready","capacity":{"cpu":16000},"labels":["r1"],)"
            R"("born":)" +
                born + "}");
    }
    void delete_entry() {
        coordination::transaction change;
        change.removals.push_back(key());
        store.apply(change);
    }
    void submit(const std::string& id) {
        put(cluster::keys::job + id,
            workload::encode(test::make_job(id, 1, 1000)));
    }
    void put(const std::string& name, const std::string& value) {
        coordination::transaction change;
        change.puts.push_back({name, value, coordination::no_lease});
        store.apply(change);
    }
    static std::string key() {
        return platform::registry_prefix + endpoint_name;
    }

    void run(base::milliseconds duration) { test::run_loop(loop, duration); }
    bool run_until(const std::function<bool()>& condition) {
        return test::run_until(loop, condition, settle_limit) < settle_limit;
    }
    std::size_t starts_of(const std::string& job) {
        return endpoint.started[job].size();
    }

    /// Submits a job and checks that it is started on the life alone.
    void check_used(const std::string& life, const std::string& job) {
        submit(job);
        BOOST_TEST(run_until([&] { return starts_of(job) > 0; }));
        BOOST_TEST((endpoint.started[job] == std::vector{life}));
    }
    /// Submits a job and checks that it is not started anywhere.
    void check_unused(const std::string& job) {
        submit(job);
        run(settle_time);
        BOOST_TEST(starts_of(job) == 0);
    }
    /// Checks that the life gets all orders.
    void check_renewed_alone(const std::string& life) {
        endpoint.ordered.clear();
        run(settle_time);
        BOOST_TEST((endpoint.ordered == std::set{life}));
    }

    kernel::loop loop;
    scripted_store store{loop};
    living_endpoint endpoint{loop};
    std::vector<std::unique_ptr<registry_vm>> vms;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(registry, fixture)

// An endpoint that restarted between two heartbeats would be ordered under its
// former life, and the work that it lost there would wait for the lease.
BOOST_AUTO_TEST_CASE(entry_of_a_later_life_takes_the_place_of_the_former_one) {
    begin(former_life);
    endpoint.begin_life(later_life);
    show(later_life);
    BOOST_TEST(run_until([&] { return starts_of("a") > 1; }));
    BOOST_TEST((endpoint.started["a"] == std::vector{former_life, later_life}));
    check_used(later_life, "b");
    check_renewed_alone(later_life);
}

// A late heartbeat of a former life would bring that back, and end the runs of
// the present one.
BOOST_AUTO_TEST_CASE(entry_of_an_earlier_life_brings_nothing_of_it_back) {
    begin(later_life);
    endpoint.ordered.clear();
    show(former_life);
    run(settle_time);
    check_unused("b");
    BOOST_TEST((endpoint.ordered == std::set{later_life}));
    show(later_life);
    BOOST_TEST(run_until([&] { return starts_of("b") > 0; }));
    check_renewed_alone(later_life);
    BOOST_TEST((endpoint.started["a"] == std::vector{later_life}));
    BOOST_TEST((endpoint.started["b"] == std::vector{later_life}));
}

// The deletion of an entry that shows an earlier life would name that one, and
// leave the later life listed.
BOOST_AUTO_TEST_CASE(deletion_of_an_earlier_entry_leaves_nothing_listed) {
    begin(later_life);
    show(former_life);
    run(settle_time);
    delete_entry();
    run(settle_time);
    check_unused("b");
    check_renewed_alone(later_life);
    show(later_life);
    BOOST_TEST(run_until([&] { return starts_of("b") > 0; }));
    BOOST_TEST((endpoint.started["a"] == std::vector{later_life}));
}

// An entry that can't be read would leave its endpoint listed as it was, or end
// the runs of a life that goes on.
BOOST_AUTO_TEST_CASE(unreadable_entry_unlists_a_life_until_it_is_readable) {
    begin(former_life);
    write_entry(R"("5")");
    run(settle_time);
    check_unused("b");
    check_renewed_alone(former_life);
    show(former_life);
    BOOST_TEST(run_until([&] { return starts_of("b") > 0; }));
    BOOST_TEST((endpoint.started["a"] == std::vector{former_life}));
    BOOST_TEST((endpoint.started["b"] == std::vector{former_life}));
    check_renewed_alone(former_life);
}

// The life that an unreadable entry hid would be used again beside the one that
// the entry names once it is readable.
BOOST_AUTO_TEST_CASE(unreadable_entry_becomes_that_of_a_later_life) {
    begin(former_life);
    endpoint.begin_life(later_life);
    write_entry(R"("6")");
    run(settle_time);
    check_unused("b");
    show(later_life);
    BOOST_TEST(run_until([&] { return starts_of("b") > 0; }));
    BOOST_TEST((endpoint.started["b"] == std::vector{later_life}));
    BOOST_TEST(run_until([&] { return starts_of("a") > 1; }));
    check_renewed_alone(later_life);
}

// An entry that was deleted and put back would bring the former life back.
BOOST_AUTO_TEST_CASE(deleted_entry_comes_back_with_another_life) {
    begin(former_life);
    delete_entry();
    run(settle_time);
    check_unused("b");
    endpoint.begin_life(later_life);
    show(later_life);
    BOOST_TEST(run_until([&] { return starts_of("b") > 0; }));
    BOOST_TEST((endpoint.started["b"] == std::vector{later_life}));
    BOOST_TEST(run_until([&] { return starts_of("a") > 1; }));
    check_renewed_alone(later_life);
}

// The end of the time in which a lapsed entry may be written again would unlist
// the life that was listed meanwhile.
BOOST_AUTO_TEST_CASE(lapsed_entry_comes_back_with_another_life) {
    begin(former_life);
    auto unreachable_for = [&] {
        return vms[0]->service->store_unreachable_for(base::monotonic_now());
    };
    store.default_reply = {coordination::status::unreachable, false};
    BOOST_REQUIRE(run_until([&] { return unreachable_for().count() > 0; }));
    store.default_reply = {};
    BOOST_REQUIRE(run_until([&] { return unreachable_for().count() == 0; }));
    delete_entry();
    run(settle_time);
    check_used(former_life, "b");
    endpoint.begin_life(later_life);
    show(later_life);
    check_used(later_life, "c");
    run(relisting_time);
    check_used(later_life, "d");
    check_renewed_alone(later_life);
}

// A new leader would look for the runs of the stored placements on the life
// that they name, although the registry shows that it has ended.
BOOST_AUTO_TEST_CASE(takeover_with_placements_on_a_former_life) {
    begin(former_life);
    add_vm("second");
    run(2 * settle_time);
    vms[0]->service->drain();
    BOOST_REQUIRE(run_until([&] { return !vms[0]->service->leading(); }));
    BOOST_REQUIRE(!vms[1]->service->leading());
    endpoint.begin_life(later_life);
    show(later_life);
    run(base::milliseconds(1));
    BOOST_REQUIRE(!vms[1]->service->leading());
    endpoint.ordered.clear();
    BOOST_REQUIRE(run_until([&] { return vms[1]->service->leading(); }));
    BOOST_TEST(run_until([&] { return starts_of("a") > 1; }));
    BOOST_TEST((endpoint.started["a"] == std::vector{former_life, later_life}));
    check_used(later_life, "b");
    BOOST_TEST((endpoint.ordered == std::set{later_life}));
}

// Guards against VMs that end, or follow the registry or the members no longer,
// because another writer left an entry there that they can't use.
BOOST_AUTO_TEST_CASE(odd_entries_end_neither_a_vm_nor_its_watch) {
    constexpr std::size_t levels = 300'000;
    const std::string deep =
        std::string(levels, '[') + std::string(levels, ']');
    auto entry = [](const std::string& address, const std::string& cpu,
                    const std::string& labels) {
        return R"({"service":"s","address":)" + address +
               R"(,"zone":"z1","state":"ready","capacity":{"cpu":)" + cpu +
               R"(},"labels":)" + labels + "}";
    };
    const std::string usable = R"("10.1.0.7:80")";
    auto put_odd_entries = [&](const std::string& round) {
        int number = 0;
        for (const std::string& odd :
             {deep, entry(usable, deep, "[]"), entry(usable, "1", deep),
              entry(usable, "1e300", "[]"),
              entry(usable, "99999999999999999999", "[]"),
              entry(usable, "-5", "[]"),
              entry(R"("10.1.0.7:70000")", "1", "[]"),
              entry(R"("10.1.0.7:0")", "1", "[]"),
              entry(R"("host.example:80")", "1", "[]"), entry("7", "1", "[]"),
              std::string("\xff\xfe")}) {
            put(platform::registry_prefix + ("odd-" + round) +
                    std::to_string(number),
                odd);
            put(cluster::keys::member + ("odd-" + round) +
                    std::to_string(number++),
                odd);
        }
        put(platform::registry_prefix + endpoint_name + "#77",
            entry(usable, "16000", "[]"));
        put(cluster::keys::member + ("odd-" + round),
            R"({"peer":5,"cores":"many","fd":[],"loaded":7})");
        put(cluster::keys::member + ("odder-" + round),
            R"({"peer":"10.1.0.7:70000","cores":1e300,"loaded":true})");
    };
    put_odd_entries("before");
    begin(former_life);
    endpoint.ordered.clear();
    put_odd_entries("while-leading");
    run(settle_time);
    BOOST_TEST((endpoint.ordered == std::set{former_life}));
    check_used(former_life, "b");
    endpoint.begin_life(later_life);
    show(later_life);
    BOOST_TEST(run_until([&] { return starts_of("a") > 1; }));
    check_used(later_life, "c");
}

BOOST_AUTO_TEST_SUITE_END()
