/// @file
/// Simulated endpoints, advice and store around the scheduler, with faults
/// drawn from a seed, and a check of what must always hold.
#pragma once

#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/workload/codec.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace eelgrasslever::test {

using base::instant;
using base::milliseconds;

struct fleet_faults {
    double lost_reply{0.0}; ///< share of orders that are done, not answered
    double late_order{0.0}; ///< share carried out seconds later, unanswered
    double failed_run{0.0}; ///< share of runs that fail by their own fault
    milliseconds store_delay{5};
};

/// Runs what it is told, whatever its capacity, and reports each end until it
/// is told to forget it.
struct fake_endpoint {
    struct run {
        instant started_at{};
        instant ends_at{};
        bool fails{false};
        bool hangs{false};
        bool gang_incomplete{
            false}; ///< waits for the other members of its gang
        milliseconds work{0};
    };
    cluster::endpoint_listing listing;
    bool reachable{true};
    bool hangs{false};
    cluster::fencing_token token{0};
    std::map<cluster::run_key, run> runs;
    std::map<workload::task_key, int>
        highest_ended_run; ///< highest run stopped or ended
    std::vector<cluster::finished_task> completions;
    std::uint64_t next_sequence{1};
    instant lease_until{};
};

class fake_fleet final : public cluster::scheduler_effects {
  public:
    fake_fleet(std::uint64_t seed, fleet_faults faults);

    fake_endpoint& add_endpoint(const std::string& id,
                                base::resources capacity);
    /// Replaces the leader, as after the loss of a VM.
    void elect_leader(milliseconds pause = milliseconds(0));
    void submit(workload::job job);
    void cancel(const std::string& id);
    /// Ends all that runs there and takes it off the list.
    void remove_endpoint(const std::string& id);
    void run_for(milliseconds time);
    /// Runs until every job has ended. @return whether that came in time.
    bool run_until_jobs_end(milliseconds limit);

    [[nodiscard]] const workload::progress& progress_of(const std::string& id);
    [[nodiscard]] const std::vector<std::string>& violations() const {
        return m_violations;
    }
    [[nodiscard]] instant now() const { return m_now; }
    [[nodiscard]] cluster::scheduler& leader() { return *m_leader; }
    [[nodiscard]] fake_endpoint& endpoint(const std::string& id) {
        return m_endpoints.at(id);
    }
    /// @return the jobs that have not ended, with their progress.
    [[nodiscard]] std::string describe_open_jobs() const;
    [[nodiscard]] std::size_t starts() const { return m_starts; }
    [[nodiscard]] instant first_start(const std::string& job) const {
        return m_first_start.at(job);
    }

    std::function<milliseconds(const workload::task_key&)> task_duration;
    std::function<bool(const workload::task_key&, const std::string&)> admits;
    bool store_up{true};
    /// VMs that can ask for advice, at the next election.
    std::vector<std::string> channels{"vm-1", "vm-2"};
    int max_violations{10};

    // scheduler_effects
    void start(const cluster::endpoint_listing& endpoint,
               cluster::fencing_token token,
               const cluster::start_order& order) override;
    void stop(const cluster::endpoint_listing& endpoint,
              cluster::fencing_token token,
              const cluster::stop_order& order) override;
    void renew(const cluster::endpoint_listing& endpoint,
               cluster::fencing_token token, const cluster::renew_order& order,
               bool fresh) override;
    void ask_advice(const std::string& channel,
                    const cluster::advice_call& call) override;
    void record_progress(const std::string& job, std::uint64_t version,
                         const std::string& progress, bool terminal) override;
    void on_measured(cluster::latency_kind kind, const std::string& queue,
                     milliseconds took) override;
    void on_fenced(const std::string& endpoint) override;

  private:
    struct stored_job {
        cluster::job_entry entry;
        std::map<workload::step_key, std::set<int>> done; ///< by the endpoints
        std::map<workload::task_key, std::set<int>> failed;
    };
    void schedule(milliseconds delay, std::function<void()> action);
    void step();
    void finish_run(fake_endpoint& endpoint, const cluster::run_key& key,
                    cluster::task_outcome outcome);
    void start_gang(const cluster::run_key& member);
    void finish_gang(const cluster::run_key& member,
                     cluster::task_outcome outcome);
    cluster::order_reply start_run(fake_endpoint& endpoint,
                                   cluster::fencing_token token,
                                   const cluster::start_order& order);
    void answer_renewal(const std::string& id, cluster::fencing_token token,
                        const cluster::renew_order& order, instant wait_until);
    void check_start(const fake_endpoint& endpoint,
                     const cluster::start_order& order);
    void add_violation(const std::string& what);
    [[nodiscard]] cluster::endpoint_time endpoint_clock() const;
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] const workload::step&
    step_spec(const workload::task_key& key);

    std::mt19937_64 m_random;
    fleet_faults m_faults;
    instant m_now{milliseconds(1'000'000)};
    std::multimap<instant, std::function<void()>> m_events;
    std::map<std::string, fake_endpoint> m_endpoints;
    std::map<std::string, stored_job> m_jobs;
    std::unique_ptr<cluster::scheduler> m_leader;
    std::uint64_t m_term{0};
    std::size_t m_starts{0};
    std::map<std::string, instant> m_first_start;
    std::vector<std::string> m_violations;
};

/// @return a job of one step with @p count tasks on a queue without advice.
[[nodiscard]] workload::job make_job(const std::string& id, int count,
                                     std::int64_t cpu_milli);

} // namespace eelgrasslever::test
