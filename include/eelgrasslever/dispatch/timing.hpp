/// @file
/// Durations that govern claims, task leases and calls to endpoints.
#pragma once

#include "eelgrasslever/base/time.hpp"

namespace eelgrasslever::dispatch {

struct timing {
    base::milliseconds claim_ttl{2000}; ///< an unrenewed claim expires after it
    /// A task whose lease is not renewed is stopped after this time.
    base::milliseconds task_lease{3000};
    base::milliseconds poll_wait{700}; ///< longest time that a poll blocks
    /// Timeout of a call; a poll gets `poll_wait` on top.
    base::milliseconds call_timeout{1000};
    base::milliseconds claim_retry_interval{250}; ///< between claim attempts
    base::milliseconds clock_drift_margin{500};   ///< between two VMs' clocks
    /// Length of the first quarantine, before the first probe task.
    base::milliseconds initial_quarantine{2000};

    /// @return the time after the last acknowledged renewal from which no task
    /// sent under that claim can still run. An unacknowledged poll may renew
    /// the claim just before it expires, and a start may arrive just before the
    /// renewed claim expires: two claim TTLs, then one task lease.
    [[nodiscard]] base::milliseconds lost_after() const {
        return 2 * claim_ttl + task_lease + clock_drift_margin;
    }
};

} // namespace eelgrasslever::dispatch
