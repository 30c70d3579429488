/// @file
/// Takes requests in, attaches callers to them and gives each its one answer.
#pragma once

#include "eelgrasslever/node/context.hpp"

namespace eelgrasslever::node {

class request_handler {
  public:
    explicit request_handler(context& shared) : m_context(shared) {}

    /// A caller's request. Every path ends in `effects::answer` or, for jobs,
    /// `effects::accept`.
    void submit(const admission::request& request, caller_token caller);

    /// A request that another member handed over.
    /// @param current false where that member may have given this VM up since.
    void submit_forwarded(const admission::request& request,
                          const std::string& member, bool is_sender_current);

    /// A task of a job that this VM coordinates.
    /// @param mark `retry` where another VM may have started it before.
    void submit_job_task(const admission::request& request,
                         const std::string& job_id, base::instant deadline);

    /// Waits for the answer to a request without submitting it; the other
    /// members are asked where this VM doesn't know the id.
    void wait_for_answer(const std::string& id, caller_token caller);

    void cancel(const std::string& id);
    void detach_caller(const std::string& id, caller_token caller);

    /// Ends an entry: tells every caller, member and job that waits for it.
    void settle(const request_entry_ptr& entry, base::answer value);

    /// Checks a request that is now known not to have run before.
    /// @return false where it was refused and settled.
    bool admit(const request_entry_ptr& entry);

    /// Puts an entry into the queue, or settles it where it can't be in time.
    void enqueue(const request_entry_ptr& entry);

    /// Queues work that was stopped for other work again, after a delay that
    /// doubles each time, so that it is not started just to be stopped.
    void requeue_after_backoff(const request_entry_ptr& entry);

    /// Called with what the other members said of a located entry.
    void on_located(const request_entry_ptr& entry, wire::locate_result verdict,
                    const std::string& owner, bool local_doubt);

    /// Settles waiting work that can't be answered in time any more, and looks
    /// again at entries whose time has come.
    void advance();
    /// Looks at the entry again at @p when.
    void schedule_check(const std::string& id, base::instant when);

    /// @return how long newly arrived work of @p rank waits.
    [[nodiscard]] base::milliseconds expected_wait(int rank) const;

  private:
    [[nodiscard]] std::optional<base::answer>
    find_refusal(const admission::request& request) const;
    [[nodiscard]] std::optional<base::answer>
    find_deadline_refusal(const admission::request& request, int rank) const;
    [[nodiscard]] std::optional<std::string>
    find_unsatisfiable_need(const admission::request& request) const;
    bool try_attach(const admission::request& request, caller_token caller);
    /// @return whether the caller's word that it never sent this id before can
    /// be relied upon.
    [[nodiscard]] bool
    is_trusted_first_attempt(const admission::request& request) const;
    void start_processing(const request_entry_ptr& entry);
    void look_up_in_journal(const request_entry_ptr& entry);
    void settle_overdue(const request_entry_ptr& entry);
    static void correct_not_run(const request_entry& entry,
                                base::answer& value);
    void check_entry(const request_entry_ptr& entry);
    request_entry_ptr create_entry(const admission::request& request,
                                   base::instant deadline);

    context& m_context;
    std::set<std::pair<base::instant, std::string>> m_scheduled_checks;
};

/// @return an answer of kind @p result with the reason @p detail.
[[nodiscard]] base::answer
make_answer(base::outcome result, std::string detail,
            std::optional<base::milliseconds> retry_after = std::nullopt);

} // namespace eelgrasslever::node
