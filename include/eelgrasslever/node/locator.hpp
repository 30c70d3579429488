/// @file
/// Queries the other members for an existing attempt of a request.
///
/// A member that answers `unknown` remembers the query and queries the others
/// before it starts that request itself. If two members query the same id at
/// the same time, exactly one of them proceeds: the one that has already
/// received `unknown` from the other, otherwise the one with the lower id. The
/// other one yields and queries again, because an `unknown` that it received
/// may have been sent before the other member proceeded.
#pragma once

#include "eelgrasslever/node/context.hpp"

namespace eelgrasslever::node {

/// Query rounds in progress and the queries received from other members.
class locator {
  public:
    explicit locator(context& shared) : m_context(shared) {}

    /// Queries all members about @p entry. The result goes to
    /// `request_handler::on_located`.
    void start_round(const request_entry_ptr& entry);
    /// Queries only the member that should own the request.
    void query_owner(const request_entry_ptr& entry);

    /// Cancels the query round of @p id, if there is one.
    void drop_round(const std::string& id) { m_rounds.erase(id); }

    void on_locate(const std::string& from,
                   const wire::locate_request& question);
    void on_located(const std::string& from,
                    const wire::locate_response& reply);
    void advance();

    /// @return whether another member queried @p id within the last two
    /// minutes.
    [[nodiscard]] bool was_queried_by_other(const std::string& id) const;

  private:
    /// One query and the members whose replies are outstanding.
    struct query_round {
        std::uint64_t query{0};
        std::set<std::string> awaited; ///< members that have not replied
        bool yielded{false};     ///< gave precedence to another member's query
        bool undecided{false};   ///< a member that may know it is unreachable
        bool local_doubt{false}; ///< that member belongs to this VM's FD
        base::instant times_out_at{};
    };
    /// @return whether this member's query of @p id precedes @p other's.
    [[nodiscard]] bool has_priority_over(const std::string& id,
                                         const std::string& other) const;
    void finish_round(const std::string& id, wire::locate_result verdict,
                      const std::string& owner);
    void finish_round_if_complete(const std::string& id);

    context& m_context;
    std::uint64_t m_next_query{1};
    std::map<std::string, query_round> m_rounds;
    std::map<std::string, base::instant>
        m_queries_by_others; ///< expiry of queries by others, by request id
};

} // namespace eelgrasslever::node
