#include "eelgrasslever/cluster/step_queue.hpp"

#include <algorithm>
#include <iterator>

namespace eelgrasslever::cluster {

namespace {

/// Most urgent steps in one selection. It bounds the duration of a pass.
constexpr std::size_t max_urgent_steps = 200;
/// Steps that are selected even if the window is smaller than their work.
constexpr std::size_t min_window_steps = 4;
/// Share of the window for overdue steps while others fill the rest.
constexpr double overdue_window_share = 0.1;

/// Takes elements of two ordered ranges in order.
class merged_ranges {
  public:
    using iterator = std::set<step_rank>::const_iterator;
    merged_ranges(iterator first, iterator first_end, iterator second,
                  iterator second_end)
        : m_first(first), m_first_end(first_end), m_second(second),
          m_second_end(second_end) {}
    /// @return the next element, or nullptr at the end.
    const step_rank* next() {
        bool has_first = m_first != m_first_end;
        bool has_second = m_second != m_second_end;
        if (has_first && (!has_second || *m_first < *m_second)) {
            return &*m_first++;
        }
        return has_second ? &*m_second++ : nullptr;
    }

  private:
    iterator m_first;
    iterator m_first_end;
    iterator m_second;
    iterator m_second_end;
};

} // namespace

void step_queue::group::insert(const step_rank& rank) {
    in_time.insert(rank);
    latest_starts.emplace(rank.latest_start, rank);
}

void step_queue::group::erase(const step_rank& rank) {
    in_time.erase(rank);
    overdue.erase(rank);
    latest_starts.erase({rank.latest_start, rank});
}

std::vector<step_rank> step_queue::group::advance(base::instant now) {
    std::vector<step_rank> result;
    while (!latest_starts.empty() && latest_starts.begin()->first <= now) {
        step_rank rank = latest_starts.begin()->second;
        latest_starts.erase(latest_starts.begin());
        in_time.erase(rank);
        overdue.insert(rank);
        result.push_back(std::move(rank));
    }
    return result;
}

void step_queue::insert(const step_rank& rank, bool begun) {
    erase(rank);
    if (rank.priority == 0) {
        m_urgent.insert(rank);
    } else if (begun) {
        m_begun.insert(rank);
    } else {
        m_waiting.insert(rank);
    }
}

void step_queue::erase(const step_rank& rank) {
    m_urgent.erase(rank);
    m_begun.erase(rank);
    m_waiting.erase(rank);
    m_hopeless.erase(rank);
    m_useful_ends.erase({rank.latest_useful_start, rank});
    auto deferred = m_deferred.find(rank);
    if (deferred != m_deferred.end()) {
        m_resumptions.erase({deferred->second.until, rank});
        m_deferred.erase(deferred);
    }
}

void step_queue::defer(const step_rank& rank, base::instant until) {
    bool begun = m_begun.contains(rank);
    erase(rank);
    m_deferred[rank] = {until, begun};
    m_resumptions.emplace(until, rank);
}

void step_queue::shorten_deferrals(base::instant until) {
    while (!m_resumptions.empty() &&
           std::prev(m_resumptions.end())->first > until) {
        step_rank rank = m_resumptions.extract(std::prev(m_resumptions.end()))
                             .value()
                             .second;
        m_deferred.at(rank).until = until;
        m_resumptions.emplace(until, std::move(rank));
    }
}

void step_queue::resume_all() {
    resume_deferred(base::instant::max());
}

void step_queue::resume_deferred(base::instant now) {
    while (!m_resumptions.empty() && m_resumptions.begin()->first <= now) {
        step_rank rank = m_resumptions.begin()->second;
        insert(rank, m_deferred.at(rank).begun);
    }
}

std::size_t step_queue::size() const {
    return m_urgent.in_time.size() + m_urgent.overdue.size() + m_begun.size() +
           m_waiting.in_time.size() + m_waiting.overdue.size() +
           m_hopeless.size() + m_deferred.size();
}

std::vector<step_rank> step_queue::select(base::instant now, double window,
                                          const share_function& share) {
    resume_deferred(now);
    m_urgent.advance(now);
    for (step_rank& rank : m_waiting.advance(now)) {
        m_useful_ends.emplace(rank.latest_useful_start, rank);
        m_newly_overdue.push_back(std::move(rank));
    }
    separate_hopeless(now);
    std::vector<step_rank> result;
    auto take = [&](auto from, auto to, std::size_t limit) {
        for (; from != to && limit > 0; ++from, --limit) {
            result.push_back(*from);
        }
        return limit;
    };
    const ranks& overdue = m_urgent.overdue;
    std::size_t remaining = take(m_urgent.in_time.begin(),
                                 m_urgent.in_time.end(), max_urgent_steps);
    // The step that is overdue the longest has its place; of the others, the
    // latest ones can still end soon after their objective.
    take(overdue.begin(), overdue.end(), 1);
    auto before_oldest =
        overdue.empty() ? overdue.rend() : std::prev(overdue.rend());
    take(overdue.rbegin(), before_oldest,
         std::max(remaining, max_urgent_steps / 4));

    double used = 0.0;
    auto take_until = [&](merged_ranges steps, double limit,
                          std::size_t min_steps) {
        for (std::size_t taken = 0; used < limit || taken < min_steps;
             ++taken) {
            const step_rank* next = steps.next();
            if (next == nullptr) {
                return;
            }
            used += share(*next);
            result.push_back(*next);
        }
    };
    bool any_overdue = !m_waiting.overdue.empty() || !m_hopeless.empty();
    double kept = any_overdue ? overdue_window_share : 0.0;
    take_until({m_begun.begin(), m_begun.end(), m_waiting.in_time.begin(),
                m_waiting.in_time.end()},
               window * (1.0 - kept), min_window_steps);
    auto none = m_begun.end();
    take_until({m_waiting.overdue.begin(), m_waiting.overdue.end(), none, none},
               window, 1);
    take_until({m_hopeless.begin(), m_hopeless.end(), none, none}, window, 1);
    return result;
}

void step_queue::separate_hopeless(base::instant now) {
    while (!m_useful_ends.empty() && m_useful_ends.begin()->first <= now) {
        step_rank rank =
            m_useful_ends.extract(m_useful_ends.begin()).value().second;
        m_waiting.overdue.erase(rank);
        m_hopeless.insert(std::move(rank));
    }
}

std::vector<step_rank> step_queue::take_newly_overdue() {
    return std::exchange(m_newly_overdue, {});
}

void step_queue::for_each(
    const std::function<void(const step_rank&)>& visit) const {
    for (const ranks* steps :
         {&m_urgent.in_time, &m_urgent.overdue, &m_begun, &m_waiting.in_time,
          &m_waiting.overdue, &m_hopeless}) {
        std::for_each(steps->begin(), steps->end(), visit);
    }
    for (const auto& [rank, deferral] : m_deferred) {
        visit(rank);
    }
}

} // namespace eelgrasslever::cluster
