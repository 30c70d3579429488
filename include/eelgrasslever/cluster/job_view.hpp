/// @file
/// The view of all jobs that every VM follows in the store.
#pragma once

#include "eelgrasslever/coordination/store.hpp"
#include "eelgrasslever/workload/progress.hpp"

#include <memory>
#include <string>
#include <unordered_map>

namespace eelgrasslever::cluster {

/// Key layout in the store.
namespace keys {
inline constexpr const char* root = "eel/";
inline constexpr const char* job = "eel/job/";
inline constexpr const char* progress = "eel/progress/";
inline constexpr const char* cancel = "eel/cancel/";
inline constexpr const char* member = "eel/member/";
inline constexpr const char* leader = "eel/leader";
inline constexpr const char* term = "eel/term";
} // namespace keys

struct job_entry {
    std::shared_ptr<const workload::job> job; ///< removed once it has ended
    workload::progress progress;
    coordination::revision job_revision{coordination::absent};
    coordination::revision progress_revision{coordination::absent};
    bool cancel_requested{false};
    base::instant ended_at{}; ///< when the end was first seen here

    /// Whether the job itself or its end is known, not just a cancellation.
    [[nodiscard]] bool is_known() const {
        return job || progress_revision != coordination::absent ||
               workload::is_terminal(progress.state);
    }
};

/// What a change of the store meant.
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

    /// Takes in one change of a key under `keys::root`. Records that can't be
    /// read are logged and left out.
    change apply(const coordination::key_value& record, base::instant now);

    /// Takes in an end that another VM has stored, ahead of the watch.
    void apply_final_state(const std::string& id, workload::job_state state,
                           base::instant now);

    [[nodiscard]] const job_entry* find(const std::string& id) const;
    [[nodiscard]] const std::unordered_map<std::string, job_entry>&
    all() const {
        return m_jobs;
    }
    /// @return accepted jobs of @p queue of which no task has started.
    [[nodiscard]] std::size_t pending(const std::string& queue) const;

  private:
    change apply_job(const std::string& id,
                     const coordination::key_value& record);
    change apply_progress(const std::string& id,
                          const coordination::key_value& record,
                          base::instant now);
    change apply_cancel(const std::string& id,
                        const coordination::key_value& record);
    void drop_if_empty(const std::string& id);

    std::unordered_map<std::string, job_entry> m_jobs;
};

} // namespace eelgrasslever::cluster
