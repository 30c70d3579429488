/// @file
/// Times that govern claims, leases and calls to endpoints.
#pragma once

#include "eelgrasslever/base/time.hpp"

namespace eelgrasslever::dispatch {

struct timing {
    base::milliseconds claim_ttl{2000};  ///< a claim lapses unrenewed after it
    base::milliseconds task_lease{3000}; ///< a task stops unrenewed after it
    base::milliseconds poll_wait{700};   ///< longest wait within a poll
    base::milliseconds call_timeout{1000};
    base::milliseconds claim_retry_interval{250}; ///< between attempts to claim
    base::milliseconds clock_drift_margin{
        500}; ///< for drift between two clocks
    base::milliseconds initial_quarantine{
        2000}; ///< before the first probe task

    /// @return time after the last acknowledged renewal at which no task that
    /// was ever sent to an endpoint under that claim can still run. One more
    /// poll may renew the claim at its very end, and one more start may arrive
    /// at the end of that.
    [[nodiscard]] base::milliseconds lost_after() const {
        return 2 * claim_ttl + task_lease + clock_drift_margin;
    }
};

} // namespace eelgrasslever::dispatch
