/// @file
/// Exchanges heartbeats and messages with the other members and assigns the
/// endpoints of the FD to its members.
#pragma once

#include "eelgrasslever/node/context.hpp"

namespace eelgrasslever::node {

/// Link between a node and the other members.
class peering {
  public:
    explicit peering(context& shared) : m_context(shared) {}

    /// Dispatches a message from member @p from.
    void on_message(const std::string& from, const wire::message& message);
    void advance();
    /// Tells every member that this VM holds no claim and is exiting.
    void announce_departure();

    /// @return the heartbeat for @p member.
    /// @param member its id, or empty for a peer of which only the address is
    /// known.
    [[nodiscard]] wire::heartbeat make_heartbeat(const std::string& member);

  private:
    void on_heartbeat(const std::string& from,
                      const wire::heartbeat& heartbeat);
    void on_settled(const std::string& from,
                    const wire::request_result& settled);
    void on_forward(const std::string& from, const wire::forward& work);
    void send_holdings(const std::string& member);
    void review_members();
    void send_heartbeats();
    void update_ownership();
    void recheck_queued_requests();
    /// @return whether the heartbeat @p sequence is so recent that no peer that
    /// received it can have concluded that this VM is gone.
    [[nodiscard]] bool was_sent_recently(std::uint64_t sequence) const;

    context& m_context;
    base::instant m_next_review{};
    base::instant m_next_heartbeat{};
    std::uint64_t m_sequence{0};
    std::vector<std::string> m_candidates;
    std::set<std::string> m_assigned_endpoints;
    std::map<std::string, std::string> m_owners; ///< endpoint to member id
    std::set<std::string> m_last_holdings;
    std::uint64_t m_holdings_revision{0};
    bool m_departure_announced{false};
    std::map<std::uint64_t, base::instant>
        m_heartbeat_times; ///< send times by sequence
};

} // namespace eelgrasslever::node
