// How entries end: answers, cancellations, deadlines, and what is looked at
// again until then.
#include "eelgrasslever/node/intake.hpp"
#include "eelgrasslever/node/jobs.hpp"
#include "eelgrasslever/node/locator.hpp"
#include "eelgrasslever/node/recorder.hpp"
#include "eelgrasslever/node/runner.hpp"
#include "intake_times.hpp"

#include <utility>

namespace eelgrasslever::node {

using base::milliseconds;
using base::outcome;

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
