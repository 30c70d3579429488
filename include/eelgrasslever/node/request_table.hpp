/// @file
/// The requests that this VM knows, by id.
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

enum class request_stage {
    locating,  ///< asking the other members whether one of them has it
    recording, ///< waiting for the journal
    queued,
    placed, ///< at endpoints, or room is being made there
    remote, ///< another member runs it
    job,    ///< coordinated here, its tasks are entries of their own
    held,   ///< stopped for other work; waits before it is queued again
    answered,
};

[[nodiscard]] const char* to_string(request_stage stage);

/// How the tasks of a placed entry have ended so far.
struct task_tally {
    int completed{0};
    int failed{0};
    int stopped{0};
    int not_started{0};
    int lost{0};
};

struct request_entry {
    admission::request request;
    bool has_request{false}; ///< false: adopted from an endpoint's inventory
    bool is_lookup{false};   ///< only asked about here, never submitted
    bool answered_before{false}; ///< a lookup of what was answered here once
    request_stage stage{request_stage::queued};
    base::instant received{};
    base::instant deadline{};
    base::instant placed_at{};
    bool needs_locate{false}; ///< ask again before any start
    bool admitted{false};     ///< checked against bundle, quota and queue
    bool forward_pending{
        false}; ///< another member took it and has not said more
    bool already_forwarded{false};
    bool recorded{false}; ///< the journal holds its intent
    /// Nothing sent before under this id can have run: the caller or the
    /// journal says so. Only then may an answer be `not_run`.
    bool proven_new{false};
    bool in_doubt{false};    ///< another member's attempt ended in doubt
    bool has_started{false}; ///< an endpoint said that it started
    bool ever_sent{false};   ///< a start was sent to some endpoint
    bool cancelled{false};
    std::string parent_job_id;
    std::set<caller_token> callers;
    std::set<std::string> attached_members;
    std::string owner; ///< for `remote`: member id, empty where not yet known
    base::instant next_check{};
    /// Until then a task of it may run under a lease that a member which says
    /// `unknown` has not yet heard of.
    base::instant doubt_until{};
    std::map<std::string, std::string> open_tasks; ///< task to endpoint
    int preemption_count{0};
    task_tally tally;
    std::string result_body;
    std::string result_reason;
    std::string ran_at;
    std::int64_t charged_slots{0};
    std::int64_t urgent_paying_slots{0}; ///< in use as short paying work
    base::answer final_answer;
    base::instant answered_at{};
};

using request_entry_ptr = std::shared_ptr<request_entry>;

class request_table {
  public:
    [[nodiscard]] request_entry_ptr find(const std::string& id) const;
    request_entry_ptr add(const std::string& id);
    void erase(const std::string& id);
    /// @return whether a task "@p id/N" without a request of its own is open;
    /// such are the tasks of an all-at-once run that were adopted.
    [[nodiscard]] bool has_open_subtasks(const std::string& id) const;
    /// Notes that an entry was answered, for `expire`.
    void record_answered(const std::string& id, base::instant now);
    /// Drops answered entries older than @p retention or beyond the limit.
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
