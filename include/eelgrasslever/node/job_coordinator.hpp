/// @file
/// Coordinates jobs of many tasks: releases their tasks window by window,
/// records their progress in the journal and takes over jobs whose owner is
/// gone.
#pragma once

#include "eelgrasslever/journal/entry.hpp"
#include "eelgrasslever/node/context.hpp"

#include <functional>
#include <optional>

namespace eelgrasslever::node {

/// Owns the jobs that this VM coordinates.
class job_coordinator {
  public:
    explicit job_coordinator(context& shared) : m_context(shared) {}

    /// Starts coordinating a recorded job.
    void start(const request_entry_ptr& entry);
    /// Handles the final answer of one task of a coordinated job.
    void on_task_settled(const std::string& job_id, const std::string& task_id,
                         const base::answer& answer);
    /// Cancels the job's running tasks and releases no more of them.
    void cancel(const request_entry_ptr& entry);
    /// Releases tasks, saves progress and scans for jobs whose owner is gone.
    void advance();
    /// Releases the ownership of every job, so that other members take over.
    void release_all_jobs();
    [[nodiscard]] bool empty() const { return m_jobs.empty(); }
    [[nodiscard]] std::size_t size() const { return m_jobs.size(); }
    /// Makes the next `advance` scan the journal for jobs whose owner is gone.
    void request_scan() { m_next_scan = base::instant{}; }
    /// @return the progress of a job as text, or an empty string if the job is
    /// not coordinated here.
    [[nodiscard]] std::string describe_progress(const std::string& id) const;

  private:
    /// Progress of one coordinated job.
    struct job_state {
        request_entry_ptr entry;
        std::vector<bool> finished; ///< by task index
        int finished_count{0};
        int failed_count{0};
        int next_index{0};       ///< of the next task to release
        std::set<int> in_flight; ///< indices of tasks queued or running
        std::set<int> to_retry;  ///< indices to release again
        bool taken_over{false};  ///< another member coordinated it before
        bool has_unsaved_progress{false};
        base::instant next_save{};
    };
    [[nodiscard]] static std::vector<int> take_releasable_tasks(job_state& job);
    void release_tasks(const std::string& id);
    /// @return whether the member @p owner can no longer run tasks of a job.
    [[nodiscard]] bool is_owner_gone(const std::string& owner) const;
    void submit_task(const std::string& id, job_state& job, int index);
    /// @param keep_ownership false to release the job together with the save.
    /// @return a journal change that saves the job's progress.
    [[nodiscard]] std::function<
        std::optional<journal::entry>(const journal::entry*)>
    progress_change(const job_state& job, bool keep_ownership) const;
    void save_progress(const std::string& id, job_state& job);
    void finish_job(const std::string& id, job_state& job);
    void consider_takeover(const std::string& id, const journal::entry& stored);
    void take_over(const std::string& id);
    void resume(const std::string& id, const journal::entry& stored);

    context& m_context;
    std::map<std::string, job_state> m_jobs;
    std::set<std::string> m_takeovers_in_flight;
    base::instant m_next_scan{};
};

} // namespace eelgrasslever::node
