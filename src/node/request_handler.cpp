#include "eelgrasslever/node/request_handler.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/node/intent_recorder.hpp"
#include "eelgrasslever/node/job_coordinator.hpp"
#include "eelgrasslever/node/locator.hpp"
#include "request_handler_timing.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::node {

using admission::attempt_kind;
using admission::find_policy;
using base::milliseconds;
using base::outcome;

namespace {

// Returns the fields that must be equal in two requests with the same id. The
// attempt mark, the trace and the timeout may differ.
std::string fingerprint(admission::request request) {
    request.attempt = attempt_kind::unspecified;
    request.traceparent.clear();
    request.timeout = milliseconds(0);
    return admission::to_json_object(request).dump();
}

} // namespace

base::answer make_answer(outcome result, std::string detail,
                         std::optional<milliseconds> retry_after) {
    base::answer answer;
    answer.result = result;
    answer.detail = std::move(detail);
    answer.retry_after = retry_after;
    return answer;
}

bool request_handler::try_attach(const admission::request& request,
                                 caller_token caller) {
    request_entry_ptr known = m_context.requests.find(request.id);
    if (!known || known->is_lookup) {
        return false;
    }
    if (known->has_request &&
        fingerprint(known->request) != fingerprint(request)) {
        auto answer =
            make_answer(outcome::not_run, "this Idempotency-Key was used with "
                                          "another request; choose a new key");
        answer.rejected = true;
        answer.bundle_version = m_context.bundle_version();
        m_context.effects.send_answer(caller, request.id, answer);
        return true;
    }
    if (known->stage == request_stage::answered) {
        outcome result = known->final_answer.result;
        bool can_retry = result == outcome::not_run ||
                         (result == outcome::unknown && request.repeatable &&
                          known->open_tasks.empty());
        if (can_retry) {
            return false;
        }
        m_context.effects.send_answer(caller, request.id, known->final_answer);
        return true;
    }
    if (known->stage == request_stage::job) {
        m_context.effects.send_accepted(caller, request.id);
        return true;
    }
    known->callers.insert(caller);
    return true;
}

bool request_handler::is_trusted_first_attempt(
    const admission::request& request) const {
    return request.attempt == attempt_kind::first &&
           m_context.now >= m_context.first_marks_trusted_from &&
           !m_context.locator->was_queried_by_other(request.id);
}

request_entry_ptr
request_handler::create_entry(const admission::request& request,
                              base::instant deadline) {
    request_entry_ptr previous = m_context.requests.find(request.id);
    bool is_known_here =
        previous && (!previous->is_lookup || previous->answered_before);
    request_entry_ptr entry = m_context.requests.add(request.id);
    if (previous && previous->is_lookup) {
        entry->callers = previous->callers;
    }
    entry->request = request;
    entry->has_request = true;
    entry->ever_sent = is_known_here && previous->ever_sent;
    entry->received_at = m_context.now;
    entry->deadline = deadline;
    entry->has_started = is_known_here && previous->has_started;
    // An id that was answered here before is a retry, whatever its attempt
    // mark.
    entry->needs_locate = is_known_here || !is_trusted_first_attempt(request);
    entry->proven_new = !entry->needs_locate;
    schedule_check(request.id, deadline);
    return entry;
}

void request_handler::submit(const admission::request& request,
                             caller_token caller) {
    if (try_attach(request, caller)) {
        return;
    }
    bool is_first = is_trusted_first_attempt(request) &&
                    !m_context.requests.find(request.id);
    bool is_closed = m_context.draining || !m_context.active_bundle;
    // A request that may have been sent before is refused as `not_run` only
    // once the other members or the journal show that it is new.
    auto refused = is_first || is_closed ? find_refusal(request) : std::nullopt;
    if (refused) {
        if (!is_first) {
            refused->result = outcome::unknown;
            refused->detail += "; an earlier attempt may have run";
        }
        refused->bundle_version = m_context.bundle_version();
        m_context.effects.send_answer(caller, request.id, *refused);
        return;
    }
    request_entry_ptr entry =
        create_entry(request, m_context.now + request.timeout);
    entry->admitted = is_first;
    entry->callers.insert(caller);
    start_processing(entry);
}

bool request_handler::admit(const request_entry_ptr& entry) {
    if (entry->admitted || entry->ever_sent) {
        return true;
    }
    entry->admitted = true;
    auto refused = find_refusal(entry->request);
    if (!refused) {
        return true;
    }
    settle(entry, *refused);
    return false;
}

void request_handler::start_processing(const request_entry_ptr& entry) {
    const admission::policy& kind = *find_policy(entry->request.kind);
    if (kind.is_durable() || !entry->request.repeatable) {
        entry->stage = request_stage::recording;
        m_context.intent_recorder->record_intent(entry);
        return;
    }
    enqueue(entry);
}

void request_handler::submit_forwarded(const admission::request& request,
                                       const std::string& member,
                                       bool is_sender_current) {
    request_entry_ptr known = m_context.requests.find(request.id);
    if (known && known->is_lookup) {
        known = nullptr;
    }
    if (known && known->stage != request_stage::answered) {
        known->attached_members.insert(member);
        return;
    }
    if (known && known->final_answer.result != outcome::not_run) {
        m_context.effects.send_to_peer(
            member, wire::request_result{request.id,
                                         wire::request_result_kind::answered,
                                         known->final_answer});
        return;
    }
    auto refused = find_refusal(request);
    if (refused) {
        m_context.effects.send_to_peer(
            member,
            wire::request_result{request.id, wire::request_result_kind::refused,
                                 *refused});
        return;
    }
    request_entry_ptr entry =
        create_entry(request, m_context.now + request.timeout);
    entry->needs_locate = !is_sender_current ||
                          m_context.locator->was_queried_by_other(request.id);
    entry->proven_new = is_sender_current;
    entry->admitted = true;
    entry->already_forwarded = true;
    entry->attached_members.insert(member);
    enqueue(entry);
}

void request_handler::submit_job_task(const admission::request& request,
                                      const std::string& job_id,
                                      base::instant deadline) {
    request_entry_ptr known = m_context.requests.find(request.id);
    if (known && known->is_lookup) {
        known = nullptr;
    }
    if (known && known->stage != request_stage::answered) {
        // The task was adopted from an endpoint's inventory, or is still
        // running from an earlier submission.
        known->parent_job_id = job_id;
        known->request = request;
        known->has_request = true;
        known->deadline = deadline;
        return;
    }
    if (known && known->final_answer.result == outcome::completed) {
        m_context.job_coordinator->on_task_settled(job_id, request.id,
                                                   known->final_answer);
        return;
    }
    request_entry_ptr entry = create_entry(request, deadline);
    entry->parent_job_id = job_id;
    entry->admitted = true;
    enqueue(entry);
}

void request_handler::wait_for_answer(const std::string& id,
                                      caller_token caller) {
    request_entry_ptr known = m_context.requests.find(id);
    bool is_answered = known && known->stage == request_stage::answered;
    if (known && !is_answered) {
        known->callers.insert(caller);
        return;
    }
    bool has_final_answer =
        is_answered && (known->final_answer.result == outcome::completed ||
                        known->final_answer.result == outcome::failed);
    if (has_final_answer) {
        m_context.effects.send_answer(caller, id, known->final_answer);
        return;
    }
    // After an inconclusive answer here, another member may have run it.
    request_entry_ptr lookup = m_context.requests.add(id);
    lookup->is_lookup = true;
    lookup->answered_before = is_answered;
    lookup->ever_sent = is_answered && known->ever_sent;
    lookup->has_started = is_answered && known->has_started;
    if (is_answered) {
        lookup->final_answer = known->final_answer;
    }
    lookup->received_at = m_context.now;
    lookup->deadline = m_context.now + lookup_timeout;
    lookup->callers.insert(caller);
    schedule_check(id, lookup->deadline);
    m_context.locator->start_round(lookup);
}

void request_handler::detach_caller(const std::string& id,
                                    caller_token caller) {
    request_entry_ptr entry = m_context.requests.find(id);
    if (entry) {
        entry->callers.erase(caller);
    }
}

void request_handler::enqueue(const request_entry_ptr& entry) {
    if (entry->cancelled) {
        settle(entry, make_answer(outcome::not_run, "cancelled"));
        return;
    }
    if (entry->needs_locate) {
        m_context.locator->start_round(entry);
        return;
    }
    if (!admit(entry)) {
        return;
    }
    const admission::request& request = entry->request;
    const bundle::team_rule* team =
        m_context.active_bundle
            ? m_context.active_bundle->find_team(request.team)
            : nullptr;
    if (team == nullptr) {
        settle(entry, make_answer(outcome::not_run,
                                  "the team is not in the bundle in force"));
        return;
    }
    const admission::policy& kind = *find_policy(request.kind);
    admission::work_item work;
    work.request_id = request.id;
    work.team = request.team;
    work.rank = admission::queue_rank(kind, team->service_tier);
    work.level = admission::allowed_reclaim_level(kind, team->service_tier);
    work.need = request.need;
    work.count = request.tasks;
    work.expected_run = m_context.estimator.estimate(request.team, request.kind,
                                                     request.declared_run);
    // A declared run time beyond the timeout is more likely a mistake than
    // intended, so at most half of the timeout is reserved for the run.
    milliseconds run = std::min(work.expected_run, request.timeout / 2);
    work.latest_start = entry->deadline - run;
    work.queued_at = m_context.now;
    if (entry->parent_job_id.empty() && !kind.is_durable()) {
        work.expires_at = work.latest_start;
    }
    m_context.locator->drop_round(request.id);
    entry->stage = request_stage::queued;
    m_context.queue.push(std::move(work));
}

void request_handler::requeue_after_backoff(const request_entry_ptr& entry) {
    int doublings = std::min(entry->preemption_count, max_backoff_doublings);
    entry->preemption_count++;
    entry->stage = request_stage::held;
    entry->next_check = m_context.now + min_backoff * (1 << doublings);
    schedule_check(entry->request.id, entry->next_check);
}

void request_handler::on_located(const request_entry_ptr& entry,
                                 wire::locate_result verdict,
                                 const std::string& owner, bool local_doubt) {
    if (entry->stage != request_stage::locating) {
        return;
    }
    if (verdict == wire::locate_result::known) {
        entry->stage = request_stage::remote;
        entry->owner = owner;
        entry->next_check = m_context.now + owner_check_period;
        schedule_check(entry->request.id, entry->next_check);
        return;
    }
    if (entry->is_lookup && verdict == wire::locate_result::unknown) {
        look_up_in_journal(entry);
        return;
    }
    if (verdict == wire::locate_result::unknown &&
        m_context.now >= entry->doubt_until) {
        if (entry->forward_pending) {
            // The member that the request was forwarded to is gone and can't
            // report the outcome.
            entry->forward_pending = false;
            entry->in_doubt = true;
            entry->proven_new = false;
        }
        entry->needs_locate = false;
        bool is_unrepeatable = entry->has_request && !entry->request.repeatable;
        if (is_unrepeatable && (entry->ever_sent || entry->in_doubt)) {
            settle(entry,
                   make_answer(outcome::unknown,
                               "whoever had it is lost; it may have run"));
            return;
        }
        enqueue(entry);
        return;
    }
    bool should_keep_asking = entry->is_lookup ||
                              !entry->parent_job_id.empty() ||
                              entry->ever_sent || local_doubt;
    if (should_keep_asking) {
        entry->next_check = m_context.now + relocate_period;
        schedule_check(entry->request.id, entry->next_check);
        return;
    }
    settle(entry, make_answer(outcome::unknown,
                              "another failure domain can't be asked whether "
                              "it ran an earlier attempt",
                              retry_after_uncertain));
}

} // namespace eelgrasslever::node
