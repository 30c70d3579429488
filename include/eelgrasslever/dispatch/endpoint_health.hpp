/// @file
/// Health of an endpoint: its relative speed, and its quarantine when it fails
/// tasks that other endpoints complete.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstdint>

namespace eelgrasslever::dispatch {

/// Exponential moving average of the share of failed tasks.
class failure_rate {
  public:
    /// @param failed whether the finished task failed.
    void record(bool failed);
    /// @return recent share of failed tasks, from 0 to 1.
    [[nodiscard]] double rate() const { return m_rate; }

  private:
    double m_rate{0.0};
};

/// Limits the slots in use at an endpoint that fails repeatedly. After the
/// quarantine the endpoint gets one probe task; each success doubles the limit
/// until it is lifted, and a failure starts a longer quarantine.
class endpoint_health {
  public:
    /// Records a finished task.
    /// @param failed whether the task failed rather than completed.
    /// @param all_endpoints failure rate across all endpoints. While most tasks
    /// fail everywhere, no endpoint is newly quarantined.
    /// @param initial_quarantine length of the first quarantine. The length
    /// doubles with each further quarantine, up to 32 times the initial one,
    /// and is reset when a task succeeds.
    void record_outcome(bool failed, const failure_rate& all_endpoints,
                        base::instant now,
                        base::milliseconds initial_quarantine);

    /// @return how many of the @p capacity slots may be in use at @p now.
    [[nodiscard]] std::int64_t slot_limit(std::int64_t capacity,
                                          base::instant now) const;
    /// @return whether the slots are limited, in quarantine or after it.
    [[nodiscard]] bool is_quarantined() const { return m_slot_limit >= 0; }
    /// @param ratio actual run time over expected run time of a completed task.
    void record_slowness(double ratio);
    /// @return moving average of the recorded ratios, 1 before the first.
    [[nodiscard]] double slowness() const { return m_slowness; }

  private:
    static constexpr std::int64_t no_limit = -1;
    int m_consecutive_failures{0};
    std::int64_t m_slot_limit{no_limit};
    int m_consecutive_quarantines{0};
    base::instant m_quarantined_until{};
    double m_slowness{1.0};
};

} // namespace eelgrasslever::dispatch
