/// @file
/// Detects that the process did not run for a while, so that messages that it
/// reads afterwards may have waited.
#pragma once

#include "eelgrasslever/base/time.hpp"
#include "eelgrasslever/kernel/loop.hpp"

namespace eelgrasslever::service {

class pause_detector {
  public:
    /// Longer pauses are detected. Peers wait 0.3 s for each other, and the
    /// leader less for the orders that it passes on.
    static constexpr base::milliseconds max_pause{250};
    /// Messages that arrive within this time after a pause may have been sent
    /// before its end.
    static constexpr base::milliseconds distrust_period{100};

    explicit pause_detector(kernel::loop& owner);

    /// @return whether messages that arrive now may have waited for this
    /// process.
    [[nodiscard]] bool may_be_old() const;
    /// @return the time since this process was last seen to run.
    [[nodiscard]] base::milliseconds since_awake() const;

  private:
    void note_awake();

    kernel::timer m_timer;
    /// On the clock that counts suspended time, as `m_distrusted_until`.
    base::instant m_awake_at;
    base::instant m_distrusted_until{};
};

} // namespace eelgrasslever::service
