/// @file
/// A VM of the cluster on an in-memory store, with endpoints that accept every
/// order.
#pragma once

#include "eelgrasslever/service/cluster_service.hpp"
#include "eelgrasslever/workload/codec.hpp"
#include "fake_fleet.hpp"
#include "scripted_store.hpp"

#include <memory>
#include <string>
#include <vector>

namespace eelgrasslever::test {

/// Carries every order out at once.
class willing_endpoints final : public service::endpoint_gateway {
  public:
    explicit willing_endpoints(kernel::loop& owner) : m_owner(owner) {}

    void start(const cluster::endpoint_listing&, cluster::fencing_token,
               const cluster::start_order& order,
               order_callback done) override {
        starts.push_back(order);
        m_owner.defer([done] { done(accepted()); });
    }
    void stop(const cluster::endpoint_listing&, cluster::fencing_token,
              const cluster::stop_order&, order_callback done) override {
        m_owner.defer([done] { done(accepted()); });
    }
    void renew(const cluster::endpoint_listing&, cluster::fencing_token token,
               const cluster::renew_order&, bool,
               renew_callback done) override {
        m_first_renewals.try_emplace(cluster::term_of(token),
                                     base::monotonic_now());
        m_owner.defer([done] {
            cluster::renew_reply reply;
            reply.status = cluster::order_status::done;
            reply.clock = cluster::endpoint_time(0);
            done(reply);
        });
    }
    /// @return whether the leader of @p term has reached an endpoint.
    [[nodiscard]] bool reached(std::uint64_t term) const {
        return m_first_renewals.contains(term);
    }

    std::vector<cluster::start_order> starts;

  private:
    static cluster::order_reply accepted() {
        return {cluster::order_status::done, cluster::endpoint_time(0)};
    }

    kernel::loop& m_owner;
    std::map<std::uint64_t, base::instant> m_first_renewals;
};

class silent_advice final : public service::advice_gateway {
  public:
    void ask(const cluster::advice_call&,
             std::function<void(const cluster::advice_reply&)>) override {}
};

/// The loop must not run after a VM's destruction.
struct cluster_vm {
    static constexpr const char* registry_prefix = "registry/";

    cluster_vm(kernel::loop& loop, coordination::store& store,
               const std::string& name, double cores)
        : endpoints(loop) {
        service::cluster_options options;
        options.vm = name;
        options.peer_address = "127.0.0.1:0";
        options.incarnation = "1";
        options.cores = cores;
        service::external_records records;
        records.registry_prefix = registry_prefix;
        records.configuration_prefix = "configuration/";
        records.decode_endpoint = [](const coordination::key_value& entry)
            -> std::optional<cluster::endpoint_listing> {
            cluster::endpoint_listing listing;
            listing.id = entry.key.substr(std::string(registry_prefix).size());
            listing.service = "s";
            listing.address = "127.0.0.1:1";
            return listing;
        };
        records.decode_configuration = [](const coordination::key_value&)
            -> std::optional<cluster::queue_table> { return {}; };
        service = std::make_unique<service::cluster_service>(
            loop, options, store, endpoints, advice, records, metrics);
        is_started = service->start().has_value();
    }
    willing_endpoints endpoints;
    silent_advice advice;
    observe::metrics metrics;
    std::unique_ptr<service::cluster_service> service;
    bool is_started{false};
};

/// Writes @p count jobs that have not been started.
inline void put_jobs(scripted_store& store, int count) {
    for (int i = 0; i < count; ++i) {
        std::string id = "j" + std::to_string(i);
        coordination::transaction change;
        change.puts.push_back({cluster::keys::job + id,
                               workload::encode(make_job(id, 2, 1000)),
                               coordination::no_lease});
        store.apply(change);
    }
}

inline void put_endpoints(scripted_store& store, int count) {
    for (int i = 0; i < count; ++i) {
        coordination::transaction change;
        change.puts.push_back({cluster_vm::registry_prefix + std::to_string(i),
                               "listed", coordination::no_lease});
        store.apply(change);
    }
}

/// Runs @p owner until @p condition holds, for at most @p limit.
/// @return how long it took; @p limit if it does not hold.
inline base::milliseconds run_until(kernel::loop& owner,
                                    const std::function<bool()>& condition,
                                    base::milliseconds limit) {
    auto started = base::monotonic_now();
    while (!condition()) {
        if (base::monotonic_now() - started >= limit) {
            return limit;
        }
        run_loop(owner, base::milliseconds(1));
    }
    return base::monotonic_now() - started;
}

} // namespace eelgrasslever::test
