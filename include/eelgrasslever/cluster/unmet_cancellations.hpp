/// @file
/// Limits the stored cancellations of unknown jobs. Each of them takes memory
/// on every VM, and clients can send any number.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstddef>
#include <deque>

namespace eelgrasslever::cluster {

class unmet_cancellations {
  public:
    /// How long such a cancellation is kept: longer than a submission of the
    /// job can be under way, which ends with its client's deadline (seconds).
    static constexpr base::milliseconds retention{60'000};
    /// Most of them in the cell. A VM needs about 0.65 KB for each, so that
    /// they fill 3% of the smallest one (120 MB).
    static constexpr std::size_t max_stored = 6'000;

    /// Sets how many VMs share `max_stored` evenly.
    void set_members(std::size_t vms);
    /// Counts another one towards this VM's share.
    /// @return whether it may be stored at @p now.
    [[nodiscard]] bool admit(base::instant now);

  private:
    std::size_t m_share{max_stored};
    std::deque<base::instant> m_admitted_at; ///< within `retention`
};

} // namespace eelgrasslever::cluster
