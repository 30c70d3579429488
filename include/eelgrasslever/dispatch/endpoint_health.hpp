/// @file
/// Quarantine of an endpoint that fails what its peers complete.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <cstdint>

namespace eelgrasslever::dispatch {

/// Success and failure of one endpoint, or of all of them together.
class failure_rate {
  public:
    void record(bool failed);
    /// @return recent share of failures, 0 to 1.
    [[nodiscard]] double rate() const { return m_rate; }

  private:
    double m_rate{0.0};
};

/// Decides how many slots an endpoint may use. A quarantined endpoint gets one
/// probe task; each success doubles its share until it is whole again.
class endpoint_health {
  public:
    /// @param all_endpoints recent failures at all endpoints together.
    void record_outcome(bool failed, const failure_rate& all_endpoints,
                        base::instant now,
                        base::milliseconds initial_quarantine);

    /// @return most slots that may be in use now, of @p capacity.
    [[nodiscard]] std::int64_t slot_limit(std::int64_t capacity,
                                          base::instant now) const;
    [[nodiscard]] bool is_quarantined() const { return m_slot_limit >= 0; }
    void record_slowness(double ratio);
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
