/// @file
/// Quarantine of an endpoint that fails what its peers complete.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstdint>

namespace eelgrasslever::dispatch {

/// Success and failure of one endpoint, or of all of them together.
class failure_rate {
  public:
    void observe(bool failed);
    /// @return recent share of failures, 0 to 1.
    [[nodiscard]] double value() const { return m_value; }

  private:
    double m_value{0.0};
};

/// Decides how many slots an endpoint may use. A quarantined endpoint gets one
/// probe task; each success doubles its share until it is whole again.
class health {
  public:
    /// @param others recent failures at all endpoints together.
    void observe(bool failed, const failure_rate& others, base::instant now,
                 base::milliseconds quarantine);

    /// @return most slots that may be in use now, of @p capacity.
    [[nodiscard]] std::int64_t slot_limit(std::int64_t capacity,
                                          base::instant now) const;
    [[nodiscard]] bool quarantined() const { return m_limit >= 0; }
    void observe_slowness(double ratio);
    [[nodiscard]] double slowness() const { return m_slowness; }

  private:
    static constexpr std::int64_t no_limit = -1;
    int m_failures_in_row{0};
    std::int64_t m_limit{no_limit};
    int m_quarantines{0};
    base::instant m_closed_until{};
    double m_slowness{1.0};
};

} // namespace eelgrasslever::dispatch
