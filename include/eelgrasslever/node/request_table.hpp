/// @file
/// Table of the requests that this entry VM tracks, keyed by request id.
#pragma once

#include "eelgrasslever/admission/request.hpp"
#include "eelgrasslever/base/answer.hpp"
#include "eelgrasslever/node/effects.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace eelgrasslever::node {

/// Processing stage of a request on this entry VM.
enum class request_stage {
    locating,  ///< querying the other members for an existing attempt
    recording, ///< waiting for the journal to store the intent
    queued,    ///< waiting in the admission queue
    placed,    ///< assigned to endpoints; capacity may still be reclaimed there
    remote,    ///< owned by another member
    job,       ///< coordinated here; each task has an entry of its own
    held,      ///< preempted; waits out a back-off before it is queued again
    answered,  ///< has its final answer
};

/// @return the name of @p stage, as the HTTP interface reports it.
[[nodiscard]] const char* to_string(request_stage stage);

/// Number of tasks of a placed entry by outcome.
struct task_tally {
    int completed{0};
    int failed{0};
    int stopped{0};
    int not_started{0};
    int lost{0};
};

/// State of one request: what was asked, where it runs and who waits for it.
struct request_entry {
    admission::request request;
    bool has_request{false}; ///< false: only known from an endpoint's inventory
    bool is_lookup{false};   ///< a caller asked about the id without submitting
    bool answered_before{false}; ///< lookup of an id that was answered here
    request_stage stage{request_stage::queued};
    base::instant received_at{};
    base::instant deadline{};
    base::instant placed_at{};
    bool needs_locate{false}; ///< the members must be queried before a start
    bool admitted{false};     ///< passed the checks of `find_refusal`
    /// Forwarded to another member, which has not reported an outcome yet.
    bool forward_pending{false};
    /// Forwarded once, to or from this VM; a request is not forwarded again.
    bool already_forwarded{false};
    bool recorded{false}; ///< the journal holds its intent
    /// The caller's attempt mark or the journal proves that no earlier attempt
    /// under this id can have run. Only then may an answer be `not_run`.
    bool proven_new{false};
    bool in_doubt{false};    ///< an attempt at another member may have run
    bool has_started{false}; ///< an endpoint confirmed a start
    bool ever_sent{false};   ///< a start may have reached an endpoint
    bool cancelled{false};
    std::string parent_job_id;      ///< empty unless this is a task of a job
    std::set<caller_token> callers; ///< callers of this VM that wait
    std::set<std::string> attached_members; ///< members that wait, by id
    std::string owner; ///< for `remote`: member id, empty while unknown
    base::instant next_check{}; ///< when `request_handler` looks at it again
    /// Until this time a task may still run under a lease taken over by a
    /// member that does not know of the task yet, so a verdict `unknown` from
    /// the members proves nothing.
    base::instant doubt_until{};
    std::map<std::string, std::string> open_tasks; ///< task id to endpoint
    int preemption_count{0}; ///< sets the back-off before the next attempt
    task_tally tally;
    std::string result_body;
    std::string result_reason;
    std::string ran_at;            ///< endpoint that ran the last finished task
    std::int64_t charged_slots{0}; ///< charged to the team's quota
    std::int64_t urgent_paying_slots{0}; ///< in use as urgent paying work
    base::answer final_answer;
    base::instant answered_at{};
};

using request_entry_ptr = std::shared_ptr<request_entry>;

/// Entries by request id. Answered entries stay for a retention period, so that
/// a retry gets the same answer.
class request_table {
  public:
    /// @return the entry of @p id, or nullptr.
    [[nodiscard]] request_entry_ptr find(const std::string& id) const;
    /// Adds an empty entry for @p id and replaces an existing one.
    request_entry_ptr add(const std::string& id);
    void erase(const std::string& id);
    /// @return whether a task "@p id/N" is open that has no request of its own,
    /// which holds for adopted tasks of an all-at-once run.
    [[nodiscard]] bool has_open_subtasks(const std::string& id) const;
    /// Records that the entry of @p id was answered at @p now, for `expire`.
    void record_answered(const std::string& id, base::instant now);
    /// Erases answered entries that are older than @p retention, and the oldest
    /// ones while there are more than 20000.
    void expire(base::instant now, base::milliseconds retention);
    [[nodiscard]] const std::map<std::string, request_entry_ptr>& all() const {
        return m_entries;
    }

  private:
    struct answered {
        std::string id;
        base::instant answered_at;
    };
    std::map<std::string, request_entry_ptr> m_entries;
    std::deque<answered> m_answered;
};

} // namespace eelgrasslever::node
