// Which keys of the store this VM watches: all, or those of the cell alone.
#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/service/cluster_service.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::service {

namespace {

using coordination::key_value;
using coordination::prefix_watcher;
using coordination::prefix_watcher_timing;

/// Peers are used for relayed requests and advice calls, so that changes of the
/// members are received in groups, well within the lease (1.2 s).
constexpr prefix_watcher_timing member_watcher_timing{
    .watch_timeout = base::milliseconds(1000),
    .batch_delay = base::milliseconds(100),
    .retry_delay = base::milliseconds(150)};
/// A VM that does not bid only sends notices to the leader, which save 0.1 s.
/// With 2 s, the three watches make 2 calls a second, fewer than the watch of
/// all keys makes (3.3).
constexpr prefix_watcher_timing leader_watcher_timing{
    .watch_timeout = base::milliseconds(2000),
    .batch_delay = base::milliseconds(0),
    .retry_delay = base::milliseconds(150)};

bool is_cell_key(const std::string& key) {
    return key == cluster::keys::leader || key == cluster::keys::term ||
           key == cluster::keys::successor ||
           key.starts_with(cluster::keys::member);
}

} // namespace

void cluster_service::on_cluster_key_change(const key_value& change) {
    if (is_cell_key(change.key)) {
        on_cell_key_change(change);
        return;
    }
    kernel::activity measured(m_owner, activities::view);
    auto now = base::monotonic_now();
    auto applied = m_job_view.apply(change, now);
    if (!m_scheduler) {
        return;
    }
    if (applied.kind == cluster::job_change_kind::accepted &&
        !m_progress_revisions.contains(applied.id)) {
        m_scheduler->on_job_accepted(*m_job_view.find(applied.id), now);
    } else if (applied.kind == cluster::job_change_kind::cancel_requested) {
        m_scheduler->on_cancel(applied.id, now);
    }
}

bool cluster_service::record_cell_key(const key_value& change) {
    cell_key& known = m_cell_keys[change.key];
    bool is_same_deletion = change.deleted && !known.exists;
    if (change.revision < known.revision ||
        (change.revision == known.revision &&
         (is_same_deletion || !change.deleted))) {
        return false;
    }
    known = {change.revision, !change.deleted};
    return true;
}

void cluster_service::on_cell_key_change(const key_value& change) {
    if (!record_cell_key(change)) {
        return;
    }
    if (change.key.starts_with(cluster::keys::member)) {
        on_member_change(change);
        return;
    }
    m_election->on_change(change);
    m_following_timer.start_once(base::milliseconds(0));
    send_lease_report();
}

std::shared_ptr<prefix_watcher> cluster_service::make_cluster_watcher() {
    return std::make_shared<prefix_watcher>(
        m_owner, m_store, cluster::keys::root, cluster_watcher_timing,
        [this](const key_value& change) { on_cluster_key_change(change); },
        [this] {
            if (!std::exchange(m_has_loaded_jobs, true)) {
                m_lease_session->set_member_value(member_record());
                m_following_timer.start_once(base::milliseconds(0));
            }
            m_election->consider_bid();
            schedule_tick();
        });
}

void cluster_service::start_cell_watchers() {
    struct watched_keys {
        const char* prefix;
        const prefix_watcher_timing& timing;
    };
    for (const watched_keys& keys :
         {watched_keys{cluster::keys::member, member_watcher_timing},
          watched_keys{cluster::keys::leader, leader_watcher_timing},
          watched_keys{cluster::keys::term, leader_watcher_timing}}) {
        m_cell_watchers.push_back(std::make_shared<prefix_watcher>(
            m_owner, m_store, keys.prefix, keys.timing,
            [this](const key_value& change) { on_cell_key_change(change); },
            [this] { m_following_timer.start_once(base::milliseconds(0)); }));
        m_cell_watchers.back()->start();
    }
}

bool cluster_service::are_cell_watchers_loaded() const {
    return !m_cell_watchers.empty() &&
           std::all_of(m_cell_watchers.begin(), m_cell_watchers.end(),
                       [](const auto& watcher) { return watcher->loaded(); });
}

base::instant cluster_service::cell_current_as_of() const {
    base::instant as_of = m_cluster_watcher->current_as_of();
    if (!m_cell_watchers.empty()) {
        // The first one watches the members.
        as_of = std::max(as_of, m_cell_watchers.front()->current_as_of());
    }
    return as_of;
}

bool cluster_service::is_led_by_another() const {
    const std::string& leader = m_election->leader();
    return !leader.empty() &&
           leader != m_options.vm + "@" + m_options.incarnation;
}

void cluster_service::evaluate_following() {
    auto now = base::monotonic_now();
    if (!are_cell_watchers_loaded() && !m_cluster_watcher->loaded()) {
        return;
    }
    bool should_follow = m_members.update_following(now, is_led_by_another());
    if (auto due = m_members.following_due()) {
        m_following_timer.start_once(
            std::max(base::milliseconds(1), *due - now));
    }
    if (should_follow && !m_is_following) {
        start_following();
    } else if (!should_follow && m_is_following) {
        stop_following();
    }
    if (!m_cluster_watcher->loaded()) {
        for (const auto& watcher : m_cell_watchers) {
            remove_vanished_cell_keys(*watcher);
        }
    } else if (!m_cell_watchers.empty()) {
        for (const auto& watcher : m_cell_watchers) {
            watcher->stop();
        }
        m_cell_watchers.clear();
        remove_vanished_cell_keys(*m_cluster_watcher);
    }
}

void cluster_service::start_following() {
    m_is_following = true;
    observe::log_event("following_started",
                       {{"members", std::to_string(m_members.size())}});
    m_has_loaded_jobs = false;
    m_cluster_watcher->start();
}

void cluster_service::stop_following() {
    m_is_following = false;
    m_has_loaded_jobs = false;
    m_lease_session->set_member_value(member_record());
    observe::log_event("following_stopped",
                       {{"members", std::to_string(m_members.size())},
                        {"jobs", std::to_string(m_job_view.all().size())}});
    m_cluster_watcher->stop();
    m_cluster_watcher = make_cluster_watcher();
    m_job_view = {};
    if (m_cell_watchers.empty()) {
        start_cell_watchers();
    }
}

// A watcher that has taken over from another one does not report deletions of
// keys that it has never seen.
void cluster_service::remove_vanished_cell_keys(const prefix_watcher& source) {
    std::vector<key_value> vanished;
    for (const auto& [key, known] : m_cell_keys) {
        if (known.exists && key.starts_with(source.prefix()) &&
            known.revision <= source.known_revision() &&
            !source.contains(key)) {
            key_value deletion;
            deletion.key = key;
            deletion.revision = known.revision;
            deletion.deleted = true;
            vanished.push_back(std::move(deletion));
        }
    }
    for (const key_value& deletion : vanished) {
        on_cell_key_change(deletion);
    }
}

} // namespace eelgrasslever::service
