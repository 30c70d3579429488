#include "eelgrasslever/cluster/advice_call_pool.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// Back-off of a channel after a call without a reply. The service may still
/// be processing that call, and a VM that can't reach it should not attract
/// further calls.
constexpr base::milliseconds failed_channel_backoff{700};

} // namespace

void admission_ratio::add(std::size_t asked, std::size_t admitted) {
    if (asked == 0) {
        return;
    }
    double seen = static_cast<double>(admitted) / static_cast<double>(asked);
    m_value = std::max(min_ratio, m_value + smoothing * (seen - m_value));
}

void advice_call_pool::set_channels(const std::vector<std::string>& names,
                                    base::instant) {
    std::map<std::string, channel> next;
    for (const std::string& name : names) {
        auto found = m_channels.find(name);
        next[name] = found == m_channels.end() ? channel{} : found->second;
    }
    m_channels = std::move(next);
}

std::optional<std::string> advice_call_pool::idle_channel(base::instant now) {
    for (const auto& [name, state] : m_channels) {
        if (!state.query && state.backoff_until <= now) {
            return name;
        }
    }
    return std::nullopt;
}

std::size_t advice_call_pool::idle_channel_count(base::instant now) const {
    return static_cast<std::size_t>(std::count_if(
        m_channels.begin(), m_channels.end(), [&](const auto& row) {
            return !row.second.query && row.second.backoff_until <= now;
        }));
}

std::uint64_t advice_call_pool::begin_call(const std::string& channel,
                                           const task_key& step,
                                           std::vector<std::string> candidates,
                                           base::milliseconds limit,
                                           base::instant now) {
    std::uint64_t query = m_next_query++;
    m_channels[channel].query = query;
    m_pending[query] = {step, std::move(candidates), channel, now, now + limit};
    return query;
}

std::optional<advice_call_pool::pending_call>
advice_call_pool::finish_call(std::uint64_t query, bool answered,
                              base::instant now) {
    auto found = m_pending.find(query);
    if (found == m_pending.end()) {
        return std::nullopt;
    }
    pending_call call = std::move(found->second);
    m_pending.erase(found);
    auto channel = m_channels.find(call.channel);
    if (channel != m_channels.end() && channel->second.query == query) {
        channel->second.query.reset();
        if (!answered) {
            channel->second.backoff_until = now + failed_channel_backoff;
        }
    }
    return call;
}

void advice_call_pool::detach_step(const task_key& step) {
    for (auto& [query, call] : m_pending) {
        if (call.step == step) {
            call.step = {};
        }
    }
}

std::vector<advice_call_pool::pending_call>
advice_call_pool::take_expired_calls(base::instant now) {
    std::vector<std::uint64_t> expired;
    for (const auto& [query, call] : m_pending) {
        if (call.expires <= now) {
            expired.push_back(query);
        }
    }
    std::vector<pending_call> calls;
    for (std::uint64_t query : expired) {
        calls.push_back(*finish_call(query, false, now));
    }
    return calls;
}

} // namespace eelgrasslever::cluster
