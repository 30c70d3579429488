/// @file
/// The local view of all jobs in the store, which every VM keeps up to date by
/// a watch.
#pragma once

#include "eelgrasslever/coordination/store.hpp"
#include "eelgrasslever/workload/progress.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace eelgrasslever::cluster {

/// Keys in the store.
namespace keys {
inline constexpr const char* root = "eel/";
inline constexpr const char* job = "eel/job/";
inline constexpr const char* progress = "eel/progress/";
inline constexpr const char* cancel = "eel/cancel/";
inline constexpr const char* member = "eel/member/";
inline constexpr const char* leader = "eel/leader";
inline constexpr const char* term = "eel/term";
inline constexpr const char* successor = "eel/successor";
} // namespace keys

struct job_entry {
    std::shared_ptr<const workload::job> job; ///< null once the job has ended
    workload::progress progress;
    coordination::revision job_revision{coordination::absent};
    coordination::revision progress_revision{coordination::absent};
    bool cancel_requested{false};
    base::instant cancel_seen_at{}; ///< when this VM first saw the request
    /// Whether a client was told that the job runs, before the view showed it.
    bool reported_running{false};
    base::instant ended_at{}; ///< when this VM first saw a terminal state

    /// @return whether the job or its final state is known; a cancellation
    /// alone does not count.
    [[nodiscard]] bool is_known() const {
        return job || progress_revision != coordination::absent ||
               workload::is_terminal(progress.state);
    }
    /// @return whether nothing but a cancellation is known, and that since
    /// before @p time.
    [[nodiscard]] bool is_unmet_cancellation(base::instant time) const {
        return cancel_requested && !is_known() && cancel_seen_at < time;
    }
};

/// How a change of the store affects a job.
enum class job_change_kind {
    none,
    accepted,
    progressed,
    cancel_requested,
    removed
};

class job_view {
  public:
    struct change {
        job_change_kind kind{job_change_kind::none};
        std::string id;
    };

    /// Applies a change of one key under `keys::root`. Records that can't be
    /// decoded are logged and ignored.
    change apply(const coordination::key_value& record, base::instant now);

    /// Applies a terminal state that another VM has stored, before the watch
    /// delivers it. Without any record of the job it is kept for as long as
    /// the store would keep one.
    void apply_final_state(const std::string& id, workload::job_state state,
                           base::instant now);

    /// Removes jobs of which only an announced end is known, and has been for
    /// as long as the store keeps records. Each change does so, too.
    void remove_expired_ends(base::instant now);

    /// Notes that clients were told that the job runs. It has no effect on jobs
    /// that the view doesn't contain.
    void note_reported_running(const std::string& id);

    /// @return the entry of the job, or nullptr.
    [[nodiscard]] const job_entry* find(const std::string& id) const;
    [[nodiscard]] const std::unordered_map<std::string, job_entry>&
    all() const {
        return m_jobs;
    }
    /// @return the number of accepted jobs of @p queue that are still queued.
    [[nodiscard]] std::size_t pending(const std::string& queue) const;
    /// @return the numbers for all queues; queues without such jobs are left
    /// out.
    [[nodiscard]] const std::map<std::string, std::size_t>&
    pending_by_queue() const {
        return m_pending;
    }

  private:
    change apply_job(const std::string& id,
                     const coordination::key_value& record);
    change apply_progress(const std::string& id,
                          const coordination::key_value& record,
                          base::instant now);
    change apply_cancel(const std::string& id,
                        const coordination::key_value& record,
                        base::instant now);
    void erase_if_empty(const std::string& id);
    /// Changes the entry of @p id by @p change and keeps the numbers of queued
    /// jobs in step. The entry is created if it doesn't exist.
    template <typename Change>
    void modify(const std::string& id, Change change);

    std::unordered_map<std::string, job_entry> m_jobs;
    /// Ends that were announced before a record of them was seen.
    std::deque<std::pair<base::instant, std::string>> m_announced_ends;
    std::map<std::string, std::size_t> m_pending; ///< by queue, without zeros
};

} // namespace eelgrasslever::cluster
