#include "eelgrasslever/node/recorder.hpp"

#include "eelgrasslever/base/json.hpp"
#include "eelgrasslever/node/intake.hpp"
#include "eelgrasslever/node/jobs.hpp"
#include "eelgrasslever/node/locator.hpp"

#include <utility>

namespace eelgrasslever::node {

using base::outcome;
using journal::commit_result;

namespace {

constexpr std::int64_t entry_lifetime_ms = 24LL * 3600 * 1000;
constexpr base::milliseconds save_retry{1000};
constexpr base::milliseconds retry_after_store{2000};
constexpr std::size_t never_sent_limit = 50000;

} // namespace

recorder::recorder(context& shared) : m_context(shared) {
    for (std::size_t i = 0; i < shared.config.journal_shards; ++i) {
        std::string key = "journal/" + std::to_string(i);
        m_by_key[key] = i;
        m_shards.push_back(
            std::make_unique<journal::shard>(key, shared.config.id));
    }
}

bool recorder::owns_key(const std::string& key) const {
    return m_by_key.contains(key);
}

void recorder::submit(journal::operation op) {
    std::size_t at = journal::shard_of(op.id, m_shards.size());
    m_shards[at]->submit(std::move(op));
    pump(*m_shards[at]);
}

void recorder::pump(journal::shard& shard) {
    auto call = shard.next_call(m_context.unix_now_ms());
    if (call) {
        m_context.out.call_store(*call);
    }
}

void recorder::on_reply(const store::call& call, const store::reply& reply) {
    journal::shard& shard = *m_shards[m_by_key.at(call.key)];
    shard.on_reply(call, reply);
    pump(shard);
}

journal::entry recorder::make_entry(const entry_ptr& item) const {
    journal::entry out;
    out.owner = m_context.config.id;
    out.failure_domain = m_context.config.failure_domain;
    out.expires_unix_ms = m_context.unix_now_ms() + entry_lifetime_ms;
    if (admission::find_policy(item->request.kind)->durable()) {
        out.request_text = admission::to_json_object(item->request).dump();
        out.deadline_unix_ms =
            m_context.unix_now_ms() + (item->deadline - m_context.now).count();
    }
    return out;
}

void recorder::record_intent(const entry_ptr& item) {
    journal::operation op;
    op.id = item->request.id;
    op.change =
        [this,
         item](const journal::entry* present) -> std::optional<journal::entry> {
        bool mine = present != nullptr && !present->final_answer &&
                    present->owner == m_context.config.id &&
                    m_never_sent.contains(item->request.id);
        bool released = present != nullptr && !present->final_answer &&
                        present->owner.empty() && present->request_text.empty();
        if (present != nullptr && !mine && !released) {
            return std::nullopt;
        }
        return make_entry(item);
    };
    op.on_done = [this, item](commit_result result,
                              const journal::entry* present) {
        on_intent(item, result, present);
    };
    submit(std::move(op));
}

void recorder::on_intent(const entry_ptr& item, commit_result result,
                         const journal::entry* present) {
    const std::string& id = item->request.id;
    if (item->at != stage::recording) {
        // Answered `not_run` meanwhile; nothing was sent under this intent.
        if (result == commit_result::recorded) {
            release_intent(id);
        }
        return;
    }
    if (result == commit_result::recorded) {
        m_never_sent.erase(id);
        if (!item->request.traceparent.empty()) {
            m_context.out.span({item->request.traceparent, "journal", id,
                                item->received, m_context.now});
        }
        item->recorded = true;
        item->proven_new = true;
        item->needs_locate = false;
        if (!m_context.intake->admit(item)) {
            return;
        }
        bool durable = admission::find_policy(item->request.kind)->durable();
        if (durable) {
            m_context.jobs->start(item);
        } else {
            m_context.intake->enqueue(item);
        }
        return;
    }
    if (result == commit_result::unavailable) {
        // The write may yet appear, so a later attempt here must know that
        // this one was never sent.
        if (m_never_sent.size() < never_sent_limit) {
            m_never_sent.insert(id);
        }
        m_context.intake->settle(
            item, make_answer(outcome::not_run,
                              "the intent could not be recorded: the "
                              "platform's store is out of reach",
                              retry_after_store));
        return;
    }
    on_known_intent(item, *present);
}

// Another submission of this id was recorded before.
void recorder::on_known_intent(const entry_ptr& item,
                               const journal::entry& present) {
    if (present.final_answer) {
        m_context.intake->settle(item, *present.final_answer);
        return;
    }
    bool job = !present.request_text.empty();
    const membership::member* home = m_context.roster.find(present.owner);
    bool heard =
        home != nullptr && m_context.roster.is_alive(*home, m_context.now);
    item->ever_sent = true;
    if (heard && !home->gone) {
        item->at = stage::remote;
        item->home = present.owner;
        item->next_check = m_context.now;
        m_context.intake->wake_at(item->request.id, m_context.now);
        if (job) {
            for (caller_token caller : item->callers) {
                m_context.out.accept(caller, item->request.id);
            }
            item->callers.clear();
        }
        return;
    }
    if (job) {
        // It is recorded, so some member takes it over.
        for (caller_token caller : item->callers) {
            m_context.out.accept(caller, item->request.id);
        }
        m_context.book.erase(item->request.id);
        m_context.jobs->scan_soon();
        return;
    }
    bool gone_here = home != nullptr && home->gone &&
                     home->failure_domain == m_context.config.failure_domain;
    if (gone_here) {
        m_context.locator->start(item);
        return;
    }
    m_context.intake->settle(
        item, make_answer(outcome::unknown,
                          "the entry VM that recorded it can't be asked; it "
                          "may have run",
                          retry_after_store));
}

void recorder::record_answer(const std::string& id, const base::answer& value) {
    constexpr std::size_t body_limit = 4096;
    base::answer kept = value;
    if (kept.body.size() > body_limit) {
        // The journal keeps the outcome; the whole body stays with its home.
        kept.body.clear();
        kept.detail = "the result was too large to keep after its home left";
    }
    m_unsaved[id] = kept;
    journal::operation op;
    op.id = id;
    op.change =
        [this,
         kept](const journal::entry* present) -> std::optional<journal::entry> {
        journal::entry next = present != nullptr ? *present : journal::entry{};
        if (next.final_answer) {
            return std::nullopt;
        }
        next.owner = m_context.config.id;
        next.failure_domain = m_context.config.failure_domain;
        next.expires_unix_ms = m_context.unix_now_ms() + entry_lifetime_ms;
        next.request_text.clear();
        next.finished.clear();
        next.final_answer = kept;
        return next;
    };
    op.on_done = [this, id](commit_result result, const journal::entry*) {
        if (result != commit_result::unavailable) {
            m_unsaved.erase(id);
        }
    };
    submit(std::move(op));
}

void recorder::release_intent(const std::string& id) {
    if (m_never_sent.size() < never_sent_limit) {
        m_never_sent.insert(id);
    }
    journal::operation op;
    op.id = id;
    op.change =
        [this](const journal::entry* present) -> std::optional<journal::entry> {
        bool mine = present != nullptr && !present->final_answer &&
                    present->owner == m_context.config.id;
        if (!mine) {
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

void recorder::look_up(
    const std::string& id,
    std::function<void(bool reached, const journal::entry*)> done) {
    std::size_t at = journal::shard_of(id, m_shards.size());
    m_shards[at]->reload(
        [id, done = std::move(done)](const journal::entries* all) {
            if (all == nullptr) {
                done(false, nullptr);
                return;
            }
            auto found = all->find(id);
            done(true, found == all->end() ? nullptr : &found->second);
        });
    pump(*m_shards[at]);
}

void recorder::scan(
    const std::function<void(const journal::entries&)>& on_shard) {
    for (auto& shard : m_shards) {
        shard->reload([on_shard](const journal::entries* all) {
            if (all != nullptr) {
                on_shard(*all);
            }
        });
        pump(*shard);
    }
}

void recorder::advance() {
    if (m_context.now < m_next_save) {
        return;
    }
    m_next_save = m_context.now + save_retry;
    auto again = m_unsaved;
    for (const auto& [id, value] : again) {
        std::size_t at = journal::shard_of(id, m_shards.size());
        if (m_shards[at]->pending_operations() == 0) {
            record_answer(id, value);
        }
    }
}

bool recorder::idle() const {
    if (!m_unsaved.empty()) {
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
