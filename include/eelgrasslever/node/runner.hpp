/// @file
/// Moves work from the queue to endpoints and follows it to its end.
#pragma once

#include "eelgrasslever/node/context.hpp"

#include <deque>

namespace eelgrasslever::node {

class runner {
  public:
    explicit runner(context& shared) : m_context(shared) {}

    /// Places what fits, in order of precedence.
    void pump();
    /// Applies what the endpoints reported since the last call.
    void absorb_events();
    /// Stops whatever of @p item is at endpoints.
    void stop_tasks(const entry_ptr& item);

  private:
    struct failed_shape {
        base::resources need;
        int count;
        admission::reclaim_level level;
    };
    void place(const entry_ptr& item, const admission::work_item& work,
               const std::vector<placement::assignment>& plan);
    bool hand_over(const entry_ptr& item, const admission::work_item& work);
    /// Trial work leaves free what short paying work used at its recent peak
    /// beyond what it uses now, so that paying work need not wait for trial
    /// tasks to be stopped.
    [[nodiscard]] bool leaves_headroom(const admission::work_item& work) const;
    void note_paying_use(std::int64_t slots);
    void forget_old_peaks();
    [[nodiscard]] bool holds_back(const admission::work_item& blocked) const;
    void on_event(const dispatch::event& event);
    void on_task_end(const entry_ptr& item, const dispatch::event& event);
    void on_orphan(const dispatch::event& event);
    void remember_stopped(const dispatch::event& event);
    void conclude(const entry_ptr& item);
    void run_again(const entry_ptr& item);
    void record_span(const entry_ptr& item, const std::string& name);

    context& m_context;
    std::vector<entry_ptr> m_handed_over; ///< within one `pump`
    bool m_absorbing{false};
    struct usage_sample {
        base::instant at{};
        std::int64_t slots{0};
    };
    std::int64_t m_paying_in_use{0};         ///< slots of short paying work
    std::deque<usage_sample> m_paying_peaks; ///< falling, oldest first
};

/// @return ids of the tasks that an entry's run consists of.
[[nodiscard]] std::vector<std::string>
task_ids_of(const admission::request& request);

/// @return the request's id for a task's id.
[[nodiscard]] std::string request_id_of(const std::string& task_id);

} // namespace eelgrasslever::node
