#include "eelgrasslever/node/configurator.hpp"

#include "eelgrasslever/base/json.hpp"

#include <utility>

namespace eelgrasslever::node {

using base::error_code;
using base::milliseconds;

namespace {

constexpr milliseconds watch_timeout{5000};
constexpr milliseconds read_retry_delay{500};
constexpr milliseconds slow_read_period{10000};
constexpr milliseconds contact_validity{3000};
constexpr milliseconds rollout_timeout{3000};

} // namespace

base::result<void> configurator::update_bundle(const std::string& text,
                                               const std::string& source) {
    auto envelope = bundle::parse_envelope(text);
    if (!envelope) {
        return tl::unexpected(envelope.error());
    }
    auto document = bundle::verify(*envelope, m_context.config.operators);
    if (!document) {
        m_context.effects.log(
            {"bundle_refused",
             {{"source", source}, {"why", document.error().message()}}});
        return tl::unexpected(document.error());
    }
    if (document->version <= m_context.bundle_version()) {
        return {};
    }
    m_context.active_bundle = *document;
    m_bundle_text = text;
    m_context.endpoint_pool.set_weights(document->weights);
    m_last_member_index = -1;
    redistribute_quotas();
    m_context.effects.log({"bundle_activated",
                           {{"version", std::to_string(document->version)},
                            {"author", envelope->author},
                            {"approver", envelope->approver},
                            {"source", source}}});
    for (const membership::member* member :
         m_context.membership_view.possible_owners()) {
        send_missing_documents(member->id, member->bundle_version,
                               member->list_version);
    }
    return {};
}

void configurator::redistribute_quotas() {
    if (!m_context.active_bundle) {
        return;
    }
    int count = m_context.membership_view.member_count_in_fd();
    int index = m_context.membership_view.member_index_in_fd();
    if (count == m_last_member_count && index == m_last_member_index) {
        return;
    }
    m_last_member_count = count;
    m_last_member_index = index;
    // The remainder goes to the members with the lowest indices, so that the
    // shares add up to the quota exactly.
    for (const auto& [name, rule] : m_context.active_bundle->teams) {
        std::int64_t share = rule.quota_slots / count;
        if (index < rule.quota_slots % count) {
            share++;
        }
        m_context.queue.set_quota(name, share);
    }
}

void configurator::update_vm_list(const std::string& text,
                                  const std::string& source) {
    auto list = membership::parse_vm_list(text);
    if (!list) {
        m_context.effects.log(
            {"vm_list_refused",
             {{"source", source}, {"why", list.error().message()}}});
        return;
    }
    if (list->version <= m_vm_list.version) {
        return;
    }
    m_vm_list = *list;
    m_vm_list_text = text;
    apply_vm_list();
}

void configurator::apply_vm_list() {
    m_domain_endpoints.clear();
    for (const auto& [name, record] : m_vm_list.vms) {
        bool is_domain_endpoint =
            record.role == membership::vm_role::endpoint &&
            record.failure_domain == m_context.config.failure_domain;
        if (is_domain_endpoint) {
            m_domain_endpoints.insert(name);
        }
    }
    m_context.endpoint_pool.set_listed_endpoints(m_domain_endpoints);
    for (const std::string& name : m_domain_endpoints) {
        m_context.endpoint_pool.set_leaving(name,
                                            m_vm_list.vms.at(name).leaving);
    }
    m_context.membership_view.on_vm_list(m_vm_list, m_context.now);
}

void configurator::on_document(const wire::document& document) {
    if (document.kind == wire::document_kind::bundle) {
        // A bundle from a peer needs the operators' signatures too.
        auto updated = update_bundle(document.text, "peer");
        (void)updated;
        return;
    }
    update_vm_list(document.text, "peer");
}

void configurator::send_missing_documents(const std::string& member,
                                          std::uint64_t bundle_version,
                                          std::uint64_t list_version) {
    if (!m_bundle_text.empty() && bundle_version < m_context.bundle_version()) {
        m_context.effects.send_to_peer(
            member, wire::document{wire::document_kind::bundle,
                                   m_context.bundle_version(), m_bundle_text});
    }
    if (!m_vm_list_text.empty() && list_version < m_vm_list.version) {
        m_context.effects.send_to_peer(
            member, wire::document{wire::document_kind::vm_list,
                                   m_vm_list.version, m_vm_list_text});
    }
}

bool configurator::platform_reached() const {
    return m_has_contacted_platform &&
           m_context.now - m_last_contact < contact_validity + watch_timeout;
}

// Among the members of the FD that reach the platform, the one with the lowest
// id watches it. The others poll it at a long period, in case that member is
// stuck.
bool configurator::is_platform_reader() const {
    for (const auto& [id, member] : m_context.membership_view.members()) {
        bool has_precedence =
            member.failure_domain == m_context.config.failure_domain &&
            m_context.membership_view.is_alive(member, m_context.now) &&
            member.platform_reached && id < m_context.config.id;
        if (has_precedence) {
            return false;
        }
    }
    return true;
}

void configurator::read_bundle_head() {
    m_head_in_flight = true;
    store::call call;
    call.kind = store::call_kind::read;
    call.key = bundle_head_key;
    call.known_version = m_head_store_version;
    call.wait = is_platform_reader() ? watch_timeout : milliseconds(0);
    m_context.effects.call_store(call);
}

void configurator::advance() {
    if (!m_head_in_flight && m_context.now >= m_next_head_read) {
        read_bundle_head();
    }
    if (!m_list_in_flight && m_context.now >= m_next_list_read) {
        m_list_in_flight = true;
        store::call call;
        call.kind = store::call_kind::vm_list;
        call.known_version = m_vm_list.version;
        call.wait = is_platform_reader() ? watch_timeout : milliseconds(0);
        m_context.effects.call_store(call);
    }
    bool is_rollout_overdue = !m_rollouts.empty() && !m_write_in_flight &&
                              m_context.now >= m_rollouts.front().times_out_at;
    if (is_rollout_overdue) {
        const char* detail =
            m_rollouts.front().uncertain
                ? "the write's reply was lost; it may be in force: ask `eelctl "
                  "bundle show` before trying again"
                : "the platform's store is out of reach; nothing was written";
        finish_rollout(base::fail(error_code::unreachable, "bundle.rollout",
                                  "platform", detail));
    }
}

void configurator::on_reply(const store::call& call,
                            const store::reply& reply) {
    bool is_reached = reply.result == store::status::ok ||
                      reply.result == store::status::conflict;
    if (is_reached) {
        m_last_contact = m_context.now;
        m_has_contacted_platform = true;
    }
    milliseconds delay =
        !is_reached
            ? read_retry_delay
            : (is_platform_reader() ? milliseconds(0) : slow_read_period);
    if (call.kind == store::call_kind::vm_list) {
        m_list_in_flight = false;
        m_next_list_read = m_context.now + delay;
        if (is_reached && !reply.value.empty()) {
            update_vm_list(reply.value, "platform");
        }
        return;
    }
    if (call.kind == store::call_kind::write) {
        on_rollout_write(reply);
        return;
    }
    m_head_in_flight = false;
    m_next_head_read = m_context.now + delay;
    if (is_reached) {
        on_bundle_head(reply);
    }
}

void configurator::on_bundle_head(const store::reply& reply) {
    m_head_store_version = reply.version;
    if (!reply.value.empty()) {
        auto updated = update_bundle(reply.value, "platform");
        (void)updated;
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
    next.times_out_at = m_context.now + rollout_timeout;
    m_rollouts.push_back(std::move(next));
    // This read of the head provides the version that the write expects. A
    // watch in flight may take seconds, so the read is sent at once.
    store::call call;
    call.kind = store::call_kind::read;
    call.key = bundle_head_key;
    m_context.effects.call_store(call);
}

void configurator::continue_rollout(const std::string& head_text,
                                    std::uint64_t head_version) {
    rollout& current = m_rollouts.front();
    if (head_text == current.text) {
        finish_rollout({});
        return;
    }
    std::uint64_t active_version = 0;
    std::string author;
    auto envelope = bundle::parse_envelope(head_text);
    if (!head_text.empty() && envelope) {
        auto document = bundle::parse_document(envelope->document_text);
        active_version = document ? document->version : 0;
        author = envelope->author;
    }
    if (current.version != active_version + 1) {
        std::string detail = "version " + std::to_string(active_version) +
                             " by " + (author.empty() ? "nobody" : author) +
                             " is in force; make the new bundle version " +
                             std::to_string(active_version + 1) +
                             " on top of it";
        finish_rollout(base::fail(error_code::conflict, "bundle.rollout",
                                  "platform", detail));
        return;
    }
    store::call call;
    call.kind = store::call_kind::write;
    call.key = bundle_head_key;
    call.expected_version = head_version;
    call.value = current.text;
    m_write_in_flight = true;
    m_context.effects.call_store(call);
}

void configurator::on_rollout_write(const store::reply& reply) {
    m_write_in_flight = false;
    if (m_rollouts.empty()) {
        return;
    }
    rollout& current = m_rollouts.front();
    if (reply.result == store::status::ok) {
        m_head_store_version = reply.version;
        auto updated = update_bundle(current.text, "operator");
        (void)updated;
        finish_rollout({});
        return;
    }
    current.uncertain |= reply.result == store::status::unreachable;
    // The head shows which bundle was written: another one, or this one
    // although the reply was lost.
    store::call call;
    call.kind = store::call_kind::read;
    call.key = bundle_head_key;
    m_context.effects.call_store(call);
}

void configurator::finish_rollout(base::result<void> result) {
    auto done = std::move(m_rollouts.front().done);
    m_rollouts.erase(m_rollouts.begin());
    done(std::move(result));
}

} // namespace eelgrasslever::node
