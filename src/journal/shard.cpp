#include "eelgrasslever/journal/shard.hpp"

#include "eelgrasslever/base/json.hpp"

#include <utility>
#include <xxhash.h>

namespace eelgrasslever::journal {

namespace {

// Expired entries are dropped only when the stored value exceeds this size, so
// that small deployments keep answers longer.
constexpr std::size_t prune_threshold_bytes = 64 * 1024;

void erase_expired(entries& journal_entries, std::int64_t now_unix_ms) {
    std::erase_if(journal_entries, [now_unix_ms](const auto& element) {
        bool may_be_dropped = element.second.final_answer.has_value() ||
                              element.second.request_text.empty();
        return may_be_dropped && element.second.expires_unix_ms < now_unix_ms;
    });
}

/// The value stored under the shard's key.
struct stored_shard {
    std::string writer;
    std::uint64_t sequence{0};
    entries stored_entries;
};

void from_json(const nlohmann::json& json, stored_shard& shard) {
    shard.writer = json.value("writer", "");
    shard.sequence = json.value("sequence", std::uint64_t{0});
    if (json.contains("entries")) {
        shard.stored_entries = json["entries"].get<entries>();
    }
}

const entry* find_entry(const entries& journal_entries, const std::string& id) {
    auto found = journal_entries.find(id);
    return found == journal_entries.end() ? nullptr : &found->second;
}

} // namespace

shard::shard(std::string key, std::string writer)
    : m_key(std::move(key)), m_writer(std::move(writer)) {}

void shard::submit(operation op) {
    m_queued.push_back(std::move(op));
}

void shard::reload(std::function<void(const entries*)> on_read) {
    m_readers.push_back(std::move(on_read));
}

std::string shard::serialize() const {
    nlohmann::json json = {{"writer", m_writer},
                           {"sequence", m_sequence},
                           {"entries", m_proposed}};
    return json.dump();
}

std::optional<store::call> shard::next_call(std::int64_t now_unix_ms) {
    if (m_in_flight) {
        return std::nullopt;
    }
    bool has_operations = !m_queued.empty() || !m_committing.empty();
    if (!has_operations && m_readers.empty()) {
        return std::nullopt;
    }
    store::call call;
    call.key = m_key;
    if (!m_cache_valid || !m_readers.empty() || m_write_unconfirmed) {
        call.kind = store::call_kind::read;
        m_in_flight = true;
        return call;
    }
    // Apply all queued operations in order, so that one write commits them.
    for (operation& op : m_queued) {
        m_committing.push_back(std::move(op));
    }
    m_queued.clear();
    m_proposed = m_entries;
    if (m_value_bytes > prune_threshold_bytes) {
        erase_expired(m_proposed, now_unix_ms);
    }
    std::vector<operation> accepted;
    for (operation& op : m_committing) {
        const entry* present = find_entry(m_proposed, op.id);
        auto changed = op.change(present);
        if (!changed) {
            op.on_done(commit_result::refused, present);
            continue;
        }
        m_proposed[op.id] = std::move(*changed);
        accepted.push_back(std::move(op));
    }
    m_committing = std::move(accepted);
    if (m_committing.empty()) {
        return std::nullopt;
    }
    m_sequence++;
    call.kind = store::call_kind::write;
    call.expected_version = m_version;
    call.value = serialize();
    m_in_flight = true;
    return call;
}

void shard::on_reply(const store::call& call, const store::reply& reply) {
    m_in_flight = false;
    if (call.kind == store::call_kind::read) {
        on_read(reply);
    } else {
        on_write(reply);
    }
}

bool shard::load(const store::reply& reply) {
    m_cache_valid = true;
    m_version = reply.version;
    m_value_bytes = reply.value.size();
    m_entries.clear();
    m_stored_writer.clear();
    m_stored_sequence = 0;
    if (reply.version == store::absent) {
        return true;
    }
    auto parsed =
        base::parse_message<stored_shard>(reply.value, "journal.read", m_key);
    if (!parsed) {
        return false;
    }
    m_stored_writer = parsed->writer;
    m_stored_sequence = parsed->sequence;
    m_entries = std::move(parsed->stored_entries);
    return true;
}

void shard::on_read(const store::reply& reply) {
    // A value that can't be read is never overwritten.
    if (reply.result != store::status::ok || !load(reply)) {
        m_cache_valid = false;
        fail_pending();
        return;
    }
    if (m_write_unconfirmed) {
        m_write_unconfirmed = false;
        bool is_own_write =
            m_stored_writer == m_writer && m_stored_sequence == m_sequence;
        if (is_own_write) {
            complete_committing();
        }
    }
    auto readers = std::move(m_readers);
    m_readers.clear();
    for (auto& reader : readers) {
        reader(&m_entries);
    }
}

void shard::on_write(const store::reply& reply) {
    switch (reply.result) {
    case store::status::ok:
        m_version = reply.version;
        m_entries = m_proposed;
        m_stored_writer = m_writer;
        m_stored_sequence = m_sequence;
        complete_committing();
        return;
    case store::status::conflict:
        // The conflicting write may be an earlier one of this process whose
        // reply was lost.
        m_cache_valid = false;
        m_write_unconfirmed = true;
        return;
    case store::status::unreachable:
        m_cache_valid = false;
        m_write_unconfirmed = true;
        return;
    case store::status::refused:
        m_cache_valid = false;
        fail_pending();
        return;
    }
}

void shard::complete_committing() {
    auto committed = std::move(m_committing);
    m_committing.clear();
    for (operation& op : committed) {
        op.on_done(commit_result::recorded, find_entry(m_entries, op.id));
    }
}

void shard::fail_pending() {
    m_write_unconfirmed = false;
    auto failed = std::move(m_committing);
    m_committing.clear();
    for (operation& op : m_queued) {
        failed.push_back(std::move(op));
    }
    m_queued.clear();
    auto readers = std::move(m_readers);
    m_readers.clear();
    for (operation& op : failed) {
        op.on_done(commit_result::unavailable, nullptr);
    }
    for (auto& reader : readers) {
        reader(nullptr);
    }
}

std::size_t shard_of(const std::string& id, std::size_t shards) {
    return XXH3_64bits(id.data(), id.size()) % shards;
}

} // namespace eelgrasslever::journal
