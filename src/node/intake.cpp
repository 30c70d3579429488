#include "eelgrasslever/node/intake.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/node/jobs.hpp"
#include "eelgrasslever/node/locator.hpp"
#include "eelgrasslever/node/recorder.hpp"
#include "eelgrasslever/node/runner.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::node {

using admission::attempt_mark;
using admission::find_policy;
using base::milliseconds;
using base::outcome;

namespace {

constexpr milliseconds relocate_period{300};
constexpr milliseconds lookup_limit{30 * 1000};
constexpr milliseconds home_check_period{1000};
constexpr milliseconds shortest_hold{100};
constexpr int most_hold_doublings = 6;
constexpr milliseconds shortest_retry_after{200};
constexpr milliseconds retry_after_no_bundle{1000};
constexpr milliseconds retry_after_doubt{2000};
constexpr milliseconds retry_after_draining{500};

// What has to be the same in two requests with one id.
std::string fingerprint(admission::request value) {
    value.attempt = attempt_mark::unmarked;
    value.traceparent.clear();
    value.timeout = milliseconds(0);
    return admission::to_json_object(value).dump();
}

milliseconds at_least_shortest(milliseconds value) {
    return std::max(value, shortest_retry_after);
}

} // namespace

base::answer make_answer(outcome result, std::string detail,
                         std::optional<milliseconds> retry_after) {
    base::answer out;
    out.result = result;
    out.detail = std::move(detail);
    out.retry_after = retry_after;
    return out;
}

std::optional<std::string>
intake::never_runnable(const admission::request& request) const {
    base::resources largest = m_context.fleet.totals().largest;
    std::int64_t most_slots = m_context.fleet.totals().capacity.slots;
    for (const membership::member* who : m_context.roster.possible_homes()) {
        largest = base::component_max(largest, who->largest);
        most_slots = std::max(most_slots, who->capacity_slots);
    }
    if (largest.slots == 0) {
        return std::nullopt; // No endpoint is known yet, so nothing is proved.
    }
    if (!base::fits(request.need, largest)) {
        return "no endpoint is large enough: the largest has " +
               std::to_string(largest.slots) + " slots, " +
               std::to_string(largest.cpu_milli) + " cpu_milli, " +
               std::to_string(largest.memory_mb) + " memory_mb and " +
               std::to_string(largest.accelerators) + " accelerators";
    }
    std::int64_t together = request.need.slots * request.tasks;
    if (find_policy(request.kind)->all_at_once() && together > most_slots) {
        return "all " + std::to_string(request.tasks) + " tasks need " +
               std::to_string(together) +
               " slots at once; one entry VM holds at most " +
               std::to_string(most_slots);
    }
    return std::nullopt;
}

std::optional<base::answer>
intake::refusal(const admission::request& request) const {
    if (m_context.draining) {
        return make_answer(outcome::not_run, "this entry VM is stopping",
                           retry_after_draining);
    }
    if (!m_context.bundle_in_force) {
        return make_answer(outcome::not_run, "no bundle is in force yet",
                           retry_after_no_bundle);
    }
    const bundle::team_rule* team =
        m_context.bundle_in_force->find_team(request.team);
    auto reject = [](std::string why) {
        auto out = make_answer(outcome::not_run, std::move(why));
        out.rejected = true;
        return out;
    };
    if (team == nullptr) {
        return reject("team \"" + request.team + "\" is not in bundle " +
                      std::to_string(m_context.bundle_version()) +
                      "; use a team that the bundle names");
    }
    const admission::policy& kind = *find_policy(request.kind);
    std::int64_t together =
        request.need.slots * (kind.all_at_once() ? request.tasks : 1);
    if (together > team->quota_slots) {
        return reject("the request needs " + std::to_string(together) +
                      " slots at once and the quota of team \"" + request.team +
                      "\" is " + std::to_string(team->quota_slots));
    }
    auto never = never_runnable(request);
    if (never) {
        return reject("it can never run: " + *never);
    }
    if (kind.durable()) {
        return std::nullopt;
    }
    return late_refusal(request, admission::rank_of(kind, team->service_tier));
}

std::optional<base::answer>
intake::late_refusal(const admission::request& request, int rank) const {
    milliseconds wait = expected_wait(rank);
    milliseconds run = m_context.estimator.expect(request.team, request.kind,
                                                  request.declared_run);
    milliseconds room = request.timeout - std::min(run, request.timeout / 2);
    if (wait <= room) {
        return std::nullopt;
    }
    return make_answer(outcome::not_run,
                       "the queue is longer than the time allowed",
                       at_least_shortest(wait - room));
}

milliseconds intake::expected_wait(int rank) const {
    auto totals = m_context.fleet.totals();
    std::int64_t slots = totals.capacity.slots;
    for (const membership::member* who : m_context.roster.possible_homes()) {
        slots += std::max<std::int64_t>(0, who->free_slots);
    }
    if (slots == 0) {
        return milliseconds(0);
    }
    return milliseconds(m_context.queue.load_up_to(rank) / slots);
}

bool intake::attach(const admission::request& request, caller_token caller) {
    entry_ptr known = m_context.book.find(request.id);
    if (!known || known->lookup) {
        return false;
    }
    if (known->has_request &&
        fingerprint(known->request) != fingerprint(request)) {
        auto value = make_answer(outcome::not_run,
                                 "this Idempotency-Key was used with another "
                                 "request; choose a new key");
        value.rejected = true;
        value.bundle_version = m_context.bundle_version();
        m_context.out.answer(caller, request.id, value);
        return true;
    }
    if (known->at == stage::answered) {
        outcome result = known->final_answer.result;
        bool again = result == outcome::not_run ||
                     (result == outcome::unknown && request.repeatable &&
                      known->open_tasks.empty());
        if (again) {
            return false;
        }
        m_context.out.answer(caller, request.id, known->final_answer);
        return true;
    }
    if (known->at == stage::job) {
        m_context.out.accept(caller, request.id);
        return true;
    }
    known->callers.insert(caller);
    return true;
}

bool intake::is_first(const admission::request& request) const {
    return request.attempt == attempt_mark::first &&
           m_context.now >= m_context.first_marks_trusted_from &&
           !m_context.locator->asked_by_other(request.id);
}

entry_ptr intake::open_entry(const admission::request& request,
                             base::instant deadline) {
    entry_ptr before = m_context.book.find(request.id);
    bool seen = before && (!before->lookup || before->seen_before);
    entry_ptr item = m_context.book.add(request.id);
    if (before && before->lookup) {
        item->callers = before->callers;
    }
    item->request = request;
    item->has_request = true;
    item->ever_sent = seen && before->ever_sent;
    item->received = m_context.now;
    item->deadline = deadline;
    item->ran = seen && before->ran;
    // An id that was answered here before is a retry, whatever its mark.
    item->needs_locate = seen || !is_first(request);
    item->proven_new = !item->needs_locate;
    wake_at(request.id, deadline);
    return item;
}

void intake::submit(const admission::request& request, caller_token caller) {
    if (attach(request, caller)) {
        return;
    }
    bool first = is_first(request) && !m_context.book.find(request.id);
    bool closed = m_context.draining || !m_context.bundle_in_force;
    // What may have been sent before is refused as `not_run` only once the
    // other members or the journal say that it is new.
    auto refused = first || closed ? refusal(request) : std::nullopt;
    if (refused) {
        if (!first) {
            refused->result = outcome::unknown;
            refused->detail += "; an earlier attempt may have run";
        }
        refused->bundle_version = m_context.bundle_version();
        m_context.out.answer(caller, request.id, *refused);
        return;
    }
    entry_ptr item = open_entry(request, m_context.now + request.timeout);
    item->admitted = first;
    item->callers.insert(caller);
    begin(item);
}

bool intake::admit(const entry_ptr& item) {
    if (item->admitted || item->ever_sent) {
        return true;
    }
    item->admitted = true;
    auto refused = refusal(item->request);
    if (!refused) {
        return true;
    }
    settle(item, *refused);
    return false;
}

void intake::begin(const entry_ptr& item) {
    const admission::policy& kind = *find_policy(item->request.kind);
    if (kind.durable() || !item->request.repeatable) {
        item->at = stage::recording;
        m_context.recorder->record_intent(item);
        return;
    }
    enqueue(item);
}

void intake::submit_forwarded(const admission::request& request,
                              const std::string& member, bool current) {
    entry_ptr known = m_context.book.find(request.id);
    if (known && known->lookup) {
        known = nullptr;
    }
    if (known && known->at != stage::answered) {
        known->attached_members.insert(member);
        return;
    }
    if (known && known->final_answer.result != outcome::not_run) {
        m_context.out.send_peer(
            member, wire::settled{request.id, wire::settled_kind::answered,
                                  known->final_answer});
        return;
    }
    auto refused = refusal(request);
    if (refused) {
        m_context.out.send_peer(
            member,
            wire::settled{request.id, wire::settled_kind::refused, *refused});
        return;
    }
    entry_ptr item = open_entry(request, m_context.now + request.timeout);
    item->needs_locate =
        !current || m_context.locator->asked_by_other(request.id);
    item->proven_new = current;
    item->admitted = true;
    item->forwarded_here = true;
    item->attached_members.insert(member);
    enqueue(item);
}

void intake::submit_job_task(const admission::request& request,
                             const std::string& job_id,
                             base::instant deadline) {
    entry_ptr known = m_context.book.find(request.id);
    if (known && known->lookup) {
        known = nullptr;
    }
    if (known && known->at != stage::answered) {
        // Adopted from an inventory, or still under way since before.
        known->parent_job = job_id;
        known->request = request;
        known->has_request = true;
        known->deadline = deadline;
        return;
    }
    if (known && known->final_answer.result == outcome::completed) {
        m_context.jobs->on_task_settled(job_id, request.id,
                                        known->final_answer);
        return;
    }
    entry_ptr item = open_entry(request, deadline);
    item->parent_job = job_id;
    item->admitted = true;
    enqueue(item);
}

void intake::wait_for(const std::string& id, caller_token caller) {
    entry_ptr known = m_context.book.find(id);
    bool answered = known && known->at == stage::answered;
    if (known && !answered) {
        known->callers.insert(caller);
        return;
    }
    bool final_here =
        answered && (known->final_answer.result == outcome::completed ||
                     known->final_answer.result == outcome::failed);
    if (final_here) {
        m_context.out.answer(caller, id, known->final_answer);
        return;
    }
    // After an answer that left it open, another member may have run it.
    entry_ptr question = m_context.book.add(id);
    question->lookup = true;
    question->seen_before = answered;
    question->ever_sent = answered && known->ever_sent;
    question->ran = answered && known->ran;
    if (answered) {
        question->final_answer = known->final_answer;
    }
    question->received = m_context.now;
    question->deadline = m_context.now + lookup_limit;
    question->callers.insert(caller);
    wake_at(id, question->deadline);
    m_context.locator->start(question);
}

void intake::forget_caller(const std::string& id, caller_token caller) {
    entry_ptr item = m_context.book.find(id);
    if (item) {
        item->callers.erase(caller);
    }
}

void intake::enqueue(const entry_ptr& item) {
    if (item->cancelled) {
        settle(item, make_answer(outcome::not_run, "cancelled"));
        return;
    }
    if (item->needs_locate) {
        m_context.locator->start(item);
        return;
    }
    if (!admit(item)) {
        return;
    }
    const admission::request& request = item->request;
    const bundle::team_rule* team =
        m_context.bundle_in_force
            ? m_context.bundle_in_force->find_team(request.team)
            : nullptr;
    if (team == nullptr) {
        settle(item, make_answer(outcome::not_run,
                                 "the team is not in the bundle in force"));
        return;
    }
    const admission::policy& kind = *find_policy(request.kind);
    admission::work_item work;
    work.request_id = request.id;
    work.team = request.team;
    work.rank = admission::rank_of(kind, team->service_tier);
    work.level = admission::reclaim_of(kind, team->service_tier);
    work.need = request.need;
    work.count = request.tasks;
    work.expected_run = m_context.estimator.expect(request.team, request.kind,
                                                   request.declared_run);
    // A declared run time beyond the timeout is more likely wrong than meant.
    milliseconds run = std::min(work.expected_run, request.timeout / 2);
    work.latest_start = item->deadline - run;
    work.queued_at = m_context.now;
    if (item->parent_job.empty() && !kind.durable()) {
        work.give_up_at = work.latest_start;
    }
    m_context.locator->forget(request.id);
    item->at = stage::queued;
    m_context.queue.push(std::move(work));
}

void intake::hold(const entry_ptr& item) {
    int doublings = std::min(item->times_stopped, most_hold_doublings);
    item->times_stopped++;
    item->at = stage::held;
    item->next_check = m_context.now + shortest_hold * (1 << doublings);
    wake_at(item->request.id, item->next_check);
}

void intake::on_located(const entry_ptr& item, wire::verdict found,
                        const std::string& home, bool local_doubt) {
    if (item->at != stage::locating) {
        return;
    }
    if (found == wire::verdict::mine) {
        item->at = stage::remote;
        item->home = home;
        item->next_check = m_context.now + home_check_period;
        wake_at(item->request.id, item->next_check);
        return;
    }
    if (item->lookup && found == wire::verdict::unknown) {
        finish_lookup(item);
        return;
    }
    if (found == wire::verdict::unknown && m_context.now >= item->doubt_until) {
        if (item->handed_over) {
            // Whoever had it is gone and can't say what became of it.
            item->handed_over = false;
            item->in_doubt = true;
            item->proven_new = false;
        }
        item->needs_locate = false;
        bool once = item->has_request && !item->request.repeatable;
        if (once && (item->ever_sent || item->in_doubt)) {
            settle(item,
                   make_answer(outcome::unknown, "whoever had it is lost; it "
                                                 "may have run"));
            return;
        }
        enqueue(item);
        return;
    }
    bool keep_asking = item->lookup || !item->parent_job.empty() ||
                       item->ever_sent || local_doubt;
    if (keep_asking) {
        item->next_check = m_context.now + relocate_period;
        wake_at(item->request.id, item->next_check);
        return;
    }
    settle(item, make_answer(outcome::unknown,
                             "another failure domain can't be asked whether "
                             "it ran an earlier attempt",
                             retry_after_doubt));
}

// No member knows the id, so the journal has the last word.
void intake::finish_lookup(const entry_ptr& item) {
    m_context.recorder->look_up(
        item->request.id,
        [this, item](bool reached, const journal::entry* present) {
            if (item->at == stage::answered) {
                return;
            }
            auto value =
                make_answer(outcome::unknown, "no such request is known");
            value.rejected = reached && present == nullptr;
            if (!reached) {
                value.detail = "the platform's store can't be asked";
                value.retry_after = retry_after_doubt;
            } else if (present == nullptr && item->seen_before) {
                value = item->final_answer;
            } else if (present != nullptr && present->final_answer) {
                value = *present->final_answer;
            } else if (present != nullptr) {
                value.detail = "it is recorded and no entry VM runs it now";
                value.retry_after = retry_after_doubt;
            }
            settle(item, value);
            m_context.book.erase(item->request.id);
        });
}

// `not_run` is never a guess. That nobody knows a retry proves nothing: the VM
// and the endpoint that ran it may both have been replaced.
void intake::correct_not_run(const entry& item, base::answer& value) {
    if (item.ran) {
        value.result = outcome::failed;
        value.detail += "; it had been started before";
        return;
    }
    if (item.ever_sent || item.handed_over || !item.proven_new) {
        value.result = outcome::unknown;
        value.detail += "; an earlier attempt may have run";
    }
}

void intake::settle(const entry_ptr& item, base::answer value) {
    if (item->at == stage::answered) {
        return;
    }
    const std::string id = item->request.id;
    value.bundle_version = m_context.bundle_version();
    m_context.locator->forget(id);
    if (value.result == outcome::not_run && !value.rejected) {
        correct_not_run(*item, value);
    }
    m_context.queue.remove(id);
    if (item->charged_slots > 0) {
        m_context.queue.give_back(item->request.team, item->charged_slots);
        item->charged_slots = 0;
    }
    item->at = stage::answered;
    item->final_answer = value;
    item->answered_at = m_context.now;
    m_context.book.note_answered(id, m_context.now);
    m_context.out.log({"request_answered",
                       {{"id", id},
                        {"outcome", base::to_string(value.result)},
                        {"detail", value.detail},
                        {"ran_at", value.ran_at}}});
    for (caller_token caller : item->callers) {
        m_context.out.answer(caller, id, value);
    }
    item->callers.clear();
    for (const std::string& member : item->attached_members) {
        m_context.out.send_peer(
            member, wire::settled{id, wire::settled_kind::answered, value});
    }
    item->attached_members.clear();
    if (item->recorded) {
        if (value.result == outcome::not_run && !item->ever_sent) {
            m_context.recorder->release_intent(id);
        } else {
            m_context.recorder->record_answer(id, value);
        }
    }
    if (!item->parent_job.empty()) {
        m_context.jobs->on_task_settled(item->parent_job, id, value);
    }
}

void intake::cancel(const std::string& id) {
    entry_ptr item = m_context.book.find(id);
    if (!item || item->at == stage::answered) {
        return;
    }
    item->cancelled = true;
    switch (item->at) {
    case stage::queued:
    case stage::held:
    case stage::recording:
        settle(item, make_answer(outcome::not_run, "cancelled"));
        return;
    case stage::placed:
        m_context.runner->stop_tasks(item);
        return;
    case stage::remote:
        if (!item->home.empty()) {
            m_context.out.send_peer(item->home, wire::cancel{id});
        }
        return;
    case stage::job:
        m_context.jobs->cancel(item);
        return;
    case stage::locating:
    case stage::answered:
        return;
    }
}

void intake::wake_at(const std::string& id, base::instant when) {
    m_wakeups.emplace(when, id);
}

void intake::advance() {
    for (const admission::work_item& work :
         m_context.queue.take_overdue(m_context.now)) {
        entry_ptr item = m_context.book.find(work.request_id);
        if (item) {
            settle_overdue(item);
        }
    }
    while (!m_wakeups.empty() && m_wakeups.begin()->first <= m_context.now) {
        std::string id = m_wakeups.begin()->second;
        m_wakeups.erase(m_wakeups.begin());
        entry_ptr item = m_context.book.find(id);
        if (item && item->at != stage::answered) {
            wake(item);
        }
    }
}

void intake::wake(const entry_ptr& item) {
    if (m_context.now >= item->deadline && item->lookup) {
        settle(item, make_answer(outcome::unknown,
                                 "the member that may know it can't be asked",
                                 retry_after_doubt));
        m_context.book.erase(item->request.id);
        return;
    }
    if (m_context.now >= item->deadline && item->has_request) {
        settle_overdue(item);
        return;
    }
    if (item->at == stage::held && m_context.now >= item->next_check) {
        enqueue(item);
        return;
    }
    bool waits = item->at == stage::locating || item->at == stage::remote;
    if (!waits || m_context.now < item->next_check) {
        return;
    }
    item->next_check = m_context.now + home_check_period;
    wake_at(item->request.id, item->next_check);
    if (item->at == stage::locating) {
        m_context.locator->start(item);
        return;
    }
    const membership::member* home = m_context.roster.find(item->home);
    if (home == nullptr || home->gone || home->left) {
        item->needs_locate = true;
        m_context.locator->start(item);
        return;
    }
    m_context.locator->ask_home(item);
}

void intake::settle_overdue(const entry_ptr& item) {
    milliseconds again = at_least_shortest(expected_wait(0));
    switch (item->at) {
    case stage::queued:
    case stage::held:
    case stage::recording:
        settle(item, make_answer(outcome::not_run,
                                 "no room before the deadline", again));
        return;
    case stage::locating:
    case stage::remote:
        settle(item, make_answer(outcome::unknown,
                                 "the member that may run it did not say so "
                                 "before the deadline",
                                 retry_after_doubt));
        return;
    case stage::placed: {
        m_context.runner->stop_tasks(item);
        if (item->at == stage::answered) {
            return;
        }
        bool sure = item->ran && item->request.repeatable;
        settle(item, make_answer(sure ? outcome::failed : outcome::unknown,
                                 "the deadline passed while it ran"));
        return;
    }
    case stage::job:
        m_context.jobs->cancel(item);
        return;
    case stage::answered:
        return;
    }
}

} // namespace eelgrasslever::node
