/// @file
/// Accepts requests, attaches callers to them and gives each request exactly
/// one final answer.
#pragma once

#include "eelgrasslever/node/context.hpp"

namespace eelgrasslever::node {

class request_handler {
  public:
    explicit request_handler(context& shared) : m_context(shared) {}

    /// Handles a caller's request. Every path ends in `effects::send_answer`
    /// or, for jobs, `effects::send_accepted`.
    void submit(const admission::request& request, caller_token caller);

    /// Handles a request that another member forwarded.
    /// @param is_sender_current false if that member may have concluded in the
    /// meantime that this VM is gone.
    void submit_forwarded(const admission::request& request,
                          const std::string& member, bool is_sender_current);

    /// Submits one task of a job that this VM coordinates. The request's
    /// attempt mark is `retry` if another VM may have started the task before.
    void submit_job_task(const admission::request& request,
                         const std::string& job_id, base::instant deadline);

    /// Waits for the answer to a request without submitting it. If this VM does
    /// not know the id, it queries the other members.
    void wait_for_answer(const std::string& id, caller_token caller);

    void cancel(const std::string& id);
    /// Stops sending answers for @p id to @p caller; the request continues.
    void detach_caller(const std::string& id, caller_token caller);

    /// Gives an entry its final answer and sends it to every caller, member and
    /// job that waits for it. An entry that is answered already is left alone.
    void settle(const request_entry_ptr& entry, base::answer answer);

    /// Runs the admission checks on a request that is known not to have run.
    /// @return false if the request was refused and settled.
    bool admit(const request_entry_ptr& entry);

    /// Puts an entry into the queue. Starts a query round first where one is
    /// needed, and settles the entry if it is cancelled or refused.
    void enqueue(const request_entry_ptr& entry);

    /// Queues preempted work again after a back-off that doubles each time, so
    /// that it is not started only to be preempted again.
    void requeue_after_backoff(const request_entry_ptr& entry);

    /// Handles the result of a query round.
    /// @param owner member id of the owner, with verdict `mine`.
    /// @param local_doubt whether a member of this FD was unreachable.
    void on_located(const request_entry_ptr& entry, wire::locate_result verdict,
                    const std::string& owner, bool local_doubt);

    /// Settles waiting work that can no longer start in time and runs the
    /// scheduled checks that are due.
    void advance();
    /// Schedules a check of the entry of @p id at @p when.
    void schedule_check(const std::string& id, base::instant when);

    /// @return estimated queueing time of newly arrived work of @p rank.
    [[nodiscard]] base::milliseconds expected_wait(int rank) const;

  private:
    /// @return the refusal if the request can't be accepted, or nothing.
    [[nodiscard]] std::optional<base::answer>
    find_refusal(const admission::request& request) const;
    /// @return a refusal with a retry time if the queue is too long for the
    /// request's timeout, or nothing.
    [[nodiscard]] std::optional<base::answer>
    find_deadline_refusal(const admission::request& request, int rank) const;
    /// @return why no endpoint or member can ever run the request, or nothing.
    [[nodiscard]] std::optional<std::string>
    find_unsatisfiable_need(const admission::request& request) const;
    /// Answers or attaches the caller if the request is already known here.
    /// @return false if the request must be processed as a new attempt.
    bool try_attach(const admission::request& request, caller_token caller);
    /// @return whether the caller's attempt mark `first` can be trusted.
    [[nodiscard]] bool
    is_trusted_first_attempt(const admission::request& request) const;
    void start_processing(const request_entry_ptr& entry);
    void look_up_in_journal(const request_entry_ptr& entry);
    void settle_overdue(const request_entry_ptr& entry);
    /// Changes a `not_run` that is not proven to `failed` or `unknown`.
    static void correct_not_run(const request_entry& entry,
                                base::answer& answer);
    void check_entry(const request_entry_ptr& entry);
    request_entry_ptr create_entry(const admission::request& request,
                                   base::instant deadline);

    context& m_context;
    std::set<std::pair<base::instant, std::string>>
        m_scheduled_checks; ///< due time, id
};

/// @return an answer of kind @p result with the reason @p detail.
[[nodiscard]] base::answer
make_answer(base::outcome result, std::string detail,
            std::optional<base::milliseconds> retry_after = std::nullopt);

} // namespace eelgrasslever::node
