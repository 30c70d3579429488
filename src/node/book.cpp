#include "eelgrasslever/node/book.hpp"

namespace eelgrasslever::node {

namespace {

constexpr std::size_t answered_limit = 20000;

} // namespace

const char* to_string(stage value) {
    switch (value) {
    case stage::locating:
        return "locating";
    case stage::recording:
        return "recording";
    case stage::queued:
        return "queued";
    case stage::placed:
        return "placed";
    case stage::remote:
        return "remote";
    case stage::job:
        return "job";
    case stage::held:
        return "held";
    case stage::answered:
        return "answered";
    }
    return "answered";
}

entry_ptr book::find(const std::string& id) const {
    auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : found->second;
}

entry_ptr book::add(const std::string& id) {
    auto fresh = std::make_shared<entry>();
    fresh->request.id = id;
    m_entries[id] = fresh;
    return fresh;
}

void book::erase(const std::string& id) {
    m_entries.erase(id);
}

bool book::has_open_tasks_under(const std::string& id) const {
    std::string prefix = id + "/";
    auto at = m_entries.lower_bound(prefix);
    for (; at != m_entries.end() && at->first.starts_with(prefix); ++at) {
        if (!at->second->open_tasks.empty() && !at->second->has_request) {
            return true;
        }
    }
    return false;
}

void book::note_answered(const std::string& id, base::instant now) {
    m_answered.push_back({id, now});
}

void book::expire(base::instant now, base::milliseconds retention) {
    while (!m_answered.empty()) {
        const answered& oldest = m_answered.front();
        bool old = now - oldest.at > retention;
        if (!old && m_answered.size() <= answered_limit) {
            return;
        }
        auto found = m_entries.find(oldest.id);
        bool same = found != m_entries.end() &&
                    found->second->at == stage::answered &&
                    found->second->answered_at == oldest.at;
        if (same) {
            m_entries.erase(found);
        }
        m_answered.pop_front();
    }
}

} // namespace eelgrasslever::node
