// Completion of entries: final answers, cancellations, deadlines and scheduled
// checks.
#include "eelgrasslever/node/intent_recorder.hpp"
#include "eelgrasslever/node/job_coordinator.hpp"
#include "eelgrasslever/node/locator.hpp"
#include "eelgrasslever/node/request_handler.hpp"
#include "eelgrasslever/node/task_runner.hpp"
#include "request_handler_timing.hpp"

#include <utility>

namespace eelgrasslever::node {

using base::milliseconds;
using base::outcome;

// No member knows the id, so the answer depends on the journal.
void request_handler::look_up_in_journal(const request_entry_ptr& entry) {
    m_context.intent_recorder->look_up(
        entry->request.id,
        [this, entry](bool reached, const journal::entry* present) {
            if (entry->stage == request_stage::answered) {
                return;
            }
            auto answer =
                make_answer(outcome::unknown, "no such request is known");
            answer.rejected = reached && present == nullptr;
            if (!reached) {
                answer.detail = "the platform's store can't be asked";
                answer.retry_after = retry_after_uncertain;
            } else if (present == nullptr && entry->answered_before) {
                answer = entry->final_answer;
            } else if (present != nullptr && present->final_answer) {
                answer = *present->final_answer;
            } else if (present != nullptr) {
                answer.detail = "it is recorded and no entry VM runs it now";
                answer.retry_after = retry_after_uncertain;
            }
            settle(entry, answer);
            m_context.requests.erase(entry->request.id);
        });
}

// `not_run` must be proven. That no member knows an earlier attempt is no
// proof: the VM and the endpoint that ran it may both have been replaced.
void request_handler::correct_not_run(const request_entry& entry,
                                      base::answer& answer) {
    if (entry.has_started) {
        answer.result = outcome::failed;
        answer.detail += "; it had been started before";
        return;
    }
    if (entry.ever_sent || entry.forward_pending || !entry.proven_new) {
        answer.result = outcome::unknown;
        answer.detail += "; an earlier attempt may have run";
    }
}

void request_handler::settle(const request_entry_ptr& entry,
                             base::answer answer) {
    if (entry->stage == request_stage::answered) {
        return;
    }
    const std::string id = entry->request.id;
    answer.bundle_version = m_context.bundle_version();
    m_context.locator->drop_round(id);
    if (answer.result == outcome::not_run && !answer.rejected) {
        correct_not_run(*entry, answer);
    }
    m_context.queue.remove(id);
    if (entry->charged_slots > 0) {
        m_context.queue.release_slots(entry->request.team,
                                      entry->charged_slots);
        entry->charged_slots = 0;
    }
    entry->stage = request_stage::answered;
    entry->final_answer = answer;
    entry->answered_at = m_context.now;
    m_context.requests.record_answered(id, m_context.now);
    m_context.effects.log({"request_answered",
                           {{"id", id},
                            {"outcome", base::to_string(answer.result)},
                            {"detail", answer.detail},
                            {"ran_at", answer.ran_at}}});
    for (caller_token caller : entry->callers) {
        m_context.effects.send_answer(caller, id, answer);
    }
    entry->callers.clear();
    for (const std::string& member : entry->attached_members) {
        m_context.effects.send_to_peer(
            member, wire::request_result{
                        id, wire::request_result_kind::answered, answer});
    }
    entry->attached_members.clear();
    if (entry->recorded) {
        if (answer.result == outcome::not_run && !entry->ever_sent) {
            m_context.intent_recorder->release_intent(id);
        } else {
            m_context.intent_recorder->record_answer(id, answer);
        }
    }
    if (!entry->parent_job_id.empty()) {
        m_context.job_coordinator->on_task_settled(entry->parent_job_id, id,
                                                   answer);
    }
}

void request_handler::cancel(const std::string& id) {
    request_entry_ptr entry = m_context.requests.find(id);
    if (!entry || entry->stage == request_stage::answered) {
        return;
    }
    entry->cancelled = true;
    switch (entry->stage) {
    case request_stage::queued:
    case request_stage::held:
    case request_stage::recording:
        settle(entry, make_answer(outcome::not_run, "cancelled"));
        return;
    case request_stage::placed:
        m_context.task_runner->stop_tasks(entry);
        return;
    case request_stage::remote:
        if (!entry->owner.empty()) {
            m_context.effects.send_to_peer(entry->owner, wire::cancel{id});
        }
        return;
    case request_stage::job:
        m_context.job_coordinator->cancel(entry);
        return;
    case request_stage::locating:
    case request_stage::answered:
        return;
    }
}

void request_handler::schedule_check(const std::string& id,
                                     base::instant when) {
    m_scheduled_checks.emplace(when, id);
}

void request_handler::advance() {
    for (const admission::work_item& work :
         m_context.queue.take_expired(m_context.now)) {
        request_entry_ptr entry = m_context.requests.find(work.request_id);
        if (entry) {
            settle_overdue(entry);
        }
    }
    while (!m_scheduled_checks.empty() &&
           m_scheduled_checks.begin()->first <= m_context.now) {
        std::string id = m_scheduled_checks.begin()->second;
        m_scheduled_checks.erase(m_scheduled_checks.begin());
        request_entry_ptr entry = m_context.requests.find(id);
        if (entry && entry->stage != request_stage::answered) {
            check_entry(entry);
        }
    }
}

void request_handler::check_entry(const request_entry_ptr& entry) {
    if (m_context.now >= entry->deadline && entry->is_lookup) {
        settle(entry, make_answer(outcome::unknown,
                                  "the member that may know it can't be asked",
                                  retry_after_uncertain));
        m_context.requests.erase(entry->request.id);
        return;
    }
    if (m_context.now >= entry->deadline && entry->has_request) {
        settle_overdue(entry);
        return;
    }
    if (entry->stage == request_stage::held &&
        m_context.now >= entry->next_check) {
        enqueue(entry);
        return;
    }
    bool awaits_member = entry->stage == request_stage::locating ||
                         entry->stage == request_stage::remote;
    if (!awaits_member || m_context.now < entry->next_check) {
        return;
    }
    entry->next_check = m_context.now + owner_check_period;
    schedule_check(entry->request.id, entry->next_check);
    if (entry->stage == request_stage::locating) {
        m_context.locator->start_round(entry);
        return;
    }
    const membership::member* owner =
        m_context.membership_view.find(entry->owner);
    if (owner == nullptr || owner->gone || owner->left) {
        entry->needs_locate = true;
        m_context.locator->start_round(entry);
        return;
    }
    m_context.locator->query_owner(entry);
}

void request_handler::settle_overdue(const request_entry_ptr& entry) {
    milliseconds retry_after = clamp_retry_after(expected_wait(0));
    switch (entry->stage) {
    case request_stage::queued:
    case request_stage::held:
    case request_stage::recording:
        settle(entry, make_answer(outcome::not_run,
                                  "no room before the deadline", retry_after));
        return;
    case request_stage::locating:
    case request_stage::remote:
        settle(
            entry,
            make_answer(
                outcome::unknown,
                "the member that may run it did not say so before the deadline",
                retry_after_uncertain));
        return;
    case request_stage::placed: {
        m_context.task_runner->stop_tasks(entry);
        if (entry->stage == request_stage::answered) {
            return;
        }
        bool is_certain = entry->has_started && entry->request.repeatable;
        settle(entry,
               make_answer(is_certain ? outcome::failed : outcome::unknown,
                           "the deadline passed while it ran"));
        return;
    }
    case request_stage::job:
        m_context.job_coordinator->cancel(entry);
        return;
    case request_stage::answered:
        return;
    }
}

} // namespace eelgrasslever::node
