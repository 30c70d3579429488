/// @file
/// Asks the other members whether one of them knows a request.
///
/// A member that answers `unknown` remembers the question and will ask back
/// before it starts that request itself. Of two members that ask about the
/// same id at once exactly one goes on: the one to which the other has already
/// answered `unknown`, else the one with the lower id. The one that gave way
/// asks again, since an `unknown` that it received crossed its own.
#pragma once

#include "eelgrasslever/node/context.hpp"

namespace eelgrasslever::node {

class locator {
  public:
    explicit locator(context& shared) : m_context(shared) {}

    /// Starts a round for @p item; `intake::on_located` gets the outcome.
    void start_round(const request_entry_ptr& entry);
    /// Asks one member that should know the request.
    void ask_owner(const request_entry_ptr& entry);

    /// Drops a round that is under way: the entry no longer waits for it.
    void drop_round(const std::string& id) { m_rounds.erase(id); }

    void on_locate(const std::string& from, const wire::locate_request& question);
    void on_located(const std::string& from, const wire::locate_response& reply);
    void advance();

    /// @return whether another member asked about @p id lately.
    [[nodiscard]] bool was_asked_by_other(const std::string& id) const;

  private:
    struct query_round {
        std::uint64_t query{0};
        std::set<std::string> awaited;
        bool yielded{false};
        bool undecided{false};
        bool local_doubt{false}; ///< the doubt is about our own FD
        base::instant times_out_at{};
    };
    [[nodiscard]] bool has_priority_over(const std::string& id,
                                         const std::string& other) const;
    void finish_round(const std::string& id, wire::locate_result verdict,
                      const std::string& owner);
    void finish_round_if_complete(const std::string& id);

    context& m_context;
    std::uint64_t m_next_query{1};
    std::map<std::string, query_round> m_rounds;
    std::map<std::string, base::instant>
        m_recent_questions; ///< until when, by id
};

} // namespace eelgrasslever::node
