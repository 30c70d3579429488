/// @file
/// Answers a client's call here or, where this VM does not reach the store,
/// through another VM that does.
#pragma once

#include "eelgrasslever/cluster/job_service.hpp"
#include "eelgrasslever/coordination/monitored_store.hpp"
#include "eelgrasslever/kernel/loop.hpp"
#include "eelgrasslever/wire/message.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace eelgrasslever::service {

class request_router : public std::enable_shared_from_this<request_router> {
  public:
    /// After this long without an outcome a peer is asked as well. Source: a
    /// quarter of the shortest latency objective of the deployments (1.75 s).
    static constexpr base::milliseconds patience{400};
    /// How long one peer may take.
    static constexpr base::milliseconds peer_timeout{300};
    /// Peers asked for one request.
    static constexpr int most_peers = 2;

    using send_function =
        std::function<void(const std::string& address, wire::message)>;

    request_router(kernel::loop& owner, cluster::job_service& desk,
                   const cluster::job_view& book,
                   const coordination::monitored_store& store,
                   send_function send);

    /// Replaces the peers, by VM with their addresses; without this VM.
    void set_peers(std::map<std::string, std::string> peers);

    void submit(const workload::job& job, base::instant deadline,
                std::function<void(cluster::submit_result)> done);
    void cancel(const std::string& id, base::instant deadline,
                std::function<void(cluster::cancel_result)> done);
    void state(const std::string& id, base::instant deadline,
               std::function<void(const cluster::state_result&)> done);

    void on_request(const std::string& from, const wire::desk_request& request);
    void on_response(const wire::desk_response& response);

  private:
    struct relay;
    struct submission;
    using relay_callback =
        std::function<void(bool answered, const wire::desk_response&)>;
    [[nodiscard]] std::string next_peer(base::instant now);
    /// Asks peers in turn until one answers with more than a refusal.
    void ask_peers(wire::desk_request request, int tries, relay_callback done);
    void respond(const std::string& to, std::uint64_t query,
                 wire::desk_outcome outcome, int state = 0);

    kernel::loop& m_owner;
    cluster::job_service& m_desk;
    const cluster::job_view& m_book;
    const coordination::monitored_store& m_store;
    send_function m_send;
    std::map<std::string, std::string> m_peers;
    std::map<std::string, base::instant> m_rest_until; ///< by address
    std::string m_last_peer;
    std::map<std::uint64_t, std::shared_ptr<relay>> m_open;
    std::uint64_t m_next_query{1};
};

} // namespace eelgrasslever::service
