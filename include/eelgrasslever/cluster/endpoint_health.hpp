/// @file
/// Quarantines endpoints whose runs fail or stall.
///
/// This covers endpoints that report themselves healthy although every run
/// that they start fails or makes no progress.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <string>
#include <unordered_map>

namespace eelgrasslever::cluster {

class endpoint_health {
  public:
    /// Consecutive failures after which an endpoint is quarantined. If a tenth
    /// of all runs fail by a fault of the task itself, a healthy endpoint has
    /// three failures in a row once in a thousand runs.
    static constexpr int failure_threshold = 3;
    /// Length of the first quarantine; it doubles with each further one.
    static constexpr base::milliseconds initial_backoff{2000};
    static constexpr base::milliseconds max_backoff{16000};

    void on_run_done(const std::string& endpoint);
    /// @param task_failed_before whether an earlier run of the same task
    /// failed. The fault is then likely to be the task's, and the failure is
    /// not counted.
    void on_run_failed(const std::string& endpoint, bool task_failed_before,
                       base::instant now);
    /// Quarantines an endpoint on which a run made no progress for too long.
    void on_run_stalled(const std::string& endpoint, base::instant now);
    void forget(const std::string& endpoint);

    /// @return whether the endpoint is quarantined at @p now.
    [[nodiscard]] bool is_suspected(const std::string& endpoint,
                                    base::instant now) const;

  private:
    struct record {
        int consecutive_failures{0};
        base::milliseconds backoff{0};
        base::instant backoff_until{};
    };
    void quarantine(const std::string& endpoint, const char* why,
                    base::instant now);
    std::unordered_map<std::string, record> m_records;
    base::instant m_last_backoff_until{}; ///< no quarantine lasts longer
};

} // namespace eelgrasslever::cluster
