#include "eelgrasslever/node/configurator.hpp"

#include "eelgrasslever/base/json.hpp"

#include <utility>

namespace eelgrasslever::node {

using base::error_code;
using base::milliseconds;

namespace {

constexpr milliseconds watch_wait{5000};
constexpr milliseconds read_retry{500};
constexpr milliseconds slow_read_period{10000};
constexpr milliseconds contact_memory{3000};
constexpr milliseconds rollout_limit{3000};

} // namespace

base::result<void> configurator::offer_bundle(const std::string& text,
                                              const std::string& source) {
    auto envelope = bundle::parse_envelope(text);
    if (!envelope) {
        return tl::unexpected(envelope.error());
    }
    auto document = bundle::verify(*envelope, m_context.config.operators);
    if (!document) {
        m_context.out.log(
            {"bundle_refused",
             {{"source", source}, {"why", document.error().message()}}});
        return tl::unexpected(document.error());
    }
    if (document->version <= m_context.bundle_version()) {
        return {};
    }
    m_context.bundle_in_force = *document;
    m_text = text;
    m_context.fleet.set_weights(document->weights);
    m_last_share_index = -1;
    apply_quotas();
    m_context.out.log({"bundle_in_force",
                       {{"version", std::to_string(document->version)},
                        {"author", envelope->author},
                        {"approver", envelope->approver},
                        {"source", source}}});
    for (const membership::member* who : m_context.roster.possible_owners()) {
        relay_to(who->id, who->bundle_version, who->list_version);
    }
    return {};
}

void configurator::apply_quotas() {
    if (!m_context.bundle_in_force) {
        return;
    }
    int count = m_context.roster.member_count_in_fd();
    int index = m_context.roster.member_index_in_fd();
    if (count == m_last_share_count && index == m_last_share_index) {
        return;
    }
    m_last_share_count = count;
    m_last_share_index = index;
    // The shares of all members add up to the quota exactly.
    for (const auto& [name, rule] : m_context.bundle_in_force->teams) {
        std::int64_t share = rule.quota_slots / count;
        if (index < rule.quota_slots % count) {
            share++;
        }
        m_context.queue.set_quota(name, share);
    }
}

void configurator::offer_vm_list(const std::string& text,
                                 const std::string& source) {
    auto list = membership::parse_vm_list(text);
    if (!list) {
        m_context.out.log(
            {"vm_list_refused",
             {{"source", source}, {"why", list.error().message()}}});
        return;
    }
    if (list->version <= m_list.version) {
        return;
    }
    m_list = *list;
    m_list_text = text;
    apply_vm_list();
}

void configurator::apply_vm_list() {
    m_endpoints_here.clear();
    for (const auto& [name, record] : m_list.vms) {
        bool here = record.role == membership::vm_role::endpoint &&
                    record.failure_domain == m_context.config.failure_domain;
        if (here) {
            m_endpoints_here.insert(name);
        }
    }
    m_context.fleet.set_listed_endpoints(m_endpoints_here);
    for (const std::string& name : m_endpoints_here) {
        m_context.fleet.set_leaving(name, m_list.vms.at(name).leaving);
    }
    m_context.roster.on_vm_list(m_list, m_context.now);
}

void configurator::on_document(const wire::document& document) {
    if (document.kind == wire::document_kind::bundle) {
        // A peer's word counts no more than the operators' signatures.
        auto offered = offer_bundle(document.text, "peer");
        (void)offered;
        return;
    }
    offer_vm_list(document.text, "peer");
}

void configurator::relay_to(const std::string& member,
                            std::uint64_t bundle_version,
                            std::uint64_t list_version) {
    if (!m_text.empty() && bundle_version < m_context.bundle_version()) {
        m_context.out.send_peer(
            member, wire::document{wire::document_kind::bundle,
                                   m_context.bundle_version(), m_text});
    }
    if (!m_list_text.empty() && list_version < m_list.version) {
        m_context.out.send_peer(member,
                                wire::document{wire::document_kind::vm_list,
                                               m_list.version, m_list_text});
    }
}

bool configurator::platform_reached() const {
    return m_contacted &&
           m_context.now - m_last_contact < contact_memory + watch_wait;
}

// The member with the lowest id among those that reach the platform watches
// it; the others look now and then, in case the reader is stuck.
bool configurator::is_reader() const {
    for (const auto& [id, who] : m_context.roster.members()) {
        bool better = who.failure_domain == m_context.config.failure_domain &&
                      m_context.roster.is_alive(who, m_context.now) &&
                      who.platform_reached && id < m_context.config.id;
        if (better) {
            return false;
        }
    }
    return true;
}

void configurator::read_head() {
    m_head_in_flight = true;
    store::call call;
    call.kind = store::call_kind::read;
    call.key = bundle_head_key;
    call.known_version = m_head_store_version;
    call.wait = is_reader() ? watch_wait : milliseconds(0);
    m_context.out.call_store(call);
}

void configurator::advance() {
    if (!m_head_in_flight && m_context.now >= m_next_head) {
        read_head();
    }
    if (!m_list_in_flight && m_context.now >= m_next_list) {
        m_list_in_flight = true;
        store::call call;
        call.kind = store::call_kind::vm_list;
        call.known_version = m_list.version;
        call.wait = is_reader() ? watch_wait : milliseconds(0);
        m_context.out.call_store(call);
    }
    bool overdue = !m_rollouts.empty() && !m_write_in_flight &&
                   m_context.now >= m_rollouts.front().give_up;
    if (overdue) {
        const char* detail =
            m_rollouts.front().uncertain
                ? "the write's reply was lost; it may be in force: ask "
                  "`eelctl bundle show` before trying again"
                : "the platform's store is out of reach; nothing was written";
        finish_rollout(base::fail(error_code::unreachable, "bundle.rollout",
                                  "platform", detail));
    }
}

void configurator::on_reply(const store::call& call,
                            const store::reply& reply) {
    bool reached = reply.result == store::status::ok ||
                   reply.result == store::status::conflict;
    if (reached) {
        m_last_contact = m_context.now;
        m_contacted = true;
    }
    milliseconds pause =
        !reached ? read_retry
                 : (is_reader() ? milliseconds(0) : slow_read_period);
    if (call.kind == store::call_kind::vm_list) {
        m_list_in_flight = false;
        m_next_list = m_context.now + pause;
        if (reached && !reply.value.empty()) {
            offer_vm_list(reply.value, "platform");
        }
        return;
    }
    if (call.kind == store::call_kind::write) {
        on_rollout_write(reply);
        return;
    }
    m_head_in_flight = false;
    m_next_head = m_context.now + pause;
    if (reached) {
        on_head(reply);
    }
}

void configurator::on_head(const store::reply& reply) {
    m_head_store_version = reply.version;
    if (!reply.value.empty()) {
        auto offered = offer_bundle(reply.value, "platform");
        (void)offered;
    }
    if (!m_rollouts.empty() && !m_write_in_flight) {
        continue_rollout(reply.value, reply.version);
    }
}

void configurator::roll_out(const std::string& text,
                            std::function<void(base::result<void>)> done) {
    auto envelope = bundle::parse_envelope(text);
    if (!envelope) {
        done(tl::unexpected(envelope.error()));
        return;
    }
    auto document = bundle::verify(*envelope, m_context.config.operators);
    if (!document) {
        done(tl::unexpected(document.error()));
        return;
    }
    rollout next;
    next.text = text;
    next.version = document->version;
    next.done = std::move(done);
    next.give_up = m_context.now + rollout_limit;
    m_rollouts.push_back(std::move(next));
    // A fresh look at the head decides which version is expected. A watch
    // under way may wait for seconds, so this read does not wait for it.
    store::call call;
    call.kind = store::call_kind::read;
    call.key = bundle_head_key;
    m_context.out.call_store(call);
}

void configurator::continue_rollout(const std::string& head_text,
                                    std::uint64_t head_version) {
    rollout& at = m_rollouts.front();
    if (head_text == at.text) {
        finish_rollout({});
        return;
    }
    std::uint64_t present = 0;
    std::string author;
    auto envelope = bundle::parse_envelope(head_text);
    if (!head_text.empty() && envelope) {
        auto document = bundle::parse_document(envelope->document_text);
        present = document ? document->version : 0;
        author = envelope->author;
    }
    if (at.version != present + 1) {
        std::string detail = "version " + std::to_string(present) + " by " +
                             (author.empty() ? "nobody" : author) +
                             " is in force; make the new bundle version " +
                             std::to_string(present + 1) + " on top of it";
        finish_rollout(base::fail(error_code::conflict, "bundle.rollout",
                                  "platform", detail));
        return;
    }
    store::call call;
    call.kind = store::call_kind::write;
    call.key = bundle_head_key;
    call.expected_version = head_version;
    call.value = at.text;
    m_write_in_flight = true;
    m_context.out.call_store(call);
}

void configurator::on_rollout_write(const store::reply& reply) {
    m_write_in_flight = false;
    if (m_rollouts.empty()) {
        return;
    }
    rollout& at = m_rollouts.front();
    if (reply.result == store::status::ok) {
        m_head_store_version = reply.version;
        auto offered = offer_bundle(at.text, "operator");
        (void)offered;
        finish_rollout({});
        return;
    }
    at.uncertain |= reply.result == store::status::unreachable;
    // The head says who won, or whether our write took effect after all.
    store::call call;
    call.kind = store::call_kind::read;
    call.key = bundle_head_key;
    m_context.out.call_store(call);
}

void configurator::finish_rollout(base::result<void> result) {
    auto done = std::move(m_rollouts.front().done);
    m_rollouts.erase(m_rollouts.begin());
    done(std::move(result));
}

} // namespace eelgrasslever::node
