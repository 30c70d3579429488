/// @file
/// The leader's decisions: which task runs where and when. No I/O and no
/// clock; replies and the present instant are passed in.
#pragma once

#include "eelgrasslever/cluster/advice_call_pool.hpp"
#include "eelgrasslever/cluster/endpoint_health.hpp"
#include "eelgrasslever/cluster/endpoint_run.hpp"
#include "eelgrasslever/cluster/fit.hpp"
#include "eelgrasslever/cluster/job_run.hpp"
#include "eelgrasslever/cluster/job_view.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrasslever::cluster {

struct scheduler_limits {
    /// Longest lease that an endpoint grants. Source: its protocol.
    base::milliseconds max_lease{6000};
    /// How long a leader goes on ordering without a confirmed lease.
    base::milliseconds authority_timeout{6000};
    /// Share of each endpoint kept free of work that is not urgent, so that
    /// urgent work starts at once. Source: urgent work's share of the offered
    /// load at both deployments (11%) and a third more for bursts.
    double urgent_headroom{0.15};
};

/// Under which right a scheduler orders.
struct scheduler_term {
    fencing_token token{0};
    int run_base{0};
    base::instant since{};
};

class scheduler {
  public:
    scheduler(scheduler_effects& effects, scheduler_limits limits,
              scheduler_term mandate);

    // What the store says.
    void on_listed(const endpoint_listing& listing, base::instant now);
    void on_unlisted(const std::string& endpoint, base::instant now);
    void on_job_accepted(const job_entry& entry, base::instant now);
    void on_cancel(const std::string& job, base::instant now);
    void on_recorded(const std::string& job, std::uint64_t version,
                     base::instant now);
    void on_record_failed(const std::string& job, base::instant now);
    void set_channels(const std::vector<std::string>& vms, base::instant now);

    // Replies to orders.
    void on_started(const std::string& endpoint, const start_order& order,
                    const order_reply& reply, base::instant now);
    void on_stopped(const std::string& endpoint, const stop_order& order,
                    const order_reply& reply, base::instant now);
    void on_renewed(const std::string& endpoint, const renew_reply& reply,
                    base::instant now);
    void on_advice(std::uint64_t query, const advice_reply& reply,
                   base::instant now);

    /// What the leader may do at a moment.
    struct authority {
        bool order{true}; ///< without it nothing is sent
        bool place{true}; ///< the store is there to record placements
    };
    /// Acts on all that is due.
    void tick(base::instant now, std::chrono::sys_time<base::milliseconds> wall,
              authority may);

    struct totals {
        std::size_t jobs{0};
        std::size_t endpoints_usable{0};
        std::size_t running{0};
        std::size_t waiting{0};
        base::resources capacity;
        base::resources used;
    };
    [[nodiscard]] totals compute_totals(base::instant now) const;
    [[nodiscard]] const std::map<std::string, endpoint_run, std::less<>>&
    endpoints() const {
        return m_endpoints;
    }

  private:
    /// Orders the steps that wait: priority, then age.
    struct rank {
        int priority{0};
        base::instant since{};
        std::string job;
        int occurrence{0};
        int step{0};
        auto operator<=>(const rank&) const = default;
    };
    /// Which endpoints to look at: with a valid ticket, without one, or
    /// without one whether or not they are reserved for others.
    enum class scope { ticketed, unticketed, explored };
    /// Endpoints kept for a gang that waits for room.
    struct reservation {
        rank holder;
        std::vector<const endpoint_run*> endpoints;
    };
    struct unsent_start {
        std::string endpoint;
        run_key key;
        std::uint64_t version{0}; ///< of the job, that holds the placement
        base::instant since{};
    };
    struct job_state {
        std::unique_ptr<job_run> run;
        std::uint64_t recorded{0};
        std::uint64_t in_flight{0};
        base::instant record_at{};
        bool dirty{false};
        /// Runs that wait for their placement to be stored.
        std::vector<unsent_start> unsent;
    };

    // Jobs.
    void unlock(job_state& job, base::instant now);
    void touch(job_state& job, base::instant record_at);
    void end_job(job_state& job, workload::job_state how,
                 const std::string& why, base::instant now);
    void complete_if_done(job_state& job, base::instant now);
    void note_begun(const std::string& job, base::instant now);
    void flush_records(base::instant now);
    void inherit_placements(job_state& job, base::instant now);
    void send_recorded_starts(job_state& job, base::instant now);
    void give_up_unsent_starts(base::instant now);
    std::vector<std::pair<std::string, run_key>>
    runs_of(const std::function<bool(const run_key&)>& matches) const;
    void requeue(const task_key& key, int run, const std::string& checkpoint,
                 base::instant now);
    void stop_elsewhere(const task_key& key, const std::string& except,
                        base::instant now);
    void stop_matching(const std::function<bool(const run_key&)>& matches,
                       base::instant now);
    void stop_gang(const task_key& member, int run, base::instant now);
    job_state* find_job(const std::string& id);
    [[nodiscard]] bool is_gang(const task_key& key);

    // Endpoints.
    void release_run(endpoint_run& at, const run_key& key);
    void count_live(const task_key& key, int change);
    void take_end(endpoint_run& at, const finished_task& end,
                  base::instant now);
    void apply_end(endpoint_run& at, const finished_task& end, job_state& job,
                   base::instant now);
    void take_running(endpoint_run& at, const running_task& row,
                      base::instant now);
    void adopt(endpoint_run& at, const running_task& row, base::instant now);
    void resolve_missing(endpoint_run& at, const std::set<run_key>& running,
                         base::instant now);
    void send_start(endpoint_run& at, const run_key& key, job_state& job,
                    base::instant now);
    void abandon(endpoint_run& at, const run_key& key, base::instant now);
    void drop_all_runs(endpoint_run& at, const char* why, base::instant now);
    void release_recorded_ends(endpoint_run& at, base::instant now);
    void check_lease(endpoint_run& at, base::instant now);
    void hold_if_due(endpoint_run& at, base::instant now);
    void stop_run(endpoint_run& at, const run_key& key, base::instant now);
    /// The run that an order was about.
    struct ordered_run {
        endpoint_run& at;
        allocation& run;
    };
    /// @return nothing where the run is not known any more or where the reply
    /// shows another leader, which is reported.
    std::optional<ordered_run> find_ordered(const std::string& id,
                                            const run_key& key,
                                            order_status outcome);
    void retry_stops(endpoint_run& at, base::instant now);
    void send_stop(endpoint_run& at, const run_key& key, allocation& run,
                   base::instant now);
    [[nodiscard]] bool usable(const endpoint_run& at, base::instant now) const;

    // Placement.
    void place_all(base::instant now);
    [[nodiscard]] std::vector<rank> steps_to_look_at();
    bool place_step(const rank& at, base::instant now);
    void place_each(job_state& job, const rank& at, step_run& step,
                    base::instant now);
    bool place_gang(job_state& job, const rank& at, step_run& step,
                    base::instant now);
    void start_task(job_state& job, const task_key& key, int run,
                    const std::string& checkpoint, endpoint_run& at,
                    base::instant now);
    [[nodiscard]] std::vector<fit_candidate>
    candidates(const job_state& job, const rank& at, const step_run& step,
               base::instant now, scope of) const;
    [[nodiscard]] base::resources room_for(const endpoint_run& at,
                                           const rank& step) const;
    /// @return what the step could use of an endpoint on which nothing runs.
    [[nodiscard]] base::resources whole_room(const endpoint_run& at,
                                             const rank& step) const;
    [[nodiscard]] int admitted_capacity(const rank& at,
                                        const workload::step& spec,
                                        const step_run& step,
                                        base::instant now) const;
    [[nodiscard]] endpoint_run& endpoint_at(std::string_view id);
    [[nodiscard]] int tasks_of_step(const endpoint_run& at,
                                    const rank& step) const;
    [[nodiscard]] std::vector<std::string>
    choose_endpoints_to_ask(const job_state& job, const rank& at,
                            const step_run& step, int missing,
                            base::instant now);
    void want_advice(job_state& job, const rank& at, step_run& step,
                     int missing, base::instant now);
    void reserve(const job_state& job, const rank& at, const step_run& step,
                 base::instant now);
    void unreserve(const rank& at);
    void index_reservations();
    [[nodiscard]] bool reserved(const endpoint_run& endpoint) const;
    [[nodiscard]] bool reserved_by_other(const endpoint_run& endpoint,
                                         const rank& at) const;

    scheduler_effects& m_effects;
    scheduler_limits m_limits;
    scheduler_term m_mandate;
    std::unordered_map<std::string, job_state> m_jobs;
    std::map<std::string, endpoint_run, std::less<>> m_endpoints;
    std::vector<const endpoint_run*> m_usable; ///< during one pass
    /// Endpoints with ends that are not yet recorded.
    std::set<std::string> m_unrecorded;
    base::instant m_swept_at{};
    std::set<rank> m_ready;
    rank m_last_turn; ///< the last of those that were looked at by turns
    std::list<reservation> m_reservations;
    /// The first in rank among those that reserve an endpoint.
    std::unordered_map<const endpoint_run*, const rank*> m_reserved_for;
    std::set<std::string> m_dirty;
    std::set<std::string> m_unsent; ///< jobs with starts not yet sent
    advice_call_pool m_desk;
    endpoint_health m_health;
    bool m_place_needed{true};
    base::instant m_placed_at{};
    bool m_may_order{true};
    std::chrono::sys_time<base::milliseconds> m_wall{}; ///< of the last tick
};

} // namespace eelgrasslever::cluster
