#include "eelgrasslever/node/task_runner.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/node/locator.hpp"
#include "eelgrasslever/node/request_handler.hpp"

#include <algorithm>

namespace eelgrasslever::node {

using dispatch::event_kind;
using endpoint::task_state;

namespace {

constexpr std::size_t max_items_per_pass = 64;
// Work that needs large capacity and has waited this long blocks the work
// queued behind it.
constexpr base::milliseconds max_bypass_time{2000};
constexpr base::milliseconds owner_check_period{1000};
constexpr base::milliseconds peak_window{2000};

bool needs_large_capacity(const admission::work_item& work) {
    return work.count > 1 || work.need.slots > 1 || work.need.accelerators > 0;
}

} // namespace

std::vector<std::string> task_ids_of(const admission::request& request) {
    if (request.tasks == 1) {
        return {request.id};
    }
    std::vector<std::string> ids;
    for (int i = 0; i < request.tasks; ++i) {
        ids.push_back(request.id + "/" + std::to_string(i));
    }
    return ids;
}

std::string request_id_of(const std::string& task_id) {
    return task_id.substr(0, task_id.rfind('/'));
}

bool task_runner::leaves_headroom(const admission::work_item& work) const {
    bool is_trial = work.rank >= admission::trial_rank_offset;
    if (!is_trial || m_urgent_paying_peaks.empty()) {
        return true;
    }
    std::int64_t reserved_slots = std::max<std::int64_t>(
        0, m_urgent_paying_peaks.front().slots - m_urgent_paying_slots);
    auto totals = m_context.endpoint_pool.totals();
    std::int64_t free_slots = totals.capacity.slots - totals.committed.slots;
    return free_slots - work.need.slots * work.count >= reserved_slots;
}

// Keeps only the samples that can still become the maximum of the window.
void task_runner::track_urgent_paying_slots(std::int64_t slots) {
    m_urgent_paying_slots += slots;
    while (!m_urgent_paying_peaks.empty() &&
           m_urgent_paying_peaks.back().slots <= m_urgent_paying_slots) {
        m_urgent_paying_peaks.pop_back();
    }
    m_urgent_paying_peaks.push_back({m_context.now, m_urgent_paying_slots});
}

bool task_runner::blocks_queue(const admission::work_item& blocked) const {
    return needs_large_capacity(blocked) &&
           m_context.now - blocked.queued_at > max_bypass_time;
}

void task_runner::drop_old_peaks() {
    while (!m_urgent_paying_peaks.empty() &&
           m_context.now - m_urgent_paying_peaks.front().time > peak_window) {
        m_urgent_paying_peaks.pop_front();
    }
}

void task_runner::place_queued_work() {
    drop_old_peaks();
    std::vector<unplaceable_shape> unplaceable;
    auto is_known_unplaceable =
        [&unplaceable](const admission::work_item& work) {
            return std::any_of(unplaceable.begin(), unplaceable.end(),
                               [&work](const unplaceable_shape& shape) {
                                   return base::fits(shape.need, work.need) &&
                                          shape.count <= work.count &&
                                          work.level <= shape.level;
                               });
        };
    std::vector<request_entry_ptr> entries_to_locate;
    m_context.queue.visit_ready(
        max_items_per_pass, [&](const admission::work_item& work) {
            request_entry_ptr entry = m_context.requests.find(work.request_id);
            entry->charged_slots = work.need.slots * work.count;
            if (entry->needs_locate) {
                entries_to_locate.push_back(entry);
                return admission::visit_result::take;
            }
            if (!is_known_unplaceable(work) && leaves_headroom(work)) {
                auto plan = m_context.endpoint_pool.plan_placement(work);
                if (plan) {
                    place(entry, work, *plan);
                    return admission::visit_result::take;
                }
                unplaceable.push_back({work.need, work.count, work.level});
            }
            if (try_forward(entry, work)) {
                return admission::visit_result::take;
            }
            entry->charged_slots = 0;
            return blocks_queue(work) ? admission::visit_result::stop
                                      : admission::visit_result::next;
        });
    // The queue charged the team for every item taken. Items that were not
    // placed here return their charge.
    for (const request_entry_ptr& entry : entries_to_locate) {
        m_context.queue.release_slots(entry->request.team,
                                      entry->charged_slots);
        entry->charged_slots = 0;
        m_context.locator->start_round(entry);
    }
    for (const request_entry_ptr& entry : m_forwarded) {
        m_context.queue.release_slots(entry->request.team,
                                      entry->charged_slots);
        entry->charged_slots = 0;
    }
    m_forwarded.clear();
}

void task_runner::place(const request_entry_ptr& entry,
                        const admission::work_item& work,
                        const std::vector<placement::assignment>& plan) {
    const admission::request& request = entry->request;
    const bundle::team_rule& team =
        *m_context.active_bundle->find_team(request.team);
    const admission::policy& kind = *admission::find_policy(request.kind);
    std::vector<dispatch::local_task> tasks;
    for (const std::string& id : task_ids_of(request)) {
        dispatch::local_task task;
        task.spec.id = id;
        task.spec.need = request.need;
        task.spec.declared_run = kind.is_long_running() ? base::milliseconds(0)
                                                        : request.declared_run;
        task.spec.payload = request.payload;
        task.spec.kind = request.kind;
        task.spec.tier = bundle::to_string(team.service_tier);
        task.spec.repeatable = request.repeatable;
        task.spec.traceparent = request.traceparent;
        task.expected_run = work.expected_run;
        task.reclaimed_as = request.repeatable
                                ? kind.reclaimed_as(team.service_tier)
                                : admission::reclaim_level::none;
        entry->open_tasks[id] = plan[tasks.size()].endpoint;
        tasks.push_back(std::move(task));
    }
    entry->stage = request_stage::placed;
    entry->placed_at = m_context.now;
    entry->tally = {};
    if (work.rank == 0) {
        entry->urgent_paying_slots = work.need.slots * work.count;
        track_urgent_paying_slots(entry->urgent_paying_slots);
    }
    m_context.effects.observe_queue_wait(work.rank,
                                         m_context.now - entry->received_at);
    record_stage_span(entry, "queue");
    m_context.endpoint_pool.commit_placement(request.id, std::move(tasks),
                                             plan);
}

bool task_runner::try_forward(const request_entry_ptr& entry,
                              const admission::work_item& work) {
    const admission::policy& kind =
        *admission::find_policy(entry->request.kind);
    if (entry->already_forwarded || kind.is_long_running()) {
        return false;
    }
    const std::int64_t needed_slots = work.need.slots * work.count;
    // Work that can never run here goes to another member even if that member
    // has no free slots now.
    const auto own_totals = m_context.endpoint_pool.totals();
    bool cannot_run_here = own_totals.capacity.slots < needed_slots ||
                           !base::fits(work.need, own_totals.largest);
    const membership::member* best = nullptr;
    auto is_in_own_domain = [this](const membership::member& member) {
        return member.failure_domain ==
               m_context.membership_view.failure_domain();
    };
    for (const membership::member* member :
         m_context.membership_view.possible_owners()) {
        bool is_local = is_in_own_domain(*member);
        bool has_capacity =
            member->free_slots >= needed_slots ||
            (cannot_run_here && member->capacity_slots >= needed_slots);
        bool is_usable =
            m_context.membership_view.is_alive(*member, m_context.now) &&
            !member->draining && has_capacity &&
            (is_local || cannot_run_here || entry->parent_job_id.empty()) &&
            base::fits(work.need, member->largest);
        if (!is_usable) {
            continue;
        }
        bool is_best_local = best != nullptr && is_in_own_domain(*best);
        if (best == nullptr || (is_local && !is_best_local) ||
            (is_local == is_best_local &&
             member->free_slots > best->free_slots)) {
            best = member;
        }
    }
    if (best == nullptr) {
        return false;
    }
    wire::forward message;
    message.request_id = entry->request.id;
    message.request_text = admission::to_json_object(entry->request).dump();
    message.remaining = entry->deadline - m_context.now;
    message.echo = best->last_sequence;
    entry->stage = request_stage::remote;
    entry->owner = best->id;
    entry->forward_pending = true;
    entry->next_check = m_context.now + owner_check_period;
    m_context.request_handler->schedule_check(entry->request.id,
                                              entry->next_check);
    m_context.effects.send_to_peer(best->id, message);
    m_context.membership_view.reduce_free_slots(best->id, needed_slots);
    m_forwarded.push_back(entry);
    return true;
}

void task_runner::stop_tasks(const request_entry_ptr& entry) {
    auto open_tasks = entry->open_tasks;
    for (const auto& [task, endpoint] : open_tasks) {
        m_context.endpoint_pool.stop_task(endpoint, task);
    }
    process_events();
}

void task_runner::process_events() {
    if (m_processing_events) {
        return;
    }
    m_processing_events = true;
    for (auto events = m_context.endpoint_pool.take_events(); !events.empty();
         events = m_context.endpoint_pool.take_events()) {
        for (const dispatch::event& event : events) {
            on_event(event);
        }
    }
    m_processing_events = false;
}

void task_runner::on_event(const dispatch::event& event) {
    if (event.kind == event_kind::gained || event.kind == event_kind::dropped) {
        m_context.effects.log(
            {event.kind == event_kind::gained ? "claim_gained"
                                              : "claim_dropped",
             {{"endpoint", event.endpoint}, {"holder", event.holder}}});
        return;
    }
    request_entry_ptr entry = m_context.requests.find(event.task);
    if (!entry || !entry->open_tasks.contains(event.task)) {
        request_entry_ptr parent =
            m_context.requests.find(request_id_of(event.task));
        if (parent && parent->open_tasks.contains(event.task)) {
            entry = parent;
        }
    }
    if (!entry || !entry->open_tasks.contains(event.task)) {
        on_untracked_task(event);
        return;
    }
    if (entry->open_tasks.at(event.task) != event.endpoint) {
        // The event belongs to another run of the same id: a past one from the
        // endpoint's inventory, or a duplicate one, which must be stopped.
        if (event.kind == event_kind::adopted) {
            m_context.effects.log(
                {"second_run_stopped",
                 {{"id", event.task}, {"endpoint", event.endpoint}}});
            m_context.endpoint_pool.stop_task(event.endpoint, event.task);
        }
        return;
    }
    if (event.kind == event_kind::started) {
        entry->has_started = true;
        entry->ever_sent = true;
        return;
    }
    if (event.kind == event_kind::adopted) {
        return;
    }
    on_task_finished(entry, event);
}

// Handles a task that this VM did not place, reported by an endpoint whose
// claim it took over.
void task_runner::on_untracked_task(const dispatch::event& event) {
    request_entry_ptr entry = m_context.requests.find(event.task);
    if (event.kind == event_kind::adopted) {
        if (!entry) {
            entry = m_context.requests.add(event.task);
            entry->request.repeatable = event.report.repeatable;
            entry->request.kind = event.report.kind;
            entry->received_at = m_context.now;
            entry->deadline = base::instant::max();
        } else if (entry->stage == request_stage::queued) {
            auto work = m_context.queue.remove(event.task);
        }
        if (entry->stage == request_stage::answered) {
            return;
        }
        entry->stage = request_stage::placed;
        entry->has_started = true;
        entry->ever_sent = true;
        entry->open_tasks[event.task] = event.endpoint;
        entry->placed_at = m_context.now;
        m_context.effects.log(
            {"task_adopted",
             {{"id", event.task}, {"endpoint", event.endpoint}}});
        const admission::policy* kind =
            admission::find_policy(event.report.kind);
        if (kind != nullptr && kind->is_gang_scheduled() &&
            !entry->has_request) {
            // Other tasks of the gang may be lost, so the gang is restarted as
            // a whole.
            m_context.endpoint_pool.stop_task(event.endpoint, event.task);
        }
        return;
    }
    if (event.kind != event_kind::ended) {
        return;
    }
    if (event.report.state == task_state::stopped) {
        record_stopped_run(event);
        return;
    }
    bool is_open = entry && entry->stage != request_stage::answered;
    if (is_open && entry->stage != request_stage::queued &&
        entry->stage != request_stage::locating &&
        entry->stage != request_stage::remote) {
        return;
    }
    if (entry && !is_open) {
        return;
    }
    if (!entry) {
        entry = m_context.requests.add(event.task);
        entry->request.repeatable = event.report.repeatable;
        entry->stage = request_stage::placed;
    }
    entry->ever_sent = true;
    auto answer = make_answer(event.report.state == task_state::completed
                                  ? base::outcome::completed
                                  : base::outcome::failed,
                              event.report.reason);
    answer.body = event.report.result;
    answer.ran_at = event.endpoint;
    m_context.request_handler->settle(entry, answer);
}

// A task that another VM started was stopped. The entry records that it ran,
// for later queries of the id.
void task_runner::record_stopped_run(const dispatch::event& event) {
    if (m_context.requests.find(event.task)) {
        return;
    }
    request_entry_ptr entry = m_context.requests.add(event.task);
    entry->request.repeatable = event.report.repeatable;
    entry->stage = request_stage::placed;
    entry->has_started = true;
    entry->ever_sent = true;
    m_context.request_handler->settle(
        entry, make_answer(base::outcome::unknown, event.report.reason));
}

void task_runner::on_task_finished(const request_entry_ptr& entry,
                                   const dispatch::event& event) {
    entry->open_tasks.erase(event.task);
    bool is_gang = entry->request.tasks > 1;
    switch (event.kind) {
    case event_kind::ended:
        entry->has_started = true;
        entry->ever_sent = true;
        entry->ran_at = event.endpoint;
        if (event.report.state == task_state::completed) {
            entry->tally.completed++;
            entry->result_body = event.report.result;
        } else if (event.report.state == task_state::failed) {
            entry->tally.failed++;
            entry->result_body = event.report.result;
            entry->result_reason = event.report.reason;
        } else {
            entry->tally.stopped++;
            entry->result_reason = event.report.reason;
        }
        if (event.report.state != task_state::stopped && entry->has_request) {
            m_context.estimator.observe(
                entry->request.team, entry->request.kind,
                entry->request.declared_run, event.report.run_time);
        }
        break;
    case event_kind::not_started:
        entry->tally.not_started++;
        break;
    case event_kind::lost:
        entry->ever_sent = true;
        entry->tally.lost++;
        break;
    case event_kind::moved:
        entry->ever_sent = true;
        entry->tally.lost++;
        entry->owner = event.holder;
        entry->doubt_until =
            std::max(entry->doubt_until, event.lease_expires_at);
        break;
    default:
        break;
    }
    bool is_completed = event.kind == event_kind::ended &&
                        event.report.state == task_state::completed;
    if (is_gang && !is_completed && !entry->open_tasks.empty()) {
        // A gang can't continue without one of its tasks.
        for (const auto& [sibling, endpoint] : entry->open_tasks) {
            m_context.endpoint_pool.stop_task(endpoint, sibling);
        }
        return;
    }
    if (entry->open_tasks.empty()) {
        finish_run(entry);
    }
}

void task_runner::finish_run(const request_entry_ptr& entry) {
    track_urgent_paying_slots(-entry->urgent_paying_slots);
    entry->urgent_paying_slots = 0;
    if (entry->charged_slots > 0) {
        m_context.queue.release_slots(entry->request.team,
                                      entry->charged_slots);
        entry->charged_slots = 0;
    }
    if (entry->stage == request_stage::answered) {
        return;
    }
    record_stage_span(entry, "run");
    const task_tally& tally = entry->tally;
    if (!entry->has_request && tally.completed + tally.failed == 0) {
        // An adopted task was stopped or lost. The member that has the request
        // decides whether it runs again.
        for (const std::string& member : entry->attached_members) {
            m_context.effects.send_to_peer(
                member,
                wire::request_result{
                    entry->request.id, wire::request_result_kind::stopped,
                    make_answer(base::outcome::unknown, "stopped")});
        }
        m_context.requests.erase(entry->request.id);
        return;
    }
    if (tally.lost + tally.stopped + tally.not_started > 0) {
        retry_run(entry);
        return;
    }
    auto answer = make_answer(tally.failed > 0 ? base::outcome::failed
                                               : base::outcome::completed,
                              entry->result_reason);
    answer.body = entry->result_body;
    answer.ran_at = entry->ran_at;
    m_context.request_handler->settle(entry, answer);
}

void task_runner::retry_run(const request_entry_ptr& entry) {
    const task_tally tally = entry->tally;
    entry->tally = {};
    bool is_unrepeatable = !entry->request.repeatable;
    if (tally.lost > 0) {
        entry->needs_locate = true;
        m_context.locator->start_round(entry);
        return;
    }
    if (is_unrepeatable && tally.stopped > 0) {
        m_context.request_handler->settle(
            entry, make_answer(base::outcome::failed,
                               "it was stopped: " + entry->result_reason));
        return;
    }
    if (tally.stopped > 0 && !entry->cancelled) {
        m_context.request_handler->requeue_after_backoff(entry);
        return;
    }
    m_context.request_handler->enqueue(entry);
}

void task_runner::record_stage_span(const request_entry_ptr& entry,
                                    const std::string& name) {
    if (entry->request.traceparent.empty()) {
        return;
    }
    bool is_queue_span = name == "queue";
    m_context.effects.record_span(
        {entry->request.traceparent, name, entry->request.id,
         is_queue_span ? entry->received_at : entry->placed_at, m_context.now});
}

} // namespace eelgrasslever::node
