#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <utility>

namespace eelgrasslever::cluster {

namespace {

/// How long a renewal waits for a completion to report. The endpoints' protocol
/// allows 2 s; half of it limits how long a lost reply delays the report.
constexpr base::milliseconds renewal_wait{1000};
/// Pause between renewals while the endpoint has completions that are not
/// stored yet or orders without a definite outcome.
constexpr base::milliseconds unsettled_renewal_pause{150};
/// Pause after a renewal that got no reply or was rejected.
constexpr base::milliseconds failed_renewal_pause{200};
constexpr base::milliseconds stop_retry_pause{300};
/// Pause before work is placed again on an endpoint that reported overload.
constexpr base::milliseconds overloaded_pause{2000};
/// A run without progress for this long is stalled and is restarted elsewhere.
/// One percent of the longest task at the deployments (16 s) takes 1.3 s on an
/// endpoint that is eight times slower; twice that tolerates a failed renewal.
constexpr base::milliseconds stall_limit{2500};

/// How long an endpoint that was forgotten is named to a successor. Placements
/// of its runs are removed from the store once that is reachable, and a leader
/// that does not reach it gives up long before.
constexpr base::milliseconds forgotten_endpoint_retention{60'000};

/// An endpoint that shuts down serves for this long after it announced that.
constexpr base::milliseconds min_drain_time{2000};

/// Fractional parts of its multiples fill an interval evenly.
constexpr double golden_ratio = std::numbers::phi;

constexpr std::array<const char*, 6> phase_names{
    "recording", "inherited", "starting", "uncertain", "running", "stopping"};

/// @return whether the reply shows that the order was not carried out. A
/// refused connection counts as no reply.
bool is_definite_rejection(order_status status) {
    return status != order_status::done &&
           status != order_status::unreachable &&
           status != order_status::refused_connection;
}

/// @return whether some start or stop has no definite outcome yet.
bool has_unsettled_orders(const endpoint_state& endpoint) {
    return std::any_of(
        endpoint.runs.begin(), endpoint.runs.end(), [](const auto& row) {
            return row.second.phase == allocation_phase::uncertain ||
                   row.second.phase == allocation_phase::inherited ||
                   row.second.phase == allocation_phase::stopping;
        });
}

/// @return whether the run is known to have been started.
bool was_seen(const allocation& run) {
    return run.confirmed_at != base::instant{} ||
           run.last_seen_at != base::instant{};
}

/// @return whether the start of a run that the endpoint doesn't have may arrive
/// after the renewal that shows this. The present life refuses it by its token
/// or a stop, but the next one would carry it out.
bool may_start_late(const endpoint_state& endpoint, const allocation& run) {
    return parse_incarnation(endpoint.listing.id).started_at.has_value() &&
           !was_seen(run) && run.start_expires >= endpoint.renewal_sent_at;
}

/// @return whether a run that the endpoint neither has nor ended was never
/// carried out there.
bool was_never_started(const endpoint_state& endpoint, const allocation& run) {
    // An endpoint that doesn't tell its life may have lost the run in a crash.
    return parse_incarnation(endpoint.listing.id).started_at.has_value() &&
           run.confirmed_at == base::instant{};
}

} // namespace

endpoint_state& scheduler::add_endpoint(const std::string& id,
                                        base::instant now) {
    auto [row, is_new] = m_endpoints.try_emplace(id);
    endpoint_state& endpoint = row->second;
    if (is_new) {
        endpoint.listing.id = id;
        endpoint.number =
            static_cast<std::uint32_t>(m_endpoints_by_number.size());
        m_endpoints_by_number.push_back(&endpoint);
        endpoint.reserve_order = std::fmod(endpoint.number * golden_ratio, 1.0);
        endpoint.next_renewal = now;
        endpoint.clock_read_at = now;
        endpoint.earlier_leases_expiry = earlier_leases_expiry_of(id);
    }
    return endpoint;
}

void scheduler::on_listed(const endpoint_listing& listing, base::instant now) {
    if (is_former_life(parse_incarnation(listing.id))) {
        ignore_listing(listing, now);
        return;
    }
    endpoint_state& endpoint =
        note_life(listing.id, life_source::registry, now);
    bool started_draining = listing.draining && !endpoint.listing.draining;
    if (started_draining) {
        endpoint.draining_since = now;
    }
    bool appears = !endpoint.listed;
    if (started_draining || appears) {
        observe::log_event("endpoint_listed",
                           {{"endpoint", listing.id},
                            {"address", listing.address},
                            {"draining", listing.draining ? "1" : "0"}});
        m_placement_needed = true;
    }
    endpoint.listing = listing;
    endpoint.listed = true;
    update_unknown_needs(endpoint);
    if (appears) {
        confirm_crashes(listing, now);
    }
}

void scheduler::on_unlisted(const std::string& id, base::instant now) {
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    endpoint_state& endpoint = found->second;
    endpoint.listed = false;
    endpoint.unlisted_at = now;
    observe::log_event(
        "endpoint_unlisted",
        {{"endpoint", id}, {"runs", std::to_string(endpoint.runs.size())}});
    endpoint.next_renewal = now;
}

bool scheduler::is_usable(const endpoint_state& endpoint,
                          base::instant now) const {
    return endpoint.listed && endpoint.inventoried && !endpoint.terminated &&
           !endpoint.listing.draining && endpoint.failed_renewals == 0 &&
           endpoint.avoid_until <= now &&
           !m_health.is_suspected(endpoint.listing.id, now);
}

void scheduler::renew_if_due(endpoint_state& endpoint, base::instant now) {
    if (endpoint.terminated || endpoint.renewal_in_flight ||
        endpoint.next_renewal > now || endpoint.listing.address.empty()) {
        return;
    }
    renew_order order;
    // The next life of the endpoint may get the order and would forget ends of
    // its own. After a silence, the lives are told apart first.
    bool has_new_ends =
        endpoint.completions_recorded > endpoint.completions_acknowledged;
    if (has_new_ends && endpoint.failed_renewals == 0) {
        order.completions_recorded = endpoint.completions_recorded;
    }
    endpoint.acknowledgement_sent = order.completions_recorded;
    // A renewal sent to an endpoint that doesn't reply might be carried out
    // late. It would extend the lease, and with it the wait before the tasks
    // can be restarted elsewhere.
    if (endpoint.has_clock_reading && endpoint.failed_renewals == 0) {
        order.lease_until = endpoint.estimate_clock(now) + m_limits.max_lease;
        endpoint.lease_deadline =
            std::max(endpoint.lease_deadline, *order.lease_until);
    }
    bool immediate =
        !endpoint.has_clock_reading || endpoint.failed_renewals > 0 ||
        has_unsettled_orders(endpoint) || endpoint.is_on_trial(now) ||
        !endpoint.unrecorded_completions.empty() || !endpoint.inventoried;
    order.wait = immediate ? base::milliseconds(0) : renewal_wait;
    endpoint.renewal_in_flight = true;
    endpoint.renewal_waits = !immediate;
    endpoint.renewal_sequence = ++endpoint.order_sequence;
    endpoint.renewal_sent_at = now;
    m_effects.renew(endpoint.listing, token_for(endpoint), order,
                    endpoint.failed_renewals > 0);
}

void scheduler::on_renewed(const std::string& id, const renew_reply& reply,
                           base::instant now) {
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    endpoint_state& endpoint = found->second;
    // Another life may have answered, and refuses the orders for this one.
    if (endpoint.terminated) {
        return;
    }
    endpoint.renewal_in_flight = false;
    endpoint.renewal_waits = false;
    if (reply.status == order_status::fenced) {
        m_effects.on_fenced(id);
        return;
    }
    if (reply.status == order_status::other_incarnation &&
        is_earlier(parse_incarnation(id),
                   parse_incarnation(reply.answered_by))) {
        note_life(reply.answered_by, life_source::reply, now);
        return;
    }
    if (reply.status == order_status::other_incarnation) {
        observe::log_event("endpoint_gone",
                           {{"endpoint", id}, {"why", "other incarnation"}});
        mark_terminated(endpoint);
        drop_all_runs(endpoint, loss_cause::other_incarnation, now);
        return;
    }
    if (reply.status != order_status::done) {
        if (endpoint.failed_renewals++ == 0) {
            endpoint.silent_since = now;
            observe::log_event(
                "endpoint_silent",
                {{"endpoint", id},
                 {"why", to_string(reply.status)},
                 {"runs", std::to_string(endpoint.runs.size())}});
        }
        endpoint.next_renewal = now + failed_renewal_pause;
        return;
    }
    if (endpoint.failed_renewals > 0 || !endpoint.inventoried) {
        observe::log_event(endpoint.inventoried ? "endpoint_back"
                                                : "endpoint_inventoried",
                           {{"endpoint", id},
                            {"running", std::to_string(reply.running.size())},
                            {"ended", std::to_string(reply.finished.size())}});
        m_ready.resume_all();
        m_placement_needed = true;
    }
    if (endpoint.failed_renewals > 0 || !endpoint.inventoried) {
        forget_lost_runs(m_lost_endpoints.take(id), now);
    }
    endpoint.completions_acknowledged = std::max(
        endpoint.completions_acknowledged, endpoint.acknowledgement_sent);
    endpoint.failed_renewals = 0;
    endpoint.silent_since.reset();
    endpoint.last_reply_at = now;
    if (reply.clock) {
        endpoint.has_clock_reading = true;
        endpoint.clock_reading = *reply.clock;
        endpoint.clock_read_at = now;
        if (!endpoint.inventoried) {
            // An earlier leader may have granted a full lease until now.
            endpoint.lease_deadline = std::max(
                endpoint.lease_deadline, *reply.clock + m_limits.max_lease);
        }
    }
    for (const finished_task& completion : reply.finished) {
        process_completion(endpoint, completion, now);
    }
    std::set<run_key> running;
    for (const running_task& row : reply.running) {
        running.insert({row.task, row.run});
        process_running_task(endpoint, row, now);
    }
    // A run that is not listed may have ended with a completion that isn't
    // listed yet.
    if (!reply.finished_truncated) {
        requeue_missing_runs(endpoint, running, now);
    }
    endpoint.inventoried = true;
    acknowledge_recorded_completions(endpoint, now);
    send_trial_start(endpoint, now);
    endpoint.next_renewal = !endpoint.unrecorded_completions.empty() ||
                                    endpoint.is_on_trial(now) ||
                                    has_unsettled_orders(endpoint)
                                ? now + unsettled_renewal_pause
                                : now;
}

void scheduler::release_run(endpoint_state& endpoint, const run_key& key) {
    auto found = endpoint.runs.find(key);
    if (found == endpoint.runs.end()) {
        return;
    }
    endpoint.used -= found->second.need;
    m_usage.remove(found->second.workspace, found->second.need);
    if (found->second.phase != allocation_phase::recording) {
        m_recently_released +=
            dominant_share(found->second.need, m_usable_total);
    }
    endpoint.runs.erase(found);
    endpoint.releases_in = 0;
    m_may_forget_endpoints |= endpoint.terminated;
    if (endpoint.trial == key) {
        endpoint.trial.reset();
    }
    adjust_live_runs(key.task, -1);
    m_placement_needed = true;
}

void scheduler::adjust_live_runs(const task_key& key, int change) {
    tracked_job* job = find_job(key.job);
    task_execution* task =
        job == nullptr ? nullptr : job->execution->find_task(key);
    if (task != nullptr) {
        task->live_runs += change;
    } else if (job == nullptr) {
        m_remaining_runs.adjust(key.job, change);
    }
}

void scheduler::measure_speed(const endpoint_state& endpoint,
                              const workload::task_key& task,
                              const allocation& run, base::milliseconds ran) {
    tracked_job* job = find_job(task.job);
    if (job == nullptr || !run.is_timed) {
        return;
    }
    const workload::step& spec =
        job->execution->job().steps[static_cast<std::size_t>(task.step)];
    // The members of a gang end together, whatever their endpoints' speeds.
    if (!spec.gang && !spec.long_running) {
        m_speeds.add_run(endpoint.listing.id, job->execution->queue().name,
                         spec.estimated_duration, ran);
    }
}

void scheduler::process_completion(endpoint_state& endpoint,
                                   const finished_task& completion,
                                   base::instant now) {
    if (completion.sequence <= endpoint.completions_seen) {
        return;
    }
    endpoint.completions_seen = completion.sequence;
    auto found = endpoint.runs.find({completion.task, completion.run});
    base::milliseconds ran{0};
    base::milliseconds survived{0};
    if (found != endpoint.runs.end()) {
        ran = now - found->second.started_at;
        survived = found->second.survived();
        if (completion.outcome == task_outcome::done) {
            measure_speed(endpoint, completion.task, found->second, ran);
        }
        release_run(endpoint, {completion.task, completion.run});
    }
    observe::log_event("task_ended",
                       {{"task", workload::to_string(completion.task)},
                        {"run", std::to_string(completion.run)},
                        {"endpoint", endpoint.listing.id},
                        {"how", to_string(completion.outcome)},
                        {"ran_ms", std::to_string(ran.count())}});
    unrecorded_completion unrecorded{completion.sequence, completion.task.job,
                                     0};
    tracked_job* job = find_job(completion.task.job);
    if (job != nullptr && !job->execution->has_ended() &&
        job->execution->find_task(completion.task) != nullptr) {
        if (job->execution->note_survival(completion.task, survived)) {
            schedule_record(*job, now);
        }
        apply_completion(endpoint, completion, *job, now);
        // The completion may have ended the job. The job is kept until its
        // final state is stored.
        unrecorded.version = job->execution->version();
    } else if (job != nullptr) {
        unrecorded.version = job->execution->version();
    }
    if (job != nullptr) {
        job->endpoints_to_acknowledge.insert(endpoint.number);
    }
    endpoint.unrecorded_completions.push_back(std::move(unrecorded));
}

void scheduler::acknowledge_recorded_completions(endpoint_state& endpoint,
                                                 base::instant now) {
    bool released = false;
    while (!endpoint.unrecorded_completions.empty()) {
        const unrecorded_completion& next =
            endpoint.unrecorded_completions.front();
        tracked_job* job = find_job(next.job);
        if (job != nullptr && job->recorded_version < next.version) {
            break;
        }
        endpoint.completions_recorded = next.sequence;
        endpoint.unrecorded_completions.pop_front();
        released = true;
    }
    if (released && endpoint.unrecorded_completions.empty()) {
        endpoint.next_renewal = std::min(endpoint.next_renewal, now);
    }
}

void scheduler::process_running_task(endpoint_state& endpoint,
                                     const running_task& row,
                                     base::instant now) {
    auto found = endpoint.runs.find({row.task, row.run});
    if (found == endpoint.runs.end()) {
        adopt_run(endpoint, row, now);
        return;
    }
    allocation& run = found->second;
    run.last_seen_at = now;
    run.lost_with.clear();
    if (run.phase == allocation_phase::starting ||
        run.phase == allocation_phase::inherited ||
        run.phase == allocation_phase::uncertain) {
        run.phase = allocation_phase::running;
        run.confirmed_at = now;
        run.start_confirmed_sequence = endpoint.order_sequence;
        note_job_started(row.task.job, now);
    }
    if (!row.checkpoint.empty()) {
        run.checkpoint = row.checkpoint;
    }
    if (row.percent != run.percent) {
        run.update_progress(row.percent, now);
        return;
    }
    tracked_job* job = find_job(row.task.job);
    bool stalled = job != nullptr && run.phase == allocation_phase::running &&
                   row.percent < 100 &&
                   now - run.percent_changed_at > stall_limit &&
                   !job->execution->job()
                        .steps[static_cast<std::size_t>(row.task.step)]
                        .long_running;
    if (stalled) {
        observe::log_event("task_stalled",
                           {{"task", workload::to_string(row.task)},
                            {"run", std::to_string(row.run)},
                            {"endpoint", endpoint.listing.id},
                            {"percent", std::to_string(row.percent)}});
        m_health.on_run_stalled(endpoint.listing.id, now);
        stop_run(endpoint, {row.task, row.run}, now);
    }
}

// Handles a run that an earlier leader started or that was considered lost.
void scheduler::adopt_run(endpoint_state& endpoint, const running_task& row,
                          base::instant now) {
    allocation run;
    run.number = row.run;
    run.phase = allocation_phase::running;
    run.start_confirmed_sequence = endpoint.order_sequence;
    run.started_at = now;
    run.assumed_age = max_report_age;
    run.confirmed_at = now;
    run.last_seen_at = now;
    run.percent = row.percent;
    run.percent_changed_at = now;
    run.initial_percent = row.percent;
    run.progress_since = now;
    run.expected_end = now;
    run.checkpoint = row.checkpoint;
    tracked_job* job = find_job(row.task.job);
    task_execution* task =
        job == nullptr ? nullptr : job->execution->find_task(row.task);
    run_owner owner = find_owner(row.task);
    run.is_need_known = owner.need.has_value();
    run.need = owner.need.value_or(endpoint.listing.capacity);
    run.workspace = std::move(owner.workspace);
    run_key key{row.task, row.run};
    add_run(endpoint, key, std::move(run));
    adjust_live_runs(row.task, 1);
    bool wanted = task != nullptr && !job->execution->has_ended() &&
                  task->phase == task_phase::waiting &&
                  row.run >= task->highest_run;
    observe::log_event(wanted ? "run_adopted" : "run_unwanted",
                       {{"task", workload::to_string(row.task)},
                        {"run", std::to_string(row.run)},
                        {"endpoint", endpoint.listing.id}});
    if (task != nullptr) {
        task->highest_run = std::max(task->highest_run, row.run);
    }
    if (!wanted) {
        stop_run(endpoint, key, now);
        return;
    }
    job->execution->mark_active(
        row.task, {row.run, endpoint.listing.id, endpoint.listing.address});
    job->execution->mark_started();
    schedule_record(*job, now);
}

// The registry entry, and with it the capacity, may be read after the first
// list of runs.
void scheduler::update_unknown_needs(endpoint_state& endpoint) {
    for (auto& [key, run] : endpoint.runs) {
        if (run.is_need_known) {
            continue;
        }
        endpoint.used -= run.need;
        m_usage.remove(run.workspace, run.need);
        run.need = endpoint.listing.capacity;
        endpoint.used += run.need;
        m_usage.add(run.workspace, run.need);
    }
}

void scheduler::requeue_missing_runs(endpoint_state& endpoint,
                                     const std::set<run_key>& running,
                                     base::instant now) {
    std::vector<run_key> missing;
    for (const auto& [key, run] : endpoint.runs) {
        if (running.contains(key)) {
            continue;
        }
        bool is_missing = false;
        switch (run.phase) {
        case allocation_phase::recording:
        case allocation_phase::starting:
            break;
        case allocation_phase::inherited:
        case allocation_phase::running:
            is_missing =
                run.start_confirmed_sequence < endpoint.renewal_sequence;
            break;
        case allocation_phase::uncertain:
        case allocation_phase::stopping:
            is_missing =
                (run.stop_confirmed_sequence != 0 &&
                 run.stop_confirmed_sequence < endpoint.renewal_sequence) ||
                (run.start_confirmed_sequence != 0 &&
                 run.start_expires < endpoint.renewal_sent_at);
            break;
        }
        if (is_missing && !may_start_late(endpoint, run)) {
            missing.push_back(key);
        }
    }
    for (const run_key& key : missing) {
        const allocation& run = endpoint.runs[key];
        observe::log_event(
            "run_missing",
            {{"task", workload::to_string(key.task)},
             {"run", std::to_string(key.run)},
             {"endpoint", endpoint.listing.id},
             {"token", std::to_string(token_for(endpoint))},
             {"phase", phase_names.at(static_cast<std::size_t>(run.phase))},
             {"seen", was_seen(run) ? "1" : "0"},
             {"placed_ms_ago", std::to_string((now - run.started_at).count())},
             {"start_left_ms",
              run.start_expires == base::instant{}
                  ? "unknown"
                  : std::to_string((run.start_expires - now).count())}});
        std::string checkpoint = run.checkpoint;
        if (!run.lost_with.empty()) {
            count_crash(run.lost_with, {key, run.lost_after}, now);
        } else if (was_never_started(endpoint, run)) {
            cancel_start(key);
        }
        release_run(endpoint, key);
        requeue_task(key.task, key.run, checkpoint, now);
    }
}

// Once an endpoint has answered this leader, it refuses the orders of earlier
// ones.
base::instant scheduler::lease_expiry_of(const endpoint_state& endpoint) {
    return endpoint.inventoried ? endpoint.lease_expiry()
                                : std::max(endpoint.earlier_leases_expiry,
                                           endpoint.former_orders_expiry);
}

// A previous leader that lost the store sends orders for at most
// `authority_timeout`, and an order is late by less. Runs that were renewed
// last continue for one lease as measured by a slow clock.
base::milliseconds scheduler::order_lifetime() const {
    return m_limits.authority_timeout + m_limits.max_lease * 103 / 100;
}

base::instant scheduler::earlier_leases_bound() const {
    base::instant bound = m_term.since + order_lifetime();
    return m_predecessor_leases
               ? std::min(bound, m_predecessor_leases->other_expiry)
               : bound;
}

base::instant
scheduler::earlier_leases_expiry_of(const std::string& endpoint) const {
    if (!m_predecessor_leases) {
        return earlier_leases_bound();
    }
    // Orders for other lives of the endpoint may have reached this one, and
    // runs on it may have been carried over to a later life.
    const auto& expiries = m_predecessor_leases->expiries;
    incarnation life = parse_incarnation(endpoint);
    bool has_other_lives = false;
    base::instant latest{};
    for (auto it = expiries.lower_bound(life.name);
         it != expiries.end() && it->first.starts_with(life.name); ++it) {
        incarnation known = parse_incarnation(it->first);
        if (known.name != life.name) {
            continue;
        }
        has_other_lives = true;
        if (!is_earlier(known, life)) {
            latest = std::max(latest, it->second);
        }
    }
    if (expiries.contains(endpoint)) {
        return latest;
    }
    return has_other_lives ? m_term.since + order_lifetime()
                           : earlier_leases_bound();
}

// Reports are repeated, and each one is a bound; one that was delayed less may
// be tighter.
void scheduler::on_predecessor_leases(const lease_table& leases,
                                      base::instant now) {
    if (leases.token + 1 != m_term.token) {
        return;
    }
    if (!m_predecessor_leases) {
        observe::log_event(
            "predecessor_leases",
            {{"token", std::to_string(leases.token)},
             {"endpoints", std::to_string(leases.expiries.size())},
             {"others_left_ms",
              std::to_string((leases.other_expiry - now).count())}});
    }
    m_predecessor_leases = leases;
    for (auto& [id, endpoint] : m_endpoints) {
        endpoint.earlier_leases_expiry = std::min(
            endpoint.earlier_leases_expiry, earlier_leases_expiry_of(id));
    }
}

lease_table scheduler::leases() const {
    lease_table result;
    result.token = m_term.token;
    result.other_expiry = earlier_leases_bound();
    if (m_predecessor_leases) {
        for (const auto& [id, expiry] : m_predecessor_leases->expiries) {
            if (m_last_sweep_at - expiry < forgotten_endpoint_retention) {
                result.expiries[id] = expiry;
            }
        }
    }
    for (const auto& [id, forgotten_at] : m_forgotten_endpoints) {
        result.expiries[id] = forgotten_at;
    }
    for (const auto& [id, endpoint] : m_endpoints) {
        result.expiries[id] = lease_expiry_of(endpoint);
    }
    return result;
}

void scheduler::mark_terminated(endpoint_state& endpoint) {
    endpoint.terminated = true;
    m_may_forget_endpoints = true;
}

void scheduler::forget_terminated_endpoints(base::instant now) {
    std::erase_if(m_forgotten_endpoints, [&](const auto& row) {
        return now - row.second > forgotten_endpoint_retention;
    });
    for (const lost_endpoint& lost :
         m_lost_endpoints.take_before(now - forgotten_endpoint_retention)) {
        forget_lost_runs(lost.runs, now);
    }
    // Each tick comes here, and hardly ever is there an endpoint to forget.
    if (!std::exchange(m_may_forget_endpoints, false)) {
        return;
    }
    std::erase_if(m_endpoints, [&](const auto& row) {
        bool forgotten = row.second.terminated && row.second.runs.empty();
        if (forgotten) {
            m_endpoints_by_number[row.second.number] = nullptr;
            m_forgotten_endpoints[row.first] = now;
            incarnation life = parse_incarnation(row.first);
            auto latest = m_latest_lives.find(life.name);
            if (latest != m_latest_lives.end() && latest->second.life == life) {
                latest->second.forgotten_at = now;
                m_may_forget_lives = true;
            }
        }
        return forgotten;
    });
}

void scheduler::forget_old_lives(base::instant now) {
    if (!m_may_forget_lives) {
        return;
    }
    m_may_forget_lives = false;
    std::erase_if(m_latest_lives, [&](const auto& row) {
        const latest_life& latest = row.second;
        bool outdated = latest.forgotten_at && now - *latest.forgotten_at >
                                                   forgotten_endpoint_retention;
        if (outdated) {
            m_next_life = std::max(m_next_life, latest.number);
        }
        m_may_forget_lives |= latest.forgotten_at && !outdated;
        return outdated;
    });
}

void scheduler::check_lease(endpoint_state& endpoint, base::instant now) {
    bool answers = endpoint.inventoried && endpoint.failed_renewals == 0;
    if (endpoint.terminated || answers || lease_expiry_of(endpoint) >= now) {
        return;
    }
    if (!endpoint.runs.empty()) {
        drop_all_runs(endpoint, loss_cause::lease_expired, now);
    }
    if (endpoint.inventoried) {
        endpoint.earlier_leases_expiry = now;
        endpoint.inventoried = false;
    }
    if (!endpoint.listed) {
        mark_terminated(endpoint);
        m_health.forget(endpoint.listing.id);
        m_speeds.forget(endpoint.listing.id);
    }
}

// An endpoint that is shut down as planned announces before that it drains.
bool scheduler::has_ended_unplanned(const endpoint_state& endpoint) {
    return !endpoint.listing.draining ||
           (endpoint.silent_since &&
            *endpoint.silent_since - endpoint.draining_since < min_drain_time);
}

void scheduler::drop_all_runs(endpoint_state& endpoint, loss_cause cause,
                              base::instant now) {
    bool ended = cause == loss_cause::other_incarnation;
    bool unplanned = has_ended_unplanned(endpoint);
    observe::log_event(
        "runs_lost",
        {{"endpoint", endpoint.listing.id},
         {"runs", std::to_string(endpoint.runs.size())},
         {"why", ended ? "incarnation has ended" : "lease expired"},
         {"planned", unplanned ? "0" : "1"},
         {"token", std::to_string(m_term.token)},
         {"inventoried", endpoint.inventoried ? "1" : "0"},
         {"seen_ms_ago", describe_age(endpoint.last_reply_at, now)},
         {"unlisted_ms_ago",
          endpoint.listed ? "listed" : describe_age(endpoint.unlisted_at, now)},
         {"lease_left_ms",
          std::to_string((lease_expiry_of(endpoint) - now).count())}});
    auto runs = std::move(endpoint.runs);
    endpoint.runs.clear();
    m_may_forget_endpoints |= endpoint.terminated;
    endpoint.used = {};
    endpoint.trial.reset();
    std::vector<lost_run> suspects;
    for (const auto& [key, run] : runs) {
        m_usage.remove(run.workspace, run.need);
        adjust_live_runs(key.task, -1);
        if (!run.lost_with.empty()) {
            // That this life answers again says nothing of the former one.
            count_crash(run.lost_with, {key, run.lost_after}, now);
        } else if (unplanned && run.phase != allocation_phase::recording &&
                   !run.start_refused) {
            suspects.push_back({key, run.assumed_alive()});
        }
    }
    if (ended) {
        for (const lost_run& suspect : suspects) {
            count_crash(endpoint.listing.id, suspect, now);
        }
        confirm_crash(endpoint.listing.id,
                      m_lost_endpoints.take(endpoint.listing.id), now);
    } else {
        for (const lost_run& suspect : suspects) {
            await_crash_proof(endpoint, suspect, now);
        }
        if (has_successor(endpoint.listing.id, endpoint.listing.address)) {
            confirm_crash(endpoint.listing.id,
                          m_lost_endpoints.take(endpoint.listing.id), now);
        }
    }
    for (const auto& [key, run] : runs) {
        requeue_task(key.task, key.run, run.checkpoint, now);
    }
    m_placement_needed = true;
}

void scheduler::stop_run(endpoint_state& endpoint, const run_key& key,
                         base::instant now) {
    allocation& run = endpoint.runs.at(key);
    if (run.phase == allocation_phase::stopping) {
        return;
    }
    if (run.phase == allocation_phase::recording) {
        abandon_run(endpoint, key, now);
        return;
    }
    run.phase = allocation_phase::stopping;
    send_stop(endpoint, key, run, now);
}

void scheduler::cancel_start(const run_key& key) {
    tracked_job* job = find_job(key.task.job);
    if (job != nullptr && !job->execution->has_ended()) {
        job->execution->cancel_start(key.task, key.run);
    }
}

// Drops a run whose start was never sent, and requeues its task.
void scheduler::abandon_run(endpoint_state& endpoint, const run_key& key,
                            base::instant now) {
    std::string checkpoint = endpoint.runs.at(key).checkpoint;
    release_run(endpoint, key);
    cancel_start(key);
    requeue_task(key.task, key.run, checkpoint, now);
}

void scheduler::move_lasting_tasks(endpoint_state& endpoint,
                                   base::instant now) {
    std::vector<run_key> lasting;
    for (const auto& [key, run] : endpoint.runs) {
        const tracked_job* job = find_job(key.task.job);
        if (run.phase == allocation_phase::running && job != nullptr &&
            job->execution->job()
                .steps[static_cast<std::size_t>(key.task.step)]
                .long_running) {
            lasting.push_back(key);
        }
    }
    for (const run_key& key : lasting) {
        observe::log_event("task_moved",
                           {{"task", workload::to_string(key.task)},
                            {"run", std::to_string(key.run)},
                            {"endpoint", endpoint.listing.id},
                            {"why", "endpoint drains"}});
        stop_run(endpoint, key, now);
    }
}

void scheduler::send_stop(endpoint_state& endpoint, const run_key& key,
                          allocation& run, base::instant now) {
    // The address of an endpoint that has no registry entry may be unknown. The
    // stop is sent once it is, and else the run ends with its lease.
    if (run.stop_in_flight || !m_can_order ||
        endpoint.listing.address.empty()) {
        return;
    }
    run.stop_in_flight = true;
    run.next_stop_at = now + stop_retry_pause;
    endpoint.order_sequence++;
    endpoint.next_renewal =
        std::min(endpoint.next_renewal, now + unsettled_renewal_pause);
    m_effects.stop(endpoint.listing, token_for(endpoint), {key.task, key.run});
}

void scheduler::retry_stops(endpoint_state& endpoint, base::instant now) {
    if (endpoint.terminated) {
        return;
    }
    for (auto& [key, run] : endpoint.runs) {
        bool wanted = run.phase == allocation_phase::stopping ||
                      run.phase == allocation_phase::uncertain;
        if (wanted && run.stop_confirmed_sequence == 0 &&
            run.next_stop_at <= now) {
            send_stop(endpoint, key, run, now);
        }
    }
}

std::optional<scheduler::ordered_run>
scheduler::find_ordered_run(const std::string& id, const run_key& key,
                            order_status outcome) {
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || found->second.terminated) {
        return std::nullopt;
    }
    if (outcome == order_status::fenced) {
        m_effects.on_fenced(id);
        return std::nullopt;
    }
    auto row = found->second.runs.find(key);
    if (row == found->second.runs.end()) {
        return std::nullopt;
    }
    return ordered_run{found->second, row->second};
}

void scheduler::on_stopped(const std::string& id, const stop_order& order,
                           const order_reply& reply, base::instant now) {
    auto ordered = find_ordered_run(id, {order.task, order.run}, reply.status);
    if (!ordered) {
        return;
    }
    auto& [endpoint, run] = *ordered;
    run.stop_in_flight = false;
    if (reply.status == order_status::done) {
        run.stop_confirmed_sequence = ++endpoint.order_sequence;
        endpoint.next_renewal = std::min(endpoint.next_renewal, now);
        return;
    }
    run.next_stop_at = now + stop_retry_pause;
}

void scheduler::on_started(const std::string& id, const start_order& order,
                           const order_reply& reply, base::instant now) {
    run_key key{order.task, order.run};
    auto ordered = find_ordered_run(id, key, reply.status);
    if (!ordered) {
        return;
    }
    auto& [endpoint, run] = *ordered;
    if (reply.status == order_status::done) {
        if (run.confirmed_at == base::instant{}) {
            run.confirmed_at = now;
        }
        if (run.phase == allocation_phase::starting) {
            run.phase = allocation_phase::running;
            run.percent_changed_at = now;
            run.progress_since = now;
        }
        run.start_confirmed_sequence = ++endpoint.order_sequence;
        note_job_started(order.task.job, now);
        return;
    }
    observe::log_event(
        "start_not_done",
        {{"task", workload::to_string(order.task)},
         {"run", std::to_string(order.run)},
         {"endpoint", id},
         {"token", std::to_string(m_term.token)},
         {"why", to_string(reply.status)},
         {"placed_ms_ago", std::to_string((now - run.started_at).count())},
         {"seen_ms_ago", describe_age(endpoint.last_reply_at, now)}});
    run.start_refused = reply.status == order_status::refused_connection;
    if (!is_definite_rejection(reply.status)) {
        if (run.phase == allocation_phase::starting) {
            run.phase = allocation_phase::uncertain;
            run.start_confirmed_sequence = ++endpoint.order_sequence;
            // The order may have been carried out, so a renewal checks for the
            // run before a stop is sent.
            run.next_stop_at = now + stop_retry_pause;
            endpoint.next_renewal = std::min(endpoint.next_renewal, now);
        }
        return;
    }
    tracked_job* job = find_job(order.task.job);
    step_execution* step =
        job == nullptr
            ? nullptr
            : job->execution->find_step(order.task.occurrence, order.task.step);
    if (reply.status == order_status::ticket_refused && step != nullptr) {
        auto admitted = step->advice.admitted.find(endpoint.number);
        if (admitted != step->advice.admitted.end()) {
            admitted->second.valid_until = now;
        }
    }
    if (reply.status == order_status::overloaded) {
        endpoint.avoid_until = now + overloaded_pause;
    } else if (reply.status != order_status::ticket_refused) {
        endpoint.avoid_until = now + failed_renewal_pause;
    }
    release_run(endpoint, key);
    cancel_start(key);
    requeue_task(order.task, order.run, "", now);
    if (reply.status == order_status::other_incarnation) {
        mark_terminated(endpoint);
        drop_all_runs(endpoint, loss_cause::other_incarnation, now);
    }
}

} // namespace eelgrasslever::cluster
