/// @file
/// Serves clients on any VM: accepts jobs, reports their state and cancels
/// them.
#pragma once

#include "eelgrasslever/cluster/ended_jobs.hpp"
#include "eelgrasslever/cluster/job_view.hpp"
#include "eelgrasslever/cluster/running_jobs.hpp"
#include "eelgrasslever/cluster/unmet_cancellations.hpp"
#include "eelgrasslever/coordination/committer.hpp"
#include "eelgrasslever/coordination/store.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrasslever::cluster {

enum class submit_result {
    accepted,  ///< stored, by this or an earlier attempt
    refused,   ///< not stored, and this attempt can't store it any more
    uncertain, ///< may have been stored; the client should retry
    cancelled, ///< not stored, as the id was cancelled before
};

[[nodiscard]] const char* to_string(submit_result value);

enum class cancel_result {
    cancelled,
    unknown_job, ///< and a submission of it that is under way is not stored
    unavailable,
    /// Not stored, as the job is unknown and too many such cancellations are.
    rejected,
};

[[nodiscard]] const char* to_string(cancel_result value);

struct state_result {
    /// Empty if the job is unknown or its state could not be read.
    std::optional<workload::job_state> state;
    bool unknown_job{false};
};

class job_service : public std::enable_shared_from_this<job_service> {
  public:
    /// Part of the client's deadline that is reserved for sending the
    /// response.
    static constexpr base::milliseconds response_margin{150};
    /// Clients may be given a number of waiting jobs that is this old.
    static constexpr base::milliseconds max_count_age{2000};
    /// Oldest view from which clients are answered; the rest of
    /// `max_count_age` is for sending the response.
    static constexpr base::milliseconds max_view_age{max_count_age -
                                                     response_margin};

    /// Receives the id and the encoded record of a job that was stored.
    using stored_handler =
        std::function<void(const std::string& id, const std::string& record)>;

    /// @return the latest time at which the view was known to contain all
    /// changes, or nothing if it is not complete.
    using view_time_function = std::function<std::optional<base::instant>()>;

    /// @param on_stored called for each job that this VM has stored.
    job_service(coordination::store& store, job_view& view,
                view_time_function view_time,
                std::shared_ptr<coordination::committer> committer,
                stored_handler on_stored = nullptr);

    /// @return what `view_time_function` returns.
    [[nodiscard]] std::optional<base::instant> view_time() const {
        return m_view_time();
    }
    /// @return whether the view is complete and recent enough to answer
    /// clients from it.
    [[nodiscard]] bool is_view_current(base::instant now) const;
    /// @return the final state of the job if this VM knows it, which can't
    /// change any more.
    [[nodiscard]] std::optional<workload::job_state>
    known_final_state(const std::string& id, base::instant now) const;
    /// @return whether this VM can tell the state of @p id without the store:
    /// the state is terminal, or the job is known and the view is current.
    [[nodiscard]] bool is_state_known(const std::string& id,
                                      base::instant now) const;
    /// Corrects an answer about @p id by what this VM has learned since.
    /// @param as_of @p found was read at this time or later.
    [[nodiscard]] state_result correct(const std::string& id,
                                       state_result found,
                                       base::instant as_of) const;
    /// Keeps a state that was read elsewhere and given to a client, or a final
    /// one that another VM has stored, so that later answers from an older view
    /// don't contradict it.
    void adopt_state(const std::string& id, workload::job_state state);

    /// Stores @p job unless its id is known or was cancelled. @p done is called
    /// once.
    /// @param deadline when the client stops waiting.
    void submit(const workload::job& job, base::instant deadline,
                const std::function<void(submit_result)>& done);
    /// Stores a cancellation request, also of an unknown job: a submission of
    /// it that is still under way is then not stored. Cancelling a job that has
    /// ended succeeds.
    /// @param deadline when the client stops waiting.
    void cancel(const std::string& id, base::instant deadline,
                const std::function<void(cancel_result)>& done);
    /// Sets how many VMs the cell has.
    void set_members(std::size_t vms) {
        m_unmet_cancellations.set_members(vms);
    }
    /// Reports the state from the local view if the view determines it,
    /// otherwise from the store.
    void state(const std::string& id,
               const std::function<void(const state_result&)>& done);

  private:
    void write_cancel(const std::string& id, base::instant deadline,
                      const std::function<void(cancel_result)>& done);
    using state_handler = std::function<void(const state_result&)>;
    /// Callers that wait for the state of one job.
    struct look_up {
        std::vector<state_handler> waiting; ///< for the read in progress
        /// Came after that read was sent, so its result may be outdated for
        /// them. They share the next read.
        std::vector<state_handler> next;
        base::instant started_at{}; ///< of the read in progress
    };

    /// @return the state of @p id if the view is current and knows the job.
    [[nodiscard]] std::optional<workload::job_state>
    state_in_view(const std::string& id, base::instant now) const;
    /// Reads from the store whether @p id was accepted and is still kept.
    /// Callers that ask at the same time share a read.
    void look_up_state(const std::string& id, const state_handler& done);
    void read_progress(const std::string& id, bool is_repeated);
    void read_job(const std::string& id);
    void finish_look_up(const std::string& id, const state_result& result);

    coordination::store& m_store;
    job_view& m_view;
    view_time_function m_view_time;
    std::shared_ptr<coordination::committer> m_committer;
    stored_handler m_on_stored;
    ended_jobs m_ended_jobs;
    running_jobs m_running_jobs;
    unmet_cancellations m_unmet_cancellations;
    std::unordered_map<std::string, look_up> m_look_ups;
};

} // namespace eelgrasslever::cluster
