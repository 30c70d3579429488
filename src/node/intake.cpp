#include "eelgrasslever/node/intake.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/node/jobs.hpp"
#include "eelgrasslever/node/locator.hpp"
#include "eelgrasslever/node/recorder.hpp"
#include "intake_times.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::node {

using admission::attempt_mark;
using admission::find_policy;
using base::milliseconds;
using base::outcome;

namespace {

// What has to be the same in two requests with one id.
std::string fingerprint(admission::request value) {
    value.attempt = attempt_mark::unmarked;
    value.traceparent.clear();
    value.timeout = milliseconds(0);
    return admission::to_json_object(value).dump();
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

} // namespace eelgrasslever::node
