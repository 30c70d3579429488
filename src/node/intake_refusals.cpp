// Which requests are refused before they wait, and why.
#include "eelgrasslever/node/intake.hpp"
#include "intake_times.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::node {

using admission::find_policy;
using base::milliseconds;
using base::outcome;

std::optional<std::string>
intake::never_runnable(const admission::request& request) const {
    base::resources largest = m_context.fleet.totals().largest;
    std::int64_t most_slots = m_context.fleet.totals().capacity.slots;
    for (const membership::member* who : m_context.roster.possible_owners()) {
        largest = base::component_max(largest, who->largest);
        most_slots = std::max(most_slots, who->capacity_slots);
    }
    if (largest.slots == 0) {
        return std::nullopt; // No endpoint is known yet, so nothing is proved.
    }
    if (!base::fits(request.need, largest)) {
        return "no endpoint is large enough: the largest has " +
               std::to_string(largest.slots) + " slots, " +
               std::to_string(largest.cpu_milli) + " cpu_milli, " +
               std::to_string(largest.memory_mb) + " memory_mb and " +
               std::to_string(largest.accelerators) + " accelerators";
    }
    std::int64_t together = request.need.slots * request.tasks;
    if (find_policy(request.kind)->all_at_once() && together > most_slots) {
        return "all " + std::to_string(request.tasks) + " tasks need " +
               std::to_string(together) +
               " slots at once; one entry VM holds at most " +
               std::to_string(most_slots);
    }
    return std::nullopt;
}

std::optional<base::answer>
intake::refusal(const admission::request& request) const {
    if (m_context.draining) {
        return make_answer(outcome::not_run, "this entry VM is stopping",
                           retry_after_draining);
    }
    if (!m_context.bundle_in_force) {
        return make_answer(outcome::not_run, "no bundle is in force yet",
                           retry_after_no_bundle);
    }
    const bundle::team_rule* team =
        m_context.bundle_in_force->find_team(request.team);
    auto reject = [](std::string why) {
        auto out = make_answer(outcome::not_run, std::move(why));
        out.rejected = true;
        return out;
    };
    if (team == nullptr) {
        return reject("team \"" + request.team + "\" is not in bundle " +
                      std::to_string(m_context.bundle_version()) +
                      "; use a team that the bundle names");
    }
    const admission::policy& kind = *find_policy(request.kind);
    std::int64_t together =
        request.need.slots * (kind.all_at_once() ? request.tasks : 1);
    if (together > team->quota_slots) {
        return reject("the request needs " + std::to_string(together) +
                      " slots at once and the quota of team \"" + request.team +
                      "\" is " + std::to_string(team->quota_slots));
    }
    auto never = never_runnable(request);
    if (never) {
        return reject("it can never run: " + *never);
    }
    if (kind.durable()) {
        return std::nullopt;
    }
    return late_refusal(request, admission::rank_of(kind, team->service_tier));
}

std::optional<base::answer>
intake::late_refusal(const admission::request& request, int rank) const {
    milliseconds wait = expected_wait(rank);
    milliseconds run = m_context.estimator.expect(request.team, request.kind,
                                                  request.declared_run);
    milliseconds room = request.timeout - std::min(run, request.timeout / 2);
    if (wait <= room) {
        return std::nullopt;
    }
    return make_answer(outcome::not_run,
                       "the queue is longer than the time allowed",
                       at_least_shortest(wait - room));
}

milliseconds intake::expected_wait(int rank) const {
    auto totals = m_context.fleet.totals();
    std::int64_t slots = totals.capacity.slots;
    for (const membership::member* who : m_context.roster.possible_owners()) {
        slots += std::max<std::int64_t>(0, who->free_slots);
    }
    if (slots == 0) {
        return milliseconds(0);
    }
    return milliseconds(m_context.queue.load_up_to(rank) / slots);
}

} // namespace eelgrasslever::node
