#include "eelgrasslever/dispatch/fleet.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::dispatch {

using admission::reclaim_level;

fleet::fleet(std::string holder, const timing& times, std::uint64_t seed)
    : m_holder(std::move(holder)), m_times(times), m_planner(seed) {}

void fleet::set_known(const std::set<std::string>& listed) {
    for (const std::string& name : listed) {
        auto& slot = m_sessions[name];
        if (!slot) {
            slot = std::make_unique<session>(name, m_holder, m_times);
        }
    }
    std::erase_if(m_sessions, [&](const auto& entry) {
        bool over = !listed.contains(entry.first) && entry.second->idle();
        if (over) {
            m_changed.erase(entry.first);
        }
        return over;
    });
    for (auto& [name, at] : m_sessions) {
        if (!listed.contains(name)) {
            at->set_desired(false);
        }
    }
}

void fleet::set_desired(const std::string& endpoint, bool desired) {
    auto found = m_sessions.find(endpoint);
    if (found != m_sessions.end()) {
        found->second->set_desired(desired);
    }
}

void fleet::set_leaving(const std::string& endpoint, bool leaving) {
    auto found = m_sessions.find(endpoint);
    if (found != m_sessions.end()) {
        found->second->set_leaving(leaving);
    }
}

void fleet::release_all() {
    for (auto& [name, at] : m_sessions) {
        at->set_desired(false);
        at->release_now();
    }
}

void fleet::set_weights(const bundle::placement_weights& weights) {
    m_planner.set_weights(weights);
}

std::optional<std::vector<placement::assignment>>
fleet::plan(const admission::work_item& item) {
    auto quality = [this](const std::string& name) {
        const session& at = *m_sessions.at(name);
        placement::endpoint_quality out;
        out.slowness = at.condition().slowness();
        if (at.capacity().slots > 0) {
            out.used_fraction = static_cast<double>(at.committed().slots) /
                                static_cast<double>(at.capacity().slots);
        }
        return out;
    };
    return m_planner.plan(item, m_tree, quality);
}

void fleet::commit(const std::string& request_id, std::vector<local_task> tasks,
                   const std::vector<placement::assignment>& assignments) {
    placed_group group;
    group.request_id = request_id;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        session& at = *m_sessions.at(assignments[i].endpoint);
        std::string id = tasks[i].spec.id;
        group.tasks.push_back(id);
        group.endpoints.push_back(at.name());
        at.reserve(std::move(tasks[i]));
        if (assignments[i].level != reclaim_level::none) {
            choose_victims(at, assignments[i].level);
        }
        refresh(at);
    }
    m_waiting_groups[request_id] = std::move(group);
    start_fitting_groups();
}

// Stops running work of the lowest classes until what is committed fits,
// newest first, so that the least progress is lost.
void fleet::choose_victims(session& at, reclaim_level level) {
    base::resources over = at.committed();
    for (const auto& [id, task] : at.tasks()) {
        if (task.phase == task_phase::stopping) {
            over -= task.spec.need;
        }
    }
    for (int as = 1; as <= static_cast<int>(level); ++as) {
        std::vector<std::string> candidates;
        for (const auto& [id, task] : at.tasks()) {
            bool matches = static_cast<int>(task.reclaimed_as) == as;
            if (matches && task.phase != task_phase::stopping) {
                candidates.push_back(id);
            }
        }
        for (const std::string& id : candidates) {
            if (base::fits(over, at.capacity())) {
                return;
            }
            over -= at.tasks().at(id).spec.need;
            at.stop(id, m_events);
        }
    }
}

void fleet::stop(const std::string& endpoint, const std::string& task) {
    auto found = m_sessions.find(endpoint);
    if (found == m_sessions.end()) {
        return;
    }
    found->second->stop(task, m_events);
    refresh(*found->second);
}

bool fleet::group_fits(const placed_group& group) const {
    std::map<std::string, base::resources> wanted;
    for (std::size_t i = 0; i < group.tasks.size(); ++i) {
        const session& at = *m_sessions.at(group.endpoints[i]);
        auto task = at.tasks().find(group.tasks[i]);
        if (task == at.tasks().end() || !at.owned()) {
            return false;
        }
        wanted[at.name()] += task->second.spec.need;
    }
    return std::all_of(wanted.begin(), wanted.end(), [this](const auto& entry) {
        const session& at = *m_sessions.at(entry.first);
        return base::fits(at.occupied() + entry.second, at.capacity());
    });
}

void fleet::start_fitting_groups() {
    for (auto it = m_waiting_groups.begin(); it != m_waiting_groups.end();) {
        const placed_group& group = it->second;
        if (!group_fits(group)) {
            ++it;
            continue;
        }
        for (std::size_t i = 0; i < group.tasks.size(); ++i) {
            m_sessions.at(group.endpoints[i])->start(group.tasks[i]);
            m_changed.insert(group.endpoints[i]);
        }
        it = m_waiting_groups.erase(it);
    }
}

void fleet::refresh(session& at) {
    m_changed.insert(at.name());
    if (!at.open()) {
        m_tree.erase(at.name());
        return;
    }
    base::resources usable = at.capacity();
    usable.slots = at.condition().slot_limit(usable.slots, m_now);
    placement::room_by_level room;
    room[0] = usable - at.committed();
    for (std::size_t level = 1; level < room.size(); ++level) {
        room[level] = room[0];
    }
    for (const auto& [id, task] : at.tasks()) {
        if (task.phase == task_phase::stopping) {
            for (base::resources& each : room) {
                each += task.spec.need;
            }
            continue;
        }
        auto from = static_cast<std::size_t>(task.reclaimed_as);
        for (std::size_t level = from; from > 0 && level < room.size();
             ++level) {
            room[level] += task.spec.need;
        }
    }
    m_tree.set(at.name(), room);
}

void fleet::learn(session& at, const event& ended, const local_task& task) {
    bool failed = ended.report.state == endpoint::task_state::failed;
    bool completed = ended.report.state == endpoint::task_state::completed;
    if (!failed && !completed) {
        return;
    }
    m_failures.observe(failed);
    at.condition().observe(failed, m_failures, m_now, m_times.quarantine);
    if (completed && task.expected_run.count() > 0) {
        at.condition().observe_slowness(
            static_cast<double>(ended.report.ran.count()) /
            static_cast<double>(task.expected_run.count()));
    }
}

void fleet::advance(base::instant now, std::vector<outgoing_call>& calls) {
    m_now = now;
    for (auto& [name, at] : m_sessions) {
        at->advance(now, calls, m_events);
        refresh(*at);
    }
    m_changed.clear();
}

void fleet::advance_changed(base::instant now,
                            std::vector<outgoing_call>& calls) {
    m_now = now;
    std::set<std::string> changed;
    changed.swap(m_changed);
    for (const std::string& name : changed) {
        session& at = *m_sessions.at(name);
        at.advance(now, calls, m_events);
        refresh(at);
    }
    m_changed.clear();
}

void fleet::on_reply(const std::string& endpoint, const endpoint::call& call,
                     const endpoint::reply& reply, base::instant now) {
    m_now = now;
    auto found = m_sessions.find(endpoint);
    if (found == m_sessions.end()) {
        return;
    }
    session& at = *found->second;
    std::map<std::string, local_task> before;
    for (const endpoint::task_report& report : reply.reports) {
        auto task = at.tasks().find(report.id);
        if (task != at.tasks().end()) {
            before[report.id] = task->second;
        }
    }
    std::size_t first = m_events.size();
    at.on_reply(call, reply, now, m_events);
    for (std::size_t i = first; i < m_events.size(); ++i) {
        auto task = before.find(m_events[i].task);
        if (m_events[i].kind == event_kind::ended && task != before.end()) {
            learn(at, m_events[i], task->second);
        }
    }
    refresh(at);
    start_fitting_groups();
}

std::vector<event> fleet::take_events() {
    std::vector<event> out;
    out.swap(m_events);
    // A group whose task has gone can't start together any more.
    for (const event& item : out) {
        if (item.kind != event_kind::not_started) {
            continue;
        }
        std::string failed_group;
        for (const auto& [request_id, group] : m_waiting_groups) {
            if (std::find(group.tasks.begin(), group.tasks.end(), item.task) !=
                group.tasks.end()) {
                failed_group = request_id;
            }
        }
        m_waiting_groups.erase(failed_group);
    }
    return out;
}

const session* fleet::find(const std::string& endpoint) const {
    auto found = m_sessions.find(endpoint);
    return found == m_sessions.end() ? nullptr : found->second.get();
}

fleet_totals fleet::totals() const {
    fleet_totals out;
    for (const auto& [name, at] : m_sessions) {
        if (!at->owned()) {
            continue;
        }
        out.held++;
        out.capacity += at->capacity();
        out.committed += at->committed();
        out.largest = base::component_max(out.largest, at->capacity());
    }
    return out;
}

} // namespace eelgrasslever::dispatch
