/// @file
/// Routes a client's request to the job service of this VM or, if this VM can't
/// reach the store, to that of a peer.
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

/// Serves requests of this VM's clients, and those that peers forward. Each
/// callback is called once; a request that can't be forwarded fails within the
/// call.
class request_router : public std::enable_shared_from_this<request_router> {
  public:
    /// A submission without an outcome after this time is also sent to a peer.
    /// It is a quarter of the shortest latency objective of the deployments
    /// (1.75 s).
    static constexpr base::milliseconds relay_delay{400};
    /// How long to wait for the response of one peer.
    static constexpr base::milliseconds peer_timeout{300};
    /// Number of peers to which one request is sent in turn.
    static constexpr int max_peers = 2;

    using send_function =
        std::function<void(const std::string& address, wire::message)>;

    request_router(kernel::loop& owner, cluster::job_service& job_service,
                   const cluster::job_view& job_view,
                   const coordination::monitored_store& store,
                   send_function send);

    /// Replaces the peers.
    /// @param peers peer address by VM name, without this VM.
    void set_peers(std::map<std::string, std::string> peers);

    /// @param deadline when the client stops waiting for the response.
    void submit_job(const workload::job& job, base::instant deadline,
                    std::function<void(cluster::submit_result)> done);
    void cancel_job(const std::string& id, base::instant deadline,
                    std::function<void(cluster::cancel_result)> done);
    /// Reads the state of a job. If the store is unreachable and no peer
    /// answers, the result may be outdated.
    void get_job_state(const std::string& id, base::instant deadline,
                       std::function<void(const cluster::state_result&)> done);

    /// Handles a request that a peer forwarded.
    /// @param from the peer's address, to which the response is sent.
    void on_request(const std::string& from, const wire::job_request& request);
    /// Handles a peer's response to a request of this VM.
    void on_response(const wire::job_response& response);

  private:
    struct peer_query;
    struct submission;
    /// @param answered whether a peer carried out the request.
    using peer_query_callback =
        std::function<void(bool answered, const wire::job_response&)>;
    /// @return the address of the next peer that is not backed off, in
    /// round-robin order, or an empty string.
    [[nodiscard]] std::string choose_peer(base::instant now);
    /// Sends @p request to up to @p attempts peers in turn, until one of them
    /// carries it out.
    void query_peers(wire::job_request request, int attempts,
                     peer_query_callback done);
    void respond(const std::string& to, std::uint64_t query,
                 wire::job_request_outcome outcome, int state = 0);

    kernel::loop& m_owner;
    cluster::job_service& m_job_service;
    const cluster::job_view& m_job_view;
    const coordination::monitored_store& m_store;
    send_function m_send;
    std::map<std::string, std::string> m_peers;
    /// When the back-off of a peer ends, by address.
    std::map<std::string, base::instant> m_backoff_until;
    std::string m_last_peer;
    std::map<std::uint64_t, std::shared_ptr<peer_query>> m_pending_queries;
    std::uint64_t m_next_query{1};
};

} // namespace eelgrasslever::service
