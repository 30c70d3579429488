/// @file
/// A simulated cell: several nodes, endpoints and a store in one process with a
/// simulated clock. Messages pass through fakes with faults, in a seeded order.
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

/// Size of a fake cell.
struct cell_shape {
    int failure_domains{2};
    int entries_per_domain{2};
    int endpoints_per_domain{3};
    std::int64_t slots{4}; ///< per endpoint
};

/// Callbacks of a caller. Each is called at most once per request.
struct caller_events {
    std::function<void(const std::string& id, const base::answer& value)>
        on_answer;
    std::function<void(const std::string& id)> on_accept;
};

/// Simulated cell that a test drives through its clock.
class fake_cell {
  public:
    fake_cell(const cell_shape& shape, std::uint64_t seed);
    ~fake_cell();

    [[nodiscard]] instant now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }
    /// @return a random number less than @p below.
    std::uint64_t pick(std::uint64_t below) { return m_random() % below; }
    run_audit& audit() { return m_audit; }
    /// @return number of events run so far.
    [[nodiscard]] std::uint64_t steps() const { return m_steps; }

    /// Schedules @p work for the simulated time @p when.
    void schedule_at(instant when, std::function<void()> work);
    void schedule_after(milliseconds delay, std::function<void()> work) {
        schedule_at(m_now + delay, std::move(work));
    }
    /// Advances the clock by @p time and runs all work that becomes due.
    void run_for(milliseconds time);

    [[nodiscard]] const std::vector<std::string>& entries() const {
        return m_entry_names;
    }
    [[nodiscard]] const std::vector<std::string>& endpoints() const {
        return m_endpoint_names;
    }
    [[nodiscard]] bool is_running(const std::string& entry) const;
    /// @return the node of an entry VM, or nullptr if it isn't running.
    [[nodiscard]] const el::node::node* node_of(const std::string& entry) const;

    /// Submits a request to an entry VM. The caller gets no callback if that VM
    /// is killed.
    void submit(const std::string& entry, const el::admission::request& request,
                caller_events caller);
    /// Waits at an entry VM for the answer of a request without submitting it.
    void wait_for_answer(const std::string& entry, const std::string& id,
                         caller_events caller);
    void cancel(const std::string& entry, const std::string& id);
    /// Signs and rolls out a bundle through @p entry.
    void roll_out(const std::string& entry, std::uint64_t version,
                  const std::function<void(base::result<void>)>& done);

    // Fault injection.
    void kill_entry(const std::string& entry);
    void start_entry(const std::string& entry);
    void freeze_entry(const std::string& entry, milliseconds time);
    void drain_entry(const std::string& entry);
    void restart_endpoint(const std::string& endpoint, milliseconds down);
    void freeze_endpoint(const std::string& endpoint, milliseconds time);
    /// Cuts or restores the link between two of the VMs and "platform".
    void set_cut(const std::string& a, const std::string& b, bool cut);
    void set_domain_cut(int a, int b, bool cut);
    void set_store_down(bool down) { m_store_down = down; }
    /// Loses the replies of the next @p count store writes, which take effect.
    void lose_store_replies(int count) { m_store_replies_to_lose = count; }
    /// Sets the share of endpoint calls, in percent, that are delayed by up to
    /// 6 s.
    void set_late_call_percent(unsigned percent) {
        m_late_call_percent = percent;
    }
    standins::endpoint::faults& endpoint_faults(const std::string& endpoint);
    /// Publishes a VM list with a new version.
    void publish_vm_list(const std::set<std::string>& leaving = {});
    /// Prints the events of the request @p id, or of all requests for "all".
    void set_trace(const std::string& id) { m_trace = id; }
    /// Enables the endpoints' check of the claim epoch. A test disables it to
    /// show that the audit detects the duplicate runs that it prevents.
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
    /// Sends heartbeats to the entry VMs that @p from knows by address only.
    void send_introductions(entry_process& from);
    void tick(const std::string& entry);
    /// Expires the overdue leases of all endpoints except @p name.
    void expire_overdue_tasks(const std::string& name);
    void boot_endpoint(const std::string& endpoint);
    /// Runs @p work in the entry VM's process, or defers it until the process
    /// is no longer frozen. Does nothing if the process has been replaced.
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
