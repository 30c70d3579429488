#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// How long one hold waits for an end. Source: the endpoints' protocol allows
/// 2 s; a quarter of it bounds how long a lost reply hides an end.
constexpr base::milliseconds hold_wait{500};
/// Pause between looks at an endpoint that has ends not yet recorded or orders
/// not yet settled.
constexpr base::milliseconds busy_look_pause{150};
/// Pause after a hold that did not get through.
constexpr base::milliseconds failed_look_pause{200};
constexpr base::milliseconds stop_retry_pause{300};
/// Pause before an unhealthy endpoint is given work again.
constexpr base::milliseconds overloaded_pause{2000};
/// A run whose progress stands still for this long is run elsewhere. Source:
/// one percent of the longest work at the deployments (16 s) on an endpoint
/// that is eight times slower takes 1.3 s; twice that bears a look that fails.
constexpr base::milliseconds stall_limit{2500};

/// Longest time from the last reply of an endpoint that leaves to the removal
/// of its entry. Source: two of the three heartbeats whose absence removes the
/// entry of one that is cut off, less a margin.
constexpr base::milliseconds departure_silence{2000};

bool settled_badly(order_status status) {
    return status != order_status::done &&
           status != order_status::unreachable &&
           status != order_status::refused_connection;
}

/// Whether a start or a stop there has no settled outcome yet.
bool has_unsettled_orders(const endpoint_run& at) {
    return std::any_of(at.runs.begin(), at.runs.end(), [](const auto& row) {
        return row.second.phase == allocation_phase::uncertain ||
               row.second.phase == allocation_phase::stopping;
    });
}

} // namespace

void scheduler::on_listed(const endpoint_listing& listing, base::instant now) {
    auto [it, fresh] = m_endpoints.try_emplace(listing.id);
    endpoint_run& at = it->second;
    bool drains = listing.draining && !at.listing.draining;
    if (fresh || drains || !at.listed) {
        observe::log_event("endpoint_listed",
                           {{"endpoint", listing.id},
                            {"address", listing.address},
                            {"draining", listing.draining ? "1" : "0"}});
        m_place_needed = true;
    }
    at.listing = listing;
    at.listed = true;
    if (fresh) {
        at.next_hold = now;
        at.last_reply = now;
        at.clock_read_at = now;
    }
}

void scheduler::on_unlisted(const std::string& id, base::instant now) {
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    endpoint_run& at = found->second;
    at.listed = false;
    at.unlisted_at = now;
    observe::log_event(
        "endpoint_unlisted",
        {{"endpoint", id}, {"runs", std::to_string(at.runs.size())}});
    at.next_hold = now;
}

bool scheduler::usable(const endpoint_run& at, base::instant now) const {
    return at.listed && at.inventoried && !at.gone && !at.listing.draining &&
           at.failed_holds == 0 && at.avoid_until <= now &&
           !m_health.suspected(at.listing.id, now);
}

void scheduler::hold_if_due(endpoint_run& at, base::instant now) {
    if (at.gone || at.hold_in_flight || at.next_hold > now ||
        at.listing.address.empty()) {
        return;
    }
    renew_order order;
    order.completions_recorded = at.completions_recorded;
    // A renewal to an endpoint that is silent could be carried out late, and
    // its tasks would be waited for longer.
    if (at.clock_known && at.failed_holds == 0) {
        order.lease_until = at.clock_at(now) + m_limits.max_lease;
        at.lease_end = std::max(at.lease_end, *order.lease_until);
    }
    bool look = !at.clock_known || at.failed_holds > 0 ||
                has_unsettled_orders(at) || !at.unrecorded.empty() ||
                !at.inventoried;
    order.wait = look ? base::milliseconds(0) : hold_wait;
    at.hold_in_flight = true;
    at.hold_order_number = ++at.order_count;
    at.hold_sent_at = now;
    m_effects.renew(at.listing, m_mandate.token, order, at.failed_holds > 0);
}

void scheduler::on_renewed(const std::string& id, const renew_reply& reply,
                           base::instant now) {
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    endpoint_run& at = found->second;
    at.hold_in_flight = false;
    if (reply.status == order_status::fenced) {
        m_effects.on_fenced(id);
        return;
    }
    if (reply.status == order_status::other_incarnation) {
        observe::log_event("endpoint_gone",
                           {{"endpoint", id}, {"why", "other incarnation"}});
        at.gone = true;
        drop_all_runs(at, "its incarnation has ended", now);
        return;
    }
    if (reply.status != order_status::done) {
        if (at.failed_holds++ == 0) {
            observe::log_event("endpoint_silent",
                               {{"endpoint", id},
                                {"why", to_string(reply.status)},
                                {"runs", std::to_string(at.runs.size())}});
        }
        at.next_hold = now + failed_look_pause;
        return;
    }
    if (at.failed_holds > 0 || !at.inventoried) {
        observe::log_event(at.inventoried ? "endpoint_back"
                                          : "endpoint_inventoried",
                           {{"endpoint", id},
                            {"running", std::to_string(reply.running.size())},
                            {"ended", std::to_string(reply.finished.size())}});
        m_place_needed = true;
    }
    at.failed_holds = 0;
    at.last_reply = now;
    if (reply.clock) {
        at.clock_known = true;
        at.clock_reading = *reply.clock;
        at.clock_read_at = now;
    }
    for (const finished_task& end : reply.finished) {
        take_end(at, end, now);
    }
    std::set<run_key> running;
    for (const running_task& row : reply.running) {
        running.insert({row.task, row.run});
        take_running(at, row, now);
    }
    resolve_missing(at, running, now);
    at.inventoried = true;
    release_recorded_ends(at, now);
    at.next_hold = !at.unrecorded.empty() || has_unsettled_orders(at)
                       ? now + busy_look_pause
                       : now;
}

void scheduler::release_run(endpoint_run& at, const run_key& key) {
    auto found = at.runs.find(key);
    if (found == at.runs.end()) {
        return;
    }
    at.used -= found->second.need;
    at.runs.erase(found);
    count_live(key.task, -1);
    m_place_needed = true;
}

void scheduler::count_live(const task_key& key, int change) {
    job_state* job = find_job(key.job);
    task_run* task = job == nullptr ? nullptr : job->run->find_task(key);
    if (task != nullptr) {
        task->live_runs += change;
    }
}

void scheduler::take_end(endpoint_run& at, const finished_task& end,
                         base::instant now) {
    if (end.number <= at.ends_seen) {
        return;
    }
    at.ends_seen = end.number;
    auto found = at.runs.find({end.task, end.run});
    base::milliseconds ran{0};
    if (found != at.runs.end()) {
        ran = now - found->second.started_at;
        release_run(at, {end.task, end.run});
    }
    observe::log_event("task_ended", {{"task", workload::to_string(end.task)},
                                      {"run", std::to_string(end.run)},
                                      {"endpoint", at.listing.id},
                                      {"how", to_string(end.outcome)},
                                      {"ran_ms", std::to_string(ran.count())}});
    unrecorded_completion row{end.number, end.task.job, 0};
    job_state* job = find_job(end.task.job);
    if (job != nullptr && !job->run->ended() &&
        job->run->find_task(end.task) != nullptr) {
        apply_end(at, end, *job, now);
        // The end may have ended the job, which is kept until stored.
        row.version = job->run->version();
    } else if (job != nullptr) {
        row.version = job->run->version();
    }
    at.unrecorded.push_back(std::move(row));
    m_unrecorded.insert(at.listing.id);
}

void scheduler::release_recorded_ends(endpoint_run& at, base::instant now) {
    bool released = false;
    while (!at.unrecorded.empty()) {
        const unrecorded_completion& next = at.unrecorded.front();
        job_state* job = find_job(next.job);
        if (job != nullptr && job->recorded < next.version) {
            break;
        }
        at.completions_recorded = next.number;
        at.unrecorded.pop_front();
        released = true;
    }
    if (at.unrecorded.empty()) {
        m_unrecorded.erase(at.listing.id);
    }
    if (released && at.unrecorded.empty()) {
        at.next_hold = std::min(at.next_hold, now);
    }
}

void scheduler::take_running(endpoint_run& at, const running_task& row,
                             base::instant now) {
    auto found = at.runs.find({row.task, row.run});
    if (found == at.runs.end()) {
        adopt(at, row, now);
        return;
    }
    allocation& run = found->second;
    if (run.phase == allocation_phase::starting ||
        run.phase == allocation_phase::inherited ||
        run.phase == allocation_phase::uncertain) {
        run.phase = allocation_phase::running;
        run.confirmed_by = at.order_count;
        note_begun(row.task.job, now);
    }
    if (!row.checkpoint.empty()) {
        run.checkpoint = row.checkpoint;
    }
    if (row.percent != run.percent) {
        run.percent = row.percent;
        run.percent_changed_at = now;
        return;
    }
    job_state* job = find_job(row.task.job);
    bool stalls = job != nullptr && run.phase == allocation_phase::running &&
                  row.percent < 100 &&
                  now - run.percent_changed_at > stall_limit &&
                  !job->run->job()
                       .steps[static_cast<std::size_t>(row.task.step)]
                       .long_running;
    if (stalls) {
        observe::log_event("task_stalled",
                           {{"task", workload::to_string(row.task)},
                            {"run", std::to_string(row.run)},
                            {"endpoint", at.listing.id},
                            {"percent", std::to_string(row.percent)}});
        m_health.on_stalled(at.listing.id, now);
        stop_run(at, {row.task, row.run}, now);
    }
}

// A run that an earlier leader started, or that was taken for lost.
void scheduler::adopt(endpoint_run& at, const running_task& row,
                      base::instant now) {
    allocation run;
    run.run = row.run;
    run.phase = allocation_phase::running;
    run.confirmed_by = at.order_count;
    run.started_at = now;
    run.percent = row.percent;
    run.percent_changed_at = now;
    run.checkpoint = row.checkpoint;
    job_state* job = find_job(row.task.job);
    task_run* task = job == nullptr ? nullptr : job->run->find_task(row.task);
    // What an unknown run needs can't be known: it takes the whole endpoint.
    run.need = task == nullptr
                   ? at.listing.capacity
                   : job->run->job()
                         .steps[static_cast<std::size_t>(row.task.step)]
                         .need;
    at.used += run.need;
    run_key key{row.task, row.run};
    at.runs[key] = run;
    count_live(row.task, 1);
    bool wanted = task != nullptr && !job->run->ended() &&
                  task->phase == task_phase::waiting &&
                  row.run >= task->last_run;
    observe::log_event(wanted ? "run_adopted" : "run_unwanted",
                       {{"task", workload::to_string(row.task)},
                        {"run", std::to_string(row.run)},
                        {"endpoint", at.listing.id}});
    if (task != nullptr) {
        task->last_run = std::max(task->last_run, row.run);
    }
    if (!wanted) {
        stop_run(at, key, now);
        return;
    }
    job->run->mark_active(row.task, row.run, at.listing.id);
    job->run->mark_started();
    touch(*job, now);
}

void scheduler::resolve_missing(endpoint_run& at,
                                const std::set<run_key>& running,
                                base::instant now) {
    std::vector<run_key> missing;
    for (const auto& [key, run] : at.runs) {
        if (running.contains(key)) {
            continue;
        }
        bool seen_after = false;
        switch (run.phase) {
        case allocation_phase::recording:
        case allocation_phase::starting:
            break;
        case allocation_phase::inherited:
        case allocation_phase::running:
            seen_after = run.confirmed_by < at.hold_order_number;
            break;
        case allocation_phase::uncertain:
        case allocation_phase::stopping:
            seen_after =
                (run.stop_confirmed_by != 0 &&
                 run.stop_confirmed_by < at.hold_order_number) ||
                (run.confirmed_by != 0 && run.void_after < at.hold_sent_at);
            break;
        }
        if (seen_after) {
            missing.push_back(key);
        }
    }
    for (const run_key& key : missing) {
        observe::log_event("run_missing",
                           {{"task", workload::to_string(key.task)},
                            {"run", std::to_string(key.run)},
                            {"endpoint", at.listing.id}});
        std::string checkpoint = at.runs[key].checkpoint;
        release_run(at, key);
        requeue(key.task, key.run, checkpoint, now);
    }
}

void scheduler::check_lease(endpoint_run& at, base::instant now) {
    if (at.gone) {
        return;
    }
    bool over = false;
    if (!at.inventoried) {
        // A leader that lost the store orders for `authority` at most, and
        // what it renewed last runs on for one lease of a slow clock.
        auto bound =
            m_limits.authority_timeout + m_limits.max_lease * 103 / 100;
        over = now - m_mandate.since > bound && now - at.last_reply > bound;
    } else if (at.failed_holds > 0) {
        over = at.lease_over_at() < now;
    }
    // One that drained and went off the list as it fell silent has left. One
    // that is only cut off goes off the list seconds later, for its silence.
    bool left = at.failed_holds > 0 && !at.listed && at.listing.draining &&
                at.unlisted_at - at.last_reply < departure_silence;
    if (!over && !left) {
        return;
    }
    if (!at.runs.empty()) {
        drop_all_runs(at, left ? "it has left" : "its lease has run out", now);
    }
    at.inventoried = false;
    if (!at.listed) {
        at.gone = true;
        m_health.forget(at.listing.id);
    }
}

void scheduler::drop_all_runs(endpoint_run& at, const char* why,
                              base::instant now) {
    observe::log_event("runs_lost", {{"endpoint", at.listing.id},
                                     {"runs", std::to_string(at.runs.size())},
                                     {"why", why}});
    auto lost = std::move(at.runs);
    at.runs.clear();
    at.used = {};
    for (const auto& [key, run] : lost) {
        count_live(key.task, -1);
        requeue(key.task, key.run, run.checkpoint, now);
    }
    m_place_needed = true;
}

void scheduler::stop_run(endpoint_run& at, const run_key& key,
                         base::instant now) {
    allocation& run = at.runs.at(key);
    if (run.phase == allocation_phase::stopping) {
        return;
    }
    if (run.phase == allocation_phase::recording) {
        abandon(at, key, now);
        return;
    }
    run.phase = allocation_phase::stopping;
    send_stop(at, key, run, now);
}

// Gives a run up that was never ordered.
void scheduler::abandon(endpoint_run& at, const run_key& key,
                        base::instant now) {
    std::string checkpoint = at.runs.at(key).checkpoint;
    release_run(at, key);
    requeue(key.task, key.run, checkpoint, now);
}

void scheduler::send_stop(endpoint_run& at, const run_key& key, allocation& run,
                          base::instant now) {
    if (run.stop_in_flight || !m_may_order) {
        return;
    }
    run.stop_in_flight = true;
    run.stop_again_at = now + stop_retry_pause;
    at.order_count++;
    at.next_hold = std::min(at.next_hold, now + busy_look_pause);
    m_effects.stop(at.listing, m_mandate.token, {key.task, key.run});
}

void scheduler::retry_stops(endpoint_run& at, base::instant now) {
    if (at.gone) {
        return;
    }
    for (auto& [key, run] : at.runs) {
        bool wanted = run.phase == allocation_phase::stopping ||
                      run.phase == allocation_phase::uncertain;
        if (wanted && run.stop_confirmed_by == 0 && run.stop_again_at <= now) {
            send_stop(at, key, run, now);
        }
    }
}

std::optional<scheduler::ordered_run>
scheduler::find_ordered(const std::string& id, const run_key& key,
                        order_status outcome) {
    auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
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
    auto ordered = find_ordered(id, {order.task, order.run}, reply.status);
    if (!ordered) {
        return;
    }
    auto& [at, run] = *ordered;
    run.stop_in_flight = false;
    if (reply.status == order_status::done) {
        run.stop_confirmed_by = ++at.order_count;
        at.next_hold = std::min(at.next_hold, now);
        return;
    }
    run.stop_again_at = now + stop_retry_pause;
}

void scheduler::on_started(const std::string& id, const start_order& order,
                           const order_reply& reply, base::instant now) {
    run_key key{order.task, order.run};
    auto ordered = find_ordered(id, key, reply.status);
    if (!ordered) {
        return;
    }
    auto& [at, run] = *ordered;
    if (reply.status == order_status::done) {
        if (run.phase == allocation_phase::starting) {
            run.phase = allocation_phase::running;
            run.percent_changed_at = now;
        }
        run.confirmed_by = ++at.order_count;
        note_begun(order.task.job, now);
        return;
    }
    observe::log_event(
        "start_not_done",
        {{"task", workload::to_string(order.task)},
         {"run", std::to_string(order.run)},
         {"endpoint", id},
         {"token", std::to_string(m_mandate.token)},
         {"why", to_string(reply.status)},
         {"placed_ms_ago", std::to_string((now - run.started_at).count())},
         {"seen_ms_ago", std::to_string((now - at.last_reply).count())}});
    if (!settled_badly(reply.status)) {
        if (run.phase == allocation_phase::starting) {
            run.phase = allocation_phase::uncertain;
            run.confirmed_by = ++at.order_count;
            // One look first: the order may have been carried out.
            run.stop_again_at = now + stop_retry_pause;
            at.next_hold = std::min(at.next_hold, now);
        }
        return;
    }
    job_state* job = find_job(order.task.job);
    step_run* step = job == nullptr ? nullptr
                                    : job->run->find_step(order.task.occurrence,
                                                          order.task.step);
    if (reply.status == order_status::ticket_refused && step != nullptr) {
        auto admitted = step->advice.admitted.find(id);
        if (admitted != step->advice.admitted.end()) {
            admitted->second.valid_until = now;
        }
    }
    if (reply.status == order_status::overloaded) {
        at.avoid_until = now + overloaded_pause;
    } else if (reply.status != order_status::ticket_refused) {
        at.avoid_until = now + failed_look_pause;
    }
    release_run(at, key);
    requeue(order.task, order.run, "", now);
    if (reply.status == order_status::other_incarnation) {
        at.gone = true;
        drop_all_runs(at, "its incarnation has ended", now);
    }
}

} // namespace eelgrasslever::cluster
