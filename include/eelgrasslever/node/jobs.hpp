/// @file
/// Jobs of many tasks: released a window at a time, their progress journaled,
/// taken over by another member of the FD when their home is gone.
#pragma once

#include "eelgrasslever/journal/entry.hpp"
#include "eelgrasslever/node/context.hpp"

#include <functional>
#include <optional>

namespace eelgrasslever::node {

class jobs {
  public:
    explicit jobs(context& shared) : m_context(shared) {}

    /// Starts coordinating a recorded job.
    void start(const entry_ptr& item);
    /// One of its tasks was settled.
    void on_task_settled(const std::string& job_id, const std::string& task_id,
                         const base::answer& value);
    void cancel(const entry_ptr& item);
    /// Releases tasks, saves progress and looks for jobs without a home.
    void advance();
    /// Gives every job up, so that other members take them over.
    void hand_over_all();
    [[nodiscard]] bool empty() const { return m_jobs.empty(); }
    [[nodiscard]] std::size_t size() const { return m_jobs.size(); }
    /// Looks through the journal for jobs without a home.
    void scan_soon() { m_next_scan = base::instant{}; }
    /// Human-readable progress of a job, or an empty string.
    [[nodiscard]] std::string progress(const std::string& id) const;

  private:
    struct job {
        entry_ptr item;
        std::vector<bool> finished;
        int finished_count{0};
        int failed{0};
        int released{0}; ///< next index to release
        std::set<int> under_way;
        std::set<int> again; ///< indices to release again
        bool recovered{false};
        bool dirty{false};
        base::instant next_save{};
    };
    [[nodiscard]] static std::vector<int> take_releasable(job& at);
    void release(const std::string& id);
    [[nodiscard]] bool home_is_over(const std::string& home) const;
    void submit_task(const std::string& id, job& at, int index);
    [[nodiscard]] std::function<
        std::optional<journal::entry>(const journal::entry*)>
    progress_change(const job& at, bool stay_home) const;
    void save(const std::string& id, job& at);
    void complete(const std::string& id, job& at);
    void consider(const std::string& id, const journal::entry& found);
    void take_over(const std::string& id);
    void resume(const std::string& id, const journal::entry& taken);

    context& m_context;
    std::map<std::string, job> m_jobs;
    std::set<std::string> m_taking;
    base::instant m_next_scan{};
};

} // namespace eelgrasslever::node
