#include "eelgrasslever/node/request_table.hpp"

namespace eelgrasslever::node {

namespace {

// Bounds memory when answers arrive faster than the retention expires them.
constexpr std::size_t max_answered_entries = 20000;

} // namespace

const char* to_string(request_stage stage) {
    switch (stage) {
    case request_stage::locating:
        return "locating";
    case request_stage::recording:
        return "recording";
    case request_stage::queued:
        return "queued";
    case request_stage::placed:
        return "placed";
    case request_stage::remote:
        return "remote";
    case request_stage::job:
        return "job";
    case request_stage::held:
        return "held";
    case request_stage::answered:
        return "answered";
    }
    return "answered";
}

request_entry_ptr request_table::find(const std::string& id) const {
    auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : found->second;
}

request_entry_ptr request_table::add(const std::string& id) {
    auto entry = std::make_shared<request_entry>();
    entry->request.id = id;
    m_entries[id] = entry;
    return entry;
}

void request_table::erase(const std::string& id) {
    m_entries.erase(id);
}

bool request_table::has_open_subtasks(const std::string& id) const {
    std::string prefix = id + "/";
    auto next = m_entries.lower_bound(prefix);
    for (; next != m_entries.end() && next->first.starts_with(prefix); ++next) {
        if (!next->second->open_tasks.empty() && !next->second->has_request) {
            return true;
        }
    }
    return false;
}

void request_table::record_answered(const std::string& id, base::instant now) {
    m_answered.push_back({id, now});
}

void request_table::expire(base::instant now, base::milliseconds retention) {
    while (!m_answered.empty()) {
        const answered& oldest = m_answered.front();
        bool is_expired = now - oldest.answered_at > retention;
        if (!is_expired && m_answered.size() <= max_answered_entries) {
            return;
        }
        auto found = m_entries.find(oldest.id);
        bool is_same_answer = found != m_entries.end() &&
                              found->second->stage == request_stage::answered &&
                              found->second->answered_at == oldest.answered_at;
        if (is_same_answer) {
            m_entries.erase(found);
        }
        m_answered.pop_front();
    }
}

} // namespace eelgrasslever::node
