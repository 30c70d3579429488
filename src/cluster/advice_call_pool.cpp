#include "eelgrasslever/cluster/advice_call_pool.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// Pause of a channel whose call failed. The service may still be at work on
/// that call, and a VM that is cut off should not draw calls.
constexpr base::milliseconds failed_channel_pause{700};

} // namespace

void admitted_share::add(std::size_t asked, std::size_t admitted) {
    if (asked == 0) {
        return;
    }
    double seen = static_cast<double>(admitted) / static_cast<double>(asked);
    m_value = std::max(floor, m_value + weight * (seen - m_value));
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
        if (!state.query && state.rest_until <= now) {
            return name;
        }
    }
    return std::nullopt;
}

std::size_t advice_call_pool::idle_count(base::instant now) const {
    return static_cast<std::size_t>(std::count_if(
        m_channels.begin(), m_channels.end(), [&](const auto& row) {
            return !row.second.query && row.second.rest_until <= now;
        }));
}

std::uint64_t advice_call_pool::begin(const std::string& channel,
                                      const task_key& step,
                                      std::vector<std::string> candidates,
                                      base::milliseconds limit,
                                      base::instant now) {
    std::uint64_t query = m_next++;
    m_channels[channel].query = query;
    m_pending[query] = {step, std::move(candidates), channel, now, now + limit};
    return query;
}

std::optional<advice_call_pool::pending>
advice_call_pool::end(std::uint64_t query, bool answered, base::instant now) {
    auto found = m_pending.find(query);
    if (found == m_pending.end()) {
        return std::nullopt;
    }
    pending out = std::move(found->second);
    m_pending.erase(found);
    auto channel = m_channels.find(out.channel);
    if (channel != m_channels.end() && channel->second.query == query) {
        channel->second.query.reset();
        if (!answered) {
            channel->second.rest_until = now + failed_channel_pause;
        }
    }
    return out;
}

std::vector<advice_call_pool::pending>
advice_call_pool::take_expired(base::instant now) {
    std::vector<std::uint64_t> late;
    for (const auto& [query, call] : m_pending) {
        if (call.expires <= now) {
            late.push_back(query);
        }
    }
    std::vector<pending> out;
    for (std::uint64_t query : late) {
        out.push_back(*end(query, false, now));
    }
    return out;
}

} // namespace eelgrasslever::cluster
