/// @file
/// Moves work from the queue to endpoints and follows it to its end.
#pragma once

#include "eelgrasslever/node/context.hpp"

#include <deque>

namespace eelgrasslever::node {

class task_runner {
  public:
    explicit task_runner(context& shared) : m_context(shared) {}

    /// Places what fits, in order of precedence.
    void place_queued_work();
    /// Applies what the endpoints reported since the last call.
    void process_events();
    /// Stops whatever of @p item is at endpoints.
    void stop_tasks(const request_entry_ptr& entry);

  private:
    struct unplaceable_shape {
        base::resources need;
        int count;
        admission::reclaim_level level;
    };
    void place(const request_entry_ptr& entry, const admission::work_item& work,
               const std::vector<placement::assignment>& plan);
    bool try_forward(const request_entry_ptr& entry,
                     const admission::work_item& work);
    /// Trial work leaves free what short paying work used at its recent peak
    /// beyond what it uses now, so that paying work need not wait for trial
    /// tasks to be stopped.
    [[nodiscard]] bool leaves_headroom(const admission::work_item& work) const;
    void track_urgent_paying_slots(std::int64_t slots);
    void drop_old_peaks();
    [[nodiscard]] bool blocks_queue(const admission::work_item& blocked) const;
    void on_event(const dispatch::event& event);
    void on_task_end(const request_entry_ptr& entry,
                     const dispatch::event& event);
    void on_untracked_task(const dispatch::event& event);
    void record_stopped_run(const dispatch::event& event);
    void finish_run(const request_entry_ptr& entry);
    void retry_run(const request_entry_ptr& entry);
    void record_stage_span(const request_entry_ptr& entry,
                           const std::string& name);

    context& m_context;
    std::vector<request_entry_ptr> m_forwarded; ///< within one `pump`
    bool m_processing_events{false};
    struct usage_sample {
        base::instant time{};
        std::int64_t slots{0};
    };
    std::int64_t m_urgent_paying_slots{0}; ///< slots of short paying work
    std::deque<usage_sample> m_urgent_paying_peaks; ///< falling, oldest first
};

/// @return ids of the tasks that an entry's run consists of.
[[nodiscard]] std::vector<std::string>
task_ids_of(const admission::request& request);

/// @return the request's id for a task's id.
[[nodiscard]] std::string request_id_of(const std::string& task_id);

} // namespace eelgrasslever::node
