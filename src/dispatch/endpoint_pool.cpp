#include "eelgrasslever/dispatch/endpoint_pool.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::dispatch {

using admission::reclaim_level;

endpoint_pool::endpoint_pool(std::string holder, const timing& times,
                             std::uint64_t seed)
    : m_holder(std::move(holder)), m_times(times), m_planner(seed) {}

void endpoint_pool::set_listed_endpoints(const std::set<std::string>& listed) {
    for (const std::string& name : listed) {
        auto& session = m_sessions[name];
        if (!session) {
            session =
                std::make_unique<endpoint_session>(name, m_holder, m_times);
        }
    }
    std::erase_if(m_sessions, [&](const auto& entry) {
        bool is_obsolete =
            !listed.contains(entry.first) && entry.second->is_idle();
        if (is_obsolete) {
            m_changed_endpoints.erase(entry.first);
        }
        return is_obsolete;
    });
    for (auto& [name, session] : m_sessions) {
        if (!listed.contains(name)) {
            session->set_claim_desired(false);
        }
    }
}

void endpoint_pool::set_claim_desired(const std::string& endpoint,
                                      bool desired) {
    auto found = m_sessions.find(endpoint);
    if (found != m_sessions.end()) {
        found->second->set_claim_desired(desired);
    }
}

void endpoint_pool::set_leaving(const std::string& endpoint, bool leaving) {
    auto found = m_sessions.find(endpoint);
    if (found != m_sessions.end()) {
        found->second->set_leaving(leaving);
    }
}

void endpoint_pool::release_all_claims() {
    for (auto& [name, session] : m_sessions) {
        session->set_claim_desired(false);
        session->force_release();
    }
}

void endpoint_pool::set_weights(const bundle::placement_weights& weights) {
    m_planner.set_weights(weights);
}

std::optional<std::vector<placement::assignment>>
endpoint_pool::plan_placement(const admission::work_item& item) {
    auto quality_of = [this](const std::string& name) {
        const endpoint_session& session = *m_sessions.at(name);
        placement::endpoint_quality quality;
        quality.slowness = session.health().slowness();
        if (session.capacity().slots > 0) {
            quality.slot_utilization =
                static_cast<double>(session.committed().slots) /
                static_cast<double>(session.capacity().slots);
        }
        return quality;
    };
    return m_planner.plan(item, m_free_capacity, quality_of);
}

void endpoint_pool::commit_placement(
    const std::string& request_id, std::vector<local_task> tasks,
    const std::vector<placement::assignment>& assignments) {
    unstarted_group group;
    group.request_id = request_id;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        endpoint_session& session = *m_sessions.at(assignments[i].endpoint);
        std::string id = tasks[i].spec.id;
        group.tasks.push_back(id);
        group.endpoints.push_back(session.name());
        session.reserve_task(std::move(tasks[i]));
        if (assignments[i].level != reclaim_level::none) {
            preempt_tasks(session, assignments[i].level);
        }
        update_free_capacity(session);
    }
    m_unstarted_groups[request_id] = std::move(group);
    start_ready_groups();
}

// Stops tasks until the committed resources fit: lowest reclaim class first,
// and within a class in the order of the task ids.
void endpoint_pool::preempt_tasks(endpoint_session& session,
                                  reclaim_level level) {
    base::resources remaining = session.committed();
    for (const auto& [id, task] : session.tasks()) {
        if (task.phase == task_phase::stopping) {
            remaining -= task.spec.need;
        }
    }
    for (int reclaim_class = 1; reclaim_class <= static_cast<int>(level);
         ++reclaim_class) {
        std::vector<std::string> candidates;
        for (const auto& [id, task] : session.tasks()) {
            bool matches = static_cast<int>(task.reclaimed_as) == reclaim_class;
            if (matches && task.phase != task_phase::stopping) {
                candidates.push_back(id);
            }
        }
        for (const std::string& id : candidates) {
            if (base::fits(remaining, session.capacity())) {
                return;
            }
            remaining -= session.tasks().at(id).spec.need;
            session.stop_task(id, m_events);
        }
    }
}

void endpoint_pool::stop_task(const std::string& endpoint,
                              const std::string& task_id) {
    auto found = m_sessions.find(endpoint);
    if (found == m_sessions.end()) {
        return;
    }
    found->second->stop_task(task_id, m_events);
    update_free_capacity(*found->second);
}

bool endpoint_pool::group_fits(const unstarted_group& group) const {
    std::map<std::string, base::resources> wanted;
    for (std::size_t i = 0; i < group.tasks.size(); ++i) {
        const endpoint_session& session = *m_sessions.at(group.endpoints[i]);
        auto task = session.tasks().find(group.tasks[i]);
        if (task == session.tasks().end() || !session.has_claim()) {
            return false;
        }
        wanted[session.name()] += task->second.spec.need;
    }
    return std::all_of(wanted.begin(), wanted.end(), [this](const auto& entry) {
        const endpoint_session& session = *m_sessions.at(entry.first);
        return base::fits(session.occupied() + entry.second,
                          session.capacity());
    });
}

void endpoint_pool::start_ready_groups() {
    for (auto it = m_unstarted_groups.begin();
         it != m_unstarted_groups.end();) {
        const unstarted_group& group = it->second;
        if (!group_fits(group)) {
            ++it;
            continue;
        }
        for (std::size_t i = 0; i < group.tasks.size(); ++i) {
            m_sessions.at(group.endpoints[i])->start_task(group.tasks[i]);
            m_changed_endpoints.insert(group.endpoints[i]);
        }
        it = m_unstarted_groups.erase(it);
    }
}

void endpoint_pool::update_free_capacity(endpoint_session& session) {
    m_changed_endpoints.insert(session.name());
    if (!session.accepts_work()) {
        m_free_capacity.erase(session.name());
        return;
    }
    base::resources usable = session.capacity();
    usable.slots = session.health().slot_limit(usable.slots, m_now);
    placement::capacity_by_level free_capacity;
    free_capacity[0] = usable - session.committed();
    for (std::size_t level = 1; level < free_capacity.size(); ++level) {
        free_capacity[level] = free_capacity[0];
    }
    for (const auto& [id, task] : session.tasks()) {
        if (task.phase == task_phase::stopping) {
            for (base::resources& available : free_capacity) {
                available += task.spec.need;
            }
            continue;
        }
        auto from = static_cast<std::size_t>(task.reclaimed_as);
        for (std::size_t level = from; from > 0 && level < free_capacity.size();
             ++level) {
            free_capacity[level] += task.spec.need;
        }
    }
    m_free_capacity.set(session.name(), free_capacity);
}

void endpoint_pool::record_outcome(endpoint_session& session,
                                   const event& ended, const local_task& task) {
    bool failed = ended.report.state == endpoint::task_state::failed;
    bool completed = ended.report.state == endpoint::task_state::completed;
    if (!failed && !completed) {
        return;
    }
    m_pool_failures.record(failed);
    session.health().record_outcome(failed, m_pool_failures, m_now,
                                    m_times.initial_quarantine);
    if (completed && task.expected_run.count() > 0) {
        session.health().record_slowness(
            static_cast<double>(ended.report.run_time.count()) /
            static_cast<double>(task.expected_run.count()));
    }
}

void endpoint_pool::advance(base::instant now,
                            std::vector<outgoing_call>& calls) {
    m_now = now;
    for (auto& [name, session] : m_sessions) {
        session->advance(now, calls, m_events);
        update_free_capacity(*session);
    }
    m_changed_endpoints.clear();
}

void endpoint_pool::advance_changed(base::instant now,
                                    std::vector<outgoing_call>& calls) {
    m_now = now;
    std::set<std::string> changed;
    changed.swap(m_changed_endpoints);
    for (const std::string& name : changed) {
        endpoint_session& session = *m_sessions.at(name);
        session.advance(now, calls, m_events);
        update_free_capacity(session);
    }
    m_changed_endpoints.clear();
}

void endpoint_pool::on_reply(const std::string& endpoint,
                             const endpoint::call& call,
                             const endpoint::reply& reply, base::instant now) {
    m_now = now;
    auto found = m_sessions.find(endpoint);
    if (found == m_sessions.end()) {
        return;
    }
    endpoint_session& session = *found->second;
    std::map<std::string, local_task> tasks_before;
    for (const endpoint::task_report& report : reply.reports) {
        auto task = session.tasks().find(report.id);
        if (task != session.tasks().end()) {
            tasks_before[report.id] = task->second;
        }
    }
    std::size_t first_new_event = m_events.size();
    session.on_reply(call, reply, now, m_events);
    for (std::size_t i = first_new_event; i < m_events.size(); ++i) {
        auto task = tasks_before.find(m_events[i].task);
        if (m_events[i].kind == event_kind::ended &&
            task != tasks_before.end()) {
            record_outcome(session, m_events[i], task->second);
        }
    }
    update_free_capacity(session);
    start_ready_groups();
}

std::vector<event> endpoint_pool::take_events() {
    std::vector<event> taken;
    taken.swap(m_events);
    // A group whose tasks can't all start together any more is dropped.
    for (const event& event : taken) {
        if (event.kind != event_kind::not_started) {
            continue;
        }
        std::string failed_group;
        for (const auto& [request_id, group] : m_unstarted_groups) {
            if (std::find(group.tasks.begin(), group.tasks.end(), event.task) !=
                group.tasks.end()) {
                failed_group = request_id;
            }
        }
        m_unstarted_groups.erase(failed_group);
    }
    return taken;
}

const endpoint_session*
endpoint_pool::find_session(const std::string& endpoint) const {
    auto found = m_sessions.find(endpoint);
    return found == m_sessions.end() ? nullptr : found->second.get();
}

endpoint_pool_totals endpoint_pool::totals() const {
    endpoint_pool_totals totals;
    for (const auto& [name, session] : m_sessions) {
        if (!session->has_claim()) {
            continue;
        }
        totals.held_endpoints++;
        totals.capacity += session->capacity();
        totals.committed += session->committed();
        totals.largest =
            base::component_max(totals.largest, session->capacity());
    }
    return totals;
}

} // namespace eelgrasslever::dispatch
