/// @file
/// Runs of jobs that have ended, until their own ends are listed.
#pragma once

#include "eelgrasslever/workload/progress.hpp"

#include <map>
#include <string>
#include <vector>

namespace eelgrasslever::cluster {

/// The record of such a job names the runs, so that the next leader counts them
/// against their workspace's limit from its first start on. Once none is left,
/// the record is due to be stored without them.
class remaining_runs {
  public:
    /// @param record the job's, as it is stored.
    /// @param live runs that are or may be alive.
    void add(const std::string& job, workload::progress record, int live);
    /// Changes the number of the job's runs. Jobs that were not added are
    /// ignored.
    void adjust(const std::string& job, int change);
    /// @return the record of the job, or nullptr.
    [[nodiscard]] const workload::progress* find(const std::string& job) const;

    /// A record that names no runs any more.
    struct settled_record {
        std::string job;
        workload::progress record;
    };
    /// @return the records that are due. They count as being written until
    /// `on_recorded` or `on_record_failed` is called.
    [[nodiscard]] std::vector<settled_record> take_due(base::instant now);
    void on_recorded(const std::string& job);
    /// @param retry_at when the record is due again.
    void on_record_failed(const std::string& job, base::instant retry_at);

  private:
    struct entry {
        workload::progress record;
        int live{0};
        bool is_write_in_flight{false};
        base::instant due_at{}; ///< earliest write
    };
    std::map<std::string, entry> m_jobs;
    /// Some job may have no run left.
    bool m_may_be_due{false};
};

} // namespace eelgrasslever::cluster
