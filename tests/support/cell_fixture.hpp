/// @file
/// Several VMs of a cell on one event loop, which share an in-memory store and
/// reach one another over loopback connections.
#pragma once

#include "eelgrasslever/service/cluster_service.hpp"

#include "cluster_vm.hpp"
#include "scripted_store.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace eelgrasslever::test {

/// One VM's access to the shared store. Holds watches open as a store does,
/// counts what the VM receives, and can be cut off.
class vm_store final : public coordination::store {
  public:
    using status = coordination::status;

    vm_store(kernel::loop& owner, scripted_store& shared)
        : m_owner(owner), m_shared(shared) {}

    bool is_cut{false};
    bool fails_pages{false};
    bool fails_commits{false};
    /// Between the read of a page and its delivery.
    base::milliseconds page_delay{0};
    int watches_to_lose{0};          ///< watches that get `history_lost`
    std::size_t entries_received{0}; ///< in pages and watches
    std::size_t calls{0};
    std::string unanswered_prefix; ///< whose watches get no reply meanwhile

    void
    read(const std::string& key,
         std::function<void(const coordination::read_reply&)> done) override {
        if (accept<coordination::read_reply>(done)) {
            m_shared.read(key, std::move(done));
        }
    }
    void read_page(
        const std::string& prefix, const std::string& after,
        std::function<void(const coordination::page_reply&)> done) override {
        if (fails_pages) {
            m_owner.defer([done] { done({}); });
        } else if (accept<coordination::page_reply>(done)) {
            m_shared.read_page(
                prefix, after,
                [this, done](const coordination::page_reply& reply) {
                    entries_received += reply.entries.size();
                    call_later(page_delay, [done, reply] { done(reply); });
                });
        }
    }
    void
    watch(const std::string& prefix, coordination::revision after,
          base::milliseconds wait,
          std::function<void(const coordination::watch_reply&)> done) override {
        if (accept<coordination::watch_reply>(done)) {
            poll(prefix, after, base::monotonic_now() + wait, done);
        }
    }
    void commit(
        const coordination::transaction& change,
        std::function<void(const coordination::commit_reply&)> done) override {
        if (fails_commits) {
            m_owner.defer([done] { done({}); });
        } else if (accept<coordination::commit_reply>(done)) {
            m_shared.commit(change, std::move(done));
        }
    }
    void
    grant(base::milliseconds time_to_live,
          std::function<void(const coordination::lease_reply&)> done) override {
        if (accept<coordination::lease_reply>(done)) {
            m_shared.grant(time_to_live, std::move(done));
        }
    }
    void renew(coordination::lease_id lease,
               std::function<void(status)> done) override {
        if (is_cut) {
            m_owner.defer([done] { done(status::unreachable); });
            return;
        }
        m_shared.renew(lease, std::move(done));
    }
    void revoke(coordination::lease_id) override {}

  private:
    /// How often a watch that is held open looks for changes.
    static constexpr base::milliseconds poll_period{5};

    template <typename Reply>
    bool accept(const std::function<void(const Reply&)>& done) {
        calls++;
        if (is_cut) {
            m_owner.defer([done] { done(Reply{}); });
        }
        return !is_cut;
    }

    void
    poll(const std::string& prefix, coordination::revision after,
         base::instant until,
         const std::function<void(const coordination::watch_reply&)>& done) {
        if (prefix == unanswered_prefix) {
            call_later(poll_period, [this, prefix, after, until, done] {
                poll(prefix, after, until, done);
            });
            return;
        }
        if (watches_to_lose > 0) {
            watches_to_lose--;
            m_owner.defer([done] {
                coordination::watch_reply reply;
                reply.status = status::history_lost;
                done(reply);
            });
            return;
        }
        m_shared.watch(prefix, after, base::milliseconds(0),
                       [this, prefix, after, until,
                        done](const coordination::watch_reply& reply) {
                           if (is_cut) {
                               done({});
                               return;
                           }
                           bool is_due = !reply.changes.empty() ||
                                         reply.status != status::ok ||
                                         base::monotonic_now() >= until;
                           if (is_due) {
                               entries_received += reply.changes.size();
                               done(reply);
                               return;
                           }
                           call_later(poll_period,
                                      [this, prefix, after, until, done] {
                                          poll(prefix, after, until, done);
                                      });
                       });
    }

    void call_later(base::milliseconds delay, std::function<void()> work) {
        auto id = m_next_timer++;
        m_timers[id] = std::make_unique<kernel::timer>(
            m_owner, [this, id, work = std::move(work)] {
                // The timer must outlive its own callback.
                m_owner.defer([this, id] { m_timers.erase(id); });
                work();
            });
        m_timers[id]->start_once(delay);
    }

    kernel::loop& m_owner;
    scripted_store& m_shared;
    std::map<std::uint64_t, std::unique_ptr<kernel::timer>> m_timers;
    std::uint64_t m_next_timer{0};
};

class cell_fixture {
  public:
    struct vm {
        std::string name;
        vm_store store;
        willing_endpoints endpoints;
        silent_advice advice;
        observe::metrics metrics;
        std::unique_ptr<service::cluster_service> service;
        std::string address; ///< for messages of peers

        vm(std::string vm_name, kernel::loop& owner, scripted_store& shared)
            : name(std::move(vm_name)), store(owner, shared), endpoints(owner) {
        }

        /// @return the value of a gauge, or -1.
        [[nodiscard]] double gauge(const std::string& gauge_name) {
            service->refresh_gauges();
            std::string text = "\n" + metrics.to_prometheus();
            const std::string line = "\neelgrasslever_" + gauge_name + " ";
            auto at = text.find(line);
            return at == std::string::npos
                       ? -1.0
                       : std::stod(text.substr(at + line.size()));
        }
    };

    cell_fixture() { shared.page_size = 500; }

    vm& add_vm(const std::string& name, double cores,
               const std::string& failure_domain = "fd-1") {
        auto& added =
            m_vms.emplace_back(std::make_unique<vm>(name, loop, shared));
        service::cluster_options options;
        options.vm = name;
        options.peer_address = added->address = free_address();
        options.incarnation = "1";
        options.cores = cores;
        options.failure_domain = failure_domain;
        service::external_records records;
        records.registry_prefix = "endpoints/";
        records.configuration_prefix = "configuration";
        records.decode_endpoint = [](const coordination::key_value& entry)
            -> std::optional<cluster::endpoint_listing> {
            cluster::endpoint_listing listing;
            listing.id = entry.key;
            listing.service = "s";
            listing.address = "127.0.0.1:1";
            listing.capacity.cpu_milli = 8000;
            return listing;
        };
        records.decode_configuration = [](const coordination::key_value&) {
            return std::optional<cluster::queue_table>();
        };
        added->service = std::make_unique<service::cluster_service>(
            loop, std::move(options), added->store, added->endpoints,
            added->advice, std::move(records), added->metrics);
        if (!added->service->start()) {
            throw std::runtime_error("no peer address for " + name);
        }
        return *added;
    }

    vm& find(const std::string& name) {
        for (const auto& each : m_vms) {
            if (each->name == name) {
                return *each;
            }
        }
        throw std::runtime_error("no VM " + name);
    }

    [[nodiscard]] std::vector<std::unique_ptr<vm>>& vms() { return m_vms; }

    /// Cuts @p lost off from the store, and removes its keys as the end of its
    /// lease does.
    void lose(vm& lost) {
        lost.store.is_cut = true;
        coordination::transaction change;
        for (const auto& [key, entry] : shared.entries()) {
            if (key == cluster::keys::member + lost.name ||
                (key == cluster::keys::leader &&
                 entry.value.starts_with(lost.name + "@"))) {
                change.removals.push_back(key);
            }
        }
        shared.apply(change);
    }

    void put(const std::string& key, const std::string& value) {
        coordination::transaction change;
        change.puts.push_back({key, value, coordination::no_lease});
        shared.apply(change);
    }

    /// @return the name of the leader, or an empty string.
    [[nodiscard]] std::string leader() const {
        auto found = shared.entries().find(cluster::keys::leader);
        return found == shared.entries().end()
                   ? std::string()
                   : found->second.value.substr(0,
                                                found->second.value.find('@'));
    }

    /// @return the term as it is stored, or an empty string.
    [[nodiscard]] std::string term() const {
        auto found = shared.entries().find(cluster::keys::term);
        return found == shared.entries().end() ? std::string()
                                               : found->second.value;
    }

    void run(base::milliseconds duration) { run_loop(loop, duration); }

    /// Runs the loop until @p is_done, at most for @p limit.
    /// @return whether it was done in time.
    bool run_until(const std::function<bool()>& is_done,
                   base::milliseconds limit) {
        auto until = base::monotonic_now() + limit;
        while (!is_done() && base::monotonic_now() < until) {
            run(base::milliseconds(10));
        }
        return is_done();
    }

    static std::string free_address() {
        int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        socklen_t size = sizeof address;
        ::bind(descriptor, generic, size);
        ::getsockname(descriptor, generic, &size);
        ::close(descriptor);
        return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }

    kernel::loop loop;
    scripted_store shared{loop};

  private:
    std::vector<std::unique_ptr<vm>> m_vms;
};

} // namespace eelgrasslever::test
