/// @file
/// Room on one endpoint that is kept for gangs, each from its start time on.
#pragma once

#include "eelgrasslever/base/resources.hpp"
#include "eelgrasslever/base/time.hpp"

#include <vector>

namespace eelgrasslever::cluster {

/// Other work may use the room until the gang starts, and what the gang leaves
/// free afterwards.
class room_reservations {
  public:
    void clear();
    /// Keeps room free from @p start on.
    /// @param free_then what is free at that time, without any reservation.
    void add(base::instant start, const base::resources& amount,
             const base::resources& free_then);
    /// Takes in a task that runs from now until @p end.
    void take(const base::resources& amount, base::instant end);
    /// @param free what is free now.
    /// @return what a task may use that runs until @p end, so that no
    /// reservation is delayed.
    [[nodiscard]] base::resources available(const base::resources& free,
                                            base::instant end) const;
    /// @return what is reserved in all.
    [[nodiscard]] const base::resources& total() const { return m_total; }

  private:
    struct reservation {
        base::instant start{};
        base::resources amount;
        base::resources left; ///< free once the gang has started
    };
    std::vector<reservation> m_reservations;
    base::resources m_total;
};

} // namespace eelgrasslever::cluster
