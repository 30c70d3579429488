// Endpoints that start again under their name.
#include "eelgrasslever/cluster/scheduler.hpp"
#include "eelgrasslever/observe/log.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace eelgrasslever::cluster {

namespace {

constexpr std::array<const char*, 3> source_names{"registry", "reply",
                                                  "record"};

} // namespace

bool scheduler::is_former_life(const incarnation& life) const {
    auto latest = m_latest_lives.find(life.name);
    return latest != m_latest_lives.end() &&
           is_earlier(life, latest->second.life);
}

fencing_token scheduler::token_for(const endpoint_state& endpoint) const {
    return order_token(m_term.token, endpoint.life);
}

void scheduler::ignore_listing(const endpoint_listing& listing,
                               base::instant now) {
    latest_life& latest = m_latest_lives.at(parse_incarnation(listing.id).name);
    std::string id = to_string(latest.life);
    if (latest.ignored != listing.id) {
        latest.ignored = listing.id;
        observe::log_event("listing_ignored",
                           {{"endpoint", id}, {"entry", listing.id}});
    }
    auto found = m_endpoints.find(id);
    if (found != m_endpoints.end() && found->second.listed) {
        on_unlisted(id, now);
    }
}

endpoint_state& scheduler::note_life(const std::string& id, life_source source,
                                     base::instant now) {
    incarnation life = parse_incarnation(id);
    auto [row, is_new] = m_latest_lives.try_emplace(life.name);
    latest_life& latest = row->second;
    if (is_new) {
        latest.life = life;
        latest.number = m_next_life;
    }
    std::string known = to_string(latest.life);
    bool begins = is_earlier(latest.life, life);
    if (begins) {
        latest = {life, latest.number + 1, std::nullopt, ""};
    }
    latest.forgotten_at.reset();
    endpoint_state& endpoint = add_endpoint(to_string(latest.life), now);
    endpoint.life = latest.number;
    if (!begins) {
        return endpoint;
    }
    endpoint.former_orders_expiry = now + order_lifetime();
    auto former = m_endpoints.find(known);
    if (former != m_endpoints.end()) {
        end_life(former->second, endpoint, source, now);
    }
    confirm_crashes(endpoint.listing, now);
    return endpoint;
}

void scheduler::end_life(endpoint_state& former, endpoint_state& next,
                         life_source source, base::instant now) {
    if (next.listing.address.empty()) {
        std::string id = std::exchange(next.listing, former.listing).id;
        next.listing.id = id;
        next.listing.draining = false;
    }
    // The life of an endpoint that didn't tell may be the same one.
    bool proven = proves_end(parse_incarnation(former.listing.id),
                             parse_incarnation(next.listing.id));
    // The order for a start doesn't say for which life it is.
    std::vector<run_key> carried;
    std::vector<run_key> unsent;
    for (const auto& [key, run] : former.runs) {
        if (run.phase == allocation_phase::recording) {
            unsent.push_back(key);
        } else if (!proven || run.last_seen_at == base::instant{}) {
            carried.push_back(key);
        }
    }
    observe::log_event(
        "endpoint_restarted",
        {{"endpoint", next.listing.id},
         {"former", former.listing.id},
         {"learned_from", source_names.at(static_cast<std::size_t>(source))},
         {"proven", proven ? "1" : "0"},
         {"runs", std::to_string(former.runs.size())},
         {"carried_over", std::to_string(carried.size())},
         {"seen_ms_ago", describe_age(former.last_reply_at, now)}});
    bool crashed = proven && has_ended_unplanned(former);
    for (const run_key& key : carried) {
        allocation run = former.runs.at(key);
        bool lost = crashed && !run.start_refused;
        run.lost_with = lost ? former.listing.id : "";
        run.lost_after = run.assumed_alive();
        if (former.trial == key) {
            next.trial = key;
            next.trial_until = former.trial_until;
        }
        former.used -= run.need;
        m_usage.remove(run.workspace, run.need);
        former.runs.erase(key);
        adjust_live_runs(key.task, -1);
        carry_over(next, key, std::move(run), now);
    }
    mark_terminated(former);
    m_health.forget(former.listing.id);
    m_speeds.forget(former.listing.id);
    if (proven) {
        drop_all_runs(former, loss_cause::other_incarnation, now);
        return;
    }
    for (const run_key& key : unsent) {
        if (former.runs.contains(key)) {
            abandon_run(former, key, now);
        }
    }
}

// The endpoint refuses orders for its former lives once it has answered, so its
// next list of runs settles the start.
void scheduler::carry_over(endpoint_state& endpoint, const run_key& key,
                           allocation run, base::instant now) {
    if (endpoint.runs.contains(key)) {
        return;
    }
    if (run.phase != allocation_phase::stopping) {
        run.phase = allocation_phase::inherited;
    }
    run.start_confirmed_sequence = endpoint.order_sequence;
    run.start_expires = now;
    run.stop_confirmed_sequence = 0;
    run.stop_in_flight = false;
    run.next_stop_at = now;
    add_run(endpoint, key, std::move(run));
    endpoint.next_renewal = std::min(endpoint.next_renewal, now);
    adjust_live_runs(key.task, 1);
}

void scheduler::confirm_crashes(const endpoint_listing& listed,
                                base::instant now) {
    for (const lost_endpoint& lost :
         m_lost_endpoints.take_predecessors(listed.address, listed.id)) {
        confirm_crash(lost.id, lost.runs, now);
    }
}

} // namespace eelgrasslever::cluster
