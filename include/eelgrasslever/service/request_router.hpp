/// @file
/// Routes a client's request to the job service of this VM or, if this VM can't
/// reach the store, to that of a peer.
#pragma once

#include "eelgrasslever/cluster/job_service.hpp"
#include "eelgrasslever/coordination/monitored_store.hpp"
#include "eelgrasslever/kernel/loop.hpp"
#include "eelgrasslever/service/pause_detector.hpp"
#include "eelgrasslever/wire/message.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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

    /// Shortest interval between two questions for the numbers of waiting jobs,
    /// and how long an answer is used: with half a second, the leader of a
    /// cluster of 97 VMs answers at most 194 of them per second.
    static constexpr base::milliseconds count_interval{500};
    /// Number of peers that are asked for the numbers of waiting jobs.
    static constexpr std::size_t max_count_peers = 5;
    /// How long one of them is waited for before the next one is asked as well.
    /// The last one then has `peer_timeout` within half of the 1.5 s that an
    /// impatient client waits.
    static constexpr base::milliseconds count_peer_interval{100};

    using send_function =
        std::function<void(const std::string& address, wire::message)>;
    /// @return the leader's peer address, or an empty string if it is unknown
    /// or this VM.
    using leader_function = std::function<std::string()>;
    using count_callback =
        std::function<void(std::optional<std::size_t> count)>;

    request_router(kernel::loop& owner, cluster::job_service& job_service,
                   const cluster::job_view& job_view,
                   const coordination::monitored_store& store,
                   const pause_detector& pauses, send_function send,
                   leader_function leader);

    ~request_router();
    request_router(const request_router&) = delete;
    request_router& operator=(const request_router&) = delete;

    /// Replaces the peers.
    /// @param peers peer address by VM name, without this VM.
    void set_peers(std::map<std::string, std::string> peers);

    /// @param deadline when the client stops waiting for the response.
    void submit_job(const workload::job& job, base::instant deadline,
                    std::function<void(cluster::submit_result)> done);
    void cancel_job(const std::string& id, base::instant deadline,
                    std::function<void(cluster::cancel_result)> done);
    /// Reads the state of a job, from the view if that determines it, otherwise
    /// from the store or through a peer. The state is empty if none of them
    /// answers.
    void get_job_state(const std::string& id, base::instant deadline,
                       std::function<void(const cluster::state_result&)> done);

    /// Counts the accepted jobs of @p queue that are still queued, from a view
    /// that is at most `job_service::max_view_age` old: this VM's, or that of
    /// the leader or another peer. @p done receives nothing if no such view is
    /// found within half of the time to @p deadline.
    void count_pending(const std::string& queue, base::instant deadline,
                       count_callback done);

    /// Handles a request that a peer forwarded.
    /// @param from the peer's address, to which the response is sent.
    void on_request(const std::string& from, const wire::job_request& request);
    /// Handles a peer's response to a request of this VM.
    void on_response(const wire::job_response& response);

  private:
    struct count_waiter;
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
    void query_state(const std::string& id, base::instant deadline,
                     std::function<void(const cluster::state_result&)> done);
    void respond_counts(const std::string& to, std::uint64_t query);
    /// @return the peers to ask for counts: the leader, the last peer that
    /// answered, then others in round-robin order.
    [[nodiscard]] std::vector<std::string> choose_count_peers();
    void fetch_counts();
    /// Asks the next of `m_count_peers`, also if earlier ones may still answer.
    void ask_next_count_peer();
    void on_count_response(const wire::job_response& response);
    /// Answers all waiting clients.
    void finish_count_fetch(bool succeeded);
    void answer_count_waiter(std::uint64_t id);
    /// Answers from counts that a peer sent, if they are recent enough.
    [[nodiscard]] std::optional<std::size_t>
    fetched_count(const std::string& queue, base::instant now) const;
    void log_count(const std::string& queue, const char* source,
                   std::optional<std::size_t> count,
                   std::optional<base::instant> time) const;

    kernel::loop& m_owner;
    cluster::job_service& m_job_service;
    const cluster::job_view& m_job_view;
    const coordination::monitored_store& m_store;
    const pause_detector& m_pauses;
    send_function m_send;
    std::map<std::string, std::string> m_peers;
    /// When the back-off of a peer ends, by address.
    std::map<std::string, base::instant> m_backoff_until;
    std::string m_last_peer;
    std::map<std::uint64_t, std::shared_ptr<peer_query>> m_pending_queries;
    std::uint64_t m_next_query;

    /// A question for counts, until it is answered.
    struct count_query {
        std::string address;
        base::instant sent_at;
    };
    leader_function m_leader;
    std::map<std::string, std::uint64_t> m_fetched_counts; ///< by queue
    /// A lower bound of the time of `m_fetched_counts`.
    std::optional<base::instant> m_fetched_counts_time;
    base::instant m_next_count_fetch{};
    bool m_is_fetching_counts{false};
    bool m_has_count_fetch_failed{false};   ///< of the latest one
    std::vector<std::string> m_count_peers; ///< not yet asked by this fetch
    std::map<std::uint64_t, count_query> m_count_queries;
    std::map<std::uint64_t, std::shared_ptr<count_waiter>> m_count_waiters;
    std::string m_last_count_peer;   ///< name of the last one in the round
    std::string m_last_count_source; ///< address of the last that answered
    kernel::timer m_count_timer;
};

} // namespace eelgrasslever::service
