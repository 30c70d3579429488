#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrasslever::cluster {

namespace {

/// Expected time from a placement to the start of the task.
constexpr base::milliseconds start_delay{50};
/// How soon work that is selected should find room. Tickets last 2 s at the
/// deployments.
constexpr base::milliseconds window_horizon{2000};
/// Time over which the rate of released room is averaged.
constexpr base::milliseconds release_averaging_time{2000};
/// Steps examined in one pass, which bounds its duration.
constexpr std::size_t max_examined_steps = 500;
/// How long a selected step may go without placing a task before others get
/// its place.
constexpr base::milliseconds fruitless_limit{1500};
/// A step that finds no room is deferred for this long, twice as long each
/// further time.
constexpr base::milliseconds initial_deferral{500};
constexpr base::milliseconds max_deferral{4000};
/// Longest deferral while there is room to spare. The deferral, a call for
/// advice and the start have to fit in the 3 s within which the platform wants
/// work to start beside free room.
constexpr base::milliseconds max_deferral_beside_room{1000};
/// Endpoints' speeds change seldom, and comparing them looks at all of them.
constexpr base::milliseconds speed_comparison_period{1000};
/// Waiting steps that one pass reports.
constexpr std::size_t max_wait_reports = 4;

/// Shares of the fleet in use at which the headroom for urgent work begins to
/// apply, and from which it applies in full.
constexpr double headroom_begins = 0.6;
constexpr double headroom_complete = 0.8;

/// A task under suspicion of crashing its endpoints has an endpoint for itself
/// for this long beyond the age at which it may do so: the longest time from a
/// start order to its execution.
constexpr base::milliseconds trial_margin = start_timeout;
/// Largest share of the endpoints with such a task.
constexpr double max_trial_share = 0.2;

/// @return how long a task of the step is expected to hold its room. One that
/// lasts does not give it back, whatever its estimate is.
base::milliseconds expected_duration(const workload::step& spec) {
    constexpr std::chrono::hours lasting{1};
    return spec.long_running ? lasting : spec.estimated_duration;
}

/// @return how long work takes at a speed.
base::milliseconds scaled(base::milliseconds duration, double speed) {
    return base::milliseconds(static_cast<std::int64_t>(
        static_cast<double>(duration.count()) / speed));
}

bool has_ticket(const step_advice& advice, base::instant now) {
    return advice.last_valid_until > now &&
           std::any_of(
               advice.admitted.begin(), advice.admitted.end(),
               [&](const auto& row) { return row.second.valid_until > now; });
}

} // namespace

void scheduler::begin_pass(base::instant now) {
    double elapsed = static_cast<double>((now - m_last_placement_at).count());
    m_recently_released *= std::exp(
        -elapsed / static_cast<double>(release_averaging_time.count()));
    m_pass++;
    m_wait_reports_left = max_wait_reports;
    m_placement_needed = false;
    m_last_placement_at = now;
    m_usable.clear();
    m_usable_total = {};
    m_usable_used = {};
    m_largest_usable = {};
    m_largest_free = {};
    m_gang_claims = 0.0;
    m_trials = 0;
    for (auto& [id, endpoint] : m_endpoints) {
        endpoint.claimed_before = std::exchange(endpoint.claimed, {});
        endpoint.reservations_before = std::exchange(endpoint.reservations, {});
        if (is_usable(endpoint, now)) {
            endpoint.reserve_rank = m_endpoints.size();
            endpoint.usable_in = m_pass;
            m_usable.push_back(&endpoint);
            m_trials += endpoint.is_on_trial(now) ? 1 : 0;
            m_usable_total += endpoint.listing.capacity;
            m_usable_used += endpoint.used;
            m_largest_usable = base::component_max(m_largest_usable,
                                                   endpoint.listing.capacity);
            m_largest_free =
                base::component_max(m_largest_free, endpoint.free_resources());
        }
    }
    update_speeds(now);
    rank_reserve();
    resume_limited_steps();
}

void scheduler::update_speeds(base::instant now) {
    if (now - m_speeds_compared_at < speed_comparison_period) {
        return;
    }
    m_speeds_compared_at = now;
    bool was_uneven = m_speeds.is_uneven();
    m_speeds.compare();
    std::size_t fast = 0;
    for (auto& [id, endpoint] : m_endpoints) {
        endpoint.speed = m_speeds.class_of(id);
        endpoint.speed_factor = m_speeds.factor_of(id);
        fast += endpoint.speed == speed_class::fast ? 1 : 0;
    }
    if (was_uneven != m_speeds.is_uneven()) {
        observe::log_event("endpoint_speeds_compared",
                           {{"uneven", m_speeds.is_uneven() ? "1" : "0"},
                            {"fast", std::to_string(fast)},
                            {"endpoints", std::to_string(m_endpoints.size())}});
    }
}

int scheduler::speed_preference(speed_class speed, int priority, bool gang) {
    bool fast = speed == speed_class::fast;
    if (priority == 0) {
        return fast ? 1 : speed == speed_class::slow ? -1 : 0;
    }
    return gang && fast ? -1 : 0;
}

void scheduler::rank_reserve() {
    auto count = static_cast<std::size_t>(std::ceil(
        m_limits.urgent_headroom * static_cast<double>(m_usable.size())));
    std::vector<endpoint_state*> reserve(count);
    std::partial_sort_copy(m_usable.begin(), m_usable.end(), reserve.begin(),
                           reserve.end(), [](const auto* a, const auto* b) {
                               bool a_fast = a->speed == speed_class::fast;
                               bool b_fast = b->speed == speed_class::fast;
                               return a_fast != b_fast
                                          ? a_fast
                                          : a->reserve_order < b->reserve_order;
                           });
    for (std::size_t i = 0; i < count; ++i) {
        reserve[i]->reserve_rank = i;
    }
}

bool scheduler::has_spare_room() const {
    return dominant_share(m_usable_used, m_usable_total) < headroom_begins;
}

double scheduler::window_size() const {
    double free = 1.0 - m_limits.urgent_headroom -
                  dominant_share(m_usable_used, m_usable_total);
    double released_soon = m_recently_released *
                           static_cast<double>(window_horizon.count()) /
                           static_cast<double>(release_averaging_time.count());
    return std::max(0.0, free) + released_soon;
}

double scheduler::waiting_share(const step_rank& rank) const {
    const step_execution* step = find_step(rank);
    if (step == nullptr) {
        return 0.0;
    }
    const base::resources& need =
        m_jobs.at(rank.job)
            .execution->job()
            .steps[static_cast<std::size_t>(rank.step)]
            .need;
    return dominant_share(need, m_usable_total) * step->waiting_count;
}

void scheduler::place_ready_steps(base::instant now) {
    begin_pass(now);
    m_statistics.passes++;
    if (m_usable.empty()) {
        return;
    }
    if (has_spare_room()) {
        m_ready.shorten_deferrals(now + max_deferral_beside_room);
    }
    // A blocked step gives its place to others in the same pass.
    std::size_t examined = 0;
    bool any_blocked = true;
    while (any_blocked && examined < max_examined_steps) {
        any_blocked = false;
        auto selected =
            m_ready.select(now, window_size(), [&](const step_rank& rank) {
                return waiting_share(rank);
            });
        for (const step_rank& rank : selected) {
            tracked_job* job = find_job(rank.job);
            step_execution* step =
                job == nullptr
                    ? nullptr
                    : job->execution->find_step(rank.occurrence, rank.step);
            if (step != nullptr && step->examined_in == m_pass) {
                continue;
            }
            examined++;
            placement_outcome outcome = place_step(rank, now);
            if (outcome == placement_outcome::placed) {
                m_ready.erase(rank);
                count_started(rank, now);
            } else if (outcome == placement_outcome::blocked) {
                any_blocked = true;
                defer(rank, *step, now);
            } else if (outcome == placement_outcome::limited) {
                any_blocked = true;
                m_ready.erase(rank);
                limit_step(*job, rank, *step);
            }
        }
    }
    m_statistics.steps_examined += examined;
    for (const step_rank& rank : m_ready.take_newly_overdue()) {
        if (const tracked_job* job = find_job(rank.job)) {
            if (width_statistics* counts = width_counts(rank).first) {
                counts->became_overdue++;
            }
            m_shares.add_missed(job->execution->queue().name,
                                waiting_share(rank), now);
        }
    }
}

std::pair<width_statistics*, const step_execution*>
scheduler::width_counts(const step_rank& rank) {
    const step_execution* step = find_step(rank);
    if (step == nullptr) {
        return {nullptr, nullptr};
    }
    const std::string& queue = find_job(rank.job)->execution->queue().name;
    int width = width_band(static_cast<int>(step->tasks.size()));
    return {&m_statistics.widths[{queue, width}], step};
}

void scheduler::count_started(const step_rank& rank, base::instant now) {
    auto [counts, step] = width_counts(rank);
    if (step != nullptr && step->waiting_count == 0) {
        counts->started++;
        counts->waited += now - step->unlocked_at;
    }
    const tracked_job* job = find_job(rank.job);
    if (job == nullptr || rank.priority == 0 || rank.latest_start <= now) {
        return;
    }
    const workload::step& spec =
        job->execution->job().steps[static_cast<std::size_t>(rank.step)];
    m_shares.add_started(job->execution->queue().name,
                         dominant_share(spec.need, m_usable_total) * spec.count,
                         now);
}

step_rank scheduler::make_rank(const tracked_job& job, int occurrence,
                               int step) const {
    const job_execution& execution = *job.execution;
    const workload::step& spec =
        execution.job().steps[static_cast<std::size_t>(step)];
    base::instant latest_start = execution.latest_start(occurrence, step);
    base::milliseconds lead = m_shares.lead_of(execution.queue().name);
    if (spec.gang) {
        lead += gathering_time(dominant_share(spec.need, m_usable_total) *
                               spec.count);
    }
    // Workspaces compete for room; their overdue work is put off for longer
    // once a late end is of no use to its caller either.
    base::instant useful =
        execution.job().workspace.empty()
            ? base::instant::max()
            : execution.latest_useful_start(occurrence, step);
    // Surplus work doesn't use what is kept for urgent work.
    int priority = execution.queue().priority;
    return {job.is_surplus,
            latest_start - lead,
            latest_start,
            job.is_surplus ? std::max(priority, 1) : priority,
            execution.first_seen_at(),
            execution.job().id,
            occurrence,
            step,
            useful};
}

void scheduler::enqueue(tracked_job& job, int occurrence, int step) {
    step_execution* state = job.execution->find_step(occurrence, step);
    bool begun =
        state->waiting_count < static_cast<int>(state->tasks.size()) ||
        job.execution->job().steps[static_cast<std::size_t>(step)].long_running;
    if (!state->rank) {
        state->rank = make_rank(job, occurrence, step);
    }
    m_ready.insert(*state->rank, begun);
    m_placement_needed = true;
}

void scheduler::defer(const step_rank& rank, step_execution& step,
                      base::instant now) {
    step.deferral =
        std::clamp(step.deferral * 2, initial_deferral, max_deferral);
    m_ready.defer(rank, now + step.deferral);
    step.fruitless_since.reset();
    observe::log_event(
        "step_deferred",
        {{"step", workload::to_string(
                      task_key{rank.job, rank.occurrence, rank.step, 0})},
         {"waiting", std::to_string(step.waiting_count)},
         {"admitted", std::to_string(step.advice.admitted.size())},
         {"rejected", std::to_string(step.advice.rejected.size())},
         {"for_ms", std::to_string(step.deferral.count())}});
}

scheduler::placement_outcome scheduler::place_step(const step_rank& rank,
                                                   base::instant now) {
    tracked_job* job = find_job(rank.job);
    step_execution* step =
        job == nullptr ? nullptr
                       : job->execution->find_step(rank.occurrence, rank.step);
    if (step == nullptr || job->execution->has_ended() ||
        step->waiting_count == 0) {
        return placement_outcome::placed;
    }
    step->examined_at = now;
    step->examined_in = m_pass;
    const workload::step& spec =
        job->execution->job().steps[static_cast<std::size_t>(rank.step)];
    bool report =
        is_wait_report_due(spec, *step, now) && m_wait_reports_left > 0;
    observe::log_fields wait;
    if (report) {
        m_wait_reports_left--;
        wait = describe_wait(*job, rank, *step, now);
    }
    int waiting = step->waiting_count;
    placement_outcome outcome = place_step_tasks(*job, rank, *step, now);
    if (step->waiting_count < waiting) {
        step->beside_room_since.reset();
    } else if (report) {
        step->wait_reported_at = now;
        observe::log_event("step_waits", wait);
    }
    return outcome;
}

scheduler::placement_outcome scheduler::place_step_tasks(tracked_job& job,
                                                         const step_rank& rank,
                                                         step_execution& step,
                                                         base::instant now) {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    if (is_over_limit(job, rank, step)) {
        return placement_outcome::limited;
    }
    // Most waiting steps can only wait for a reply; this is cheap for them.
    bool only_waits = job.execution->queue().advice &&
                      step.advice.calls_in_flight > 0 &&
                      (!spec.gang || step.advice.admitted.empty()) &&
                      !has_ticket(step.advice, now);
    if (only_waits) {
        apply_pending_claims(step);
        return placement_outcome::waiting;
    }
    if (tasks_that_fit(spec.need, m_largest_usable, 1) < 1) {
        return placement_outcome::blocked;
    }
    placement_outcome outcome = spec.gang ? place_gang(job, rank, step, now)
                                          : place_tasks(job, rank, step, now);
    return step.waiting_count == 0 ? placement_outcome::placed : outcome;
}

// While much of the fleet is idle, urgent work finds room elsewhere. A step
// that was deferred again and again may have no other room.
double scheduler::headroom_for(const step_rank& rank,
                               const base::resources& need,
                               const step_execution& step) const {
    if (rank.priority == 0 || step.deferral >= max_deferral) {
        return 0.0;
    }
    double used = dominant_share(m_usable_used, m_usable_total) +
                  dominant_share(need, m_usable_total) * step.waiting_count;
    double busy =
        (used - headroom_begins) / (headroom_complete - headroom_begins);
    return m_limits.urgent_headroom * std::clamp(busy, 0.0, 1.0);
}

const std::vector<expected_release>&
scheduler::releases_of(endpoint_state& endpoint, base::instant now) const {
    if (endpoint.releases_in != m_pass) {
        endpoint.releases = endpoint.expected_releases(now);
        endpoint.releases_in = m_pass;
    }
    return endpoint.releases;
}

endpoint_state& scheduler::endpoint_by_id(std::string_view id) {
    return m_endpoints.find(id)->second;
}

int scheduler::count_runs_of_step(const endpoint_state& endpoint,
                                  const step_rank& rank) const {
    return static_cast<int>(std::count_if(
        endpoint.runs.begin(), endpoint.runs.end(), [&](const auto& row) {
            const task_key& key = row.first.task;
            return key.job == rank.job && key.occurrence == rank.occurrence &&
                   key.step == rank.step;
        }));
}

std::vector<fit_candidate>
scheduler::find_candidates(const tracked_job& job, const step_rank& rank,
                           const step_execution& step, base::instant now,
                           candidate_filter filter) const {
    const workload::queue_policy& queue = job.execution->queue();
    const workload::step& step_spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    double kept_places = headroom_for(rank, step_spec.need, step) *
                         static_cast<double>(m_usable.size());
    std::vector<fit_candidate> result;
    auto consider = [&](const endpoint_state& endpoint) {
        m_statistics.endpoints_weighed++;
        if (endpoint.listing.service != queue.service ||
            endpoint.is_on_trial(now)) {
            return;
        }
        auto place = static_cast<double>(endpoint.reserve_rank);
        base::resources idle = endpoint.listing.capacity;
        if (place < kept_places) {
            double reserved = std::min(kept_places - place, 1.0);
            idle.cpu_milli -= static_cast<std::int64_t>(
                static_cast<double>(idle.cpu_milli) * reserved);
        }
        if (tasks_that_fit(step_spec.need, idle, 1) < 1) {
            return;
        }
        const auto& labels = endpoint.listing.labels;
        if (!step_spec.required_label.empty() &&
            std::find(labels.begin(), labels.end(), step_spec.required_label) ==
                labels.end()) {
            return;
        }
        int max_tasks = step_spec.count;
        if (step_spec.max_per_endpoint > 0) {
            max_tasks =
                step_spec.max_per_endpoint - count_runs_of_step(endpoint, rank);
        }
        if (max_tasks < 1) {
            return;
        }
        base::instant end = now + start_delay + expected_duration(step_spec);
        base::resources headroom_kept = endpoint.listing.capacity - idle;
        base::resources free = endpoint.free_resources() - endpoint.claimed;
        base::resources available =
            endpoint.reservations.available(free, end) - headroom_kept;
        bool near_data = step_spec.data_rack.empty() ||
                         step_spec.data_rack == endpoint.listing.rack;
        // Urgent steps come before those that claim or reserve room, and leave
        // it to them where they can.
        bool unclaimed =
            rank.priority > 0 ||
            tasks_that_fit(step_spec.need,
                           endpoint.reservations_before.available(
                               free - endpoint.claimed_before, end),
                           1) > 0;
        result.push_back(
            {endpoint.listing.id, endpoint.listing.rack, available, max_tasks,
             near_data && unclaimed, idle, endpoint.number,
             speed_preference(endpoint.speed, rank.priority, step_spec.gang)});
    };
    bool needs_ticket = filter == candidate_filter::with_ticket;
    bool known_only = needs_ticket || filter == candidate_filter::admitted;
    if (queue.advice && needs_ticket && step.advice.last_valid_until <= now) {
        return result;
    }
    if (!queue.advice) {
        if (known_only) {
            result.reserve(m_usable.size());
            std::for_each(m_usable.begin(), m_usable.end(),
                          [&](const auto* endpoint) { consider(*endpoint); });
        }
        return result;
    }
    if (known_only) {
        result.reserve(step.advice.admitted.size());
        for (const auto& [number, ticket] : step.advice.admitted) {
            const endpoint_state* endpoint = m_endpoints_by_number[number];
            if ((!needs_ticket || ticket.valid_until > now) &&
                endpoint != nullptr && endpoint->usable_in == m_pass) {
                consider(*endpoint);
            }
        }
        return result;
    }
    result.reserve(m_usable.size());
    for (const endpoint_state* endpoint : m_usable) {
        // Looked up first, as more endpoints reject a step than admit it.
        if (step.advice.rejected.contains(endpoint->number)) {
            continue;
        }
        auto ticket = step.advice.admitted.find(endpoint->number);
        bool admitted = ticket != step.advice.admitted.end();
        bool excluded = filter == candidate_filter::unknown
                            ? admitted
                            : admitted && ticket->second.valid_until > now;
        if (!excluded) {
            consider(*endpoint);
        }
    }
    return result;
}

scheduler::placement_outcome scheduler::place_tasks(tracked_job& job,
                                                    const step_rank& rank,
                                                    step_execution& step,
                                                    base::instant now) {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    std::vector<int> waiting;
    std::vector<int> suspects;
    for (int i = 0; i < spec.count; ++i) {
        const task_execution& task = step.tasks[static_cast<std::size_t>(i)];
        if (task.phase == task_phase::waiting && task.live_runs == 0 &&
            task.not_before <= now) {
            bool suspect = task.crash_count > 0 &&
                           job.execution->is_suspect(
                               {rank.job, rank.occurrence, rank.step, i});
            (suspect ? suspects : waiting).push_back(i);
        }
    }
    if (waiting.empty() && suspects.empty()) {
        return placement_outcome::waiting;
    }
    auto allowed = static_cast<std::size_t>(m_usage.tasks_allowed(
        job.execution->job().workspace, spec.need,
        static_cast<int>(waiting.size() + suspects.size())));
    waiting.resize(std::min(waiting.size(), allowed));
    suspects.resize(std::min(suspects.size(), allowed - waiting.size()));
    bool placed = place_suspects(job, rank, step, suspects, now);
    auto candidates =
        find_candidates(job, rank, step, now, candidate_filter::with_ticket);
    auto chosen = assign_best_fit(spec.need, static_cast<int>(waiting.size()),
                                  candidates);
    for (std::size_t k = 0; k < chosen.size(); ++k) {
        task_key key{rank.job, rank.occurrence, rank.step, waiting[k]};
        task_execution* task = job.execution->find_task(key);
        place_task(job, key, job.execution->next_run_number(*task),
                   task->checkpoint,
                   endpoint_by_id(candidates[chosen[k]].endpoint), now);
        placed = true;
    }
    if (placed) {
        step.deferral = base::milliseconds(0);
        step.fruitless_since.reset();
        enqueue(job, rank.occurrence, rank.step);
    }
    int missing = static_cast<int>(waiting.size() - chosen.size());
    if (m_trials < max_trials()) {
        missing += static_cast<int>(suspects.size());
    }
    if (missing == 0) {
        return placement_outcome::waiting;
    }
    if (!job.execution->queue().advice) {
        return candidates.empty() ? placement_outcome::blocked
                                  : placement_outcome::waiting;
    }
    if (step.advice.calls_in_flight > 0) {
        apply_pending_claims(step);
        return placement_outcome::waiting;
    }
    bool asked = step.advice.next_call_at <= now &&
                 tasks_that_fit(spec.need, m_largest_free, 1) > 0 &&
                 may_call(rank, now) &&
                 request_new_candidates(job, rank, step, missing, {}, now);
    if (asked || placed) {
        return placement_outcome::waiting;
    }
    if (!step.fruitless_since) {
        step.fruitless_since = now;
    }
    return now - *step.fruitless_since < fruitless_limit
               ? placement_outcome::waiting
               : placement_outcome::blocked;
}

std::size_t scheduler::max_trials() const {
    return static_cast<std::size_t>(
        std::max(1.0, max_trial_share * static_cast<double>(m_usable.size())));
}

bool scheduler::place_suspects(tracked_job& job, const step_rank& rank,
                               step_execution& step, std::vector<int>& suspects,
                               base::instant now) {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    bool placed = false;
    while (!suspects.empty() && m_trials < max_trials()) {
        auto candidates = find_candidates(job, rank, step, now,
                                          candidate_filter::with_ticket);
        std::erase_if(candidates, [&](const fit_candidate& it) {
            return tasks_that_fit(spec.need, it.available, 1) < 1;
        });
        if (candidates.empty()) {
            return placed;
        }
        auto least = std::min_element(
            candidates.begin(), candidates.end(),
            [&](const fit_candidate& a, const fit_candidate& b) {
                return m_endpoints_by_number[a.number]->runs.size() <
                       m_endpoints_by_number[b.number]->runs.size();
            });
        endpoint_state& endpoint = *m_endpoints_by_number[least->number];
        task_key key{rank.job, rank.occurrence, rank.step, suspects.back()};
        suspects.pop_back();
        task_execution* task = job.execution->find_task(key);
        int run = job.execution->next_run_number(*task);
        place_task(job, key, run, task->checkpoint, endpoint, now);
        begin_trial(job, {key, run}, endpoint, now);
        placed = true;
    }
    return placed;
}

void scheduler::begin_trial(const tracked_job& job, const run_key& run,
                            endpoint_state& endpoint, base::instant now) {
    m_trials += endpoint.is_on_trial(now) ? 0 : 1;
    endpoint.trial = run;
    endpoint.trial_until =
        now + job.execution->suspect_age(run.task) + trial_margin;
}

scheduler::placement_outcome scheduler::place_gang(tracked_job& job,
                                                   const step_rank& rank,
                                                   step_execution& step,
                                                   base::instant now) {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(rank.step)];
    int unfinished = spec.count - step.done_count;
    if (step.waiting_count < unfinished) {
        // Members of an earlier run are still active and must be stopped first.
        task_key member{rank.job, rank.occurrence, rank.step, 0};
        std::set<int> runs;
        for (const task_execution& task : step.tasks) {
            if (task.phase == task_phase::active) {
                runs.insert(task.active_run);
            }
        }
        for (int earlier_run : runs) {
            stop_gang(member, earlier_run, now);
        }
        return placement_outcome::waiting;
    }
    int run = 0;
    std::string checkpoint;
    for (const task_execution& task : step.tasks) {
        if (task.not_before > now || task.live_runs > 0) {
            return placement_outcome::waiting;
        }
        run = std::max(run, job.execution->next_run_number(task));
        // A checkpoint's text increases with the work that it covers.
        if (task.checkpoint > checkpoint) {
            checkpoint = task.checkpoint;
        }
    }
    auto candidates =
        find_candidates(job, rank, step, now, candidate_filter::with_ticket);
    std::set<int> suspects;
    for (int i = 0; i < spec.count; ++i) {
        bool suspect =
            step.tasks[static_cast<std::size_t>(i)].crash_count > 0 &&
            job.execution->is_suspect(
                {rank.job, rank.occurrence, rank.step, i});
        if (suspect) {
            suspects.insert(i);
        }
    }
    std::vector<std::size_t> chosen;
    if (!suspects.empty()) {
        auto idle = candidates;
        std::erase_if(idle, [&](const fit_candidate& it) {
            return !m_endpoints_by_number[it.number]->runs.empty();
        });
        chosen = assign_gang(spec.need, unfinished, idle, spec.same_rack);
        if (!chosen.empty()) {
            candidates = std::move(idle);
        }
    }
    if (chosen.empty()) {
        chosen = assign_gang(spec.need, unfinished, candidates, spec.same_rack);
    }
    if (chosen.empty() && keeps_gathering(step, now)) {
        reserve_room(step.room, now);
        return placement_outcome::waiting;
    }
    if (chosen.empty()) {
        return gather_room(job, rank, step, unfinished, now);
    }
    // The room came free in time after all.
    step.room = {};
    step.advice.renewals = 0;
    step.advice.next_renewal_at = {};
    std::size_t k = 0;
    for (int i = 0; i < spec.count; ++i) {
        if (step.tasks[static_cast<std::size_t>(i)].phase == task_phase::done) {
            continue;
        }
        task_key key{rank.job, rank.occurrence, rank.step, i};
        endpoint_state& endpoint =
            endpoint_by_id(candidates[chosen[k++]].endpoint);
        place_task(job, key, run, checkpoint, endpoint, now);
        if (suspects.contains(i)) {
            begin_trial(job, {key, run}, endpoint, now);
        }
    }
    return placement_outcome::placed;
}

void scheduler::place_task(tracked_job& job, const task_key& key, int run,
                           const std::string& checkpoint,
                           endpoint_state& endpoint, base::instant now) {
    const workload::step& spec =
        job.execution->job().steps[static_cast<std::size_t>(key.step)];
    step_execution* step = job.execution->find_step(key.occurrence, key.step);
    queue_statistics& counts = m_statistics.queues[job.execution->queue().name];
    counts.tasks_placed++;
    allocation allocated;
    allocated.number = run;
    allocated.need = spec.need;
    allocated.phase = allocation_phase::recording;
    allocated.started_at = now;
    allocated.is_timed = checkpoint.empty();
    allocated.percent_changed_at = now;
    allocated.progress_since = now;
    allocated.expected_end =
        now + scaled(expected_duration(spec), endpoint.speed_factor);
    allocated.checkpoint = checkpoint;
    auto ticket = step->advice.admitted.find(endpoint.number);
    if (ticket != step->advice.admitted.end()) {
        allocated.ticket = ticket->second.text;
        allocated.ticket_valid_until = ticket->second.valid_until;
        counts.tickets_used += ticket->second.used ? 0 : 1;
        ticket->second.used = true;
    }
    allocated.workspace = job.execution->job().workspace;
    endpoint.reservations.take(spec.need, allocated.expected_end + start_delay);
    m_usable_used += spec.need;
    add_run(endpoint, {key, run}, allocated);
    endpoint.releases_in = 0;
    adjust_live_runs(key, 1);
    observe::log_event(
        "task_placed",
        {{"task", workload::to_string(key)},
         {"run", std::to_string(run)},
         {"endpoint", endpoint.listing.id},
         {"token", std::to_string(m_term.token)},
         {"waited_ms", std::to_string((now - step->unlocked_at).count())},
         {"free_cpu", std::to_string(endpoint.free_resources().cpu_milli)},
         {"seen_ms_ago", describe_age(endpoint.last_reply_at, now)}});
    job.execution->mark_active(
        key, {run, endpoint.listing.id, endpoint.listing.address});
    schedule_record(job, now);
    job.unsent_starts.push_back(
        {endpoint.listing.id, {key, run}, job.execution->version(), now});
    m_jobs_with_unsent_starts.insert(key.job);
}

void scheduler::send_start(endpoint_state& endpoint, const run_key& key,
                           tracked_job& job, base::instant now) {
    allocation& run = endpoint.runs.at(key);
    if (run.phase != allocation_phase::recording) {
        return;
    }
    const workload::queue_policy& queue = job.execution->queue();
    // The queue's policy may have changed since the placement.
    bool may_run_there = endpoint.listing.service == queue.service;
    bool ticket_expired =
        queue.advice.has_value() && run.ticket_valid_until < now;
    // The endpoint may have shrunk since the placement.
    bool has_room = base::fits(endpoint.used, endpoint.listing.capacity);
    if (job.execution->has_ended() || !may_run_there || ticket_expired ||
        !has_room || !is_within_limit(job, key) || !is_usable(endpoint, now)) {
        abandon_run(endpoint, key, now);
        return;
    }
    if (endpoint.trial == key) {
        endpoint.trial_until += now - run.started_at;
    }
    run.phase = allocation_phase::starting;
    run.started_at = now;
    run.percent_changed_at = now;
    endpoint.order_sequence++;
    start_order order;
    order.task = key.task;
    order.run = key.run;
    order.payload = job.execution->job().payload;
    order.start_before = endpoint.estimate_clock(now) + start_timeout;
    run.start_expires = endpoint.passed_by(order.start_before);
    endpoint.lease_deadline =
        std::max(endpoint.lease_deadline, order.start_before);
    order.checkpoint = run.checkpoint;
    order.ticket = run.ticket;
    m_effects.start(endpoint.listing, token_for(endpoint), order);
}

} // namespace eelgrasslever::cluster
