/// @file
/// Heartbeats and messages between members.
#pragma once

#include "eelgrasslever/node/context.hpp"

namespace eelgrasslever::node {

class peering {
  public:
    explicit peering(context& shared) : m_context(shared) {}

    void on_message(const std::string& from, const wire::message& message);
    void advance();
    /// Tells every member that this VM holds nothing and exits.
    void announce_departure();

    /// @return the heartbeat to put on a new or idle link to @p member, which
    /// is empty for a peer known by address only.
    [[nodiscard]] wire::heartbeat make_heartbeat(const std::string& member);

  private:
    void on_heartbeat(const std::string& from, const wire::heartbeat& beat);
    void on_settled(const std::string& from, const wire::request_result& ended);
    void on_forward(const std::string& from, const wire::forward& work);
    void send_holdings(const std::string& member);
    void review_members();
    void send_heartbeats();
    void update_ownership();
    void recheck_queued_requests();
    /// @return whether the heartbeat @p sequence was sent so lately that no
    /// peer that heard it can have proved this VM gone.
    [[nodiscard]] bool was_sent_recently(std::uint64_t sequence) const;

    context& m_context;
    base::instant m_next_review{};
    base::instant m_next_heartbeat{};
    std::uint64_t m_sequence{0};
    std::vector<std::string> m_candidates;
    std::set<std::string> m_assigned_endpoints;
    std::map<std::string, std::string> m_owners; ///< endpoint to member
    std::set<std::string> m_last_holdings;
    std::uint64_t m_holdings_revision{0};
    bool m_departure_announced{false};
    std::map<std::uint64_t, base::instant> m_heartbeat_times; ///< by sequence
};

} // namespace eelgrasslever::node
