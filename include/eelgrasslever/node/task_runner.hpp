/// @file
/// Places queued work at endpoints and tracks its tasks until they finish.
#pragma once

#include "eelgrasslever/node/context.hpp"

#include <deque>

namespace eelgrasslever::node {

class task_runner {
  public:
    explicit task_runner(context& shared) : m_context(shared) {}

    /// Places or forwards the queued work that fits, in queue order.
    void place_queued_work();
    /// Handles the endpoint events since the last call.
    void process_events();
    /// Stops all open tasks of @p entry at their endpoints.
    void stop_tasks(const request_entry_ptr& entry);

  private:
    /// Work that could not be placed in this pass; work that needs at least as
    /// much is not tried.
    struct unplaceable_shape {
        base::resources need;
        int count;
        admission::reclaim_level level;
    };
    void place(const request_entry_ptr& entry, const admission::work_item& work,
               const std::vector<placement::assignment>& plan);
    /// Forwards work to the member with the most free slots, this FD first.
    /// @return false if no member can take it.
    bool try_forward(const request_entry_ptr& entry,
                     const admission::work_item& work);
    /// @return whether placing @p work leaves enough slots free. Trial work
    /// must leave as many slots free as urgent paying work used at its recent
    /// peak beyond its present use, so that paying work need not wait until
    /// trial tasks have been stopped.
    [[nodiscard]] bool leaves_headroom(const admission::work_item& work) const;
    void track_urgent_paying_slots(std::int64_t slots);
    void drop_old_peaks();
    /// @return whether work behind @p blocked must wait until it is placed.
    [[nodiscard]] bool blocks_queue(const admission::work_item& blocked) const;
    void on_event(const dispatch::event& event);
    void on_task_finished(const request_entry_ptr& entry,
                          const dispatch::event& event);
    void on_untracked_task(const dispatch::event& event);
    void record_stopped_run(const dispatch::event& event);
    void finish_run(const request_entry_ptr& entry);
    void retry_run(const request_entry_ptr& entry);
    void record_stage_span(const request_entry_ptr& entry,
                           const std::string& name);

    context& m_context;
    std::vector<request_entry_ptr> m_forwarded; ///< in the present pass
    bool m_processing_events{false};
    /// Slots in use by urgent paying work from a point in time on.
    struct usage_sample {
        base::instant time{};
        std::int64_t slots{0};
    };
    std::int64_t m_urgent_paying_slots{0}; ///< in use by urgent paying work
    std::deque<usage_sample>
        m_urgent_paying_peaks; ///< decreasing slots, oldest first
};

/// @return the task ids of a request: the request id itself for one task,
/// "ID/N" for several.
[[nodiscard]] std::vector<std::string>
task_ids_of(const admission::request& request);

/// @return the request id of a task id of the form "ID/N".
[[nodiscard]] std::string request_id_of(const std::string& task_id);

} // namespace eelgrasslever::node
