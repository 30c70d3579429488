/// @file
/// A few nodes, endpoints and a store in one process under a hand-driven
/// clock: fakes at the interfaces, with faults and a seeded order of messages.
#pragma once

#include "eelgrasslever/node/node.hpp"
#include "endpoint/endpoint_state.hpp"
#include "fake_store.hpp"
#include "run_audit.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace test_support {

namespace el = eelgrasslever;
using base::instant;
using base::milliseconds;

struct cell_shape {
    int failure_domains{2};
    int entries_per_domain{2};
    int endpoints_per_domain{3};
    std::int64_t slots{4};
};

/// What a caller of the fake cell hears.
struct caller_events {
    std::function<void(const std::string& id, const base::answer& value)>
        on_answer;
    std::function<void(const std::string& id)> on_accept;
};

class fake_cell {
  public:
    fake_cell(const cell_shape& shape, std::uint64_t seed);
    ~fake_cell();

    [[nodiscard]] instant now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }
    /// @return a number from 0 up to @p below.
    std::uint64_t pick(std::uint64_t below) { return m_random() % below; }
    run_audit& audit() { return m_audit; }
    [[nodiscard]] std::uint64_t steps() const { return m_steps; }

    /// Runs @p work at @p when.
    void schedule_at(instant when, std::function<void()> work);
    void schedule_after(milliseconds delay, std::function<void()> work) {
        schedule_at(m_now + delay, std::move(work));
    }
    void run_for(milliseconds time);

    [[nodiscard]] const std::vector<std::string>& entries() const {
        return m_entry_names;
    }
    [[nodiscard]] const std::vector<std::string>& endpoints() const {
        return m_endpoint_names;
    }
    [[nodiscard]] bool is_running(const std::string& entry) const;
    [[nodiscard]] const el::node::node* node_of(const std::string& entry) const;

    /// Sends a request to an entry VM; nothing is heard if that VM dies.
    void submit(const std::string& entry, const el::admission::request& request,
                caller_events caller);
    void wait_for(const std::string& entry, const std::string& id,
                  caller_events caller);
    void cancel(const std::string& entry, const std::string& id);
    /// Signs and rolls out a bundle through @p entry.
    void roll_out(const std::string& entry, std::uint64_t version,
                  const std::function<void(base::result<void>)>& done);

    // Faults.
    void kill_entry(const std::string& entry);
    void start_entry(const std::string& entry);
    void freeze_entry(const std::string& entry, milliseconds time);
    void drain_entry(const std::string& entry);
    void restart_endpoint(const std::string& endpoint, milliseconds down);
    void freeze_endpoint(const std::string& endpoint, milliseconds time);
    void set_cut(const std::string& a, const std::string& b, bool cut);
    void set_domain_cut(int a, int b, bool cut);
    void set_store_down(bool down) { m_store_down = down; }
    void lose_store_replies(int count) { m_store_replies_to_lose = count; }
    /// Share of calls to endpoints that arrive seconds late, in percent.
    void set_late_call_percent(unsigned percent) {
        m_late_call_percent = percent;
    }
    standins::endpoint::faults& endpoint_faults(const std::string& endpoint);
    void publish_vm_list(const std::set<std::string>& leaving = {});
    /// Prints what happens to the ids that contain @p part.
    void set_trace(const std::string& id) { m_trace = id; }
    /// Guards that a test switches off to see the fault they prevent.
    void set_epoch_guard(bool on) { m_epoch_guard = on; }

  private:
    struct entry_process;
    struct endpoint_process;
    struct event {
        instant when;
        std::uint64_t order;
        std::function<void()> work;
        bool operator>(const event& other) const {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    [[nodiscard]] milliseconds pick_delay();
    [[nodiscard]] bool is_cut(const std::string& a, const std::string& b) const;
    void send_to_endpoint(entry_process& from, const std::string& endpoint,
                          const el::endpoint::call& call);
    void serve_call(const std::string& endpoint, const el::endpoint::call& call,
                    const std::function<void(el::endpoint::reply)>& respond,
                    instant poll_until);
    void send_to_store(entry_process& from, const el::store::call& call);
    void send_to_peer(entry_process& from, const std::string& member,
                      const el::wire::message& message);
    void send_introductions(entry_process& from);
    void tick(const std::string& entry);
    void expire_overdue_tasks(const std::string& name);
    void boot_endpoint(const std::string& endpoint);
    /// Runs @p work in the process now, or when it is thawed, if it still is
    /// the same process then.
    void run_in_entry(const std::string& entry, std::uint64_t incarnation,
                      const std::function<void(entry_process&)>& work);

    void print_trace(const std::string& id, const std::string& text) const;
    cell_shape m_shape;
    std::string m_trace;
    std::mt19937_64 m_random;
    instant m_now{milliseconds(1'000'000)};
    std::uint64_t m_steps{0};
    std::uint64_t m_next_order{0};
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    run_audit m_audit;
    fake_store m_store;
    bool m_store_down{false};
    int m_store_replies_to_lose{0};
    unsigned m_late_call_percent{0};
    bool m_epoch_guard{true};
    std::vector<std::string> m_entry_names;
    std::vector<std::string> m_endpoint_names;
    std::map<std::string, std::unique_ptr<entry_process>> m_entries;
    std::map<std::string, std::unique_ptr<endpoint_process>> m_endpoints;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::uint64_t m_next_incarnation{1};
    std::uint64_t m_next_boot{1};
    std::uint64_t m_vm_list_version{0};
    el::bundle::key_pair m_author;
    el::bundle::key_pair m_approver;
};

} // namespace test_support
