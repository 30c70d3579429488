// Admission checks: which requests are refused before they are queued, and why.
#include "eelgrasslever/node/request_handler.hpp"
#include "request_handler_timing.hpp"

#include <algorithm>
#include <utility>

namespace eelgrasslever::node {

using admission::find_policy;
using base::milliseconds;
using base::outcome;

std::optional<std::string> request_handler::find_unsatisfiable_need(
    const admission::request& request) const {
    base::resources largest = m_context.endpoint_pool.totals().largest;
    std::int64_t max_slots = m_context.endpoint_pool.totals().capacity.slots;
    for (const membership::member* member :
         m_context.membership_view.possible_owners()) {
        largest = base::component_max(largest, member->largest);
        max_slots = std::max(max_slots, member->capacity_slots);
    }
    if (largest.slots == 0) {
        // No endpoint is known yet, so nothing can be ruled out.
        return std::nullopt;
    }
    if (!base::fits(request.need, largest)) {
        return "no endpoint is large enough: the largest has " +
               std::to_string(largest.slots) + " slots, " +
               std::to_string(largest.cpu_milli) + " cpu_milli, " +
               std::to_string(largest.memory_mb) + " memory_mb and " +
               std::to_string(largest.accelerators) + " accelerators";
    }
    std::int64_t total_slots = request.need.slots * request.tasks;
    if (find_policy(request.kind)->is_gang_scheduled() &&
        total_slots > max_slots) {
        return "all " + std::to_string(request.tasks) + " tasks need " +
               std::to_string(total_slots) +
               " slots at once; one entry VM holds at most " +
               std::to_string(max_slots);
    }
    return std::nullopt;
}

std::optional<base::answer>
request_handler::find_refusal(const admission::request& request) const {
    if (m_context.draining) {
        return make_answer(outcome::not_run, "this entry VM is stopping",
                           retry_after_draining);
    }
    if (!m_context.active_bundle) {
        return make_answer(outcome::not_run, "no bundle is in force yet",
                           retry_after_no_bundle);
    }
    const bundle::team_rule* team =
        m_context.active_bundle->find_team(request.team);
    auto reject = [](std::string why) {
        auto answer = make_answer(outcome::not_run, std::move(why));
        answer.rejected = true;
        return answer;
    };
    if (team == nullptr) {
        return reject("team \"" + request.team + "\" is not in bundle " +
                      std::to_string(m_context.bundle_version()) +
                      "; use a team that the bundle names");
    }
    const admission::policy& kind = *find_policy(request.kind);
    std::int64_t total_slots =
        request.need.slots * (kind.is_gang_scheduled() ? request.tasks : 1);
    if (total_slots > team->quota_slots) {
        return reject("the request needs " + std::to_string(total_slots) +
                      " slots at once and the quota of team \"" + request.team +
                      "\" is " + std::to_string(team->quota_slots));
    }
    auto unsatisfiable = find_unsatisfiable_need(request);
    if (unsatisfiable) {
        return reject("it can never run: " + *unsatisfiable);
    }
    if (kind.is_durable()) {
        return std::nullopt;
    }
    return find_deadline_refusal(
        request, admission::queue_rank(kind, team->service_tier));
}

std::optional<base::answer>
request_handler::find_deadline_refusal(const admission::request& request,
                                       int rank) const {
    milliseconds wait = expected_wait(rank);
    milliseconds run = m_context.estimator.estimate(request.team, request.kind,
                                                    request.declared_run);
    milliseconds max_wait =
        request.timeout - std::min(run, request.timeout / 2);
    if (wait <= max_wait) {
        return std::nullopt;
    }
    return make_answer(outcome::not_run,
                       "the queue is longer than the time allowed",
                       clamp_retry_after(wait - max_wait));
}

milliseconds request_handler::expected_wait(int rank) const {
    auto totals = m_context.endpoint_pool.totals();
    std::int64_t slots = totals.capacity.slots;
    for (const membership::member* member :
         m_context.membership_view.possible_owners()) {
        slots += std::max<std::int64_t>(0, member->free_slots);
    }
    if (slots == 0) {
        return milliseconds(0);
    }
    return milliseconds(m_context.queue.load_up_to(rank) / slots);
}

} // namespace eelgrasslever::node
