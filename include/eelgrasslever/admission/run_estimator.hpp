/// @file
/// Run times as observed, since declared ones are often far off.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <map>
#include <string>

namespace eelgrasslever::admission {

class run_estimator {
  public:
    /// Learns from one task that ended.
    void observe(const std::string& team, const std::string& kind,
                 base::milliseconds declared, base::milliseconds ran);

    /// @return the expected run time of the next such task.
    [[nodiscard]] base::milliseconds
    estimate(const std::string& team, const std::string& kind,
             base::milliseconds declared) const;

  private:
    struct observed {
        double ratio{1.0};   ///< run time over declared run time
        double mean_ms{0.0}; ///< where nothing was declared
        int count{0};
    };
    std::map<std::string, observed> m_by_work;
};

} // namespace eelgrasslever::admission
