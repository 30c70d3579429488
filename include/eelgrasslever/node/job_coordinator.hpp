/// @file
/// Jobs of many tasks: released a window at a time, their progress journaled,
/// taken over by another member of the FD when their home is gone.
#pragma once

#include "eelgrasslever/journal/entry.hpp"
#include "eelgrasslever/node/context.hpp"

#include <functional>
#include <optional>

namespace eelgrasslever::node {

class job_coordinator {
  public:
    explicit job_coordinator(context& shared) : m_context(shared) {}

    /// Starts coordinating a recorded job.
    void start(const request_entry_ptr& entry);
    /// One of its tasks was settled.
    void on_task_settled(const std::string& job_id, const std::string& task_id,
                         const base::answer& value);
    void cancel(const request_entry_ptr& entry);
    /// Releases tasks, saves progress and looks for jobs without a home.
    void advance();
    /// Gives every job up, so that other members take them over.
    void release_all_jobs();
    [[nodiscard]] bool empty() const { return m_jobs.empty(); }
    [[nodiscard]] std::size_t size() const { return m_jobs.size(); }
    /// Looks through the journal for jobs without a home.
    void request_scan() { m_next_scan = base::instant{}; }
    /// Human-readable progress of a job, or an empty string.
    [[nodiscard]] std::string describe_progress(const std::string& id) const;

  private:
    struct job_state {
        request_entry_ptr entry;
        std::vector<bool> finished;
        int finished_count{0};
        int failed_count{0};
        int next_index{0}; ///< next index to release
        std::set<int> in_flight;
        std::set<int> to_retry; ///< indices to release again
        bool taken_over{false};
        bool has_unsaved_progress{false};
        base::instant next_save{};
    };
    [[nodiscard]] static std::vector<int> take_releasable_tasks(job_state& job);
    void release_tasks(const std::string& id);
    [[nodiscard]] bool is_owner_gone(const std::string& owner) const;
    void submit_task(const std::string& id, job_state& job, int index);
    [[nodiscard]] std::function<
        std::optional<journal::entry>(const journal::entry*)>
    progress_change(const job_state& job, bool keep_ownership) const;
    void save_progress(const std::string& id, job_state& job);
    void finish_job(const std::string& id, job_state& job);
    void consider_takeover(const std::string& id, const journal::entry& found);
    void take_over(const std::string& id);
    void resume(const std::string& id, const journal::entry& taken);

    context& m_context;
    std::map<std::string, job_state> m_jobs;
    std::set<std::string> m_takeovers_in_flight;
    base::instant m_next_scan{};
};

} // namespace eelgrasslever::node
