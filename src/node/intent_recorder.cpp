#include "eelgrasslever/node/intent_recorder.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/node/job_coordinator.hpp"
#include "eelgrasslever/node/locator.hpp"
#include "eelgrasslever/node/request_handler.hpp"

#include <utility>

namespace eelgrasslever::node {

using base::outcome;
using journal::commit_result;

namespace {

constexpr std::int64_t journal_entry_lifetime_ms = 24LL * 3600 * 1000;
constexpr base::milliseconds save_retry_period{1000};
constexpr base::milliseconds retry_after_store_failure{2000};
constexpr std::size_t max_unsent_intents = 50000;

} // namespace

intent_recorder::intent_recorder(context& shared) : m_context(shared) {
    for (std::size_t i = 0; i < shared.config.journal_shards; ++i) {
        std::string key = "journal/" + std::to_string(i);
        m_by_key[key] = i;
        m_shards.push_back(
            std::make_unique<journal::shard>(key, shared.config.id));
    }
}

bool intent_recorder::owns_key(const std::string& key) const {
    return m_by_key.contains(key);
}

void intent_recorder::submit(journal::operation op) {
    std::size_t index = journal::shard_of(op.id, m_shards.size());
    m_shards[index]->submit(std::move(op));
    send_next_call(*m_shards[index]);
}

void intent_recorder::send_next_call(journal::shard& shard) {
    auto call = shard.next_call(m_context.unix_now_ms());
    if (call) {
        m_context.effects.call_store(*call);
    }
}

void intent_recorder::on_reply(const store::call& call,
                               const store::reply& reply) {
    journal::shard& shard = *m_shards[m_by_key.at(call.key)];
    shard.on_reply(call, reply);
    send_next_call(shard);
}

journal::entry
intent_recorder::make_journal_entry(const request_entry_ptr& entry) const {
    journal::entry next;
    next.owner = m_context.config.id;
    next.failure_domain = m_context.config.failure_domain;
    next.expires_unix_ms = m_context.unix_now_ms() + journal_entry_lifetime_ms;
    if (admission::find_policy(entry->request.kind)->is_durable()) {
        next.request_text = admission::to_json_object(entry->request).dump();
        next.deadline_unix_ms =
            m_context.unix_now_ms() + (entry->deadline - m_context.now).count();
    }
    return next;
}

void intent_recorder::record_intent(const request_entry_ptr& entry) {
    journal::operation op;
    op.id = entry->request.id;
    op.change =
        [this, entry](
            const journal::entry* present) -> std::optional<journal::entry> {
        bool is_owner = present != nullptr && !present->final_answer &&
                        present->owner == m_context.config.id &&
                        m_unsent_intents.contains(entry->request.id);
        bool is_released = present != nullptr && !present->final_answer &&
                           present->owner.empty() &&
                           present->request_text.empty();
        if (present != nullptr && !is_owner && !is_released) {
            return std::nullopt;
        }
        return make_journal_entry(entry);
    };
    op.on_done = [this, entry](commit_result result,
                               const journal::entry* present) {
        on_intent_committed(entry, result, present);
    };
    submit(std::move(op));
}

void intent_recorder::on_intent_committed(const request_entry_ptr& entry,
                                          commit_result result,
                                          const journal::entry* present) {
    const std::string& id = entry->request.id;
    if (entry->stage != request_stage::recording) {
        // The request was answered `not_run` in the meantime, so no start was
        // sent under this intent.
        if (result == commit_result::recorded) {
            release_intent(id);
        }
        return;
    }
    if (result == commit_result::recorded) {
        m_unsent_intents.erase(id);
        if (!entry->request.traceparent.empty()) {
            m_context.effects.record_span({entry->request.traceparent,
                                           "journal", id, entry->received_at,
                                           m_context.now});
        }
        entry->recorded = true;
        entry->proven_new = true;
        entry->needs_locate = false;
        if (!m_context.request_handler->admit(entry)) {
            return;
        }
        bool is_durable =
            admission::find_policy(entry->request.kind)->is_durable();
        if (is_durable) {
            m_context.job_coordinator->start(entry);
        } else {
            m_context.request_handler->enqueue(entry);
        }
        return;
    }
    if (result == commit_result::unavailable) {
        // The write may still take effect. Remembering that no start was sent
        // lets a later attempt on this VM reuse the intent.
        if (m_unsent_intents.size() < max_unsent_intents) {
            m_unsent_intents.insert(id);
        }
        m_context.request_handler->settle(
            entry, make_answer(outcome::not_run,
                               "the intent could not be recorded: the "
                               "platform's store is out of reach",
                               retry_after_store_failure));
        return;
    }
    on_existing_intent(entry, *present);
}

// Handles an intent that another submission of this id recorded before.
void intent_recorder::on_existing_intent(const request_entry_ptr& entry,
                                         const journal::entry& present) {
    if (present.final_answer) {
        m_context.request_handler->settle(entry, *present.final_answer);
        return;
    }
    bool is_job = !present.request_text.empty();
    const membership::member* owner =
        m_context.membership_view.find(present.owner);
    bool is_owner_alive =
        owner != nullptr &&
        m_context.membership_view.is_alive(*owner, m_context.now);
    entry->ever_sent = true;
    if (is_owner_alive && !owner->gone) {
        entry->stage = request_stage::remote;
        entry->owner = present.owner;
        entry->next_check = m_context.now;
        m_context.request_handler->schedule_check(entry->request.id,
                                                  m_context.now);
        if (is_job) {
            for (caller_token caller : entry->callers) {
                m_context.effects.send_accepted(caller, entry->request.id);
            }
            entry->callers.clear();
        }
        return;
    }
    if (is_job) {
        // The job is in the journal, so a member of its FD takes it over.
        for (caller_token caller : entry->callers) {
            m_context.effects.send_accepted(caller, entry->request.id);
        }
        m_context.requests.erase(entry->request.id);
        m_context.job_coordinator->request_scan();
        return;
    }
    bool is_owner_gone =
        owner != nullptr && owner->gone &&
        owner->failure_domain == m_context.config.failure_domain;
    if (is_owner_gone) {
        m_context.locator->start_round(entry);
        return;
    }
    m_context.request_handler->settle(
        entry,
        make_answer(
            outcome::unknown,
            "the entry VM that recorded it can't be asked; it may have run",
            retry_after_store_failure));
}

void intent_recorder::record_answer(const std::string& id,
                                    const base::answer& answer) {
    constexpr std::size_t max_body_bytes = 4096;
    base::answer stored = answer;
    if (stored.body.size() > max_body_bytes) {
        // The journal keeps the outcome; only the owner keeps the whole body.
        stored.body.clear();
        stored.detail = "the result was too large to keep after its home left";
    }
    m_unsaved_answers[id] = stored;
    journal::operation op;
    op.id = id;
    op.change =
        [this, stored](
            const journal::entry* present) -> std::optional<journal::entry> {
        journal::entry next = present != nullptr ? *present : journal::entry{};
        if (next.final_answer) {
            return std::nullopt;
        }
        next.owner = m_context.config.id;
        next.failure_domain = m_context.config.failure_domain;
        next.expires_unix_ms =
            m_context.unix_now_ms() + journal_entry_lifetime_ms;
        next.request_text.clear();
        next.finished.clear();
        next.final_answer = stored;
        return next;
    };
    op.on_done = [this, id](commit_result result, const journal::entry*) {
        if (result != commit_result::unavailable) {
            m_unsaved_answers.erase(id);
        }
    };
    submit(std::move(op));
}

void intent_recorder::release_intent(const std::string& id) {
    if (m_unsent_intents.size() < max_unsent_intents) {
        m_unsent_intents.insert(id);
    }
    journal::operation op;
    op.id = id;
    op.change =
        [this](const journal::entry* present) -> std::optional<journal::entry> {
        bool is_owner = present != nullptr && !present->final_answer &&
                        present->owner == m_context.config.id;
        if (!is_owner) {
            return std::nullopt;
        }
        journal::entry next = *present;
        next.owner.clear();
        next.request_text.clear();
        return next;
    };
    op.on_done = [](commit_result, const journal::entry*) {};
    submit(std::move(op));
}

void intent_recorder::look_up(
    const std::string& id,
    std::function<void(bool reached, const journal::entry*)> done) {
    std::size_t index = journal::shard_of(id, m_shards.size());
    m_shards[index]->reload([id, done = std::move(done)](
                                const journal::entries* shard_entries) {
        if (shard_entries == nullptr) {
            done(false, nullptr);
            return;
        }
        auto found = shard_entries->find(id);
        done(true, found == shard_entries->end() ? nullptr : &found->second);
    });
    send_next_call(*m_shards[index]);
}

void intent_recorder::scan(
    const std::function<void(const journal::entries&)>& on_shard) {
    for (auto& shard : m_shards) {
        shard->reload([on_shard](const journal::entries* shard_entries) {
            if (shard_entries != nullptr) {
                on_shard(*shard_entries);
            }
        });
        send_next_call(*shard);
    }
}

void intent_recorder::advance() {
    if (m_context.now < m_next_retry) {
        return;
    }
    m_next_retry = m_context.now + save_retry_period;
    auto unsaved = m_unsaved_answers;
    for (const auto& [id, answer] : unsaved) {
        std::size_t index = journal::shard_of(id, m_shards.size());
        if (m_shards[index]->pending_operations() == 0) {
            record_answer(id, answer);
        }
    }
}

bool intent_recorder::idle() const {
    if (!m_unsaved_answers.empty()) {
        return false;
    }
    for (const auto& shard : m_shards) {
        if (shard->pending_operations() > 0) {
            return false;
        }
    }
    return true;
}

} // namespace eelgrasslever::node
