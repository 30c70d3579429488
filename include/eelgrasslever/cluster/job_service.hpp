/// @file
/// Answers clients on any VM: accepts jobs, tells their state, cancels them.
#pragma once

#include "eelgrasslever/cluster/job_view.hpp"
#include "eelgrasslever/coordination/committer.hpp"
#include "eelgrasslever/coordination/store.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace eelgrasslever::cluster {

enum class submit_result {
    accepted,  ///< stored, now or by an earlier attempt
    refused,   ///< not stored and never will be by this attempt
    uncertain, ///< may have been stored; the client should ask again
};

[[nodiscard]] const char* to_string(submit_result value);

enum class cancel_result { cancelled, unknown_job, unavailable };

[[nodiscard]] const char* to_string(cancel_result value);

struct state_result {
    /// Nothing where the store could not be asked.
    std::optional<workload::job_state> state;
    bool unknown_job{false};
};

class job_service : public std::enable_shared_from_this<job_service> {
  public:
    /// Left of a client's deadline for the way back of the answer.
    static constexpr base::milliseconds answer_margin{150};

    /// Receives an id and the record that was stored under it.
    using stored_handler =
        std::function<void(const std::string& id, const std::string& record)>;

    /// @param on_stored runs with each job that this VM has stored.
    job_service(coordination::store& at, const job_view& book,
                std::shared_ptr<coordination::committer> writer,
                stored_handler on_stored = nullptr);

    /// Stores @p job unless it is known. @p done runs once.
    /// @param deadline until when the client waits.
    void submit(const workload::job& job, base::instant deadline,
                const std::function<void(submit_result)>& done);
    void cancel(const std::string& id, base::instant deadline,
                const std::function<void(cancel_result)>& done);
    void state(const std::string& id,
               const std::function<void(const state_result&)>& done);

  private:
    static void settle(const coordination::commit_outcome& outcome,
                       const std::function<void(submit_result)>& done);
    void write_cancel(const std::string& id, base::instant deadline,
                      const std::function<void(cancel_result)>& done);
    /// Asks the store whether @p id was ever accepted and is still kept.
    void look_up(const std::string& id,
                 const std::function<void(const state_result&)>& done);
    void look_up_end(const std::string& id,
                     const std::function<void(const state_result&)>& done);

    coordination::store& m_store;
    const job_view& m_book;
    std::shared_ptr<coordination::committer> m_writer;
    stored_handler m_on_stored;
};

} // namespace eelgrasslever::cluster
