#include "eelgrasslever/service/order_relay.hpp"

#include "eelgrasslever/observe/log.hpp"
#include "eelgrasslever/service/order_carrier.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace eelgrasslever::service {

namespace {

constexpr const char* relay_activity = "order_relay";
constexpr base::milliseconds check_period{100};
/// Ids and sequences have the term in their upper half.
constexpr int term_shift = 32;

/// @return a weight by which one carrier is selected for an endpoint, so that
/// few endpoints change their carrier when one comes or goes.
std::size_t rendezvous_weight(const std::string& endpoint,
                              const std::string& peer_address) {
    return std::hash<std::string>{}(endpoint + "@" + peer_address);
}

endpoint_gateway::renew_callback
without_lists(endpoint_gateway::order_callback done) {
    return [done = std::move(done)](const cluster::renew_reply& reply) {
        done({reply.status, reply.clock});
    };
}

} // namespace

order_relay::order_relay(kernel::loop& owner, endpoint_gateway& direct,
                         send_function send, observe::metrics& metrics)
    : m_owner(owner), m_direct(direct), m_send(std::move(send)),
      m_metrics(metrics), m_check_timer(owner, [this] { check(); }) {}

order_relay::~order_relay() {
    *m_alive = false;
}

void order_relay::begin_term(std::uint64_t term) {
    end_term();
    m_term = term;
    m_last_id = 0;
    m_check_timer.start_every(check_period);
}

void order_relay::end_term() {
    m_check_timer.cancel();
    m_pending.clear();
    m_known.clear();
    m_carriers.clear();
    m_assignments.clear();
    m_direct_until.clear();
}

void order_relay::set_carriers(std::vector<carrier> carriers) {
    std::vector<std::string> addresses;
    for (carrier& each : carriers) {
        addresses.push_back(each.peer_address);
        auto [known, is_new] = m_known.try_emplace(each.peer_address);
        if (is_new) {
            known->second.sequence = m_term << term_shift;
            known->second.received = known->second.sequence;
        }
        known->second.vm = std::move(each);
    }
    std::sort(addresses.begin(), addresses.end());
    if (addresses == m_carriers) {
        return;
    }
    std::vector<std::string> left;
    std::set_difference(m_carriers.begin(), m_carriers.end(), addresses.begin(),
                        addresses.end(), std::back_inserter(left));
    m_carriers = std::move(addresses);
    m_assignments.clear();
    observe::log_event("carriers_set",
                       {{"carriers", std::to_string(m_carriers.size())},
                        {"left", std::to_string(left.size())},
                        {"token", std::to_string(m_term)}});
    m_metrics.set("order_carriers", static_cast<double>(m_carriers.size()));
    for (const std::string& address : left) {
        send_directly(take_orders(address, base::instant::max()), true);
    }
}

order_relay::carrier_state*
order_relay::carrier_for(const cluster::endpoint_listing& endpoint,
                         base::instant now) {
    if (m_carriers.empty()) {
        return nullptr;
    }
    auto direct = m_direct_until.find(endpoint.address);
    if (direct != m_direct_until.end()) {
        if (direct->second > now) {
            return nullptr;
        }
        m_direct_until.erase(direct);
    }
    auto [assigned, is_new] = m_assignments.try_emplace(endpoint.address);
    if (is_new) {
        std::pair<bool, std::size_t> best{false, 0};
        for (const std::string& address : m_carriers) {
            const carrier& candidate = m_known.at(address).vm;
            std::pair rank{candidate.failure_domain == endpoint.failure_domain,
                           rendezvous_weight(endpoint.address, address)};
            if (assigned->second.empty() || rank > best) {
                best = rank;
                assigned->second = address;
            }
        }
    }
    carrier_state& chosen = m_known.at(assigned->second);
    return chosen.suspended_until > now ? nullptr : &chosen;
}

void order_relay::start(const cluster::endpoint_listing& endpoint,
                        cluster::fencing_token token,
                        const cluster::start_order& order,
                        order_callback done) {
    carrier_state* through = carrier_for(endpoint, base::monotonic_now());
    if (through == nullptr) {
        m_direct.start(endpoint, token, order, std::move(done));
        return;
    }
    enqueue(*through, {0, endpoint.id, endpoint.address, token, order},
            base::milliseconds(0), without_lists(std::move(done)));
}

void order_relay::stop(const cluster::endpoint_listing& endpoint,
                       cluster::fencing_token token,
                       const cluster::stop_order& order, order_callback done) {
    carrier_state* through = carrier_for(endpoint, base::monotonic_now());
    if (through == nullptr) {
        m_direct.stop(endpoint, token, order, std::move(done));
        return;
    }
    enqueue(*through, {0, endpoint.id, endpoint.address, token, order},
            base::milliseconds(0), without_lists(std::move(done)));
}

void order_relay::renew(const cluster::endpoint_listing& endpoint,
                        cluster::fencing_token token,
                        const cluster::renew_order& order,
                        bool fresh_connection, renew_callback done) {
    carrier_state* through = fresh_connection
                                 ? nullptr
                                 : carrier_for(endpoint, base::monotonic_now());
    if (through == nullptr) {
        m_direct.renew(endpoint, token, order, fresh_connection,
                       std::move(done));
        return;
    }
    enqueue(*through, {0, endpoint.id, endpoint.address, token, order},
            order.wait, std::move(done));
}

void order_relay::enqueue(carrier_state& through, wire::relayed_order&& content,
                          base::milliseconds max_wait, renew_callback done) {
    kernel::activity measured(m_owner, relay_activity);
    // The term in the upper half tells replies to an earlier leadership apart,
    // also to that of an earlier process at the same address.
    content.id = (m_term << term_shift) | ++m_last_id;
    pending_order& pending = m_pending[content.id];
    pending.content = content;
    pending.peer_address = through.vm.peer_address;
    pending.lost_at = base::monotonic_now() + max_wait + max_call_time;
    pending.done = std::move(done);
    through.unsent.push_back(std::move(content));
    through.under_way++;
    if (!std::exchange(m_flush_scheduled, true)) {
        m_owner.defer([this, alive = m_alive] {
            if (*alive) {
                flush();
            }
        });
    }
}

void order_relay::flush() {
    kernel::activity measured(m_owner, relay_activity);
    m_flush_scheduled = false;
    auto now = base::monotonic_now();
    for (auto& [address, to] : m_known) {
        if (!to.unsent.empty()) {
            flush(to, now);
        }
    }
}

void order_relay::flush(carrier_state& to, base::instant now) {
    m_metrics.add("orders_relayed", static_cast<double>(to.unsent.size()));
    if (to.received >= to.sequence) {
        to.unacknowledged_since = now;
    }
    auto orders = std::exchange(to.unsent, {});
    auto next = orders.begin();
    do {
        auto end =
            next + std::min<std::ptrdiff_t>(orders.end() - next, max_batch);
        wire::order_batch batch;
        batch.sequence = ++to.sequence;
        std::move(next, end, std::back_inserter(batch.orders));
        m_send(to.vm.peer_address, std::move(batch));
        next = end;
    } while (next != orders.end());
}

void order_relay::on_replies(const std::string& address,
                             wire::reply_batch&& batch) {
    kernel::activity measured(m_owner, relay_activity);
    auto found = m_known.find(address);
    if (found == m_known.end()) {
        return;
    }
    auto now = base::monotonic_now();
    carrier_state& from = found->second;
    from.heard_at = now;
    from.is_overdue = false;
    if (batch.received > from.received && batch.received <= from.sequence) {
        from.received = batch.received;
        from.unacknowledged_since = now;
    }
    std::vector<pending_order> not_sent;
    for (wire::relayed_reply& each : batch.replies) {
        auto pending = m_pending.extract(each.id);
        if (!pending) {
            continue;
        }
        from.under_way--;
        if (each.reply.status == cluster::order_status::not_sent) {
            not_sent.push_back(std::move(pending.mapped()));
            continue;
        }
        bool is_reached =
            each.reply.status != cluster::order_status::unreachable &&
            each.reply.status != cluster::order_status::refused_connection;
        if (!is_reached) {
            m_direct_until[pending.mapped().content.address] =
                now + direct_period;
        }
        pending.mapped().done(each.reply);
    }
    send_directly(std::move(not_sent), false);
}

bool order_relay::is_silent(const carrier_state& checked,
                            base::instant now) const {
    return checked.received < checked.sequence &&
           now - checked.unacknowledged_since > max_silence;
}

void order_relay::check() {
    kernel::activity measured(m_owner, relay_activity);
    auto now = base::monotonic_now();
    for (auto& [address, checked] : m_known) {
        if (checked.under_way == 0) {
            continue;
        }
        bool was_overdue =
            std::exchange(checked.is_overdue, is_silent(checked, now));
        if (checked.is_overdue && was_overdue) {
            auto orders = take_orders(address, base::instant::max());
            observe::log_event(
                "carrier_silent",
                {{"vm", checked.vm.vm},
                 {"token", std::to_string(m_term)},
                 {"orders", std::to_string(orders.size())},
                 {"silent_ms",
                  std::to_string((now - checked.heard_at).count())}});
            checked.suspended_until = now + suspension;
            checked.is_overdue = false;
            checked.received = checked.sequence;
            send_directly(std::move(orders), true);
            continue;
        }
        auto lost = take_orders(address, now);
        if (!lost.empty()) {
            observe::log_event("relayed_replies_lost",
                               {{"vm", checked.vm.vm},
                                {"token", std::to_string(m_term)},
                                {"orders", std::to_string(lost.size())}});
            send_directly(std::move(lost), true);
        }
        if (checked.received >= checked.sequence &&
            now - checked.heard_at > probe_after) {
            flush(checked, now);
        }
    }
}

std::vector<order_relay::pending_order>
order_relay::take_orders(const std::string& peer_address,
                         base::instant overdue_at) {
    carrier_state& owner = m_known.at(peer_address);
    if (overdue_at == base::instant::max()) {
        owner.unsent.clear();
    }
    std::vector<pending_order> result;
    for (auto row = m_pending.begin(); row != m_pending.end();) {
        bool is_taken = row->second.peer_address == peer_address &&
                        row->second.lost_at <= overdue_at;
        if (is_taken) {
            owner.under_way--;
            result.push_back(std::move(row->second));
        }
        row = is_taken ? m_pending.erase(row) : std::next(row);
    }
    return result;
}

void order_relay::send_directly(std::vector<pending_order>&& orders,
                                bool may_be_repeated) {
    if (orders.empty()) {
        return;
    }
    m_metrics.add("orders_taken_back", static_cast<double>(orders.size()));
    for (pending_order& order : orders) {
        const auto* renewal =
            std::get_if<cluster::renew_order>(&order.content.order);
        bool is_renewal = renewal != nullptr;
        // A next life of the endpoint would forget ends of its own.
        if (may_be_repeated && is_renewal &&
            renewal->completions_recorded > 0) {
            order.done({});
            continue;
        }
        send_to_endpoint(
            m_direct, order.content,
            [is_uncertain = may_be_repeated && !is_renewal,
             done = std::move(order.done)](const cluster::renew_reply& reply) {
                if (!is_uncertain ||
                    cluster::settles_repeated_order(reply.status)) {
                    done(reply);
                    return;
                }
                cluster::renew_reply uncertain = reply;
                uncertain.status = cluster::order_status::unreachable;
                done(uncertain);
            });
    }
}

} // namespace eelgrasslever::service
