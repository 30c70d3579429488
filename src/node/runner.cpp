#include "eelgrasslever/node/runner.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/node/intake.hpp"
#include "eelgrasslever/node/locator.hpp"

#include <algorithm>

namespace eelgrasslever::node {

using dispatch::event_kind;
using endpoint::task_state;

namespace {

constexpr std::size_t items_per_pump = 64;
// Work that waits for a large room this long holds back what is behind it.
constexpr base::milliseconds patience{2000};
constexpr base::milliseconds home_check_period{1000};
constexpr base::milliseconds peak_memory{2000};

bool needs_large_room(const admission::work_item& item) {
    return item.count > 1 || item.need.slots > 1 || item.need.accelerators > 0;
}

} // namespace

std::vector<std::string> task_ids_of(const admission::request& request) {
    if (request.tasks == 1) {
        return {request.id};
    }
    std::vector<std::string> out;
    for (int i = 0; i < request.tasks; ++i) {
        out.push_back(request.id + "/" + std::to_string(i));
    }
    return out;
}

std::string request_id_of(const std::string& task_id) {
    return task_id.substr(0, task_id.rfind('/'));
}

bool runner::leaves_headroom(const admission::work_item& work) const {
    bool trial = work.rank >= admission::trial_rank_offset;
    if (!trial || m_paying_peaks.empty()) {
        return true;
    }
    std::int64_t spare = std::max<std::int64_t>(
        0, m_paying_peaks.front().slots - m_paying_in_use);
    auto totals = m_context.fleet.totals();
    std::int64_t free = totals.capacity.slots - totals.committed.slots;
    return free - work.need.slots * work.count >= spare;
}

// Keeps the samples that may yet be the peak of the window.
void runner::note_paying_use(std::int64_t slots) {
    m_paying_in_use += slots;
    while (!m_paying_peaks.empty() &&
           m_paying_peaks.back().slots <= m_paying_in_use) {
        m_paying_peaks.pop_back();
    }
    m_paying_peaks.push_back({m_context.now, m_paying_in_use});
}

bool runner::holds_back(const admission::work_item& blocked) const {
    return needs_large_room(blocked) &&
           m_context.now - blocked.queued_at > patience;
}

void runner::forget_old_peaks() {
    while (!m_paying_peaks.empty() &&
           m_context.now - m_paying_peaks.front().at > peak_memory) {
        m_paying_peaks.pop_front();
    }
}

void runner::pump() {
    forget_old_peaks();
    std::vector<failed_shape> failed;
    auto known_to_fail = [&failed](const admission::work_item& work) {
        return std::any_of(
            failed.begin(), failed.end(), [&work](const failed_shape& shape) {
                return base::fits(shape.need, work.need) &&
                       shape.count <= work.count && work.level <= shape.level;
            });
    };
    std::vector<entry_ptr> to_locate;
    m_context.queue.visit_ready(
        items_per_pump, [&](const admission::work_item& work) {
            entry_ptr item = m_context.book.find(work.request_id);
            item->charged_slots = work.need.slots * work.count;
            if (item->needs_locate) {
                to_locate.push_back(item);
                return admission::visit::take;
            }
            if (!known_to_fail(work) && leaves_headroom(work)) {
                auto plan = m_context.fleet.plan_placement(work);
                if (plan) {
                    place(item, work, *plan);
                    return admission::visit::take;
                }
                failed.push_back({work.need, work.count, work.level});
            }
            if (hand_over(item, work)) {
                return admission::visit::take;
            }
            item->charged_slots = 0;
            return holds_back(work) ? admission::visit::stop
                                    : admission::visit::next;
        });
    // The queue charged the team for everything that was taken; what was not
    // placed here gives its charge back.
    for (const entry_ptr& item : to_locate) {
        m_context.queue.give_back(item->request.team, item->charged_slots);
        item->charged_slots = 0;
        m_context.locator->start(item);
    }
    for (const entry_ptr& item : m_handed_over) {
        m_context.queue.give_back(item->request.team, item->charged_slots);
        item->charged_slots = 0;
    }
    m_handed_over.clear();
}

void runner::place(const entry_ptr& item, const admission::work_item& work,
                   const std::vector<placement::assignment>& plan) {
    const admission::request& request = item->request;
    const bundle::team_rule& team =
        *m_context.bundle_in_force->find_team(request.team);
    const admission::policy& kind = *admission::find_policy(request.kind);
    std::vector<dispatch::local_task> tasks;
    for (const std::string& id : task_ids_of(request)) {
        dispatch::local_task task;
        task.spec.id = id;
        task.spec.need = request.need;
        task.spec.declared_run =
            kind.long_running() ? base::milliseconds(0) : request.declared_run;
        task.spec.payload = request.payload;
        task.spec.kind = request.kind;
        task.spec.tier = bundle::to_string(team.service_tier);
        task.spec.repeatable = request.repeatable;
        task.spec.traceparent = request.traceparent;
        task.expected_run = work.expected_run;
        task.reclaimed_as = request.repeatable
                                ? kind.reclaimed_as(team.service_tier)
                                : admission::reclaim_level::none;
        item->open_tasks[id] = plan[tasks.size()].endpoint;
        tasks.push_back(std::move(task));
    }
    item->at = stage::placed;
    item->placed_at = m_context.now;
    item->tally = {};
    if (work.rank == 0) {
        item->short_paying_slots = work.need.slots * work.count;
        note_paying_use(item->short_paying_slots);
    }
    m_context.out.waited(work.rank, m_context.now - item->received);
    record_span(item, "queue");
    m_context.fleet.commit_placement(request.id, std::move(tasks), plan);
}

bool runner::hand_over(const entry_ptr& item,
                       const admission::work_item& work) {
    const admission::policy& kind = *admission::find_policy(item->request.kind);
    if (item->forwarded_here || kind.long_running()) {
        return false;
    }
    const std::int64_t wanted = work.need.slots * work.count;
    // Where this VM can never run it, another takes it even while it is busy.
    const auto here_totals = m_context.fleet.totals();
    bool never_here = here_totals.capacity.slots < wanted ||
                      !base::fits(work.need, here_totals.largest);
    const membership::member* best = nullptr;
    auto in_our_domain = [this](const membership::member& who) {
        return who.failure_domain == m_context.roster.failure_domain();
    };
    for (const membership::member* who : m_context.roster.possible_owners()) {
        bool local = in_our_domain(*who);
        bool room = who->free_slots >= wanted ||
                    (never_here && who->capacity_slots >= wanted);
        bool usable = m_context.roster.is_alive(*who, m_context.now) &&
                      !who->draining && room &&
                      (local || never_here || item->parent_job.empty()) &&
                      base::fits(work.need, who->largest);
        if (!usable) {
            continue;
        }
        bool best_local = best != nullptr && in_our_domain(*best);
        if (best == nullptr || (local && !best_local) ||
            (local == best_local && who->free_slots > best->free_slots)) {
            best = who;
        }
    }
    if (best == nullptr) {
        return false;
    }
    wire::forward message;
    message.request_id = item->request.id;
    message.request_text = admission::to_json_object(item->request).dump();
    message.remaining = item->deadline - m_context.now;
    message.echo = best->last_sequence;
    item->at = stage::remote;
    item->home = best->id;
    item->handed_over = true;
    item->next_check = m_context.now + home_check_period;
    m_context.intake->wake_at(item->request.id, item->next_check);
    m_context.out.send_peer(best->id, message);
    m_context.roster.reduce_free_slots(best->id, wanted);
    m_handed_over.push_back(item);
    return true;
}

void runner::stop_tasks(const entry_ptr& item) {
    auto open = item->open_tasks;
    for (const auto& [task, endpoint] : open) {
        m_context.fleet.stop_task(endpoint, task);
    }
    absorb_events();
}

void runner::absorb_events() {
    if (m_absorbing) {
        return;
    }
    m_absorbing = true;
    for (auto events = m_context.fleet.take_events(); !events.empty();
         events = m_context.fleet.take_events()) {
        for (const dispatch::event& event : events) {
            on_event(event);
        }
    }
    m_absorbing = false;
}

void runner::on_event(const dispatch::event& event) {
    if (event.kind == event_kind::gained || event.kind == event_kind::dropped) {
        m_context.out.log(
            {event.kind == event_kind::gained ? "claim_gained"
                                              : "claim_dropped",
             {{"endpoint", event.endpoint}, {"holder", event.holder}}});
        return;
    }
    entry_ptr item = m_context.book.find(event.task);
    if (!item || !item->open_tasks.contains(event.task)) {
        entry_ptr whole = m_context.book.find(request_id_of(event.task));
        if (whole && whole->open_tasks.contains(event.task)) {
            item = whole;
        }
    }
    if (!item || !item->open_tasks.contains(event.task)) {
        on_orphan(event);
        return;
    }
    if (item->open_tasks.at(event.task) != event.endpoint) {
        // An old ending of the same id, from another endpoint's inventory; or
        // a second run, which must not go on.
        if (event.kind == event_kind::adopted) {
            m_context.out.log(
                {"second_run_stopped",
                 {{"id", event.task}, {"endpoint", event.endpoint}}});
            m_context.fleet.stop_task(event.endpoint, event.task);
        }
        return;
    }
    if (event.kind == event_kind::started) {
        item->ran = true;
        item->ever_sent = true;
        return;
    }
    if (event.kind == event_kind::adopted) {
        return;
    }
    on_task_end(item, event);
}

// A task that this VM did not place, found under a claim it took over.
void runner::on_orphan(const dispatch::event& event) {
    entry_ptr item = m_context.book.find(event.task);
    if (event.kind == event_kind::adopted) {
        if (!item) {
            item = m_context.book.add(event.task);
            item->request.repeatable = event.report.repeatable;
            item->request.kind = event.report.kind;
            item->received = m_context.now;
            item->deadline = base::instant::max();
        } else if (item->at == stage::queued) {
            auto work = m_context.queue.remove(event.task);
        }
        if (item->at == stage::answered) {
            return;
        }
        item->at = stage::placed;
        item->ran = true;
        item->ever_sent = true;
        item->open_tasks[event.task] = event.endpoint;
        item->placed_at = m_context.now;
        m_context.out.log({"task_adopted",
                           {{"id", event.task}, {"endpoint", event.endpoint}}});
        const admission::policy* kind =
            admission::find_policy(event.report.kind);
        if (kind != nullptr && kind->all_at_once() && !item->has_request) {
            // Its siblings may be gone; the job starts again as a whole.
            m_context.fleet.stop_task(event.endpoint, event.task);
        }
        return;
    }
    if (event.kind != event_kind::ended) {
        return;
    }
    if (event.report.state == task_state::stopped) {
        remember_stopped(event);
        return;
    }
    bool open = item && item->at != stage::answered;
    if (open && item->at != stage::queued && item->at != stage::locating &&
        item->at != stage::remote) {
        return;
    }
    if (item && !open) {
        return;
    }
    if (!item) {
        item = m_context.book.add(event.task);
        item->request.repeatable = event.report.repeatable;
        item->at = stage::placed;
    }
    item->ever_sent = true;
    auto value = make_answer(event.report.state == task_state::completed
                                 ? base::outcome::completed
                                 : base::outcome::failed,
                             event.report.reason);
    value.body = event.report.result;
    value.ran_at = event.endpoint;
    m_context.intake->settle(item, value);
}

// Another VM's task began and did not end by itself; whoever asks about the id
// must know that it ran.
void runner::remember_stopped(const dispatch::event& event) {
    if (m_context.book.find(event.task)) {
        return;
    }
    entry_ptr item = m_context.book.add(event.task);
    item->request.repeatable = event.report.repeatable;
    item->at = stage::placed;
    item->ran = true;
    item->ever_sent = true;
    m_context.intake->settle(
        item, make_answer(base::outcome::unknown, event.report.reason));
}

void runner::on_task_end(const entry_ptr& item, const dispatch::event& event) {
    item->open_tasks.erase(event.task);
    bool gang = item->request.tasks > 1;
    switch (event.kind) {
    case event_kind::ended:
        item->ran = true;
        item->ever_sent = true;
        item->ran_at = event.endpoint;
        if (event.report.state == task_state::completed) {
            item->tally.completed++;
            item->result_body = event.report.result;
        } else if (event.report.state == task_state::failed) {
            item->tally.failed++;
            item->result_body = event.report.result;
            item->result_reason = event.report.reason;
        } else {
            item->tally.stopped++;
            item->result_reason = event.report.reason;
        }
        if (event.report.state != task_state::stopped && item->has_request) {
            m_context.estimator.observe(item->request.team, item->request.kind,
                                        item->request.declared_run,
                                        event.report.run_time);
        }
        break;
    case event_kind::not_started:
        item->tally.not_started++;
        break;
    case event_kind::lost:
        item->ever_sent = true;
        item->tally.lost++;
        break;
    case event_kind::moved:
        item->ever_sent = true;
        item->tally.lost++;
        item->home = event.holder;
        item->doubt_until = std::max(item->doubt_until, event.lease_expires_at);
        break;
    default:
        break;
    }
    bool whole = event.kind == event_kind::ended &&
                 event.report.state == task_state::completed;
    if (gang && !whole && !item->open_tasks.empty()) {
        // The siblings can't go on without it.
        for (const auto& [sibling, endpoint] : item->open_tasks) {
            m_context.fleet.stop_task(endpoint, sibling);
        }
        return;
    }
    if (item->open_tasks.empty()) {
        conclude(item);
    }
}

void runner::conclude(const entry_ptr& item) {
    note_paying_use(-item->short_paying_slots);
    item->short_paying_slots = 0;
    if (item->charged_slots > 0) {
        m_context.queue.give_back(item->request.team, item->charged_slots);
        item->charged_slots = 0;
    }
    if (item->at == stage::answered) {
        return;
    }
    record_span(item, "run");
    const task_tally& tally = item->tally;
    if (!item->has_request && tally.completed + tally.failed == 0) {
        // An adopted task that did not end by itself: whoever has the request
        // decides whether it runs again.
        for (const std::string& member : item->attached_members) {
            m_context.out.send_peer(
                member,
                wire::settled{item->request.id, wire::settled_kind::stopped,
                              make_answer(base::outcome::unknown, "stopped")});
        }
        m_context.book.erase(item->request.id);
        return;
    }
    if (tally.lost + tally.stopped + tally.not_started > 0) {
        run_again(item);
        return;
    }
    auto value = make_answer(tally.failed > 0 ? base::outcome::failed
                                              : base::outcome::completed,
                             item->result_reason);
    value.body = item->result_body;
    value.ran_at = item->ran_at;
    m_context.intake->settle(item, value);
}

void runner::run_again(const entry_ptr& item) {
    const task_tally tally = item->tally;
    item->tally = {};
    bool once = !item->request.repeatable;
    if (tally.lost > 0) {
        item->needs_locate = true;
        m_context.locator->start(item);
        return;
    }
    if (once && tally.stopped > 0) {
        m_context.intake->settle(
            item, make_answer(base::outcome::failed,
                              "it was stopped: " + item->result_reason));
        return;
    }
    if (tally.stopped > 0 && !item->cancelled) {
        m_context.intake->hold(item);
        return;
    }
    m_context.intake->enqueue(item);
}

void runner::record_span(const entry_ptr& item, const std::string& name) {
    if (item->request.traceparent.empty()) {
        return;
    }
    bool queue = name == "queue";
    m_context.out.span({item->request.traceparent, name, item->request.id,
                        queue ? item->received : item->placed_at,
                        m_context.now});
}

} // namespace eelgrasslever::node
